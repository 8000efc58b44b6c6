#ifndef AUBURNHUB_DISPATCH_SUBMISSION_H
#define AUBURNHUB_DISPATCH_SUBMISSION_H

#include "auburnhub/Base/StateChart.h"
#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Policy/Types.h"
#include "auburnhub/Wire/LinkHub.h"

#include <optional>
#include <string>
#include <vector>

namespace auburnhub {

/// Someone who waits for the answer to a submission.
struct Waiter {
  PeerId m_Peer = 0;
  CallNumber m_Call = 0;
};

/// A call under an id whose claim is not decided yet, by another team or with
/// another body than the one that claims.
struct DeferredSubmit {
  PeerId m_From = 0;
  Submit m_Message;
  MonotonicTime m_ArrivedAt;
};

/// One task of a submission that this dispatcher owns.
struct SubmissionTask {
  StateChart::StateId m_State = 0; ///< In the chart task-life.
  TaskKey m_Key = 0;
  int m_Attempt = 0;
  std::string m_Endpoint; ///< Where the latest attempt ran.
  MonotonicTime m_PlacedAt;
};

/// A submission that this dispatcher owns, from its arrival until its answer
/// is forgotten.
struct Submission {
  SubmissionId m_Id;
  std::string m_Team;
  std::string m_Digest;
  std::string m_Service;
  std::string m_Kind;
  bool m_Job = false;
  /// Attempts may be repeated after one that may have started.
  bool m_Repeatable = false;
  /// Nobody else can have started it: a ticket, or a claim that was won for
  /// work that is never started without a claim.
  bool m_Exclusive = true;
  bool m_Claiming = false; ///< Waits for the outcome of its claim.
  MonotonicTime m_ArrivedAt;
  MonotonicTime m_Deadline;
  TimerService::Subscription m_Timeout = 0;
  std::vector<Bytes> m_Bodies;
  std::vector<SubmissionTask> m_Tasks;
  std::vector<Bytes> m_Results;
  std::size_t m_TasksLeft = 0;
  /// Attempts that may have started; zero proves that nothing ran.
  std::size_t m_MayHaveStarted = 0;
  std::size_t m_InProgress = 0; ///< Attempts that have not ended.
  /// The caller's timeout has passed; attempts in progress may yet tell more.
  bool m_Settling = false;
  std::vector<Waiter> m_Waiters;
  std::vector<DeferredSubmit> m_Deferred;
  std::optional<Answer> m_Answer; ///< Set once, when it is over.

  bool isOver() const { return m_Answer.has_value(); }

  /// Returns whether the attempts in progress may yet prove that nothing ran.
  bool mayTurnOutNotRun() const {
    return m_InProgress != 0 && m_InProgress == m_MayHaveStarted &&
           m_Exclusive && !m_Claiming;
  }

  /// Returns the outcome of ending it now without success.
  Outcome outcomeIfEnded() const {
    if (m_MayHaveStarted == 0 && m_Exclusive && !m_Claiming)
      return Outcome::NotRun;
    return Outcome::Unknown;
  }
};

} // namespace auburnhub

#endif
