#include "auburnhub/Node/JobService.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace auburnhub;

namespace {

/// A node that records calls; tests answer them through the stored callbacks.
struct ScriptedNode {
  std::uint64_t submit(JobRequest Job, JobRouter::Done Done,
                       const JobRouter::IsConnected &) {
    m_Submitted.push_back(std::move(Job));
    m_JobDone = std::move(Done);
    return 7;
  }
  void callerDisconnected(std::uint64_t Call) { m_DisconnectedCall = Call; }
  void cancel(const std::string &,
              const std::function<void(CancelOutcome)> &Done) {
    Done(m_KnowsJob ? CancelOutcome::Cancelled : m_OutcomeOfUnknownJob);
  }
  bool knows(const std::string &) const { return m_KnowsJob; }
  void askWhetherJobsAreStored(double, const StoredJobsQueries::Done &Answer) {
    Answer(m_StoresJobs);
  }
  void call(LedgerCallKind Kind, const std::string &, const JobRequest &,
            double, LedgerCalls::Done Done) {
    m_LedgerCalls.push_back(Kind);
    m_CallDone = std::move(Done);
  }
  std::uint64_t pending(const std::string &) const { return 3; }

  bool m_KnowsJob = false;
  CancelOutcome m_OutcomeOfUnknownJob = CancelOutcome::NoSuchJob;
  std::optional<bool> m_StoresJobs = false;
  std::vector<JobRequest> m_Submitted;
  std::vector<LedgerCallKind> m_LedgerCalls;
  JobRouter::Done m_JobDone;
  LedgerCalls::Done m_CallDone;
  std::uint64_t m_DisconnectedCall = 0;
};

struct Fixture {
  JobRequest job(double EstimatedMs) const {
    JobRequest Job;
    Job.m_Id = "a";
    Job.m_Steps.resize(1);
    Job.m_Steps[0].m_Count = 1;
    Job.m_Steps[0].m_EstimatedMs = EstimatedMs;
    return Job;
  }
  JobService<ScriptedNode>::Done recordReply() {
    return [this](const JobReply &Reply) { m_Reply = Reply; };
  }
  std::function<bool()> callerState() {
    return [this] { return m_CallerIsConnected; };
  }
  void checkReply(JobReplyKind Kind, JobReason Reason = JobReason::None) {
    BOOST_REQUIRE(m_Reply.has_value());
    BOOST_TEST((m_Reply->m_Kind == Kind));
    BOOST_TEST((m_Reply->m_Reason == Reason));
    BOOST_TEST(m_Service.openCalls() == 0U);
  }

