#include "auburnhub/Node/JobService.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace auburnhub;

namespace {

/// Notes what it is asked for, and answers when a test says so.
struct ScriptedNode {
  std::uint64_t submit(JobRequest Job, JobRouter::Done Done) {
    m_Submitted.push_back(std::move(Job));
    m_Ended = std::move(Done);
    return 7;
  }
  void callerGone(std::uint64_t Call) { m_Gone = Call; }
  void cancel(const std::string &, const std::function<void(bool)> &Done) {
    Done(m_KnowsJob);
  }
  bool knows(const std::string &) const { return m_KnowsJob; }
  std::optional<bool> storesJobs() const { return m_StoresJobs; }
  void call(LedgerCallKind Kind, const std::string &, const JobRequest &,
            double, LedgerCalls::Done Done) {
    m_LedgerCalls.push_back(Kind);
    m_Told = std::move(Done);
  }
  std::uint64_t pending(const std::string &) const { return 3; }

  bool m_KnowsJob = false;
  std::optional<bool> m_StoresJobs = false;
  std::vector<JobRequest> m_Submitted;
  std::vector<LedgerCallKind> m_LedgerCalls;
  JobRouter::Done m_Ended;
  LedgerCalls::Done m_Told;
  std::uint64_t m_Gone = 0;
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
  JobService<ScriptedNode>::Done keep() {
    return [this](const JobReply &Reply) { m_Reply = Reply; };
  }
  void checkReply(JobReplyKind Kind, JobReason Reason = JobReason::None) {
    BOOST_REQUIRE(m_Reply.has_value());
    BOOST_TEST((m_Reply->m_Kind == Kind));
    BOOST_TEST((m_Reply->m_Reason == Reason));
    BOOST_TEST(m_Service.openCalls() == 0U);
  }

  ScriptedNode m_Node;
  JobService<ScriptedNode> m_Service{m_Node, {1000}};
  std::optional<JobReply> m_Reply;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AServiceOfJobs, Fixture)

BOOST_AUTO_TEST_SUITE(GivenAJobThatNeedNotBeStored)

BOOST_AUTO_TEST_CASE(AnswersWhenItHasEnded) {
  m_Service.submit(job(10), false, keep());
  BOOST_TEST(!m_Reply);
  BOOST_TEST(m_Service.openCalls() == 1U);
  m_Node.m_Ended({JobOutcome::Completed, JobReason::None, 0});
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Completed));
}

BOOST_AUTO_TEST_CASE(SaysWhenToComeBackIfNothingHasRun) {
  m_Service.submit(job(10), false, keep());
  m_Node.m_Ended({JobOutcome::NotRun, JobReason::NoRoom, 700});
  checkReply(JobReplyKind::Refused, JobReason::NoRoom);
  BOOST_TEST(m_Reply->m_RetryAfterMs == 700);
}

BOOST_AUTO_TEST_CASE(DoesNotSayThatNothingHasRunIfItMayHave) {
  m_Service.submit(job(10), false, keep());
  m_Node.m_Ended({JobOutcome::GivenUp, JobReason::OwnerLost, 0});
  checkReply(JobReplyKind::Unknown, JobReason::OwnerLost);
}

BOOST_AUTO_TEST_CASE(TellsTheNodeThatItsCallerIsGone) {
  m_Service.submit(job(10), false, keep())();
  BOOST_TEST(m_Node.m_Gone == 7U);
}

BOOST_AUTO_TEST_CASE(TakesOnlyWhatEndsBeforeAStop) {
  m_Service.beginStop();
  m_Service.submit(job(900), false, keep());
  checkReply(JobReplyKind::Refused, JobReason::Stopping);
  BOOST_TEST(m_Node.m_Submitted.empty());
  m_Service.submit(job(100), false, keep());
  BOOST_TEST(m_Node.m_Submitted.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAJobThatMustBeStored)

BOOST_AUTO_TEST_CASE(AnswersWhenItIsStored) {
  m_Service.submit(job(10), true, keep());
  BOOST_TEST(m_Node.m_Submitted.empty());
  m_Node.m_Told(LedgerCallOutcome::Done, StoredJobState::Queued);
  checkReply(JobReplyKind::Done);
}

BOOST_AUTO_TEST_CASE(RefusesItIfTheLogHasNot) {
  for (LedgerCallOutcome Outcome :
       {LedgerCallOutcome::Refused, LedgerCallOutcome::NotKeeper,
        LedgerCallOutcome::NoKeeper}) {
    m_Service.submit(job(10), true, keep());
    m_Node.m_Told(Outcome, StoredJobState::Queued);
    checkReply(JobReplyKind::Refused, JobReason::NotStored);
    BOOST_TEST(m_Reply->m_RetryAfterMs > 0);
  }
}

BOOST_AUTO_TEST_CASE(SaysNothingOfWhatTheLogHasNotAnswered) {
  m_Service.submit(job(10), true, keep());
  m_Node.m_Told(LedgerCallOutcome::Unknown, StoredJobState::Queued);
  checkReply(JobReplyKind::Unknown, JobReason::NotStored);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AskedForAJob)

BOOST_AUTO_TEST_CASE(KnowsThoseThatRun) {
  m_Node.m_KnowsJob = true;
  m_Service.state("a", 100, keep());
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Running));
  m_Service.cancel("a", 100, keep());
  BOOST_TEST((m_Reply->m_State == StoredJobState::Cancelled));
  BOOST_TEST(m_Node.m_LedgerCalls.empty());
}

BOOST_AUTO_TEST_CASE(CallsNoneUnknownBeforeItKnowsWhetherJobsAreStored) {
  m_Node.m_StoresJobs.reset();
  m_Service.state("a", 100, keep());
  checkReply(JobReplyKind::Refused, JobReason::NotStored);
  m_Service.cancel("a", 100, keep());
  checkReply(JobReplyKind::Refused, JobReason::NotStored);
  BOOST_TEST(m_Reply->m_RetryAfterMs > 0);
}

BOOST_AUTO_TEST_CASE(AsksItsKeeperIfJobsAreStored) {
  m_Service.state("a", 100, keep());
  checkReply(JobReplyKind::NoSuchJob);
  m_Node.m_StoresJobs = true;
  m_Service.state("a", 100, keep());
  m_Node.m_Told(LedgerCallOutcome::Done, StoredJobState::Failed);
  checkReply(JobReplyKind::Done);
  BOOST_TEST((m_Reply->m_State == StoredJobState::Failed));
  m_Service.cancel("a", 100, keep());
  m_Node.m_Told(LedgerCallOutcome::NoSuchJob, StoredJobState::Queued);
  checkReply(JobReplyKind::NoSuchJob);
  BOOST_TEST((m_Node.m_LedgerCalls ==
              std::vector{LedgerCallKind::State, LedgerCallKind::Cancel}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
