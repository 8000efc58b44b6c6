#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

/// A ledger with one stored job.
struct StoredJobFixture : LedgerFixture {
  StoredJobFixture() {
    submit(job("a", 2));
    store();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AJobLedger)

BOOST_FIXTURE_TEST_SUITE(AcceptsAJob, LedgerFixture)

BOOST_AUTO_TEST_CASE(OnlyOnceItIsStored) {
  auto Call = submit(job("a", 1));
  BOOST_TEST(!m_Answers.contains(Call));
  BOOST_TEST(!m_Ledger->state("a").has_value());
  BOOST_TEST(!start().has_value());
  store();
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Queued));
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(OnceHoweverOftenItIsSubmitted) {
  auto First = submit(job("a", 1));
  auto Second = submit(job("a", 1));
  store();
  auto Third = submit(job("a", 1));
  BOOST_TEST(isAnswered(First, true));
  BOOST_TEST(isAnswered(Second, true));
  BOOST_TEST(isAnswered(Third, true));
  BOOST_TEST(start().has_value());
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(OrRefusesItIfTheAppendFailed) {
  auto Call = submit(job("a", 1));
  m_InFlight = m_Ledger->takeBatch();
  m_Ledger->appendRefused();
  collect();
  BOOST_TEST(isAnswered(Call, false));
  BOOST_TEST(!m_Ledger->state("a").has_value());
  BOOST_TEST(!m_Ledger->hasRecords());
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(OrRefusesItBeforeItIsPartOfAnAppend) {
  submit(job("a", 1));
  m_InFlight = m_Ledger->takeBatch();
  auto Waiting = submit(job("b", 1));
  m_Ledger->refuseUnappendedJobs();
  collect();
  BOOST_TEST(isAnswered(Waiting, false));
  m_Ledger->appendSucceeded(m_Now);
  BOOST_TEST(m_Ledger->state("a").has_value());
  BOOST_TEST(!m_Ledger->state("b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RunsTasks, StoredJobFixture)

BOOST_AUTO_TEST_CASE(OnceEach) {
  auto First = start();
  auto Second = start();
  BOOST_REQUIRE((First && Second));
  BOOST_TEST((First->task() != Second->task()));
  BOOST_TEST(First->m_Number == 1U);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(AndShowsTheJobAsCompletedOnlyOnceItsEndIsStored) {
  auto First = start();
  auto Second = start();
  endRun(*First, StoredRunEnd::Done);
  endRun(*Second, StoredRunEnd::Done);
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Running));
  BOOST_TEST(!isAcknowledged(*First));
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
  BOOST_TEST(isAcknowledged(*First));
  BOOST_TEST(isAcknowledged(*Second));
}

BOOST_AUTO_TEST_CASE(AgainAfterAFailureThatIsStored) {
  auto First = start();
  start();
  endRun(*First, StoredRunEnd::Failed);
  advanceTime(2000);
  BOOST_TEST(!start().has_value());
  store();
  advanceTime(2000);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->task() == First->task()));
  BOOST_TEST(Again->m_Number > First->m_Number);
  BOOST_TEST(Again->m_AvoidedWorkers == std::vector<std::string>{"worker"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AsOftenAsTheQueueAllows) {
  auto First = start();
  start();
  endRun(*First, StoredRunEnd::Failed);
  store();
  advanceTime(2000);
  auto Again = start();
  endRun(*Again, StoredRunEnd::Failed);
  BOOST_TEST(m_StoppedRuns.size() == 1U);
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Failed));
  advanceTime(5000);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(CountingAFailureOnceHoweverOftenItIsReported) {
  auto First = start();
  start();
  endRun(*First, StoredRunEnd::Failed);
  store();
  endRun(*First, StoredRunEnd::Failed);
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Running));
}

BOOST_AUTO_TEST_CASE(AgainAfterARunThatStoppedOrNeverStarted) {
  auto First = start();
  auto Second = start();
  endRun(*First, StoredRunEnd::Over);
  endRun(*Second, StoredRunEnd::NotRun);
  BOOST_TEST(isAcknowledged(*First));
  advanceTime(2000);
  BOOST_TEST(start().has_value());
  BOOST_TEST(start().has_value());
}

BOOST_AUTO_TEST_CASE(NotAgainWhileALostOwnerMayRunThem) {
  auto First = start("unreachable-owner");
  start("other");
  m_Ledger->ownerLost(m_Now, "unreachable-owner");
  advanceTime(3000);
  BOOST_TEST(!start().has_value());
  passDoubt(1000);
  auto Again = start("other");
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->task() == First->task()));
}

