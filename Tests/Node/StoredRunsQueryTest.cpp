#include "auburnhub/Node/StoredRuns.h"

#include <boost/test/unit_test.hpp>

#include <variant>
#include <vector>

using namespace auburnhub;

namespace {

/// An owner that has ended one run of a partition and runs another one.
struct OwnerWithTwoRuns {
  OwnerWithTwoRuns() {
    for (std::uint32_t Index : {0U, 1U}) {
      RunStoredTask Order;
      Order.m_Claim = {0, 3};
      Order.m_Task.m_Job = "a";
      Order.m_Task.m_Index = Index;
      Order.m_Task.m_Number = 1;
      m_Runs.run("keeper", Order, TimePoint::max());
    }
    StoredTaskEnded Ended;
    Ended.m_Task = {"a", 0, 0};
    Ended.m_Number = 1;
    Ended.m_EndKind = StoredRunEnd::Done;
    Ended.m_Worker = "worker";
    m_Runs.taskEnded(Ended);
    m_Sent.clear();
  }

  std::vector<StoredJobMessage> m_Sent;
  StoredRuns m_Runs{1,
                    {[](const StoredTask &, const RunLimit &) {},
                     [](const TaskRef &) {},
                     [](const std::string &, const StoredEndConfirmed &) {},
                     [this](const std::string &, const StoredJobMessage &Msg) {
                       m_Sent.push_back(Msg);
                     },
                     [] {}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AQueryForTheRunsOfAPartition, OwnerWithTwoRuns)

BOOST_AUTO_TEST_CASE(IsAnsweredUnderItsNumberAfterTheEndsThatAreNotStored) {
  m_Runs.opened("keeper", {{0, 3}, 7});
  BOOST_REQUIRE(m_Sent.size() == 2U);
  const auto *End = std::get_if<StoredTaskReport>(&m_Sent.front());
  BOOST_REQUIRE(End);
  BOOST_TEST((End->m_Run == StoredRun{{"a", 0, 0}, 1}));
  const auto *List = std::get_if<LedgerRuns>(&m_Sent.back());
  BOOST_REQUIRE(List);
  BOOST_TEST(List->m_Query == 7U);
  BOOST_REQUIRE(List->m_Runs.size() == 1U);
  BOOST_TEST((List->m_Runs.front() == StoredRun{{"a", 0, 1}, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
