#ifndef AUBURNHUB_JOBS_JOBSCHEDULER_H
#define AUBURNHUB_JOBS_JOBSCHEDULER_H

#include "auburnhub/Jobs/AdmissionForecast.h"
#include "auburnhub/Jobs/EarlierRuns.h"
#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Jobs/JobEffects.h"
#include "auburnhub/Jobs/JobParameters.h"
#include "auburnhub/Jobs/NearbyWait.h"
#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Jobs/ViewAge.h"
#include "auburnhub/Jobs/WaitingJobs.h"
#include "auburnhub/Jobs/WorkerRegistry.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburnhub {

/// Decides when and on which worker each task starts, and how each job
/// finishes. Reads no clock and owns no socket: it receives events with their
/// time and returns orders from takeEffects().
///
/// Jobs that can still meet their latency objective go first, in the order of
/// the latest start that meets it; then jobs that will be late but still
/// useful; then the rest.
///
/// A task that was lost with a worker may have crashed it. It runs alone on a
/// worker, and such tasks use at most a share of the workers of their service
/// at a time. If no worker is idle, the one with the fewest runs is set aside.
///
/// A lease covers all runs of a worker, and is never shortened. A task
/// therefore starts only on a worker whose lease ends by the limit of the
/// task's runs.
///
/// A job may be submitted again under its id at any time. A task then starts
/// only once the runs of the same task of earlier submissions have ended.
class JobScheduler {
public:
  explicit JobScheduler(const JobParameters &Parameters);

  // Workers.
  /// Adds a worker, which is unreachable at first, or updates its description.
  void putWorker(TimePoint Now, const WorkerSpec &Spec);
  /// The descriptions of the workers are those of this time. Once called,
  /// nothing is started m_MaxWorkerAgeMs after ReadAt: a worker that has shrunk
  /// or is leaving may not be known.
  void refreshWorkers(TimePoint Now, TimePoint ReadAt);
  /// Reading the descriptions was tried at this time and has failed. Tasks are
  /// started until m_MaxWorkerAgeAfterFailureMs after TriedAt.
  void workersUnreadable(TimePoint Now, TimePoint TriedAt);
  void setReachable(TimePoint Now, const std::string &Worker, bool Reachable);
  /// The session of the worker talks to the incarnation that started at this
  /// time. The worker gets no new runs until putWorker() has described it.
  void setIncarnation(TimePoint Now, const std::string &Worker,
                      std::int64_t StartMs);
  /// The worker may hold a lease until this time.
  void setLeaseEnd(const std::string &Worker, TimePoint LeaseEnd);
  /// Gives the worker no more runs. The end of each of its runs must still be
  /// reported with runEnded().
  void removeWorker(const std::string &Worker);
  /// Reserves the resources of a run that this scheduler did not order, until
  /// release().
  void reserve(const std::string &Worker, const Resources &Used);
  void release(TimePoint Now, const std::string &Worker, const Resources &Used);

  // Evacuation.
  /// Starts nothing on workers of these data centres, until called without
  /// them. Jobs that could only start there are refused.
  void setEvacuated(TimePoint Now, const std::set<std::string> &DataCentres);
  /// The evacuated data centres are those of this time, or could not be read
  /// then. Once called, nothing is started m_MaxEvacuationAgeMs after ReadAt.
  void refreshEvacuations(TimePoint Now, TimePoint ReadAt);
  /// Returns how many runs are active on workers of evacuated data centres.
  std::size_t evacuatedRuns() const;

  // Jobs.
  /// Reports the end of the job with one JobFinished. An unfinished job with
  /// the same id is cancelled first; its runs are awaited.
  void submit(TimePoint Now, JobRequest Request, RunLimit RunUntil = nullptr);
  /// Runs one task of a stored job once and reports its end with one
  /// StoredTaskEnded. A run that has started ends only when its end is reported
  /// with runEnded() or runAbandoned().
  void submit(TimePoint Now, const StoredTask &Task,
              RunLimit RunUntil = nullptr);
  /// Cancels a task of a stored job; a run that has started is stopped. Unknown
  /// tasks are ignored.
  void cancel(TimePoint Now, const TaskRef &StoredTask);
  /// Cancels a job and stops its runs. Returns whether the job was known.
  bool cancel(TimePoint Now, const std::string &Job);
  bool knows(const std::string &Job) const { return m_Jobs.contains(Job); }
  /// Returns the earliest limit of the runs of waiting tasks; the maximum if
  /// none waits or has a limit. A lease that ends by then keeps no task
  /// waiting.
  TimePoint waitingRunLimit();
  /// Returns whether runs of finished submissions of the job may be active.
  bool hasEarlierRuns(TimePoint Now, const std::string &Job) const {
    return m_EarlierRuns.mayBeActive(Now, Job);
  }

