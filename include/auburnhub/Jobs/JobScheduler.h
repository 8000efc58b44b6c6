#ifndef AUBURNHUB_JOBS_JOBSCHEDULER_H
#define AUBURNHUB_JOBS_JOBSCHEDULER_H

#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Jobs/JobParameters.h"
#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Jobs/WorkerBook.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace auburnhub {

/// Names one run of one task at its owner; never used twice.
using RunId = std::uint64_t;

/// Order: start a run on a worker.
struct StartRun {
  RunId m_Run = 0;
  std::string m_Worker;
  TaskRef m_Task;
  std::uint32_t m_Number = 0; ///< Rises with each run of a task.
  std::string m_Spec;
  std::string m_Queue;
  double m_ExpectedMs = 0;
  std::size_t m_Candidates = 0;
  double m_WaitedMs = 0;
  bool m_Stored = false; ///< The worker keeps its end until that is stored.
};

/// Order: stop a run. It keeps its resources until its end is reported.
struct StopRun {
  RunId m_Run = 0;
  JobReason m_Why = JobReason::None;
};

/// The one run of a stored task is over; it is not mentioned again.
struct StoredTaskOver {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  StoredRunEnd m_How = StoredRunEnd::NotRun;
  JobReason m_Reason = JobReason::None;
  std::string m_Worker; ///< Empty if it never had one.
};

/// A job is over; it is not mentioned again.
struct JobOver {
  std::string m_Job;
  JobResult m_Result;
  double m_TookMs = 0;
  double m_WaitedMs = 0;    ///< Until the first start; 0 without one.
  double m_ObjectiveMs = 0; ///< Expected latency objective.
  std::size_t m_Runs = 0;   ///< Orders given for it.
};

using JobEffect = std::variant<StartRun, StopRun, JobOver, StoredTaskOver>;

/// Why a run was refused. In each case the run has not started and never will.
enum class RefusalReason {
  NoRoom,      ///< The worker had less room than expected.
  NumberUsed,  ///< The worker knows a run of this task with a higher number.
  Expired,     ///< The order came after its validity.
  Unhealthy,   ///< The worker takes nothing now.
  Unreachable, ///< No connection could be made.
  Invalid,     ///< The worker does not understand the order.
};

/// Decides which task of which job starts where and when, and what becomes of
/// a job. It reads no clock and owns no socket: events go in with their time,
/// orders come out of takeEffects().
///
/// Jobs that can still meet their latency objective go first, by the latest
/// start that meets it; then those that will be late, while they are of use.
class JobScheduler {
public:
  explicit JobScheduler(const JobParameters &Parameters);

  // Workers.
  void putWorker(TimePoint Now, const WorkerSpec &Spec);
  void setReachable(TimePoint Now, const std::string &Worker, bool Reachable);
  /// Runs on the worker are reported one by one by runEnded().
  void removeWorker(const std::string &Worker);
  /// Resources on a worker that a run of somebody else uses, until released.
  void reserve(const std::string &Worker, const Resources &Used);
  void release(TimePoint Now, const std::string &Worker, const Resources &Used);

  // Jobs.
  void submit(TimePoint Now, JobRequest Request);
  /// Runs one task of a stored job once. It is followed by one StoredTaskOver;
  /// a run that has started is over only when its worker says so.
  void submit(TimePoint Now, const StoredTask &Task);
  void cancel(TimePoint Now, const TaskRef &StoredTask);
  /// Returns whether the job was known.
  bool cancel(TimePoint Now, const std::string &Job);
  bool knows(const std::string &Job) const { return m_Jobs.contains(Job); }

  // Runs.
  void runAccepted(TimePoint Now, RunId Run);
  void runRefused(TimePoint Now, RunId Run, RefusalReason Why);
  void runEnded(TimePoint Now, RunId Run, RunEnd How);
  /// The run's worker obeys another owner now: nothing more will be heard of
  /// the run, and its job is given up.
  void runAbandoned(TimePoint Now, RunId Run);
  /// Progress that a worker reports of a run, in percent.
  void runProgress(TimePoint Now, RunId Run, double Percent);

  /// Applies what time brings, and starts what can start.
  void advance(TimePoint Now);

  /// Returns when advance() is next needed without another event.
  std::optional<TimePoint> nextDeadline(TimePoint Now) const;

  std::vector<JobEffect> takeEffects();

  // For status.
  std::size_t freeSlots(TimePoint Now) const;
  std::size_t waitingTasks() const;
  std::size_t jobs() const { return m_Jobs.size(); }
  const WorkerBook &workers() const { return m_Workers; }

private:
  enum class TaskState { Blocked, Waiting, Ordered, Running, Done };

