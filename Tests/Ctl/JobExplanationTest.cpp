#include "auburnhub/Ctl/JobExplanation.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace auburnhub;

namespace {

const std::string Job = "00000000000000aa";

std::string line(int Millisecond, const std::string &Event,
                 nlohmann::json Fields) {
  Fields["time"] =
      "2026-01-01T00:00:00." + std::to_string(100 + Millisecond) + "Z";
  Fields["vm"] = "node-1";
  Fields["event"] = Event;
  return Fields.dump() + "\n";
}

std::string explain(const std::string &Log) {
  std::istringstream Input(Log);
  DecisionLog Lines(Job);
  Lines.read(Input);
  return explainJob(Job, Lines.ordered());
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

std::string ordered(int Millisecond, int Run, const std::string &Worker) {
  return line(
      Millisecond, "run_ordered",
      {{"job", Job}, {"task", Job + "/0/0"}, {"run", Run}, {"worker", Worker}});
}

std::string ended(int Millisecond, const std::string &Worker,
                  const std::string &How) {
  return line(Millisecond, "run_ended",
              {{"task", Job + "/0/0"},
               {"worker", Worker},
               {"how", How},
               {"took_ms", 20},
               {"expected_ms", 15}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnExplanationOfAJob)

BOOST_AUTO_TEST_CASE(TellsWhatBecameOfEachTask) {
  std::string Text =
      explain(ordered(1, 1, "w-1") + ended(2, "w-1", "failed") +
              ordered(3, 2, "w-2") + ended(4, "w-2", "done") +
              line(5, "job_answered",
                   {{"job", Job}, {"outcome", "completed"}, {"owner", "o"}}));
  BOOST_TEST(contains(Text, "answered 'completed'; the owner was o."));
  BOOST_TEST(contains(Text, "2 orders; failed at w-1 after 20 ms (expected 15)"
                            "; done at w-2 after 20 ms"));
}

BOOST_AUTO_TEST_CASE(SaysWhyNothingHasRun) {
  std::string Text = explain(
      line(1, "job_answered",
           {{"job", Job}, {"outcome", "not_run"}, {"reason", "no_room"}}));
  BOOST_TEST(contains(Text, "no worker had room for it in time (no_room)"));
  BOOST_TEST(contains(Text, "safe to ask again"));
  BOOST_TEST(contains(Text, "No line shows an order"));
}

BOOST_AUTO_TEST_CASE(ClaimsNoMoreThanTheLinesShow) {
  BOOST_TEST(contains(explain(""), "does not show that it did not run"));
  std::string Text = explain(ordered(1, 1, "w-1"));
  BOOST_TEST(contains(Text, "No line shows an answer"));
  BOOST_TEST(contains(Text, "no line shows the end of the last"));
}

BOOST_AUTO_TEST_CASE(LeavesOtherJobsOut) {
  std::string Other = Job;
  Other.back() = 'b';
  std::string Text = explain(
      ordered(1, 1, "w-1") +
      line(2, "run_ordered", {{"task", Other + "/0/0"}, {"worker", "w-9"}}));
  BOOST_TEST(!contains(Text, "w-9"));
}

BOOST_AUTO_TEST_SUITE_END()
