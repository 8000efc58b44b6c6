#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

struct LostTaskFixture : SchedulerFixture {
  /// Submits a stored task of which one run was lost.
  void submitLost(std::uint32_t Index) { submitStored(Index, 2, {}, 1); }

  std::size_t freeSlots() const { return m_Scheduler.freeSlots(m_Now); }

  void setReachable(const std::string &Worker, bool Reachable) {
    m_Scheduler.setReachable(m_Now, Worker, Reachable);
    collect();
  }

  /// Loses the newest run together with its worker.
  void loseRun() {
    StartRun Order = m_Starts.back();
    setReachable(Order.m_Worker, false);
    end(Order.m_Run, RunEnd::Lost, {Order.m_Worker, Order.m_Worker, 1});
  }

  /// Registers the next incarnation of a worker under another id.
  void restart(const std::string &Worker) {
    WorkerSpec Spec;
    Spec.m_Id = Worker + "-next";
    Spec.m_Service = "tile-orders";
    Spec.m_Address = Worker;
    Spec.m_IncarnationStartMs = 2;
    m_Scheduler.removeWorker(Worker);
    m_Scheduler.putWorker(m_Now, Spec);
    collect();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ATaskThatWasLostWithItsWorker, LostTaskFixture)

BOOST_AUTO_TEST_SUITE(RunsAlone)

BOOST_AUTO_TEST_CASE(NotBesideHealthyTasks) {
  addWorker("w1");
  addWorker("w2");
  submit(job("healthy", 1));
  BOOST_REQUIRE(m_Starts.size() == 1U);
  BOOST_TEST(m_Starts[0].m_Worker == "w1");
  submitLost(0);
  BOOST_REQUIRE(m_Starts.size() == 2U);
  BOOST_TEST(m_Starts[1].m_Worker == "w2");
  BOOST_TEST(m_Starts[1].m_RunsAlone);
  submit(job("other", 2));
  BOOST_REQUIRE(m_Starts.size() == 3U);
  BOOST_TEST(m_Starts[2].m_Worker == "w1");
  end(m_Starts[1].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 4U);
  BOOST_TEST(m_Starts[3].m_Worker == "w2");
}

BOOST_AUTO_TEST_CASE(AlsoOfABestEffortJob) {
  addWorker("w1");
  addWorker("w2");
  addWorker("w3");
  submit(job("a", 1));
  loseRun();
  BOOST_REQUIRE(m_Starts.size() == 2U);
  BOOST_TEST(m_Starts[1].m_Task.m_Job == "a");
  BOOST_TEST(m_Starts[1].m_RunsAlone);
  submit(job("b", 2));
  BOOST_REQUIRE(m_Starts.size() == 4U);
  for (std::size_t I : {2U, 3U})
    BOOST_TEST(m_Starts[I].m_Worker != m_Starts[1].m_Worker);
}

BOOST_AUTO_TEST_CASE(WhileOtherTasksOfItsJobGoOn) {
  addWorker("w1", 12000);
  addWorker("w2", 12000);
  submit(job("a", 4));
  BOOST_REQUIRE(m_Starts.size() == 4U);
  // Both tasks of the lost worker wait; the worker left becomes idle for one.
  std::string Lost = m_Starts[3].m_Worker;
  setReachable(Lost, false);
  end(m_Starts[2].m_Run, RunEnd::Lost, {Lost, Lost, 1});
  end(m_Starts[3].m_Run, RunEnd::Lost, {Lost, Lost, 1});
  BOOST_REQUIRE(m_Starts.size() == 4U);
  for (std::size_t I = 0; I < 2; ++I)
    end(m_Starts[I].m_Run, RunEnd::Done);
  for (std::size_t I = 4; I < 6; ++I) {
    BOOST_REQUIRE(m_Starts.size() == I + 1);
    end(m_Starts[I].m_Run, RunEnd::Done);
  }
  BOOST_TEST(isFinished("a", JobOutcome::Completed));
}

BOOST_AUTO_TEST_CASE(OneAtATimeOfAService) {
  for (const char *Worker : {"w1", "w2", "w3"})
    addWorker(Worker);
  submitLost(0);
  submitLost(1);
  BOOST_REQUIRE(m_Starts.size() == 1U);
  // The two other workers serve ordinary tasks.
  submit(job("a", 4));
  BOOST_TEST(m_Starts.size() == 5U);
  for (const StartRun &Order : std::vector(m_Starts))
    end(Order.m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 6U);
  BOOST_TEST(m_Starts[5].m_Task.m_Index == 1U);
}

BOOST_AUTO_TEST_CASE(OnAQuarterOfTheWorkersAtATime) {
  for (int Worker = 0; Worker < 16; ++Worker)
    addWorker("w" + std::to_string(Worker));
  for (std::uint32_t Index = 0; Index < 16; ++Index)
    submitLost(Index);
  BOOST_REQUIRE(m_Starts.size() == 4U);
  end(m_Starts[0].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 5U);
  // A further loss does not hold up those that wait.
  loseRun();
  BOOST_REQUIRE(m_Starts.size() == 6U);
  for (std::size_t I = 1; I < 4; ++I)
    end(m_Starts[I].m_Run, RunEnd::Done);
  BOOST_TEST(m_Starts.size() == 9U);
}

BOOST_AUTO_TEST_CASE(AndIsNotSoonReturnedWhileAnotherOneDoes) {
  addWorker("w1");
  addWorker("w2");
  submitLost(0);
  submitLost(1);
  BOOST_REQUIRE(m_Starts.size() == 1U);
  advanceTime(1000);
  BOOST_TEST(m_EndedStoredTasks.empty());
  // It does not compete with ordinary tasks for the capacity left.
  BOOST_TEST(m_Scheduler.waitingTasks() == 0U);
  advanceTime(5000);
  BOOST_REQUIRE(m_EndedStoredTasks.size() == 1U);
  BOOST_TEST((m_EndedStoredTasks[0].m_EndKind == StoredRunEnd::NotRun));
}

BOOST_AUTO_TEST_CASE(WithoutBlameForTheWorker) {
  addWorker("w1");
  for (std::uint32_t Index = 0; Index < 5; ++Index) {
    submitLost(Index);
    BOOST_REQUIRE(m_Starts.size() == Index + 1);
    loseRun();
    setReachable("w1", true);
  }
  submit(job("a", 2));
  BOOST_TEST(m_Starts.size() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenNoWorkerIsIdle)

BOOST_AUTO_TEST_CASE(GetsTheOneWithTheFewestRunsOnceThatIsIdle) {
  addWorker("w1", 24000);
  submit(job("a", 3));
  addWorker("w2", 24000);
  submit(job("b", 2));
  BOOST_REQUIRE(m_Starts.size() == 5U);
  BOOST_TEST(m_Starts[3].m_Worker == "w1");
  BOOST_REQUIRE(m_Starts[4].m_Worker == "w2");
  BOOST_TEST(freeSlots() == 3U);
  submitLost(0);
  BOOST_TEST(m_Starts.size() == 5U);
  BOOST_REQUIRE(m_SetAside.size() == 1U);
  BOOST_TEST(m_SetAside[0].m_Worker == "w2");
  // The free capacity of that worker is no longer offered.
  BOOST_TEST(freeSlots() == 0U);
  submit(job("c", 1));
  BOOST_TEST(m_Starts.size() == 5U);
  end(m_Starts[4].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 6U);
  BOOST_TEST(m_Starts[5].m_Task.m_Job == "stored-job");
  BOOST_TEST(m_Starts[5].m_Worker == "w2");
}

BOOST_AUTO_TEST_CASE(ReleasesItIfItIsCancelled) {
  addWorker("w1", 12000);
  submit(job("a", 1));
  submitLost(0);
  submit(job("b", 1));
  BOOST_TEST(m_Starts.size() == 1U);
  m_Scheduler.cancel(m_Now, TaskRef{"stored-job", 2, 0});
  collect();
  BOOST_REQUIRE(m_Starts.size() == 2U);
  BOOST_TEST(m_Starts[1].m_Task.m_Job == "b");
}

BOOST_AUTO_TEST_CASE(ReleasesItIfItsDeadlinePasses) {
  addWorker("w1", 24000);
  submit(job("a", 1));
  addWorker("w2", 6000);
  submit(job("b", 1));
  BOOST_REQUIRE(m_Starts.size() == 2U);
  BOOST_REQUIRE(m_Starts[1].m_Worker == "w2");
  loseRun();
  BOOST_REQUIRE(m_SetAside.size() == 1U);
  BOOST_TEST(freeSlots() == 0U);
  advanceTime(6000);
  BOOST_TEST(freeSlots() == 3U);
}

BOOST_AUTO_TEST_CASE(TakesAnotherOneIfThatIsLost) {
  addWorker("w1", 6000);
  addWorker("w2", 6000);
  submit(job("a", 2));
  submitLost(0);
  BOOST_REQUIRE(m_SetAside.size() == 1U);
  std::string First = m_SetAside[0].m_Worker;
  setReachable(First, false);
  advanceTime(1);
  BOOST_REQUIRE(m_SetAside.size() == 2U);
  BOOST_TEST(m_SetAside[1].m_Worker != First);
  setReachable(First, true);
  for (std::size_t I = 0; I < 2; ++I)
    if (m_Starts[I].m_Worker != First)
      end(m_Starts[I].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 3U);
  BOOST_TEST(m_Starts[2].m_Worker == m_SetAside[1].m_Worker);
}

BOOST_AUTO_TEST_CASE(GetsTheOnlyWorkerOfItsService) {
  addWorker("w1", 12000);
  submit(job("a", 1));
  submitLost(0);
  // A task for which a worker is set aside is not returned to its ledger.
  for (int I = 0; I < 20; ++I)
    advanceTime(100);
  BOOST_TEST(m_EndedStoredTasks.empty());
  end(m_Starts[0].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 2U);
  submitStored(1);
  BOOST_TEST(m_Starts.size() == 2U);
  end(m_Starts[1].m_Run, RunEnd::Done);
  BOOST_REQUIRE(m_Starts.size() == 3U);
  BOOST_TEST(m_Starts[2].m_Task.m_Index == 1U);
}

BOOST_AUTO_TEST_CASE(GetsOneThatMeetsItsRequirements) {
  addWorker("w1", 6000);
  addWorker("w2", 12000, {"fast"});
  submit(job("a", 3));
  JobRequest Request = job("b", 1);
  Request.m_Steps[0].m_RequiredLabel = "fast";
  BOOST_REQUIRE(m_Starts.size() == 3U);
  for (const StartRun &Order : std::vector(m_Starts))
    if (Order.m_Worker == "w2")
      end(Order.m_Run, RunEnd::Done);
  submit(Request);
  BOOST_REQUIRE(m_Starts.back().m_Worker == "w2");
  end(m_Starts.back().m_Run, RunEnd::Lost, {"w2", "w2", 1});
  BOOST_REQUIRE(m_Starts.back().m_Task.m_Job == "b");
  BOOST_TEST(m_Starts.back().m_Worker == "w2");
  BOOST_TEST(m_SetAside.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfABestEffortJob)

BOOST_AUTO_TEST_CASE(IsGivenUpWhenTwoWorkersHaveCrashed) {
  for (const char *Worker : {"w1", "w2", "w3"})
    addWorker(Worker);
  submit(job("a", 1));
  loseRun();
  restart(m_Starts[0].m_Worker);
  BOOST_REQUIRE(m_Starts.size() == 2U);
  advanceTime(500);
  loseRun();
  BOOST_TEST(m_Starts.size() == 3U);
  restart(m_Starts[1].m_Worker);
  // The third run may still succeed.
  BOOST_TEST(m_FinishedJobs.empty());
  loseRun();
  BOOST_REQUIRE(isFinished("a", JobOutcome::Failed));
  BOOST_TEST((m_FinishedJobs["a"][0].m_Reason == JobReason::AttemptsSpent));
  BOOST_TEST(m_Starts.size() == 3U);
}

BOOST_AUTO_TEST_CASE(IsGivenUpWhileItWaitsWhenTheSecondCrashIsKnown) {
  addWorker("w1", 6000);
  addWorker("w2", 6000);
  addWorker("w3", 6000);
  submit(job("busy", 1));
  submit(job("a", 1));
  loseRun();
  BOOST_REQUIRE(m_Starts.size() == 3U);
  loseRun();
  // No worker is idle for a third run.
  BOOST_TEST(m_Starts.size() == 3U);
  restart(m_Starts[1].m_Worker);
  BOOST_TEST(!m_FinishedJobs.contains("a"));
  restart(m_Starts[2].m_Worker);
  BOOST_TEST(isFinished("a", JobOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(GoesOnIfItsWorkersWereOnlyCutOff) {
  addWorker("w1");
  submit(job("a", 1));
  for (int I = 0; I < 3; ++I) {
    loseRun();
    setReachable("w1", true);
  }
  BOOST_REQUIRE(m_Starts.size() == 4U);
  end(m_Starts[3].m_Run, RunEnd::Done);
  BOOST_TEST(isFinished("a", JobOutcome::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