  /// Returns whether a run may start on the worker: its description is that of
  /// its incarnation, and its data centre is not evacuated.
  bool mayStartOn(const std::string &Worker) const {
    auto Found = m_Workers.all().find(Worker);
    return Found != m_Workers.all().end() && Found->second.isDescribed() &&
           !Found->second.m_Evacuated;
  }

  // Runs.
  void runAccepted(TimePoint Now, RunId Run);
  void runRefused(TimePoint Now, RunId Run, RefusalReason Reason);
  /// LostWith names the worker of a run that was lost.
  void runEnded(TimePoint Now, RunId Run, RunEnd End,
                const WorkerIncarnation &LostWith = {});
  /// The run's worker now obeys another owner. No more events of the run
  /// follow, and its job is abandoned.
  void runAbandoned(TimePoint Now, RunId Run);
  /// A worker reports the progress of a run, in percent.
  void runProgress(TimePoint Now, RunId Run, double Percent);

  /// Stops stalled runs, starts waiting tasks where there is free capacity, and
  /// finishes jobs whose deadline or waiting time has passed.
  void advance(TimePoint Now);

  /// Returns when advance() must be called if no other event occurs before, or
  /// nothing if no time limit is pending.
  std::optional<TimePoint> nextDeadline(TimePoint Now) const;
  /// Returns the time of the last advance().
  TimePoint advancedAt() const { return m_AdvancedAt; }

  /// Returns the orders and reports since the last call, in order.
  std::vector<JobEffect> takeEffects();

  // Status.
  /// Returns how many tasks of typical size could start now.
  std::size_t freeSlots(TimePoint Now) const;
  /// Returns the largest free CPU of a worker that may get a run now, in
  /// thousandths of a core; 0 if there is none.
  std::int64_t largestFreeCpu(TimePoint Now) const {
    return m_Workers.largestFreeCpu(Now);
  }
  /// See FailureAttribution.
  void setPeerOutcomes(TimePoint Now, const std::string &Owner,
                       QueueOutcomes Outcomes) {
    m_Workers.setPeerOutcomes(Now, Owner, std::move(Outcomes));
  }
  void erasePeer(const std::string &Owner) { m_Workers.erasePeer(Owner); }
  QueueOutcomes failingQueues(TimePoint Now) const {
    return m_Workers.failingQueues(Now);
  }
  /// Returns how many tasks wait for free capacity, without those that wait to
  /// run alone.
  std::size_t waitingTasks() const;
  std::size_t jobs() const { return m_Jobs.size(); }
  const WorkerRegistry &workers() const { return m_Workers; }

private:
  enum class TaskState { Blocked, Waiting, Ordered, Running, Done };

  struct ActiveTask {
    TaskRef m_Ref;
    std::size_t m_Step = 0; ///< Index of its step in the request.
    TaskState m_State = TaskState::Blocked;
    RunId m_Run = 0;
    std::uint32_t m_LastNumber = 0;
    std::uint32_t m_Failures = 0;
    LossCount m_Losses; ///< Runs that ended with their worker.
    /// Lost workers of a best-effort job that are not known to have crashed.
    std::vector<WorkerIncarnation> m_LostWith;
    /// Workers on which the task has failed or stalled.
    std::set<std::string> m_AvoidedWorkers;
    /// Since when it waits for a worker near its data, if it does.
    std::optional<TimePoint> m_NearbyWaitSince;
    TimePoint m_NearbyDecideAt; ///< When to decide on that again.
  };