BOOST_AUTO_TEST_CASE(AgainAtOnceWhenAnotherOwnerReportsTheEndOfTheRun) {
  auto First = start("unreachable-owner");
  start("other");
  m_Ledger->ownerLost(m_Now, "unreachable-owner");
  endRun(*First, StoredRunEnd::Over, "other");
  advanceTime(100);
  BOOST_TEST(start("other").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(OffersTasks, LedgerFixture)

BOOST_AUTO_TEST_CASE(InOrderAmongThoseThatFit) {
  for (auto [Id, CpuMillis] :
       {std::pair("a", 9000), std::pair("b", 1000), std::pair("c", 500)}) {
    JobRequest Request = job(Id, 1);
    Request.m_Steps.front().m_TaskResources.m_CpuMillis = CpuMillis;
    submit(Request);
  }
  store();
  BOOST_TEST(m_Ledger->nextTask(m_Now)->m_Job == "a");
  BOOST_TEST(m_Ledger->nextTask(m_Now, 8999)->m_Job == "b");
  BOOST_TEST(m_Ledger->nextTask(m_Now, 999)->m_Job == "c");
  BOOST_TEST(!m_Ledger->nextTask(m_Now, 499));
  m_Ledger->taskStarted(m_Now, {"b", 0, 0}, "owner");
  BOOST_TEST(m_Ledger->readyTasks() == 2U);
  BOOST_TEST(m_Ledger->nextTask(m_Now, 8999)->m_Job == "c");
}

BOOST_AUTO_TEST_CASE(WithWhatTheyNeed) {
  submit(twoSteps("a"));
  store();
  BOOST_TEST(m_Ledger->cpuMillisOf({"a", 0, 0}) == 1000);
  BOOST_TEST(m_Ledger->cpuMillisOf({"a", 2, 0}) == 0);
  BOOST_TEST(m_Ledger->cpuMillisOf({"b", 0, 0}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BlocksSteps, LedgerFixture)

BOOST_AUTO_TEST_CASE(UntilTheEndsOfEarlierStepsAreStored) {
  submit(twoSteps("a"));
  store();
  auto First = start();
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(!start().has_value());
  endRun(*First, StoredRunEnd::Done);
  BOOST_TEST(m_Ledger->hasUrgentRecords());
  BOOST_TEST(!start().has_value());
  store();
  auto Second = start();
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->m_StepNumber == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CancelsAJob, StoredJobFixture)

BOOST_AUTO_TEST_CASE(AndAnswersOnceTheCancellationIsStored) {
  auto First = start();
  auto Call = cancel("a");
  BOOST_TEST(m_StoppedRuns.size() == 1U);
  BOOST_TEST(!m_Answers.contains(Call));
  store();
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Cancelled));
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(AndAcknowledgesItsEndsOnceTheCancellationIsStored) {
  auto First = start();
  cancel("a");
  endRun(*First, StoredRunEnd::Done);
  BOOST_TEST(!isAcknowledged(*First));
  store();
  BOOST_TEST(isAcknowledged(*First));
}

// Guards against the acknowledgement of an end after which the task was started
// again elsewhere: the job does not tell, once it is cancelled.
BOOST_AUTO_TEST_CASE(AndAcknowledgesALaterEndOnlyWhenTheLeaseHasEnded) {
  auto First = start();
  cancel("a");
  store();
  m_AcknowledgedEnds.clear();
  endRun(*First, StoredRunEnd::Done);
  BOOST_REQUIRE(m_AcknowledgedEnds.size() == 1U);
  BOOST_TEST(m_AcknowledgedEnds.front().m_Superseded);
}

BOOST_AUTO_TEST_CASE(WhileTheFailureOfATaskIsBeingStored) {
  auto First = start();
  endRun(*First, StoredRunEnd::Failed);
  m_InFlight = m_Ledger->takeBatch();
  cancel("a");
  m_Ledger->appendSucceeded(m_Now);
  collect();
  store();
  advanceTime(5000);
  BOOST_TEST(m_Ledger->readyTasks() == 0U);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(ButNotOneThatHasFinished) {
  auto First = start();
  auto Second = start();
  endRun(*First, StoredRunEnd::Done);
  endRun(*Second, StoredRunEnd::Done);
  auto Call = cancel("a");
  store();
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(AndRefusesForAnUnknownJob) {
  auto Call = cancel("b");
  BOOST_TEST(isAnswered(Call, false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatIsTakenOver, StoredJobFixture)

BOOST_AUTO_TEST_CASE(StartsNothingWhileEarlierRunsMayBeAlive) {
  start();
  takeOver();
  BOOST_TEST(m_LoadOk);
  advanceTime(3500);
  BOOST_TEST(!start().has_value());
  passDoubt(1000);
  auto Again = start();
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->m_Number > 1U);
}

BOOST_AUTO_TEST_CASE(ContinuesRunsThatAreFound) {
  auto First = start();
  takeOver();
  m_Ledger->runReported(m_Now, "owner", First->task(), First->m_Number);
  collect();
  BOOST_TEST(m_StoppedRuns.empty());
  passDoubt(6000);
  auto Other = start();
  BOOST_REQUIRE(Other.has_value());
  BOOST_TEST((Other->task() != First->task()));
  endRun(*First, StoredRunEnd::Done);
  endRun(*Other, StoredRunEnd::Done);
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(RunsNothingAgainThatIsDone) {
  auto First = start();
  endRun(*First, StoredRunEnd::Done);
  store();
  takeOver();
  passDoubt(6000);
  auto Other = start();
  BOOST_REQUIRE(Other.has_value());
  BOOST_TEST((Other->task() != First->task()));
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(StoresAnEndThatTheEarlierKeeperDidNotStore) {
  auto First = start();
  endRun(*First, StoredRunEnd::Done);
  takeOver();
  endRun(*First, StoredRunEnd::Done, "another");
  BOOST_TEST(!isAcknowledged(*First));
  store();
  BOOST_TEST(isAcknowledged(*First));
  passDoubt(6000);
  auto Other = start();
  BOOST_REQUIRE(Other.has_value());
  BOOST_TEST((Other->task() != First->task()));
}

BOOST_AUTO_TEST_CASE(MarksALateEndOfARestartedTaskAsSuperseded) {
  auto First = start();
  takeOver();
  passDoubt(6000);
  for (auto Again = start(); Again; Again = start())
    if (Again->task() == First->task())
      BOOST_TEST(Again->m_Number > First->m_Number);
  endRun(*First, StoredRunEnd::Done, "another");
  BOOST_TEST(m_StoppedRuns.size() == 1U);
  store();
  BOOST_REQUIRE(isAcknowledged(*First));
  BOOST_TEST(m_AcknowledgedEnds.back().m_Superseded);
}

BOOST_AUTO_TEST_CASE(StartsNothingBesideARunForAnOlderFailure) {
  auto First = start("first-owner");
  start("second-owner");
  m_Ledger->ownerLost(m_Now, "first-owner");
  passDoubt(4000);
  auto Again = start("second-owner");
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->task() == First->task()));
  takeOver();
  endRun(*First, StoredRunEnd::Failed, "first-owner");
  store();
  advanceTime(100);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(StopsRunsOfFinishedJobs) {
  auto First = start();
  cancel("a");
  store();
  takeOver();
  m_StoppedRuns.clear();
  m_Ledger->runReported(m_Now, "owner", First->task(), First->m_Number);
  collect();
  BOOST_TEST(m_StoppedRuns.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DeletesAJob, StoredJobFixture)

BOOST_AUTO_TEST_CASE(AfterItsRetentionTime) {
  cancel("a");
  store();
  advanceTime(100000);
  BOOST_TEST(m_Ledger->state("a").has_value());
  advanceTime(50000);
  BOOST_TEST(!m_Ledger->state("a").has_value());
  store();
  BOOST_TEST(m_Log.empty());
}

// A refused append of a job that was deleted meanwhile ended the process when
// its progress was to be written again.
BOOST_AUTO_TEST_CASE(WhileItsProgressIsPartOfAnAppendThatIsRefused) {
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  cancel("a");
  m_InFlight = m_Ledger->takeBatch();
  endRun(*Task, StoredRunEnd::Done);
  m_Ledger->appendSucceeded(m_Now);
  m_InFlight = m_Ledger->takeBatch();
  advanceTime(150000);
  BOOST_TEST(!m_Ledger->state("a").has_value());
  m_Ledger->appendRefused();
  store();
  BOOST_TEST(!m_Log.contains("progress/a"));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a keeper that has been replaced without notice: it must not
// acknowledge ends of jobs that were stored since.
BOOST_FIXTURE_TEST_SUITE(TheEndOfARunOfAJobThatDoesNotExist, LedgerFixture)

BOOST_AUTO_TEST_CASE(IsAcknowledgedOnceTheLogHasAcceptedThat) {
  StoredTask Task;
  Task.m_Job = "unknown";
  Task.m_Number = 1;
  endRun(Task, StoredRunEnd::Done);
  endRun(Task, StoredRunEnd::Done);
  BOOST_TEST(!isAcknowledged(Task));
  store();
  BOOST_TEST(isAcknowledged(Task));
  BOOST_TEST(m_Log.empty());
}

BOOST_AUTO_TEST_CASE(DoesNotDeleteTheJobIfItIsSubmittedMeanwhile) {
  StoredTask Task;
  Task.m_Job = "a";
  Task.m_Number = 1;
  endRun(Task, StoredRunEnd::Failed);
  submit(job("a", 1));
  store();
  BOOST_TEST(m_Log.contains("job/a"));
  BOOST_TEST(m_Ledger->state("a").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CountsWaitingJobs, StoredJobFixture)

BOOST_AUTO_TEST_CASE(ThatHaveNotStarted) {
  BOOST_TEST(m_Ledger->pending().at("certify") == 1U);
  start();
  BOOST_TEST(m_Ledger->pending().empty());
}

// Guards against a job that is taken for running though no worker fits it.
BOOST_AUTO_TEST_CASE(WhoseTasksWereNotRunByTheirOwners) {
  auto First = start();
  auto Second = start();
  endRun(*First, StoredRunEnd::NotRun);
  BOOST_TEST(m_Ledger->pending().empty());
  endRun(*Second, StoredRunEnd::NotRun);
  BOOST_TEST(m_Ledger->pending().at("certify") == 1U);
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Queued));
}

BOOST_AUTO_TEST_CASE(ButNotThoseThatHaveRunBefore) {
  auto First = start();
  endRun(*First, StoredRunEnd::Over);
  advanceTime(1000);
  First = start();
  endRun(*First, StoredRunEnd::NotRun);
  BOOST_TEST(m_Ledger->pending().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARunThatItsOwnerHasNotReported, LedgerFixture)

BOOST_AUTO_TEST_CASE(IsQueriedOnlyAfterATime) {
  submit(job("a", 1));
  store();
  auto Task = start();
  BOOST_TEST(m_Ledger->ownersToQuery(m_Now).empty());
  advanceTime(JobLedgerParameters().m_UnreportedRunMs);
  BOOST_TEST(m_Ledger->ownersToQuery(m_Now) == std::set<std::string>{"owner"},
             boost::test_tools::per_element());
  m_Ledger->runReported(m_Now, "owner", Task->task(), Task->m_Number);
  BOOST_TEST(m_Ledger->ownersToQuery(m_Now).empty());
}

BOOST_AUTO_TEST_CASE(IsNotStartedAgainIfItsOwnerListsIt) {
  submit(job("a", 1));
  store();
  auto Task = start();
  advanceTime(5000);
  TimePoint QueriedAt = m_Now;
  advanceTime(10);
  m_Ledger->runReported(m_Now, "owner", Task->task(), Task->m_Number);
  m_Ledger->runsReported(m_Now, QueriedAt, "owner");
  advanceTime(20000);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(IsNotStartedAgainIfItWasOrderedAfterTheQuery) {
  submit(job("a", 1));
  store();
  TimePoint QueriedAt = m_Now;
  advanceTime(10);
  start();
  m_Ledger->runsReported(m_Now, QueriedAt, "owner");
  advanceTime(20000);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(IsNotStartedAgainBecauseOfTheListOfAnotherOwner) {
  submit(job("a", 1));
  store();
  start();
  advanceTime(5000);
  m_Ledger->runsReported(m_Now, m_Now, "other");
  advanceTime(20000);
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(IsStartedAgainAfterADoubtPeriodIfItIsNotListed) {
  submit(job("a", 1));
  store();
  auto First = start();
  advanceTime(5000);
  m_Ledger->runsReported(m_Now, m_Now, "owner");
  advanceTime(JobLedgerParameters().m_OwnerDoubtMs - 1);
  BOOST_TEST(!start().has_value());
  passDoubt(1);
  auto Second = start();
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->m_Number > First->m_Number);
}

BOOST_AUTO_TEST_SUITE_END()
