#include "auburnhub/Ctl/Explanation.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace auburnhub;

namespace {

const SubmissionId Id = SubmissionId::makeCallerId(1700000000000, 1, 2);
const SubmissionId OtherId = SubmissionId::makeCallerId(1700000000000, 3, 4);

std::string line(int Millisecond, const std::string &Event,
                 nlohmann::json Fields = nlohmann::json::object()) {
  Fields["time"] =
      "2026-01-01T00:00:00." + std::to_string(100 + Millisecond) + "Z";
  Fields["vm"] = "brisbane-1";
  Fields["process"] = "dispatch";
  Fields["event"] = Event;
  if (!Fields.contains("submission"))
    Fields["submission"] = Id.str();
  return Fields.dump() + "\n";
}

std::string explain(const std::string &Log) {
  std::istringstream Input(Log);
  DecisionLog Lines(Id);
  Lines.read(Input);
  return explainSubmission(Id, Lines.ordered());
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ADecisionLog)

BOOST_AUTO_TEST_CASE(KeepsOneSubmissionsLinesInTheOrderOfTheirTimes) {
  std::istringstream Input(line(3, "answered") + "not json\n" +
                           line(1, "admitted") + line(1, "admitted") +
                           line(2, "placed", {{"submission", OtherId.str()}}));
  DecisionLog Lines(Id);
  Lines.read(Input);
  std::vector<DecisionLine> Ordered = Lines.ordered();
  BOOST_REQUIRE(Ordered.size() == 2U);
  BOOST_TEST(Ordered[0].m_Event == "admitted");
  BOOST_TEST(Ordered[1].m_Event == "answered");
  BOOST_TEST(Lines.malformedLines() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnExplanation)

BOOST_AUTO_TEST_CASE(TellsOfACompleteJobAndItsResubmission) {
  std::string Text = explain(
      line(1, "admitted", {{"team", "club-desk"}, {"service", "proof"}}) +
      line(2, "claim_won") +
      line(3, "task_started", {{"task", 0}, {"endpoint", "e-1"}}) +
      line(4, "task_finished", {{"task", 0}, {"endpoint", "e-1"}}) +
      line(5, "answered", {{"outcome", "complete"}}) +
      line(6, "claim_lost", {{"winner", 7}}));
  BOOST_TEST(contains(Text, "It was answered completely."));
  BOOST_TEST(
      contains(Text, "1 task sent, 1 finished, 0 sent again; at e-1 1 time."));
  BOOST_TEST(contains(Text, "lost the claim and started nothing"));
  BOOST_TEST(contains(Text, "the team club-desk for proof"));
}

BOOST_AUTO_TEST_CASE(TellsWhyARefusedSubmissionIsSafeToAskAgain) {
  std::string Text = explain(line(
      1, "refused", {{"failure", "quota-exceeded"}, {"outcome", "not_run"}}));
  BOOST_TEST(contains(Text, "It was refused because the team had used up"));
  BOOST_TEST(contains(Text, "safe to ask again"));
}

BOOST_AUTO_TEST_CASE(NamesATaskThatWasSentMoreThanOnce) {
  std::string Text =
      explain(line(1, "task_started", {{"task", 4}, {"endpoint", "e-1"}}) +
              line(2, "retry", {{"task", 4}, {"failure", "endpoint-refused"}}) +
              line(3, "task_started", {{"task", 4}, {"endpoint", "e-2"}}));
  BOOST_TEST(contains(Text, "Task 4 was sent 2 times."));
  BOOST_TEST(contains(Text, "It may have run."));
}

BOOST_AUTO_TEST_CASE(TakesAPlacedTaskForOneThatMayHaveRun) {
  std::string Text =
      explain(line(1, "placed", {{"task", 0}, {"endpoint", "e-1"}}));
  BOOST_TEST(contains(Text, "1 task sent, 0 finished"));
  BOOST_TEST(contains(Text, "It may have run."));
}

BOOST_AUTO_TEST_CASE(ClaimsNothingWithoutLines) {
  BOOST_TEST(contains(explain(""), "does not show that it did not run"));
}

BOOST_AUTO_TEST_CASE(ShowsUnknownEventsAsTheyAre) {
  BOOST_TEST(contains(explain(line(1, "moved_house", {{"to", "x"}})),
                      "moved_house (to x)"));
}

BOOST_AUTO_TEST_SUITE_END()