  struct ActiveJob {
    std::uint64_t m_Serial = 0; ///< Never reused.
    JobRequest m_Request;
    std::vector<ActiveTask> m_Tasks;
    TimePoint m_Submitted;
    TimePoint m_WaitUntil; ///< Refused if no task has started by then.
    TimePoint m_Deadline;  ///< Deadline of the caller.
    RunLimit m_RunUntil;
    std::optional<TimePoint> m_FirstStart;
    std::optional<JobForecast> m_Forecast;
    double m_ExpectedMs = 0; ///< Run time of its longest task at speed 1.
    double m_ObjectiveMs = 0;
    std::size_t m_Waiting = 0;         ///< Tasks that wait for a worker.
    std::size_t m_UnfinishedTasks = 0; ///< Tasks without a successful run.
    std::size_t m_Runs = 0;            ///< Start orders issued.
    std::size_t m_PossibleStarts = 0; ///< Start orders not known to be refused.
    /// See checkDeadlines(); nothing if no time limit applies.
    std::optional<TimePoint> m_DueAt;
    /// That meets the objective. Set while it is in a queue of waiting jobs.
    std::optional<TimePoint> m_LatestStart;
    /// Its key in m_WaitingRunLimits.
    std::optional<TimePoint> m_QueuedRunLimit;
    /// Limit of its runs when a worker was left out because of its lease.
    std::optional<TimePoint> m_LeaseLimitedAt;
    /// First time to decide again on a task that waits near its data; its key
    /// in m_NearbyWaits.
    std::optional<TimePoint> m_NearbyDecideAt;
    std::size_t m_NearbyTasks = 0;    ///< Tasks that wait near their data.
    bool m_HasLostTasks = false;      ///< Tasks that must run alone.
    bool m_Stored = false;            ///< Wraps one run of a stored task.
    std::uint32_t m_StoredNumber = 0; ///< Number of the run in its ledger.
    bool m_MayBeEjected = false;      ///< May run on an ejected worker.
  };

  struct ActiveRun {
    std::string m_Job;
    TaskRef m_Ref;
    std::size_t m_Task = 0; ///< Index of its task in the job.
    std::string m_Worker;
    std::string m_Service;
    Resources m_Used;
    double m_ExpectedMs = 0; ///< Expected run time on this worker.
    double m_BaseMs = 0;     ///< Expected run time on a worker of speed 1.
    std::string m_Queue;
    TimePoint m_Started;
    double m_Percent = 0;
    TimePoint m_ProgressReportedAt;
    TimePoint m_ProgressRoseAt; ///< When its progress last increased.
    bool m_Accepted = false;
    bool m_Stopping = false;
    bool m_Detached = false; ///< Its job finished before this run ended.
    bool m_Stalled = false;
  };

  /// The tasks of one service that run alone.
  struct Isolation {
    std::set<RunId> m_Runs;
    std::string m_Worker; ///< Set aside for a waiting task, or empty.
    std::string m_Job;    ///< Job of that task.
    std::size_t m_Task = 0;
  };

  using WaitingQueue = WaitingJobs<ActiveJob>;
  /// Of a job: the time and the job's serial number.
  using TimeKey = std::pair<TimePoint, std::uint64_t>;

