#ifndef AUBURNHUB_JOBS_WORKERLISTBOUNDS_H
#define AUBURNHUB_JOBS_WORKERLISTBOUNDS_H

#include "absl/status/statusor.h"

namespace auburnhub {

/// Times of the contract with the operators of the workers, in milliseconds.
struct ContractTimes {
  /// No task starts on a worker later than this after the log has acknowledged
  /// that the worker is leaving.
  double m_LeavingNoticeMs = 2000;
  /// The contract binds a node again when this time has passed since the end
  /// of an outage of the log or of the path to it.
  double m_SettlingMs = 3000;
};

/// The longest times that pass on the way from the log to a worker, in
/// milliseconds. The defaults are those of the product's parts.
struct WorkerListDelays {
  double m_ReadIntervalMs = 700; ///< Between the sending of two reads.
  double m_ReadRetryMs = 300;    ///< From a failed read to the next one.
  double m_MaxAnswerMs = 1300;   ///< Longest wait for an answer of the log.
  /// A log that is a hundred times slower than usual answers within this time.
  double m_MinAnswerMs = 500;
  /// From the first to the last attempt of a start order; see
  /// WorkerSessionSettings::m_OrderTimeoutMs.
  double m_OrderMs = 120;
  /// Queues of the process and the network between a decision and the arrival
  /// of its order at a worker, on a slow machine.
  double m_QueueMs = 180;

  double marginMs() const { return m_OrderMs + m_QueueMs; }
};

/// For how long tasks are started by a list of workers, and how it is read, in
/// milliseconds. Derived from the contract's times, so that it is kept by each
/// deployment.
///
/// An answered read shows which workers were leaving when it was sent, not when
/// it was answered. A task that starts m_MaxAgeMs after that, plus the margin,
/// starts within the notice. A read that failed shows that there was an outage
/// when it was sent or later: m_MaxAgeAfterFailureMs after that, plus the
/// margin, the contract does not bind yet.
///
/// Load pattern: workers that leave while the log is slow but answers.
struct WorkerListBounds {
  double m_ReadIntervalMs = 0;
  double m_ReadRetryMs = 0;
  double m_ReadTimeoutMs = 0;
  double m_MaxAgeMs = 0;             ///< Since an answered read was sent.
  double m_MaxAgeAfterFailureMs = 0; ///< Since a failed read was sent.
};

/// Derives the bounds such that, if each read is answered or fails within
/// m_ReadTimeoutMs, tasks are started without a gap. Fails with BadSettings if
/// the log could not be given m_MinAnswerMs for an answer; the detail says
/// which time of the contract is too short and the least that can be kept.
absl::StatusOr<WorkerListBounds>
deriveWorkerListBounds(const ContractTimes &Contract,
                       const WorkerListDelays &Delays = {});

} // namespace auburnhub

#endif
