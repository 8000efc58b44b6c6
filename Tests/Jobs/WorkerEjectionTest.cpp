#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

using namespace auburnhub;

namespace {

/// An owner whose workers run tasks of 6,000 of their 16,000 CPU-millis.
struct OwnerFixture : SchedulerFixture {
  void addWorkers(int Count) {
    for (int I = 0; I < Count; ++I)
      addWorker("w" + std::to_string(I));
    m_Slots = 2 * static_cast<std::size_t>(Count);
  }

  /// Ends all runs that were started since the last call: as failed on workers
  /// in Failing or if IsFaulty, else as done.
  void endRuns(bool IsFaulty, const std::set<std::string> &Failing = {}) {
    while (m_Ended < m_Starts.size()) {
      const std::vector<StartRun> Runs(m_Starts.begin() +
                                           static_cast<std::ptrdiff_t>(m_Ended),
                                       m_Starts.end());
      m_Ended = m_Starts.size();
      for (const StartRun &Run : Runs)
        accept(Run.m_Run);
      m_Now = addMs(m_Now, RunMs);
      for (const StartRun &Run : Runs) {
        bool Fails = IsFaulty || Failing.contains(Run.m_Worker);
        end(Run.m_Run, Fails ? RunEnd::Failed : RunEnd::Done);
      }
    }
  }
  /// Submits jobs one after the other and ends their runs.
  void runJobs(int Count, bool IsFaulty,
               const std::set<std::string> &Failing = {}) {
    for (int I = 0; I < Count; ++I) {
      submit(job("job-" + std::to_string(++m_Jobs), 2, 6000, RunMs));
      endRuns(IsFaulty, Failing);
    }
  }
  /// The same with single tasks of stored jobs.
  void runStoredTasks(std::uint32_t Count, bool IsFaulty) {
    for (std::uint32_t I = 0; I < Count; ++I) {
      submitStored(++m_Tasks);
      endRuns(IsFaulty);
    }
  }
  bool isEjected(const std::string &Worker) const {
    bool Result = false;
    for (const WorkerHealthDecision &Decision : m_HealthDecisions)
      if (Decision.m_Worker == Worker)
        Result = Decision.m_IsEjected;
    return Result;
  }
  /// A job that is submitted now starts at once, on any of the workers.
  void checkSoundJob() {
    submit(job("sound", 1));
    BOOST_TEST(
        std::any_of(m_Starts.begin(), m_Starts.end(), [](const StartRun &Run) {
          return Run.m_Task.m_Job == "sound";
        }));
  }

  static constexpr double RunMs = 10;
  std::size_t m_Slots = 0; ///< Of all workers.
  std::size_t m_Ended = 0;
  int m_Jobs = 0;
  std::uint32_t m_Tasks = 0;
};

} // namespace

// Guards against callers whose failing jobs take workers from everyone else.
BOOST_AUTO_TEST_SUITE(JobsThatFailByTheirOwnFault)

BOOST_FIXTURE_TEST_SUITE(LeaveAllWorkersInUse, OwnerFixture)

BOOST_AUTO_TEST_CASE(IfTheOwnerHasOne) {
  addWorkers(1);
  runJobs(20, /*IsFaulty=*/true);
  BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
  checkSoundJob();
}

BOOST_AUTO_TEST_CASE(IfTheOwnerHasOneAndOthersFailToo) {
  addWorkers(1);
  m_Scheduler.setPeerOutcomes(m_Now, "other", {});
  runJobs(20, /*IsFaulty=*/true);
  advanceTime(150);
  m_Scheduler.setPeerOutcomes(m_Now, "other", {{"certify", {0, 20}}});
  // The job that has begun goes on.
  advanceTime(1);
  endRuns(/*IsFaulty=*/true);
  BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
  checkSoundJob();
}

BOOST_AUTO_TEST_CASE(IfTheOwnerHasTwo) {
  addWorkers(2);
  runJobs(20, /*IsFaulty=*/true);
  advanceTime(150);
  runJobs(1, /*IsFaulty=*/true);
  BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
  checkSoundJob();
}

