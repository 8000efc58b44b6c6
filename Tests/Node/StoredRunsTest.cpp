#include "auburnhub/Node/StoredRuns.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace auburnhub;

namespace {

/// An owner that runs a task for a keeper.
struct RunFixture {
  RunFixture() {
    RunStoredTask Order;
    Order.m_Claim = {0, 1};
    Order.m_Task.m_Job = "a";
    Order.m_Task.m_Number = 1;
    m_Runs.run("keeper", Order);
    m_Ended.m_Task = Order.m_Task.task();
    m_Ended.m_Number = 1;
    m_Ended.m_EndKind = StoredRunEnd::Over;
    m_Ended.m_Worker = "worker";
  }

  /// The reports to a keeper that were sent since the last call.
  std::vector<StoredTaskReport> reportsTo(const std::string &Keeper) {
    std::vector<StoredTaskReport> Result;
    for (const auto &[To, Msg] : std::exchange(m_Sent, {}))
      if (const auto *Report = std::get_if<StoredTaskReport>(&Msg);
          Report && To == Keeper)
        Result.push_back(*Report);
    return Result;
  }

  EventLoop m_Loop;
  std::vector<std::pair<std::string, StoredJobMessage>> m_Sent;
  int m_Acknowledged = 0;
  StoredRuns m_Runs{
      m_Loop,
      1,
      {[](const StoredTask &) {}, [](const TaskRef &) {},
       [this](const std::string &, const StoredEndConfirmed &) {
         ++m_Acknowledged;
       },
       [this](const std::string &To, const StoredJobMessage &Msg) {
         m_Sent.emplace_back(To, Msg);
       }}};
  StoredTaskEnded m_Ended;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheEndOfAStoredRun, RunFixture)

BOOST_AUTO_TEST_CASE(WithItsWorkerIsNotForgottenIfTheKeeperIsLost) {
  m_Ended.m_LostWith = {"worker", "10.0.0.1:80", 1};
  m_Runs.taskEnded(m_Ended);
  BOOST_TEST(reportsTo("keeper").size() == 1U);
  m_Runs.opened("next", LedgerOpened{{0, 2}});
  auto Again = reportsTo("next");
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST((Again.front().m_LostWith == m_Ended.m_LostWith));
}

BOOST_AUTO_TEST_CASE(WithItsWorkerIsForgottenOnceItIsStored) {
  m_Ended.m_LostWith = {"worker", "10.0.0.1:80", 1};
  m_Runs.taskEnded(m_Ended);
  m_Runs.endStored({{m_Ended.m_Task, 1}, false});
  BOOST_TEST(m_Runs.runs() == 0U);
  BOOST_TEST(m_Acknowledged == 0);
}

BOOST_AUTO_TEST_CASE(ThatWasStoppedIsReportedOnce) {
  m_Runs.taskEnded(m_Ended);
  BOOST_TEST(reportsTo("keeper").size() == 1U);
  BOOST_TEST(m_Runs.runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
