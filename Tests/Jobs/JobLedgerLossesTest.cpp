#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

/// A ledger with one stored job of one task, and workers that are lost.
struct LostWorkersFixture : LedgerFixture {
  LostWorkersFixture() {
    submit(job("a", 1));
    store();
  }

  /// The incarnation that starts now on a machine.
  WorkerIncarnation worker(int Machine) const {
    return {"worker-" + std::to_string(Machine) + "-" +
                std::to_string(m_WallMs),
            "10.0.0." + std::to_string(Machine) + ":80", m_WallMs};
  }
  /// Starts the task on a machine and loses the worker. Returns whether the
  /// task was offered.
  bool loseNextRun(int Machine) {
    auto Task = start();
    if (!Task)
      return false;
    WorkerIncarnation On = worker(Machine);
    advanceTime(1500);
    loseRun(*Task, On);
    if (m_Ledger->hasRecords())
      store();
    return true;
  }
  /// A crashed worker returns, under another id.
  void restartWorker(int Machine) {
    advanceTime(1800);
    seeWorker(worker(Machine));
    if (m_Ledger->hasRecords())
      store();
  }
  bool isInState(StoredJobState State) const {
    return m_Ledger->state("a") == State;
  }
};

/// The task has crashed one worker.
struct OneCrashFixture : LostWorkersFixture {
  OneCrashFixture() {
    BOOST_REQUIRE(loseNextRun(1));
    restartWorker(1);
  }
};

