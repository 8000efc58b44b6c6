#ifndef AUBURNHUB_JOBS_FAILUREATTRIBUTION_H
#define AUBURNHUB_JOBS_FAILUREATTRIBUTION_H

#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace auburnhub {

/// How the recent runs of one queue have ended: weights of the runs, which
/// decrease with their age.
struct RunOutcomes {
  double m_Done = 0;
  double m_Failed = 0;

  RunOutcomes &operator+=(const RunOutcomes &Other) {
    m_Done += Other.m_Done;
    m_Failed += Other.m_Failed;
    return *this;
  }
  template <typename Visitor> void fields(Visitor &V) {
    V("done", m_Done);
    V("failed", m_Failed);
  }
};

/// Outcomes by queue.
using QueueOutcomes = std::map<std::string, RunOutcomes>;

/// Tells how much the failed runs of a worker speak against the worker rather
/// than against the tasks: how probable it is that another worker would have
/// failed all runs that this one has failed since its last success. Runs of the
/// same queue on other workers show that, those of other owners included.
///
/// Load pattern: jobs whose tasks fail on each worker, beside jobs that
/// succeed, while some workers fail all that they start. Where all workers fail
/// the runs of a queue, none of them is to blame; a caller cannot take workers
/// out of service by sending such jobs.
class FailureAttribution {
public:
  void runDone(TimePoint Now, const std::string &Queue,
               const std::string &Worker);
  /// A run has failed or stalled. IsRepeated: the task has failed before, which
  /// says something about the queue but nothing about this worker.
  void runFailed(TimePoint Now, const std::string &Queue,
                 const std::string &Worker, bool IsRepeated);
  /// The worker has refused a run because it is unhealthy.
  void runRefused(TimePoint Now, const std::string &Worker);
  void eraseWorker(const std::string &Worker) { m_Workers.erase(Worker); }

  /// Updates what another owner has stated with failingQueues().
  void setPeer(const std::string &Owner, QueueOutcomes Outcomes) {
    m_Peers[Owner] = std::move(Outcomes);
  }
  void erasePeer(const std::string &Owner) { m_Peers.erase(Owner); }
  bool hasPeers() const { return !m_Peers.empty(); }

  /// Returns how many runs a worker has failed or refused since its last
  /// success.
  std::uint32_t streakLength(const std::string &Worker) const;
  /// Returns the probability that another worker would have failed the runs
  /// that this one has failed since its last success; 1 if there are none.
  double streakProbability(TimePoint Now, const std::string &Worker) const;
  /// Returns the outcomes of queues of which a notable share of runs fails, for
  /// other owners.
  QueueOutcomes failingQueues(TimePoint Now) const;

  /// Time in which the weight of a run halves.
  static constexpr double HalfLifeMs = 10000;

private:
  class DecayingOutcomes {
  public:
    void add(TimePoint Now, const RunOutcomes &Added);
    RunOutcomes at(TimePoint Now) const;

  private:
    RunOutcomes m_Outcomes; ///< As of m_At.
    TimePoint m_At;
  };
  struct WorkerRuns {
    std::map<std::string, DecayingOutcomes> m_ByQueue;
    /// Failures since the last success, by queue.
    std::map<std::string, std::uint32_t> m_Streak;
    std::uint32_t m_Refusals = 0; ///< The same of refusals.
    TimePoint m_FailedAt;         ///< Last failure or refusal.
  };

  /// Adds a failure to the streak of a worker.
  WorkerRuns &extendStreak(TimePoint Now, const std::string &Worker);
  /// Returns the outcomes of a queue on the workers of this owner other than
  /// Excluded: on those that do not fail all that they start, if one of them
  /// has succeeded, else on all.
  RunOutcomes outcomesHere(TimePoint Now, const std::string &Queue,
                           const WorkerRuns *Excluded) const;
  /// Returns the outcomes by which a failure of a worker is judged.
  RunOutcomes othersOutcomes(TimePoint Now, const std::string &Queue,
                             const WorkerRuns &Judged) const;

  std::map<std::string, WorkerRuns> m_Workers;
  std::map<std::string, DecayingOutcomes> m_Total; ///< By queue.
  std::map<std::string, QueueOutcomes> m_Peers;    ///< By owner.
};

} // namespace auburnhub

#endif