  struct Task {
    TaskRef m_Ref;
    std::size_t m_Step = 0; ///< Place among the steps of the request.
    TaskState m_State = TaskState::Blocked;
    RunId m_Run = 0;
    std::uint32_t m_LastNumber = 0;
    std::uint32_t m_Failures = 0;
    std::set<std::string> m_Avoid; ///< Workers on which it has failed.
  };

  struct Job {
    JobRequest m_Request;
    std::vector<Task> m_Tasks;
    TimePoint m_Submitted;
    TimePoint m_WaitUntil; ///< Refused if nothing has started by then.
    TimePoint m_Deadline;  ///< The caller has gone by then.
    std::optional<TimePoint> m_FirstStart;
    double m_ExpectedMs = 0; ///< Of its longest task on a worker of speed 1.
    double m_ObjectiveMs = 0;
    std::size_t m_Waiting = 0;
    std::size_t m_Left = 0; ///< Tasks that are not done.
    std::size_t m_Runs = 0;
    std::size_t m_PossibleStarts = 0; ///< Orders not known to be refused.
    bool m_Stored = false;            ///< One run of a stored job's task.
    std::uint32_t m_StoredNumber = 0; ///< By which its ledger knows the run.
  };

  struct Run {
    std::string m_Job;
    TaskRef m_Ref;
    std::size_t m_Task = 0;
    std::string m_Worker;
    Resources m_Used;
    double m_ExpectedMs = 0; ///< On this worker.
    double m_BaseMs = 0;     ///< On a worker of speed 1.
    std::string m_Queue;
    TimePoint m_Started;
    double m_Percent = 0;
    TimePoint m_ProgressAt;
    TimePoint m_RoseAt; ///< When its progress was last seen to rise.
    bool m_Accepted = false;
    bool m_Stopping = false;
    bool m_Detached = false; ///< Its task does not wait for it any more.
    bool m_Stalled = false;
  };

  /// The order in which waiting jobs are served.
  struct Rank {
    int m_Tier =
        0; ///< 0: meets its objective, 1: late but of use, 2: hopeless.
    double m_SlackMs = 0;
  };

  double expectedMs(const QueuePolicy &Policy, const JobStep &Step) const;
  Rank rank(TimePoint Now, const Job &Item, double BestSpeed) const;
  void learnSize(const Resources &Each);
  void unblock(Job &Item);
  void startWaiting(TimePoint Now);
  bool startTasks(TimePoint Now, Job &Item);
  bool startTask(TimePoint Now, Job &Item, std::size_t Index);
  void requeue(TimePoint Now, Job &Item, Task &Which);
  void finish(TimePoint Now, Job &Item, JobOutcome Outcome, JobReason Reason);
  /// Ends the one run of a stored task.
  void finishStored(Job &Item, StoredRunEnd How, JobReason Reason,
                    const std::string &Worker);
  std::uint32_t tasksOfStepOn(const Task &Which,
                              const std::string &Worker) const;
  std::unique_ptr<Job> makeJob(TimePoint Now, JobRequest Request) const;
  void stopRun(Run &Item, RunId Id, JobReason Why);
  bool isStalled(const Run &Item) const;
  bool standsStill(const Run &Item, double LeastMs) const;
  /// Tells whether the task of a run has failed or stalled elsewhere often.
  bool hasMovedOften(const Run &Item) const;
  void checkStalled(TimePoint Now);
  void checkDeadlines(TimePoint Now);
  void freeRun(RunId Id);
  void storedRunEnded(TimePoint Now, Job &Item, const std::string &Worker,
                      RunEnd How);
  void taskDone(TimePoint Now, Job &Item, Task &Which);
  void taskFailed(TimePoint Now, Job &Item, Task &Which,
                  const std::string &Worker);
  void learn(const Run &Item, TimePoint Now);

  JobParameters m_Parameters;
  WorkerBook m_Workers;
  std::map<std::string, std::unique_ptr<Job>> m_Jobs;
  std::map<RunId, Run> m_Runs;
  /// Learned ratio of run time to estimate, and mean run time, by queue.
  struct QueueModel {
    double m_MeanMs = 0;
    double m_MeanEstimateMs = 0;
    std::uint64_t m_Samples = 0;
  };
  std::map<std::string, QueueModel> m_Queues;
  Resources m_TypicalTask;
  bool m_SizeKnown = false;
  RunId m_LastRun = 0;
  std::vector<JobEffect> m_Effects;
};

} // namespace auburnhub

#endif