  double expectedMs(const QueuePolicy &Policy, const JobStep &Step) const;
  void addJob(ActiveJob &Job, std::unique_ptr<ActiveJob> Owned);
  void eraseJob(ActiveJob &Job);
  /// Adds a job with waiting tasks to the queue of its service, or marks it to
  /// be tried again.
  void enqueue(TimePoint Now, ActiveJob &Job);
  void dequeue(ActiveJob &Job);
  void addRunLimit(ActiveJob &Job);
  void eraseRunLimit(ActiveJob &Job);
  /// Refuses a new job that waits behind others and would start too late.
  void refuseIfHopeless(TimePoint Now, ActiveJob &Job);
  /// Learns from the end of the wait of a job with a forecast.
  void observeWait(TimePoint Now, const ActiveJob &Job);
  double retryAfterMs(const ActiveJob &Job);
  /// CPU that the run is expected to release each millisecond.
  static double releasedPerMs(const ActiveRun &Run);
  static bool mayStart(const WaitingQueue::Entry &Waiting, std::int64_t Room);
  /// Updates what the entry says of its job's tasks.
  static void updateEntry(WaitingQueue::Entry &Waiting);
  /// Updates the job's place in m_DueJobs.
  void updateDue(ActiveJob &Job);
  void learnTaskSize(const Resources &TaskSize);
  /// Refuses a job that may not wait and of which no task has started.
  void refuseUnlessStarted(TimePoint Now, const std::string &Id);
  void unblockTasks(TimePoint Now, ActiveJob &Job);
  void reportEarlierRuns(TimePoint Now, const ActiveJob &Job);
  /// Unblocks tasks whose earlier runs have ended.
  void releaseHeldTasks(TimePoint Now);
  /// Returns when the first held task may be released without an event, or the
  /// maximum.
  TimePoint nextRelease(TimePoint Now, const ActiveJob &Job) const;
  void startWaitingTasks(TimePoint Now);
  void startTasks(TimePoint Now, ActiveJob &Job);
  bool startTask(TimePoint Now, ActiveJob &Job, std::size_t Index);
  /// Returns whether the task waits for a worker near its data rather than to
  /// start on the chosen one.
  bool waitsNearby(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                   const WorkerChoice &Choice, double ExpectedMs);
  /// Returns the expected remaining times of the runs on workers with the
  /// label, in ascending order.
  std::vector<double> remainingTimesOn(TimePoint Now, std::string_view Service,
                                       std::string_view Label) const;
  /// Returns how many tasks wait for workers with the label; for a task that
  /// waits for them, only those that began before it.
  std::size_t tasksWaitingNearby(const ActiveTask &For,
                                 const std::string &Label) const;
  /// Updates the job's place in m_NearbyWaits.
  void updateNearbyWait(ActiveJob &Job);
  /// Marks the jobs to be tried of which a task waits long enough.
  void endNearbyWaits(TimePoint Now);
  static bool mustRunAlone(const ActiveTask &Task) {
    return Task.m_Losses.m_Losses > 0;
  }
  /// Returns whether a worker is set aside for the task.
  bool hasWorkerSetAside(const ActiveJob &Job, std::size_t Task) const;
  void setWorkerAside(TimePoint Now, const ActiveJob &Job, std::size_t Task,
                      TaskRequirements Requirements);
  void beginIsolatedRun(const ActiveJob &Job, std::size_t Task,
                        WorkerRecord &Worker);
  /// Returns whether one more task of the service may run alone.
  bool mayIsolate(const std::string &Service) const;
  Isolation *findIsolation(RunId Id);
  void endIsolatedRun(RunId Id);
  void eraseUnusedIsolations();
  /// Releases workers whose task no longer waits or that can no longer serve
  /// it. Returns whether there were any.
  bool releaseWorkersSetAside();
  void releaseWorkerSetAside(Isolation &Isolated);
  /// Makes the task wait for a worker again; abandons the job if too little
  /// time remains.
  void requeue(TimePoint Now, ActiveJob &Job, ActiveTask &Task);
  void finish(TimePoint Now, ActiveJob &Job, JobOutcome Outcome,
              JobReason Reason);
  /// Reports the end of the run of a stored task.
  void finishStoredTask(ActiveJob &Job, StoredRunEnd Outcome, JobReason Reason,
                        const std::string &Worker,
                        const WorkerIncarnation &LostWith = {});
  std::uint32_t tasksOfStepOn(const ActiveTask &Task,
                              const std::string &Worker) const;
  std::unique_ptr<ActiveJob> makeJob(TimePoint Now, JobRequest Request,
                                     RunLimit RunUntil) const;
  void stopRun(ActiveRun &Run, RunId Id, JobReason Reason);
  bool areWorkersOutdated(TimePoint Now) const {
    return m_StartsUntil && Now > *m_StartsUntil;
  }
  void allowStartsUntil(TimePoint Now, TimePoint Until);
  bool isStalled(const ActiveRun &Run) const;
  /// Returns whether the progress has not increased for MinMs and for
  /// m_NoProgressPercents times the run's mean time per percent.
  bool hasNoProgress(const ActiveRun &Run, double MinMs) const;
  /// Returns whether the task has failed or stalled on at least m_MaxMoves
  /// workers.
  bool hasReachedMaxMoves(const ActiveRun &Run) const;
  void checkStalled(TimePoint Now);
  bool waitsForEvacuatedWorkers(const ActiveJob &Job) const;
  /// Refuses those that wait for workers of evacuated data centres, once after
  /// each change of workers or evacuations.
  void refuseEvacuatedJobs(TimePoint Now);
  /// The same for one job, if it is known.
  void refuseIfEvacuated(TimePoint Now, const std::string &Id);
  void refuseEvacuatedJob(TimePoint Now, ActiveJob &Job);
  /// Returns whether the worker was cold at some time of the run.
  bool isOnColdWorker(const ActiveRun &Run) const;
  void checkDeadlines(TimePoint Now);
  /// Returns why no task of a job has started in time.
  JobReason reasonNotStarted(const ActiveJob &Job) const;
  void releaseRun(RunId Id);
  void onStoredRunEnded(TimePoint Now, ActiveJob &Job,
                        const std::string &Worker, RunEnd End,
                        const WorkerIncarnation &LostWith);
  void onTaskDone(TimePoint Now, ActiveJob &Job, ActiveTask &Task);
  void onTaskFailed(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                    const std::string &Worker);
  void onTaskLost(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                  const WorkerIncarnation &With);
  /// Returns whether the task has lost too many workers to be started again.
  bool mustGiveUp(ActiveTask &Task) const;
  /// Fails best-effort jobs with a waiting task that must be given up.
  void giveUpLostTasks(TimePoint Now);
  void learnRunTime(const ActiveRun &Run, TimePoint Now);