  bool m_CallerIsConnected = true;
  ScriptedNode m_Node;
  JobService<ScriptedNode> m_Service{m_Node, {1000}};
  std::optional<JobReply> m_Reply;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AServiceOfJobs, Fixture)

BOOST_AUTO_TEST_SUITE(GivenAJobThatNeedNotBeStored)

BOOST_AUTO_TEST_CASE(AnswersWhenItHasFinished) {
  m_Service.submit(job(10), false, recordReply(), callerState());
  BOOST_TEST(!m_Reply);
  BOOST_TEST(m_Service.openCalls() == 1U);
  m_Node.m_JobDone({JobOutcome::Completed, JobReason::None, 0});
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(ReportsTheRetryDelayIfNothingHasRun) {
  m_Service.submit(job(10), false, recordReply(), callerState());
  m_Node.m_JobDone({JobOutcome::NotRun, JobReason::NoRoom, 700});
  checkReply(JobReplyKind::Refused, JobReason::NoRoom);
  BOOST_TEST(m_Reply->m_RetryAfterMs == 700);
}

BOOST_AUTO_TEST_CASE(ReportsUnknownIfTasksMayHaveRun) {
  m_Service.submit(job(10), false, recordReply(), callerState());
  m_Node.m_JobDone({JobOutcome::Abandoned, JobReason::OwnerLost, 0});
  checkReply(JobReplyKind::Unknown, JobReason::OwnerLost);
}

BOOST_AUTO_TEST_CASE(NotifiesTheNodeThatItsCallerDisconnected) {
  m_Service.submit(job(10), false, recordReply(), callerState())();
  BOOST_TEST(m_Node.m_DisconnectedCall == 7U);
}

// Guards against a stop that waits for callers who have left.
BOOST_AUTO_TEST_CASE(HasNoOpenCallOnceItsCallerDisconnected) {
  m_Service.submit(job(10), false, recordReply(), callerState())();
  BOOST_TEST(m_Service.openCalls() == 0U);
}

BOOST_AUTO_TEST_CASE(RunsNoneWhoseCallerLeftBeforeItWasRead) {
  m_CallerIsConnected = false;
  m_Service.submit(job(10), false, recordReply(), callerState());
  checkReply(JobReplyKind::Refused, JobReason::Cancelled);
  BOOST_TEST(m_Node.m_Submitted.empty());
}

BOOST_AUTO_TEST_CASE(AcceptsOnlyJobsThatFinishBeforeAStop) {
  m_Service.beginStop();
  m_Service.submit(job(900), false, recordReply(), callerState());
  checkReply(JobReplyKind::Refused, JobReason::Stopping);
  BOOST_TEST(m_Node.m_Submitted.empty());
  m_Service.submit(job(100), false, recordReply(), callerState());
  BOOST_TEST(m_Node.m_Submitted.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAJobThatMustBeStored)

BOOST_AUTO_TEST_CASE(AnswersWhenItIsStored) {
  m_Service.submit(job(10), true, recordReply(), callerState());
  BOOST_TEST(m_Node.m_Submitted.empty());
  m_Node.m_CallDone(LedgerCallOutcome::Done, StoredJobState::Queued);
  checkReply(JobReplyKind::Done);
}

BOOST_AUTO_TEST_CASE(RefusesItIfItWasNotStored) {
  for (LedgerCallOutcome Outcome :
       {LedgerCallOutcome::Refused, LedgerCallOutcome::NotKeeper,
        LedgerCallOutcome::NoKeeper}) {
    m_Service.submit(job(10), true, recordReply(), callerState());
    m_Node.m_CallDone(Outcome, StoredJobState::Queued);
    checkReply(JobReplyKind::Refused, JobReason::NotStored);
    BOOST_TEST(m_Reply->m_RetryAfterMs > 0);
  }
}

BOOST_AUTO_TEST_CASE(ReportsUnknownIfTheLogHasNotAnswered) {
  m_Service.submit(job(10), true, recordReply(), callerState());
  m_Node.m_CallDone(LedgerCallOutcome::Unknown, StoredJobState::Queued);
  checkReply(JobReplyKind::Unknown, JobReason::NotStored);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(QueriedForAJob)

BOOST_AUTO_TEST_CASE(ReportsAJobThatRunsAtTheNode) {
  m_Node.m_KnowsJob = true;
  m_Service.state("a", 100, recordReply());
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Running));
  m_Service.cancel("a", 100, recordReply());
  BOOST_TEST((m_Reply->m_State == StoredJobState::Cancelled));
  BOOST_TEST(m_Node.m_LedgerCalls.empty());
}

BOOST_AUTO_TEST_CASE(ReportsNoJobAsMissingBeforeItKnowsWhetherJobsAreStored) {
  m_Node.m_StoresJobs.reset();
  m_Service.state("a", 100, recordReply());
  checkReply(JobReplyKind::Refused, JobReason::NotStored);
  m_Service.cancel("a", 100, recordReply());
  checkReply(JobReplyKind::Refused, JobReason::NotStored);
  BOOST_TEST(m_Reply->m_RetryAfterMs > 0);
}

// Guards against "no such job" for one that runs behind a cut.
BOOST_AUTO_TEST_CASE(DoesNotReportAJobAsMissingThatMayRunElsewhere) {
  m_Node.m_OutcomeOfUnknownJob = CancelOutcome::Undecided;
  m_Service.cancel("a", 100, recordReply());
  checkReply(JobReplyKind::Unknown, JobReason::OwnerLost);
  m_Node.m_StoresJobs = true;
  m_Service.cancel("a", 100, recordReply());
  m_Node.m_CallDone(LedgerCallOutcome::NoSuchJob, StoredJobState::Queued);
  checkReply(JobReplyKind::Unknown, JobReason::OwnerLost);
  m_Service.cancel("a", 100, recordReply());
  m_Node.m_CallDone(LedgerCallOutcome::Done, StoredJobState::Queued);
  checkReply(JobReplyKind::Done);
}

BOOST_AUTO_TEST_CASE(QueriesItsKeeperIfJobsAreStored) {
  m_Service.state("a", 100, recordReply());
  checkReply(JobReplyKind::NoSuchJob);
  m_Node.m_StoresJobs = true;
  m_Service.state("a", 100, recordReply());
  m_Node.m_CallDone(LedgerCallOutcome::Done, StoredJobState::Failed);
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Failed));
  m_Service.cancel("a", 100, recordReply());
  m_Node.m_CallDone(LedgerCallOutcome::NoSuchJob, StoredJobState::Queued);
  checkReply(JobReplyKind::NoSuchJob);
  BOOST_TEST((m_Node.m_LedgerCalls ==
              std::vector{LedgerCallKind::State, LedgerCallKind::Cancel}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
