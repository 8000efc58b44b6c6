#include "auburnhub/Node/StoredRuns.h"

#include "auburnhub/Net/EventLoop.h"

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
    m_Runs.run("keeper", Order, EventLoop::now());
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

  std::vector<std::pair<std::string, StoredJobMessage>> m_Sent;
  int m_Acknowledged = 0;
  StoredRuns m_Runs{
      1,
      {[](const StoredTask &, const RunLimit &) {}, [](const TaskRef &) {},
       [this](const std::string &, const StoredEndConfirmed &) {
         ++m_Acknowledged;
       },
       [this](const std::string &To, const StoredJobMessage &Msg) {
         m_Sent.emplace_back(To, Msg);
       },
       [] {}}};
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

// Guards against an end that its worker forgets before it is stored.
BOOST_AUTO_TEST_CASE(IsNotAcknowledgedBecauseTheLossOfTheRunIsStored) {
  m_Ended.m_LostWith = {"worker", "10.0.0.1:80", 1};
  m_Runs.taskEnded(m_Ended);
  BOOST_TEST(m_Runs.strayRunEnded("worker", m_Ended.m_Task, 1, RunEnd::Done));
  m_Runs.endStored({{m_Ended.m_Task, 1}, false, /*m_IsLoss=*/true});
  BOOST_TEST(m_Acknowledged == 0);
  m_Runs.opened("next", LedgerOpened{{0, 2}});
  auto Reports = reportsTo("next");
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST((Reports.front().m_EndKind == StoredRunEnd::Done));
  m_Runs.endStored({{m_Ended.m_Task, 1}, false});
  BOOST_TEST(m_Acknowledged == 1);
  BOOST_TEST(m_Runs.runs() == 0U);
}