  JobParameters m_Parameters;
  WorkerRegistry m_Workers;
  std::map<std::string, std::unique_ptr<ActiveJob>> m_Jobs;
  std::map<RunId, ActiveRun> m_Runs;
  std::map<std::string, std::vector<RunId>, std::less<>> m_RunsOnWorker;
  std::vector<RunId> m_ReportedRuns; ///< To be checked for a stall.
  EarlierRuns m_EarlierRuns;
  std::map<std::string, WaitingQueue> m_WaitingJobs; ///< By service.
  std::size_t m_WaitingTasks = 0;
  AdmissionForecast m_Forecasts;
  /// What the runs of a service release, by their expected times.
  struct ReleaseRate {
    double m_CpuPerMs = 0; ///< In thousandths of a core.
    std::size_t m_Runs = 0;
  };
  std::map<std::string, ReleaseRate> m_ReleasedPerMs; ///< By service.
  std::minstd_rand m_Random; ///< Spreads retries; no decision depends on it.
  std::map<TimeKey, ActiveJob *> m_DueJobs; ///< By ActiveJob::m_DueAt.
  /// Waiting jobs by the limit of their runs; the limits may have risen since.
  std::map<TimeKey, ActiveJob *> m_WaitingRunLimits;
  /// Jobs with tasks that wait near their data, by ActiveJob::m_NearbyDecideAt.
  std::map<TimeKey, ActiveJob *> m_NearbyWaits;
  std::size_t m_NearbyTasks = 0; ///< Tasks of all jobs that wait so.
  /// A worker was lost since the waits near the data were checked.
  bool m_HasLostWorkers = false;
  std::set<std::string> m_HeldJobs; ///< With runs of earlier submissions.
  std::set<std::string> m_LostJobs; ///< With tasks that must run alone.
  std::uint64_t m_LastSerial = 0;
  /// Learned mean run time, at speed 1, and mean estimate of one queue.
  struct QueueModel {
    double m_MeanMs = 0;
    double m_MeanEstimateMs = 0;
    std::uint64_t m_Samples = 0;
  };
  std::map<std::string, QueueModel> m_Queues;
  std::map<std::string, Isolation> m_Isolations; ///< By service.
  Resources m_TypicalTask; ///< Learned; only its CPU is set.
  bool m_HasTypicalTask = false;
  RunId m_LastRun = 0;
  TimePoint m_AdvancedAt;
  std::optional<TimePoint> m_StartsUntil; ///< See refreshWorkers().
  ViewAge m_EvacuationAge;
  bool m_MustCheckEvacuated = false; ///< See refuseEvacuatedJobs().
  std::vector<JobEffect> m_Effects;
};

} // namespace auburnhub

#endif
