#ifndef AUBURNHUB_JOBS_JOBPARAMETERS_H
#define AUBURNHUB_JOBS_JOBPARAMETERS_H

#include "auburnhub/Policy/PolicyParameters.h"

#include <limits>

namespace auburnhub {

/// Parameters of the placement of jobs. Times are in milliseconds.
struct JobParameters {
  /// A job of which no task could start is refused after this share of its
  /// latency objective; beyond that the caller is better served elsewhere.
  double m_WaitShare = 0.25;
  /// Latency of the path between caller and owner; subtracted from the time for
  /// which a job may wait.
  double m_PathLatencyMs = 4;
  /// A stored task is returned to its ledger after this time without free
  /// capacity here. Spans several updates of the owners' load, after which
  /// another owner may have free capacity.
  double m_StoredWaitMs = 200;
  /// The same for a stored task that runs alone. It waits for such tasks before
  /// it rather than for free capacity, which other owners would not offer
  /// either.
  double m_IsolatedWaitMs = 5000;
  /// Nothing is started if the workers' descriptions are older than this, and
  /// no read of them has failed within m_MaxWorkerAgeAfterFailureMs. See
  /// WorkerListBounds.
  double m_MaxWorkerAgeMs = 1700;
  double m_MaxWorkerAgeAfterFailureMs = 2700;
  /// Nothing is started if the list of evacuated data centres is older than
  /// this. Follows from the platform's contract.
  double m_MaxEvacuationAgeMs = std::numeric_limits<double>::infinity();
  /// The workers of a data centre that is taken back become available within
  /// this time. Spans several reports of the owners' load.
  double m_EvacuationRampMs = 1500;
  /// Stored tasks have no caller's deadline; they are ranked as if their
  /// deadline were this long after their submission to the scheduler.
  double m_StoredDeadlineMs = 3600000;
  /// A result is late but still useful up to this multiple of the latency
  /// objective.
  double m_LateFactor = 3;
  /// A run is stalled if it has taken this multiple of its expected time and
  /// its progress is below m_StalledPercent.
  double m_StalledFactor = 3;
  /// A run is also stalled if its progress has not increased for this multiple
  /// of its expected time; even a worker that is ten times slower than expected
  /// gains ten percent in that time.
  double m_NoProgressFactor = 1;
  /// The time without progress must also reach this multiple of the run's mean
  /// time per percent, because a task may be much longer than estimated.
  double m_NoProgressPercents = 5;
  /// A task that has failed or stalled on this many workers is moved again only
  /// if its progress does not increase for m_MovedTaskStalledMs, because the
  /// estimate may be wrong rather than the workers slow. The longest expected
  /// task takes an hour and a half; m_MovedTaskStalledMs is about one percent
  /// of that time.
  std::size_t m_MaxMoves = 2;
  double m_MovedTaskStalledMs = 60000;
  double m_MinStalledMs = 150; ///< Shorter runs are never stalled.
  double m_StalledPercent = 8; ///< See m_StalledFactor.
  /// Minimum weight of one run in a worker's learned speed; the first runs of a
  /// worker have more weight.
  double m_SpeedWeight = 0.12;
  /// Minimum weight of one run in the learned run time of a queue; the first
  /// runs of a queue have more weight.
  double m_RunTimeWeight = 0.02;
  /// Bounds of a learned speed, relative to the service's mean.
  double m_MinSpeed = 0.05;
  double m_MaxSpeed = 4;
  /// Speed of a cold worker relative to its own, until it is learned.
  double m_ColdSpeed = 0.5;
  /// Factor on the expected time of a run on a worker that is not near its
  /// data.
  double m_RemoteDataFactor = 3;
  /// Maximum share of an owner's workers of a service on which tasks run alone
  /// after they were lost with a worker; rounded up.
  double m_MaxIsolatedShare = 0.25;
  /// A worker that refused a run, for example for lack of free capacity, gets
  /// no new runs for this time.
  double m_RefusalPauseMs = 25;
  /// A run whose worker now obeys another owner may be active for this time. At
  /// least WorkerSessionSettings::maxLeaseMs().
  double m_AbandonedRunMs = 1150;
  /// Maximum number of unfinished jobs at a node; bounds its memory.
  std::size_t m_MaxJobs = 2000;
  /// Delay after which a refused caller may retry.
  double m_RetryAfterMs = 1000;
  /// A worker is ejected if the probability that another one would have failed
  /// the same runs since its last success is at most this.
  double m_MaxStreakProbability = 0.002;
  /// Health of workers: consecutive failures and ejection times.
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
