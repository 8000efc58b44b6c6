#include "auburnhub/Base/StateChart.h"

#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

const std::string Door = "chart: door\n"
                         "initial: closed\n"
                         "events: [push, lock]\n"
                         "states:\n"
                         "  closed:\n"
                         "    on:\n"
                         "      push:\n"
                         "        - {to: open, guard: unlocked}\n"
                         "        - {to: closed, actions: [ring]}\n"
                         "    ignore: [lock]\n"
                         "  open:\n"
                         "    on: {push: {to: closed}}\n"
                         "    ignore: [lock]\n";

const StateChart::Vocabulary Words{{"unlocked"}, {"ring"}};

std::string faultsOf(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  auto Chart = StateChart::parse(Text, "door.yaml", Words);
  BOOST_REQUIRE(!Chart.ok());
  return failureDetail(Chart.status());
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AStateChart)

BOOST_AUTO_TEST_CASE(TakesTheFirstTransitionWhoseGuardHolds) {
  auto Chart = StateChart::parse(Door, "door.yaml", Words);
  BOOST_TEST_REQUIRE(Chart.ok());
  auto Push = *Chart->findEvent("push");
  auto Closed = *Chart->findState("closed");
  auto Next = Chart->next(Closed, Push, [](std::string_view) { return true; });
  BOOST_TEST(Chart->stateName(Next->m_To) == "open");
  Next = Chart->next(Closed, Push, [](std::string_view) { return false; });
  BOOST_TEST(Chart->stateName(Next->m_To) == "closed");
  BOOST_TEST(Next->m_Actions == std::vector<std::string>{"ring"});
}

BOOST_AUTO_TEST_CASE(IgnoresWhatItSaysItIgnores) {
  auto Chart = StateChart::parse(Door, "door.yaml", Words);
  BOOST_TEST_REQUIRE(Chart.ok());
  auto Next = Chart->next(Chart->initial(), *Chart->findEvent("lock"),
                          [](std::string_view) { return true; });
  BOOST_TEST(Next == nullptr);
}

BOOST_AUTO_TEST_SUITE(ThatIsFaulty)

BOOST_AUTO_TEST_CASE(IsRefusedWithTheFault) {
  BOOST_TEST(contains(faultsOf(Door, "to: open", "to: ajar"),
                      "door.yaml:8: unknown state ajar"));
  BOOST_TEST(
      contains(faultsOf(Door, "{to: open, guard: unlocked}", "{to: closed}"),
               "state open cannot be reached"));
  BOOST_TEST(contains(faultsOf(Door, "    ignore: [lock]\n  open", "  open"),
                      "state closed neither handles nor ignores the event "
                      "lock"));
  BOOST_TEST(
      contains(faultsOf(Door, "[ring]", "[sing]"), "unknown action sing"));
  BOOST_TEST(contains(faultsOf(Door, "guard: unlocked", "guard: unlokced"),
                      "unknown guard unlokced"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