BOOST_AUTO_TEST_CASE(IfTheOwnerHasSix) {
  addWorkers(6);
  runJobs(40, /*IsFaulty=*/true);
  advanceTime(150);
  runJobs(1, /*IsFaulty=*/true);
  BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
  checkSoundJob();
}

BOOST_AUTO_TEST_CASE(IfTheyAreStored) {
  for (int Workers : {1, 2, 6}) {
    m_Scheduler = JobScheduler{JobParameters()};
    addWorkers(Workers);
    runStoredTasks(40, /*IsFaulty=*/true);
    advanceTime(150);
    runStoredTasks(1, /*IsFaulty=*/true);
    BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
  }
}

BOOST_AUTO_TEST_CASE(BesideSoundOnes) {
  addWorkers(2);
  for (int I = 0; I < 20; ++I) {
    runJobs(2, /*IsFaulty=*/true);
    runJobs(1, /*IsFaulty=*/false);
  }
  BOOST_TEST(m_Scheduler.freeSlots(m_Now) == m_Slots);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AWorkerThatFailsAllItStarts)

BOOST_FIXTURE_TEST_SUITE(IsEjected, OwnerFixture)

BOOST_AUTO_TEST_CASE(AfterThreeFailures) {
  addWorkers(6);
  runJobs(20, /*IsFaulty=*/false, {"w0"});
  BOOST_TEST(isEjected("w0"));
  for (const WorkerHealthDecision &Decision : m_HealthDecisions) {
    BOOST_TEST(Decision.m_Worker == "w0");
    BOOST_TEST(Decision.m_Failures == 3U);
  }
}

BOOST_AUTO_TEST_CASE(TogetherWithOthers) {
  addWorkers(6);
  runJobs(20, /*IsFaulty=*/false);
  runJobs(40, /*IsFaulty=*/false, {"w0", "w1", "w2"});
  for (const char *Worker : {"w0", "w1", "w2"})
    BOOST_TEST(isEjected(Worker));
  BOOST_TEST(!isEjected("w3"));
}

BOOST_AUTO_TEST_CASE(BesideJobsThatFailEverywhere) {
  addWorkers(6);
  for (int I = 0; I < 40; ++I) {
    runJobs(1, /*IsFaulty=*/I % 3 == 0, {"w0"});
  }
  BOOST_TEST(isEjected("w0"));
  BOOST_TEST(!isEjected("w1"));
}

BOOST_AUTO_TEST_CASE(IfItIsTheOnlyOneAndOtherOwnersSucceed) {
  addWorkers(1);
  m_Scheduler.setPeerOutcomes(m_Now, "other", {});
  runJobs(3, /*IsFaulty=*/true);
  BOOST_TEST(isEjected("w0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RunsAStoredTask, OwnerFixture)

BOOST_AUTO_TEST_CASE(OnlyAsItsLastResort) {
  addWorkers(1);
  m_Scheduler.setPeerOutcomes(m_Now, "other", {});
  runJobs(3, /*IsFaulty=*/true);
  BOOST_REQUIRE(isEjected("w0"));
  std::size_t Before = m_Starts.size();
  submitStored(1);
  advanceTime(JobParameters().m_StoredWaitMs);
  BOOST_TEST(m_Starts.size() == Before);
  BOOST_REQUIRE(m_EndedStoredTasks.size() == 1U);
  BOOST_TEST(
      (m_EndedStoredTasks.back().m_Reason == JobReason::NoHealthyWorker));
  StoredTask Task;
  Task.m_Job = "stored-job";
  Task.m_Number = 2;
  Task.m_Policy = job("", 1).m_Policy;
  Task.m_Step = job("", 1).m_Steps.front();
  Task.m_MayBeEjected = true;
  m_Scheduler.submit(m_Now, Task);
  collect();
  BOOST_TEST(m_Starts.size() == Before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
