#ifndef AUBURNHUB_NODE_JOBREPLY_H
#define AUBURNHUB_NODE_JOBREPLY_H

#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Node/NodeMessages.h"

namespace auburnhub {

/// What a caller is told of its call about a job.
enum class JobReplyKind {
  Done,      ///< m_State tells how far the job is.
  Refused,   ///< Nothing was done and nothing will be; ask again later.
  Unknown,   ///< It may have been done: tasks may have run, or may yet.
  NoSuchJob, ///< No job of this id is known.
};

/// The answer to a caller's call about a job, whatever protocol it came by.
struct JobReply {
  JobReplyKind m_Kind = JobReplyKind::Unknown;
  StoredJobState m_State = StoredJobState::Queued;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0; ///< For Refused.
};

/// Returns the answer to the caller that waited for the end of a job.
JobReply replyOf(const JobResult &Result);

/// Returns the answer to a call about a stored job.
JobReply replyOf(LedgerCallKind Kind, LedgerCallOutcome Outcome,
                 StoredJobState State);

} // namespace auburnhub

#endif