BOOST_AUTO_TEST_CASE(IsReportedAgainByAnOwnerThatHasItsWorkerAgain) {
  m_Ended.m_EndKind = StoredRunEnd::Done;
  m_Runs.taskEnded(m_Ended);
  // Another owner has had the worker twice.
  for (int Time = 0; Time < 2; ++Time) {
    m_Sent.clear();
    BOOST_TEST(m_Runs.strayRunEnded("worker", m_Ended.m_Task, 1, RunEnd::Done));
    BOOST_TEST(reportsTo("keeper").size() == 1U);
  }
  m_Runs.endStored({{m_Ended.m_Task, 1}, false});
  BOOST_TEST(m_Acknowledged == 1);
  // The acknowledgement has not reached the worker.
  BOOST_TEST(m_Runs.strayRunEnded("worker", m_Ended.m_Task, 1, RunEnd::Done));
  BOOST_TEST(reportsTo("keeper").size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsReportedToEachOfTwoFurtherKeepers) {
  m_Ended.m_EndKind = StoredRunEnd::Failed;
  m_Runs.taskEnded(m_Ended);
  m_Runs.keeperLost("keeper");
  m_Runs.opened("next", LedgerOpened{{0, 2}});
  BOOST_TEST(reportsTo("next").size() == 1U);
  m_Runs.keeperLost("next");
  m_Runs.opened("keeper", LedgerOpened{{0, 3}});
  BOOST_TEST(reportsTo("keeper").size() == 1U);
  BOOST_TEST(m_Acknowledged == 0);
}

BOOST_AUTO_TEST_CASE(ThatWasStoppedIsReportedOnce) {
  m_Runs.taskEnded(m_Ended);
  BOOST_TEST(reportsTo("keeper").size() == 1U);
  BOOST_TEST(m_Runs.runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// An owner that has run a task since its keeper was confirmed.
struct ConfirmedRunFixture {
  ConfirmedRunFixture() { order(m_Begin); }

  void order(TimePoint ConfirmedAt, std::uint32_t Number = 1) {
    RunStoredTask Order;
    Order.m_Claim = m_Claim;
    Order.m_Task.m_Job = m_Run.m_Task.m_Job;
    Order.m_Task.m_Number = Number;
    m_Runs.run("keeper", Order, ConfirmedAt);
  }
  void confirm(const LedgerClaim &Claim, const std::vector<StoredRun> &Runs) {
    m_Runs.confirmed("keeper", {Claim, 0, Runs}, m_Later);
  }
  bool isStoppedAt(double Ms) {
    m_Runs.stopUnconfirmed(addMs(m_Begin, Ms));
    return m_Stopped > 0;
  }

  const TimePoint m_Begin = EventLoop::now();
  const TimePoint m_Later = addMs(m_Begin, 700);
  const LedgerClaim m_Claim{0, 2};
  const StoredRun m_Run{{"a", 0, 0}, 1};
  int m_Started = 0;
  RunLimit m_RunUntil; ///< Of the run that was started last.
  int m_Stopped = 0;
  int m_Refused = 0;
  StoredRuns m_Runs{1,
                    {[this](const StoredTask &, const RunLimit &RunUntil) {
                       ++m_Started;
                       m_RunUntil = RunUntil;
                     },
                     [this](const TaskRef &) { ++m_Stopped; },
                     [](const std::string &, const StoredEndConfirmed &) {},
                     [this](const std::string &, const StoredJobMessage &Msg) {
                       const auto *Report = std::get_if<StoredTaskReport>(&Msg);
                       bool IsRefusal =
                           Report && Report->m_EndKind == StoredRunEnd::NotRun;
                       m_Refused += IsRefusal ? 1 : 0;
                     },
                     [] {}}};
};

} // namespace

// Guards against runs that go on for a keeper which is no longer the keeper.
BOOST_FIXTURE_TEST_SUITE(AStoredRunWhoseKeeperIsNotConfirmed,
                         ConfirmedRunFixture)

BOOST_AUTO_TEST_CASE(IsStoppedALeaseBeforeItsLimit) {
  BOOST_TEST(!isStoppedAt(1500));
  BOOST_TEST(isStoppedAt(StoredRunLimitMs - 1030));
  BOOST_TEST((*m_RunUntil == addMs(m_Begin, StoredRunLimitMs)));
}

BOOST_AUTO_TEST_CASE(GoesOnWhenTheKeeperIsConfirmedAgain) {
  confirm(m_Claim, {m_Run});
  BOOST_TEST(!isStoppedAt(2200));
  BOOST_TEST((*m_RunUntil == addMs(m_Later, StoredRunLimitMs)));
}

BOOST_AUTO_TEST_CASE(GoesOnWhenTheNextKeeperListsIt) {
  confirm({0, 3}, {m_Run});
  BOOST_TEST(!isStoppedAt(2200));
}

BOOST_AUTO_TEST_CASE(IsStoppedThoughTheNextKeeperIsIfItDoesNotListTheRun) {
  confirm({0, 3}, {});
  confirm({0, 3}, {{m_Run.m_Task, m_Run.m_Number + 1}});
  BOOST_TEST(isStoppedAt(2200));
}

BOOST_AUTO_TEST_CASE(IsStoppedThoughAnEarlierKeeperListsIt) {
  confirm({0, 1}, {m_Run});
  BOOST_TEST(isStoppedAt(2200));
}

BOOST_AUTO_TEST_CASE(IsStoppedThoughAConfirmationWithoutATimeListsIt) {
  m_Runs.confirmed("keeper", {m_Claim, 0, {m_Run}}, TimePoint::max());
  BOOST_TEST(isStoppedAt(2200));
}

BOOST_AUTO_TEST_CASE(IsNotStarted) {
  BOOST_TEST(m_Started == 1);
  order(addMs(m_Begin, -StoredRunLimitMs), 2);
  BOOST_TEST(m_Started == 1);
  BOOST_TEST(m_Refused == 1);
}

BOOST_AUTO_TEST_CASE(HasNoLimitIfTheKeeperNeverStatesAConfirmation) {
  order(TimePoint::max(), 2);
  BOOST_TEST((*m_RunUntil == TimePoint::max()));
}

BOOST_AUTO_TEST_SUITE_END()