/// Two workers were lost under the task; none of them has returned.
struct TwoLossesFixture : LostWorkersFixture {
  TwoLossesFixture() {
    BOOST_REQUIRE(loseNextRun(1));
    advanceTime(100);
    BOOST_REQUIRE(loseNextRun(2));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ATaskWhoseWorkersAreLost)

BOOST_FIXTURE_TEST_CASE(IsStartedLessAndLessOften, LostWorkersFixture) {
  constexpr double HourMs = 3600000;
  constexpr double MaxPauseMs = JobLedgerParameters().m_MaxLossPauseMs;
  constexpr int FirstStarts = 10; // While the pause grows.
  const TimePoint End = addMs(m_Now, HourMs);
  int Starts = 0;
  while (m_Now < End) {
    if (loseNextRun(Starts % 200))
      ++Starts;
    advanceTime(500);
    if (m_Ledger->hasRecords())
      store();
  }
  BOOST_TEST(Starts > HourMs / MaxPauseMs / 2);
  BOOST_TEST(Starts <= HourMs / MaxPauseMs + FirstStarts);
  BOOST_TEST(isInState(StoredJobState::Running));
  BOOST_TEST(m_Log.at("progress/a").size() < 2000U);
  auto Call = cancel("a");
  store();
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST(isInState(StoredJobState::Cancelled));
  advanceTime(60000);
  BOOST_TEST(!start().has_value());
}

BOOST_FIXTURE_TEST_SUITE(ByItsCrashes, OneCrashFixture)

BOOST_AUTO_TEST_CASE(IsStartedAgainOnceWithItsCountOfLostRuns) {
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  BOOST_TEST(Task->m_LostRuns == 1U);
}

// Guards against a sound job that is shown as failed: only failed runs count.
BOOST_AUTO_TEST_CASE(IsStartedAgainAfterTheSecondCrash) {
  BOOST_REQUIRE(loseNextRun(2));
  advanceTime(1000);
  BOOST_TEST(!start().has_value());
  restartWorker(2);
  BOOST_TEST(isInState(StoredJobState::Running));
  advanceTime(400);
  BOOST_TEST(!start().has_value());
  advanceTime(100);
  auto Third = start();
  BOOST_REQUIRE(Third.has_value());
  BOOST_TEST(Third->m_LostRuns == 2U);
  endRun(*Third, StoredRunEnd::Done);
  store();
  BOOST_TEST(isInState(StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(WaitsTwiceAsLongAfterEachFurtherCrash) {
  double PauseMs = 500;
  for (int Machine = 2; Machine < 7; ++Machine, PauseMs *= 2) {
    BOOST_REQUIRE(loseNextRun(Machine));
    restartWorker(Machine);
    advanceTime(PauseMs - 1);
    BOOST_TEST(!start().has_value());
    advanceTime(1);
  }
  BOOST_TEST(start().has_value());
  BOOST_TEST(isInState(StoredJobState::Running));
}

BOOST_AUTO_TEST_CASE(FailsItsJobByItsFailedRunsOnly) {
  BOOST_REQUIRE(loseNextRun(2));
  restartWorker(2);
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    BOOST_TEST(isInState(StoredJobState::Running));
    advanceTime(1000);
    auto Task = start();
    BOOST_REQUIRE(Task.has_value());
    endRun(*Task, StoredRunEnd::Failed);
    store();
  }
  BOOST_TEST(isInState(StoredJobState::Failed));
}

BOOST_AUTO_TEST_CASE(IsCountedByTheNextKeepers) {
  takeOver();
  BOOST_TEST(m_LoadOk);
  passDoubt(5000);
  BOOST_REQUIRE(loseNextRun(2));
  takeOver();
  advanceTime(5000);
  BOOST_TEST(!start().has_value());
  restartWorker(2);
  passDoubt(1000);
  BOOST_REQUIRE(loseNextRun(3));
  restartWorker(3);
  // The third crash.
  advanceTime(999);
  BOOST_TEST(!start().has_value());
  advanceTime(1);
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  BOOST_TEST(Task->m_LostRuns == 3U);
}

BOOST_AUTO_TEST_CASE(IsCountedIfTheCrashIsConfirmedLate) {
  BOOST_REQUIRE(loseNextRun(2));
  advanceTime(6500);
  auto Third = start();
  BOOST_REQUIRE(Third.has_value());
  restartWorker(2);
  BOOST_TEST(m_StoppedRuns.empty());
  BOOST_TEST(isInState(StoredJobState::Running));
  endRun(*Third, StoredRunEnd::NotRun);
  advanceTime(1000);
  BOOST_REQUIRE(loseNextRun(3));
  restartWorker(3);
  advanceTime(999);
  BOOST_TEST(!start().has_value());
  advanceTime(1);
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(CompletesIfItsActiveRunSucceeds) {
  BOOST_REQUIRE(loseNextRun(2));
  advanceTime(6500);
  auto Third = start();
  BOOST_REQUIRE(Third.has_value());
  restartWorker(2);
  endRun(*Third, StoredRunEnd::Done);
  store();
  BOOST_TEST(isInState(StoredJobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithoutACrash, TwoLossesFixture)

BOOST_AUTO_TEST_CASE(WaitsForAVerdictAndIsStartedAgain) {
  BOOST_REQUIRE(m_HeldTasks.size() == 1U);
  advanceTime(5900);
  BOOST_TEST(!start().has_value());
  advanceTime(200);
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  BOOST_TEST(Task->m_LostRuns == 2U);
  endRun(*Task, StoredRunEnd::Done);
  store();
  BOOST_TEST(isInState(StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(WaitsNoLongerThanForTheVerdict) {
  restartWorker(2);
  advanceTime(100);
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(WaitsLongerWithEachLoss) {
  advanceTime(6100);
  BOOST_REQUIRE(loseNextRun(3));
  advanceTime(11900);
  BOOST_TEST(!start().has_value());
  advanceTime(200);
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(DoesNotFailItsJobForWorkersThatAreBackUnrestarted) {
  seeWorker({"worker", worker(1).m_Address, 1});
  seeWorker({"worker", worker(2).m_Address, 1});
  advanceTime(30000);
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(DoesNotFailItsJobForWorkersThatRestartMuchLater) {
  advanceTime(30000);
  seeWorker(worker(1));
  seeWorker(worker(2));
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(DoesNotFailItsJobForWorkersThatMayNotHaveStartedIt) {
  restartWorker(2);
  advanceTime(100);
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  loseRun(*Task, {"w", worker(3).m_Address, 0});
  store();
  restartWorker(3);
  BOOST_TEST(!isInState(StoredJobState::Failed));
  advanceTime(12000);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->m_LostRuns == 3U);
}

BOOST_AUTO_TEST_CASE(IsNotHeldForEverIfKeepersCrash) {
  takeOver();
  passDoubt(6100);
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an end that passes for stored because the loss of its run is.
BOOST_FIXTURE_TEST_SUITE(AndReturnWhileTheLossIsBeingStored, LedgerFixture)

BOOST_AUTO_TEST_CASE(StartsTheNextStepOnlyOnceItsSuccessIsStored) {
  submit(twoSteps("a"));
  store();
  auto Lost = start();
  loseRun(*Lost, {"worker", "10.0.0.1:80", m_WallMs});
  m_InFlight = m_Ledger->takeBatch();
  write();
  endRun(*Lost, StoredRunEnd::Done);
  m_Ledger->appendSucceeded(m_Now);
  collect();
  BOOST_TEST(!start().has_value());
  BOOST_REQUIRE(m_AcknowledgedEnds.size() == 1U);
  store();
  BOOST_TEST(m_AcknowledgedEnds.size() == 2U);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_StepNumber == 1U);
}

BOOST_AUTO_TEST_CASE(IsCountedAsFailedOnceThatIsStored) {
  submit(job("a", 1, 1));
  store();
  auto Lost = start();
  loseRun(*Lost, {"worker", "10.0.0.1:80", m_WallMs});
  m_InFlight = m_Ledger->takeBatch();
  write();
  endRun(*Lost, StoredRunEnd::Failed);
  m_Ledger->appendSucceeded(m_Now);
  collect();
  advanceTime(1000);
  BOOST_TEST(!start().has_value());
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Running));
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AndReportedAgain, LostWorkersFixture)

BOOST_AUTO_TEST_CASE(IsCountedOnce) {
  auto Task = start();
  WorkerIncarnation On = worker(1);
  for (int I = 0; I < 6; ++I) {
    loseRun(*Task, On);
    store();
  }
  BOOST_TEST(isAcknowledged(*Task));
  advanceTime(100);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->m_LostRuns == 1U);
}

BOOST_AUTO_TEST_CASE(IsCountedByTheNextKeeperIfTheFirstDidNotStoreIt) {
  auto Task = start();
  WorkerIncarnation On = worker(1);
  loseRun(*Task, On);
  BOOST_TEST(!isAcknowledged(*Task));
  takeOver();
  loseRun(*Task, On);
  store();
  BOOST_TEST(isAcknowledged(*Task));
  passDoubt(5000);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->m_LostRuns == 1U);
}

BOOST_AUTO_TEST_CASE(IsNotCountedAfterItHasSucceeded) {
  auto Task = start();
  endRun(*Task, StoredRunEnd::Done);
  loseRun(*Task, worker(1));
  store();
  BOOST_TEST(isInState(StoredJobState::Completed));
  loseRun(*Task, worker(1));
  BOOST_TEST(!m_Ledger->hasRecords());
}

BOOST_AUTO_TEST_CASE(IsCountedWhileItsNextRunIsActive) {
  auto First = start("unreachable-owner");
  WorkerIncarnation On = worker(1);
  m_Ledger->ownerLost(m_Now, "unreachable-owner");
  passDoubt(4000);
  auto Second = start("other");
  BOOST_REQUIRE(Second.has_value());
  loseRun(*First, On, "unreachable-owner");
  store();
  BOOST_TEST(m_StoppedRuns.empty());
  BOOST_TEST(!start().has_value());
  loseRun(*Second, worker(2), "other");
  store();
  BOOST_REQUIRE(m_HeldTasks.size() == 1U);
  BOOST_TEST(m_HeldTasks.front().m_Count.m_Losses == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BesideOthersOfItsJob)

BOOST_FIXTURE_TEST_CASE(LetsThemGoOn, LedgerFixture) {
  submit(job("a", 2));
  store();
  auto Bad = start();
  auto Other = start();
  BOOST_REQUIRE((Bad && Other));
  for (int I = 0; I < 4; ++I) {
    BOOST_REQUIRE(Bad.has_value());
    loseRun(*Bad, {"worker", "10.0.0.1:80", m_WallMs});
    store();
    advanceTime(60000);
    Bad = start();
  }
  BOOST_REQUIRE(Bad.has_value());
  BOOST_TEST((Bad->task() != Other->task()));
  BOOST_TEST(m_StoppedRuns.empty());
  endRun(*Other, StoredRunEnd::Done);
  endRun(*Bad, StoredRunEnd::Done);
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
}

// A job whose record grows without limit can no longer be stored.
BOOST_FIXTURE_TEST_CASE(IsRememberedUpToALimit, LedgerFixture) {
  constexpr std::uint32_t Tasks = 1000;
  submit(job("a", Tasks));
  store();
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    auto Task = start();
    BOOST_REQUIRE(Task.has_value());
    loseRun(*Task, {"worker-of-a-data-centre-that-has-lost-power",
                    "192.168.100.100:10080", m_WallMs});
  }
  store();
  BOOST_TEST(m_Log.at("progress/a").size() < 65536U);
}

// A loss that was kept of a refused job ended the process when its machine came
// back.
BOOST_FIXTURE_TEST_CASE(IsForgottenWhenTheJobIsRefused, LedgerFixture) {
  submit(job("a", 1));
  m_InFlight = m_Ledger->takeBatch();
  StoredTask Task;
  Task.m_Job = "a";
  Task.m_Number = 1;
  loseRun(Task, {"worker", "10.0.0.1:80", m_WallMs});
  m_Ledger->appendRefused();
  collect();
  BOOST_REQUIRE(!m_Ledger->hasRecords());
  advanceTime(1000);
  seeWorker({"next", "10.0.0.1:80", m_WallMs});
  BOOST_TEST(!start().has_value());
}

BOOST_FIXTURE_TEST_CASE(IsForgottenWhenItSucceeds, LedgerFixture) {
  submit(job("a", 2));
  store();
  auto First = start();
  auto Other = start();
  BOOST_REQUIRE((First && Other));
  loseRun(*First, {"worker", "10.0.0.1:80", m_WallMs});
  store();
  BOOST_TEST(m_Log.at("progress/a").find("10.0.0.1") != std::string::npos);
  advanceTime(100);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  endRun(*Again, StoredRunEnd::Done);
  store();
  BOOST_TEST(m_Log.at("progress/a").find("10.0.0.1") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
