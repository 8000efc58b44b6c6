#ifndef AUBURNHUB_NODE_SHARDHOST_H
#define AUBURNHUB_NODE_SHARDHOST_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Jobs/WorkerSession.h"
#include "auburnhub/Node/NodeMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhub {

/// A worker that a ShardHost is to use, with its shard and fencing token.
struct WorkerAssignment {
  WorkerSpec m_Spec;
  ShardId m_Shard;
  FencingToken m_Token = 0;
};

struct ShardHostEvents {
  std::function<void(const JobFinished &)> m_JobFinished;
  std::function<void(const StoredTaskEnded &)> m_StoredTaskEnded;
  /// A worker lists the end of a run that was not ordered by this host. Returns
  /// whether the worker must retain the end until acknowledge().
  std::function<bool(const std::string &Worker, const TaskRef &,
                     std::uint32_t Number, RunEnd)>
      m_StrayEnd;
  /// Another owner uses a higher token for the shard. Called from the event
  /// loop, never from within a function of ShardHost.
  std::function<void(const ShardId &)> m_Fenced;
  /// The load may have changed, or a worker that is being released may have
  /// become idle.
  std::function<void()> m_Changed;
};

/// Runs jobs on the workers of the shards that this node owns. Passes orders
/// and results between a JobScheduler and one WorkerSession per worker.
template <WorkerTransport Transport> class ShardHost {
public:
  ShardHost(EventLoop &Loop, Transport &Orders, StateChart Chart,
            const WorkerSessionSettings &Settings,
            const JobParameters &Parameters, MetricsRegistry &Metrics,
            ShardHostEvents Events);

  /// Replaces the set of assigned workers. A worker that is no longer assigned
  /// gets no new runs and is dropped once it is idle.
  void reconcile(const std::map<std::string, WorkerAssignment> &Assignments);

  /// Drops all workers of a shard immediately, because another owner has them.
  /// Their runs are abandoned.
  void dropShard(const ShardId &Shard);

  /// See JobScheduler::refreshWorkers().
  void refreshWorkers(TimePoint ReadAt) {
    m_Scheduler.refreshWorkers(EventLoop::now(), ReadAt);
    scheduleEffects();
  }
  /// See JobScheduler::workersUnreadable().
  void workersUnreadable(TimePoint TriedAt) {
    m_Scheduler.workersUnreadable(EventLoop::now(), TriedAt);
    scheduleEffects();
  }

  /// See JobScheduler::setEvacuated().
  void setEvacuated(const std::set<std::string> &DataCentres) {
    m_Scheduler.setEvacuated(EventLoop::now(), DataCentres);
    scheduleEffects();
  }
  /// See JobScheduler::refreshEvacuations().
  void refreshEvacuations(TimePoint ReadAt) {
    m_Scheduler.refreshEvacuations(EventLoop::now(), ReadAt);
    scheduleEffects();
  }
  /// See FailureAttribution.
  void setPeerOutcomes(const std::string &Owner, QueueOutcomes Outcomes) {
    if (!hasWorkers())
      return;
    bool MayDecide = !Outcomes.empty();
    m_Scheduler.setPeerOutcomes(EventLoop::now(), Owner, std::move(Outcomes));
    if (MayDecide)
      scheduleEffects();
  }
  void erasePeer(const std::string &Owner) { m_Scheduler.erasePeer(Owner); }
  QueueOutcomes failingQueues() const {
    return m_Scheduler.failingQueues(EventLoop::now());
  }
  std::size_t evacuatedRuns() const { return m_Scheduler.evacuatedRuns(); }

  /// Runs of the job may be active until RunUntil at the latest, whatever
  /// happens to their worker; see extend().
  void submit(JobRequest Request, TimePoint RunUntil);
  /// Lets runs of the job be active until a later time.
  void extend(const std::string &Job, TimePoint RunUntil);
  void submit(const StoredTask &Task, RunLimit RunUntil);
  /// Returns whether the job was known.
  bool cancel(const std::string &Job);
  void cancel(const TaskRef &StoredTask);
  /// Acknowledges the end of a run to the worker, which may then drop it.
  void acknowledge(const std::string &Worker,
                   const StoredEndConfirmed &Confirmed);
  bool knows(const std::string &Job) const { return m_Scheduler.knows(Job); }
  bool hasEarlierRuns(const std::string &Job) const {
    return m_Scheduler.hasEarlierRuns(EventLoop::now(), Job);
  }

  /// Returns the workers of a shard that have active runs.
  std::vector<std::string> busyWorkers(const ShardId &Shard) const;
  /// Returns whether the worker is reachable and has answered at Since or
  /// later.
  bool hasAnsweredSince(const std::string &Worker, TimePoint Since) const;
  std::size_t freeSlots() const;
  std::int64_t largestFreeCpu() const;
  std::size_t waitingTasks() const { return m_Scheduler.waitingTasks(); }
  std::size_t jobs() const { return m_Scheduler.jobs(); }
  bool hasWorkers() const { return !m_OwnedWorkers.empty(); }

private:
  using Session = WorkerSession<Transport>;
  struct OwnedWorker {
    WorkerAssignment m_Assignment;
    bool m_Assigned = true;
    std::unique_ptr<Session> m_Session;
  };

  void openSession(const WorkerAssignment &Assignment);
  WorkerSessionEvents sessionEvents(const std::string &Worker,
                                    const ShardId &Shard);
  void setReachable(const std::string &Worker, bool Reachable);
  void dropWorker(const std::string &Worker);
  void scheduleEffects();
  void applyEffects();
  void execute(const StartRun &Order);
  void execute(const StopRun &Order);
  void execute(const JobFinished &Finished);
  void reportRefusal(const JobFinished &Refused);
  void execute(const StoredTaskEnded &Ended) {
    m_Events.m_StoredTaskEnded(Ended);
  }
  void execute(const WorkerSetAside &SetAside) {
    m_Log.info("worker_set_aside", {{"worker", SetAside.m_Worker},
                                    {"task", SetAside.m_Task.str()},
                                    {"runs", SetAside.m_Runs}});
  }
  void execute(const WorkerHealthDecision &Decision) {
    (Decision.m_IsEjected ? m_Ejections : m_EndedEjections).add();
    m_Log.warning(Decision.m_IsEjected ? "worker_ejected" : "worker_taken_back",
                  {{"worker", Decision.m_Worker},
                   {"failures", Decision.m_Failures},
                   {"probability_elsewhere", Decision.m_Probability},
                   {"for_ms", Decision.m_ForMs}});
  }
  void execute(const NearbyWaitDecided &Decided) {
    m_Log.info("nearby_wait",
               {{"task", Decided.m_Task.str()},
                {"label", Decided.m_Label},
                {"waits", Decided.m_Decision.m_Waits},
                {"reason", nearbyWaitReasonName(Decided.m_Decision.m_Reason)},
                {"ahead", Decided.m_Ahead},
                {"waited_ms", Decided.m_WaitedMs},
                {"expected_wait_ms", Decided.m_ExpectedWaitMs},
                {"at_most_ms", Decided.m_Decision.m_AtMostMs}});
    if (Decided.m_Decision.m_Waits)
      m_NearbyWaits.add();
  }
  void execute(const EarlierRunsAwaited &Awaited) {
    m_Log.info("job_waits_for_earlier_runs",
               {{"job", Awaited.m_Job}, {"runs", Awaited.m_Runs}});
  }
  static JobParameters parametersFor(JobParameters Parameters,
                                     const WorkerSessionSettings &Settings);
  void armTimer();
  void dropIdleWorkers();
  /// Returns the end of the longest lease that the worker may be given.
  TimePoint leaseLimit(const std::string &Worker) const;
  void logRunEnd(RunId Run, RunEnd End, const WorkerIncarnation &LostWith);

  struct RunRecord {
    std::string m_Worker;
    std::string m_Task;
    TimePoint m_OrderedAt;
    double m_ExpectedMs = 0;
    double m_LastPercent = 0;
    RunLimit m_RunUntil;
  };

  EventLoop &m_Loop;
  Transport &m_Orders;
  StateChart m_Chart;
  WorkerSessionSettings m_Settings;
  MetricsRegistry &m_Metrics;
  AnswerTime m_Answers;
  ShardHostEvents m_Events;
  Log m_Log{"jobs"};
  JobScheduler m_Scheduler;
  std::map<std::string, OwnedWorker> m_OwnedWorkers;
  /// Some workers are no longer assigned and are dropped once they are idle.
  bool m_IsDroppingWorkers = false;
  /// Lowest token of the next sessions by shard name: above those of dropped
  /// workers, which may return and would execute delayed orders of before.
  std::map<std::string, FencingToken> m_MinTokens;
  std::map<RunId, RunRecord> m_Runs;
  std::map<std::string, std::shared_ptr<TimePoint>> m_RunUntil; ///< By job.
  /// See JobScheduler::waitingRunLimit().
  TimePoint m_WaitingRunLimit = TimePoint::max();
  bool m_EffectsPosted = false;
  bool m_MustAdvance = false; ///< Before the effects are applied.
  EventLoop::Timer m_Timer;
  std::optional<TimePoint> m_TimerDueAt;
  Counter &m_Starts;
  Counter &m_Refusals;
  Counter &m_Failures;
  Counter &m_NearbyWaits;
  Counter &m_Ejections;
  Counter &m_EndedEjections;
  LatencyHistogram &m_StartLatency;
  LatencyHistogram &m_RunTime;
};

} // namespace auburnhub

#include "auburnhub/Node/ShardHostImpl.h"

#endif
