#ifndef AUBURNHUB_JOBS_JOBPARAMETERS_H
#define AUBURNHUB_JOBS_JOBPARAMETERS_H

#include "auburnhub/Policy/PolicyParameters.h"

namespace auburnhub {

/// The parameters of the placement of jobs. Times are milliseconds.
struct JobParameters {
  /// A job that no worker could take yet is refused after this share of its
  /// latency objective: later the caller would be better served elsewhere.
  double m_WaitShare = 0.25;
  /// Taken off the waiting time for the way between caller and owner.
  double m_PathMs = 4;
  /// A stored task goes back to its ledger after this time without room here:
  /// some updates of the owners' load, after which another may have room.
  double m_StoredWaitMs = 200;
  /// Stands in for a caller's deadline where a stored task is ranked.
  double m_StoredTaskMs = 3600000;
  /// A result is late, but of use, up to this many times the objective.
  double m_LateFactor = 3;
  /// A run that has used this many times its expected time and has made less
  /// progress than m_StalledPercent counts as stalled.
  double m_StalledFactor = 3;
  /// So does one whose progress has not risen for this many times its expected
  /// time: even a worker ten times slower shows ten percent more by then.
  double m_StandstillFactor = 1;
  /// Nor for so many times as long as each percent has taken it so far: a task
  /// may be much longer than was guessed.
  double m_StandstillPercents = 5;
  /// A task that has failed or stalled on so many workers is only moved on if
  /// its progress does not rise for m_PatientStalledMs: the fault may be the
  /// guess, not the worker. A percent of the longest task that is expected, an
  /// hour and a half.
  std::size_t m_MaxMoves = 2;
  double m_PatientStalledMs = 60000;
  double m_MinStalledMs = 150; ///< Shorter runs are not judged.
  double m_StalledPercent = 8;
  /// Weight of one run in a worker's learned speed, once it has had enough.
  double m_SpeedWeight = 0.12;
  /// Weight of one run in the learned run time of a queue.
  double m_RunTimeWeight = 0.02;
  /// Bounds of a learned speed, relative to the service's mean.
  double m_MinSpeed = 0.05;
  double m_MaxSpeed = 4;
  /// A run away from its data is expected to take this many times as long.
  double m_FarFactor = 3;
  /// A worker that refused for want of room gets nothing new for so long.
  double m_RefusalPauseMs = 25;
  /// Jobs that may wait at a node, a bound on its memory.
  std::size_t m_MaxJobs = 2000;
  /// When a caller that was refused may ask again.
  double m_RetryAfterMs = 1000;
  /// Health of a worker: failures in a row, ejection times.
  PolicyParameters m_Health = defaultHealth();

  static PolicyParameters defaultHealth() {
    PolicyParameters Result;
    Result.m_EjectAfterFailures = 3;
    Result.m_MinEjectionMs = 1000;
    Result.m_MaxEjectionMs = 8000;
    Result.m_MaxEjectedShare = 0.5;
    return Result;
  }
};

} // namespace auburnhub

#endif
