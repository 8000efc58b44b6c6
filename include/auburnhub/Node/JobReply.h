#ifndef AUBURNHUB_NODE_JOBREPLY_H
#define AUBURNHUB_NODE_JOBREPLY_H

#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Node/NodeMessages.h"

namespace auburnhub {

/// The kind of reply to a caller's call about a job.
enum class JobReplyKind {
  Done,    ///< m_State is the state of the job.
  Refused, ///< The call had no effect and will have none; retry later.
  Unknown, ///< The call may have had an effect: tasks may have run, or may yet.
  NoSuchJob, ///< No job of this id is known.
};

/// The answer to a caller's call about a job, independent of the protocol.
struct JobReply {
  JobReplyKind m_Kind = JobReplyKind::Unknown;
  StoredJobState m_State = StoredJobState::Queued;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0; ///< Only for Refused; 0 otherwise.
};

/// Returns the answer to a caller that waited for a job to finish.
JobReply makeJobReply(const JobResult &Result);

/// Returns the answer to a call about a stored job.
JobReply makeJobReply(LedgerCallKind Kind, LedgerCallOutcome Outcome,
                      StoredJobState State);

} // namespace auburnhub

#endif
