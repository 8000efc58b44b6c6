#include "auburnhub/Node/JobReply.h"

namespace auburnhub {
namespace {

/// Retry delay in milliseconds. A change of a partition's keeper or a short
/// outage of the log ends within this time.
constexpr double LogRetryAfterMs = 1000;

} // namespace

JobReply makeJobReply(const JobResult &Result) {
  JobReply Reply;
  Reply.m_Reason = Result.m_Reason;
  switch (Result.m_Outcome) {
  case JobOutcome::Completed:
    Reply.m_Kind = JobReplyKind::Done;
    Reply.m_State = StoredJobState::Completed;
    break;
  case JobOutcome::Failed:
    Reply.m_Kind = JobReplyKind::Done;
    Reply.m_State = StoredJobState::Failed;
    break;
  case JobOutcome::NotRun:
    Reply.m_Kind = JobReplyKind::Refused;
    Reply.m_RetryAfterMs = Result.m_RetryAfterMs;
    break;
  case JobOutcome::Abandoned:
    break;
  }
  return Reply;
}

JobReply makeJobReply(LedgerCallKind Kind, LedgerCallOutcome Outcome,
                      StoredJobState State) {
  JobReply Reply;
  switch (Outcome) {
  case LedgerCallOutcome::Done:
    Reply.m_Kind = JobReplyKind::Done;
    Reply.m_State =
        Kind == LedgerCallKind::Cancel ? StoredJobState::Cancelled : State;
    return Reply;
  case LedgerCallOutcome::NoSuchJob:
    Reply.m_Kind = JobReplyKind::NoSuchJob;
    return Reply;
  case LedgerCallOutcome::Unknown:
    Reply.m_Reason = JobReason::NotStored;
    return Reply;
  case LedgerCallOutcome::Refused:
  case LedgerCallOutcome::NotKeeper:
  case LedgerCallOutcome::NoKeeper:
    break;
  }
  Reply.m_Kind = JobReplyKind::Refused;
  Reply.m_Reason = JobReason::NotStored;
  Reply.m_RetryAfterMs = LogRetryAfterMs;
  return Reply;
}

} // namespace auburnhub
