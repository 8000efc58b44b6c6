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

/// A worker that a ShardHost is to hold, and under which token.
struct HeldWorker {
  WorkerSpec m_Spec;
  ShardId m_Shard;
  FencingToken m_Token = 0;
};

struct ShardHostEvents {
  std::function<void(const JobOver &)> m_JobOver;
  std::function<void(const StoredTaskOver &)> m_StoredTaskOver;
  /// A worker lists the end of a run that nobody here has ordered. Returns
  /// whether it must keep the end until settle().
  std::function<bool(const std::string &Worker, const TaskRef &,
                     std::uint32_t Number, RunEnd)>
      m_StrayEnd;
  std::function<void(const ShardId &)> m_Fenced;
  /// The load changed, or a worker that is handed over has become idle.
  std::function<void()> m_Changed;
};

/// Runs jobs on the workers of the shards that this node owns: carries orders
/// between a JobScheduler and one WorkerSession for each worker.
template <WorkerTransport Transport> class ShardHost {
public:
  ShardHost(EventLoop &Loop, Transport &Orders, StateChart Chart,
            const WorkerSessionSettings &Settings,
            const JobParameters &Parameters, MetricsRegistry &Metrics,
            ShardHostEvents Events);

  /// Holds exactly these workers. A worker that is no longer among them gets
  /// nothing new and is let go once it is idle.
  void reconcile(const std::map<std::string, HeldWorker> &Wanted);

  /// Lets go of a shard's workers at once: another owner has them. Jobs that
  /// run there are given up.
  void dropShard(const ShardId &Shard);

  void submit(JobRequest Request);
  void submit(const StoredTask &Task);
  bool cancel(const std::string &Job);
  void cancel(const TaskRef &StoredTask);
  /// A worker may forget the end of a run.
  void settle(const std::string &Worker, const StoredEndSettled &End);
  bool knows(const std::string &Job) const { return m_Scheduler.knows(Job); }

  /// Returns the workers of a shard on which something runs.
  std::vector<std::string> busyWorkers(const ShardId &Shard) const;
  bool answered(const std::string &Worker, TimePoint Since) const;
  std::size_t freeSlots() const;
  std::size_t waitingTasks() const { return m_Scheduler.waitingTasks(); }
  std::size_t jobs() const { return m_Scheduler.jobs(); }
  bool holdsAny() const { return !m_Held.empty(); }

private:
  using Session = WorkerSession<Transport>;
  struct Held {
    HeldWorker m_Worker;
    bool m_Wanted = true;
    std::unique_ptr<Session> m_Session;
  };

  void open(const HeldWorker &Wanted);
  WorkerSessionEvents sessionEvents(const std::string &Worker,
                                    const ShardId &Shard);
  void setReachable(const std::string &Worker, bool Reachable);
  void drop(const std::string &Worker);
  void schedulePump();
  void pump();
  void carryOut(const StartRun &Order);
  void carryOut(const StopRun &Order);
  void carryOut(const JobOver &Over);
  void carryOut(const StoredTaskOver &Over) { m_Events.m_StoredTaskOver(Over); }
  void armTimer();
  void letIdleGo();
  void logEnd(RunId Run, RunEnd How);

  struct RunNote {
    std::string m_Worker;
    std::string m_Task;
    TimePoint m_Ordered;
    double m_ExpectedMs = 0;
    double m_Percent = 0;
  };

  EventLoop &m_Loop;
  Transport &m_Orders;
  StateChart m_Chart;
  WorkerSessionSettings m_Settings;
  ShardHostEvents m_Events;
  Log m_Log{"jobs"};
  JobScheduler m_Scheduler;
  std::map<std::string, Held> m_Held;
  std::map<RunId, RunNote> m_Runs;
  bool m_PumpPosted = false;
  EventLoop::Timer m_Timer;
  std::optional<TimePoint> m_ArmedFor;
  Counter &m_Starts;
  Counter &m_Refusals;
  Counter &m_Failures;
  LatencyHistogram &m_StartLatency;
  LatencyHistogram &m_RunTime;
};

} // namespace auburnhub

#include "auburnhub/Node/ShardHostImpl.h"

#endif
