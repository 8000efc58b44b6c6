#include "auburnhub/Node/OwnerTable.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace auburnhub;

namespace {

/// The view that one node of data centre "a" has of the owners.
OwnerTable tableOf(const std::map<std::string, std::uint64_t> &FreeSlots) {
  OwnerTable Result("a");
  for (const auto &[Name, Free] : FreeSlots) {
    Result.put(Name, Name);
    Result.setLoad(Name, Free, 0);
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnOwnerTable)

// Guards against small stored tasks that wait for as long as no worker has room
// for a task of typical size.
BOOST_AUTO_TEST_SUITE(ChoosesForATask)

BOOST_AUTO_TEST_CASE(TheNearbyOwnerThatHasAFreeSlot) {
  OwnerTable Table = tableOf({{"a", 1}, {"b", 8}});
  Table.setLargestFreeCpu("b", 9000);
  BOOST_TEST(Table.chooseForTask(1000, {}).value_or("") == "a");
  BOOST_TEST(Table.chooseForTask(1000, {"a"}).value_or("") == "b");
}

BOOST_AUTO_TEST_CASE(OneWithoutAFreeSlotIfAWorkerHasRoom) {
  OwnerTable Table = tableOf({{"a", 0}, {"b", 0}, {"c", 0}});
  BOOST_TEST(!Table.chooseForTask(1000, {}));
  Table.setLargestFreeCpu("b", 8000);
  Table.setLargestFreeCpu("c", 9000);
  BOOST_TEST(Table.chooseForTask(1000, {}).value_or("") == "c");
  BOOST_TEST(Table.chooseForTask(1000, {"c"}).value_or("") == "b");
  Table.setLargestFreeCpu("a", 1000);
  BOOST_TEST(Table.chooseForTask(1000, {}).value_or("") == "a");
  BOOST_TEST(!Table.chooseForTask(9001, {}));
}

BOOST_AUTO_TEST_CASE(OneWithWaitingTasksThatDoNotFitIfAWorkerHasRoom) {
  OwnerTable Table = tableOf({{"a", 0}});
  Table.setLoad("a", 0, 40);
  Table.setLargestFreeCpu("a", 3000);
  BOOST_TEST(Table.chooseForTask(1000, {}).value_or("") == "a");
}

BOOST_AUTO_TEST_CASE(WithTheRoomOfTheTasksSentSinceTheLastReportTaken) {
  OwnerTable Table = tableOf({{"a", 0}});
  Table.setLargestFreeCpu("a", 2500);
  for (int Sent = 0; Sent < 2; ++Sent) {
    BOOST_TEST(Table.chooseForTask(1000, {}).has_value());
    Table.addSentTask("a", 1000);
  }
  BOOST_TEST(!Table.chooseForTask(1000, {}));
  Table.setLargestFreeCpu("a", 2500);
  BOOST_TEST(Table.chooseForTask(1000, {}).has_value());
}

BOOST_AUTO_TEST_CASE(NoneThatStatesNoFreeCpu) {
  OwnerTable Table = tableOf({{"a", 0}});
  BOOST_TEST(!Table.chooseForTask(0, {}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ChoosesForAJob)

BOOST_AUTO_TEST_CASE(TheNearbyOwnerThatHasFreeCapacity) {
  OwnerTable Table = tableOf({{"a", 8}, {"b", 100}});
  auto Choice = Table.chooseForJob("job", 8, {});
  BOOST_REQUIRE(Choice);
  BOOST_TEST(Choice->m_Owner == "a");
}

BOOST_AUTO_TEST_CASE(AnotherOneIfOtherNodesTakeWhatIsLeftNearby) {
  OwnerTable Table = tableOf({{"a", 200}, {"b", 100}});
  for (std::uint64_t Free = 180; Free >= 20; Free -= 20)
    Table.setLoad("a", Free, 0);
  BOOST_TEST(Table.at("a").m_TakenByOthers > 8);
  auto Choice = Table.chooseForJob("job", 8, {});
  BOOST_REQUIRE(Choice);
  BOOST_TEST(Choice->m_Owner == "b");
}

BOOST_AUTO_TEST_CASE(WithoutCountingItsOwnTasksAsThoseOfOthers) {
  OwnerTable Table = tableOf({{"a", 100}});
  Table.addSentTasks("a", 40);
  Table.setLoad("a", 60, 0);
  BOOST_TEST(Table.at("a").m_TakenByOthers == 0);
}

BOOST_AUTO_TEST_CASE(AnOwnerThatMustNotKeepItWaitingWhileAnotherHasCapacity) {
  OwnerTable Table = tableOf({{"a", 8}, {"b", 100}});
  BOOST_TEST(!Table.chooseForJob("job", 8, {})->m_MayWait);
  BOOST_TEST(Table.chooseForJob("job", 8, {"a"})->m_MayWait);
  BOOST_TEST(!Table.chooseForJob("job", 8, {"a", "b"}));
}

BOOST_AUTO_TEST_CASE(TheOneWithTheMostFreeCapacityIfNoneHasEnough) {
  OwnerTable Table = tableOf({{"a", 1}, {"b", 3}});
  auto Choice = Table.chooseForJob("job", 8, {});
  BOOST_REQUIRE(Choice);
  BOOST_TEST(Choice->m_Owner == "b");
  BOOST_TEST(Choice->m_MayWait);
}

BOOST_AUTO_TEST_SUITE_END()

// Load pattern: a wave fills the workers of one data centre. Its ten nodes have
// the same figures of the others and send sixteen jobs of eight tasks before
// the next load reports arrive.
BOOST_AUTO_TEST_CASE(SpreadsAWaveOverTheOwnersThatHaveFreeCapacity) {
  constexpr int Nodes = 10;
  constexpr int Jobs = 16;
  constexpr double TaskCount = 8;
  const std::map<std::string, std::uint64_t> FreeSlots = {
      {"a", 0}, {"b", 72}, {"c", 64}, {"d", 64}};
  std::map<std::string, double> Received;
  for (int I = 0; I < Jobs; ++I) {
    OwnerTable Table = tableOf(FreeSlots);
    std::string Job =
        "job-" + std::to_string(I % Nodes) + "-" + std::to_string(I / Nodes);
    Received[Table.chooseForJob(Job, TaskCount, {})->m_Owner] += TaskCount;
  }
  for (const auto &[Owner, Tasks] : Received)
    BOOST_TEST(Tasks <= static_cast<double>(FreeSlots.at(Owner)),
               Owner << " received " << Tasks);
}

BOOST_AUTO_TEST_SUITE_END()
