#ifndef AUBURNHUB_JOBS_JOBLEDGER_H
#define AUBURNHUB_JOBS_JOBLEDGER_H

#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Policy/Types.h"

#include "absl/status/status.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace auburnhub {

/// Parameters of the stored jobs of one partition. Times are in milliseconds.
struct JobLedgerParameters {
  /// A finished job is deleted after this time.
  double m_RetentionMs = 130000;
  /// Minimum and maximum backoff before a task that was not started, or whose
  /// run was not successful, is offered again. Doubles with each refusal.
  double m_RefusalPauseMs = 30;
  double m_MaxRefusalPauseMs = 1000;
  /// How long a run of unknown state is presumed alive: after a takeover of the
  /// partition, after the loss of its owner, and after its worker has changed
  /// to another owner.
  double m_TakeoverDoubtMs = 4000;
  double m_OwnerDoubtMs = 3200;
  double m_WorkerDoubtMs = 1500;
  /// Maximum number of jobs in the ledger; bounds memory.
  std::size_t m_MaxJobs = 20000;
  /// Maximum records and bytes of one append, well below what the log accepts
  /// in one request.
  std::size_t m_MaxBatchRecords = 400;
  std::size_t m_MaxBatchBytes = 1U << 20U;
};

/// One record to append: the new value of a key, or a tombstone if there is no
/// value.
struct LedgerRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
};

/// Answer to a call of submit() or cancel().
struct LedgerCallAnswered {
  std::uint64_t m_Call = 0;
  /// True: the job or its cancellation is stored. False: it is not stored and
  /// never will be.
  bool m_Done = false;
};

/// Order to an owner: stop a run.
struct LedgerRunStopped {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
};

/// The end of a run is stored, or need not be; it may be acknowledged to the
/// worker.
struct LedgerEndStored {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  /// The run was presumed ended and the task was started again or completed
  /// without it. The worker's lease must expire before the end is acknowledged.
  bool m_Superseded = false;
};

/// A job has finished and its final state is stored.
struct LedgerJobFinished {
  std::string m_Job;
  StoredJobState m_State = StoredJobState::Completed;
  double m_TookMs = 0;
};

using LedgerEffect = std::variant<LedgerCallAnswered, LedgerRunStopped,
                                  LedgerEndStored, LedgerJobFinished>;

/// The stored jobs of one partition, at the node that keeps it.
///
/// A pure state machine: it receives events with their time and returns records
/// to append and orders to execute. A job is accepted, the end of a run is
/// acknowledged and a state is visible only once the corresponding records are
/// stored; at most one append is in flight. A task has at most one run at a
/// time: the next one is offered only after the previous one has ended, or
/// after the time for which it may have continued unobserved.
class JobLedger {
public:
  JobLedger(const JobLedgerParameters &Parameters, LedgerEpoch Epoch)
      : m_Parameters(Parameters), m_Epoch(Epoch) {}

  // Recovery.
  /// Loads a record of an earlier epoch. Fails with BadMessage if the record
  /// cannot be decoded.
  absl::Status load(std::string_view Key, std::string_view Value);
  /// Resumes the loaded jobs; called once, after all records are loaded.
  void begin(TimePoint Now);

  // Callers.
  /// Each call is answered by one LedgerCallAnswered.
  void submit(TimePoint Now, std::uint64_t Call, JobRequest Request);
  void cancel(TimePoint Now, std::int64_t WallMs, std::uint64_t Call,
              const std::string &Id);
  /// Returns the state of a stored job, or nothing if the job is unknown.
  std::optional<StoredJobState> state(const std::string &Id) const;
  /// Returns the number of jobs of each queue of which no task has started.
  std::map<std::string, std::uint64_t> pending() const;

  // The log.
  bool hasUrgentRecords() const { return m_NextBatch.m_Urgent; }
  bool hasRecords() const { return !m_NextBatch.empty(); }
  bool isAppending() const { return m_Appending; }
  /// Returns the records of the next append. Its result must be reported with
  /// appendSucceeded() or appendRefused() before the next batch is taken.
  std::vector<LedgerRecord> takeBatch();
  void appendSucceeded(TimePoint Now);
  /// The append failed and will not take effect later. Its new jobs are
  /// refused; everything else is moved to the next batch.
  void appendRefused();
  /// Refuses the new jobs that are not part of an append yet.
  void refuseUnappendedJobs();

  // Owners of workers.
  /// Returns the task to run next, if any is ready.
  std::optional<StoredTask> nextTask(TimePoint Now) const;
  /// The task returned by nextTask() has been assigned to this owner.
  void taskStarted(TimePoint Now, const std::string &Owner);
  /// No owner currently accepts the task returned by nextTask(); it is offered
  /// again after a backoff.
  void postponed(TimePoint Now);
  /// An owner reports how a run ended. Worker is empty if the run had none.
  void runEndReported(TimePoint Now, std::int64_t WallMs,
                      const std::string &Owner, const std::string &Worker,
                      const TaskRef &Ref, std::uint32_t Number,
                      StoredRunEnd Outcome);
  /// An owner reports that it has this run. An order to stop it follows unless
  /// it is, or may be, the current run of its task.
  void runFound(TimePoint Now, const std::string &Owner, const TaskRef &Ref,
                std::uint32_t Number);
  /// This owner is lost; its runs are presumed alive for m_OwnerDoubtMs.
  void ownerLost(TimePoint Now, const std::string &Owner);

  /// Makes tasks ready whose backoff or doubt period has expired, and deletes
  /// finished jobs after their retention time. WallMs is the wall clock.
  void advance(TimePoint Now, std::int64_t WallMs);
  std::vector<LedgerEffect> takeEffects();
  std::size_t jobs() const { return m_Jobs.size(); }
  std::size_t readyTasks() const { return m_Ready.size(); }

private:
  enum class TaskState {
    Blocked, ///< Waits for earlier steps.
    Ready,
    Paused,  ///< Ready again at m_Until.
    InDoubt, ///< An unobserved run may be alive until m_Until.
    Running,
    Ending, ///< Its end is being stored.
    Done,
  };
  struct LedgerTask {
    TaskState m_State = TaskState::Blocked;
    TimePoint m_Until;
    std::string m_Owner;
    std::uint32_t m_Number = 0;   ///< Number of its last run.
    std::uint32_t m_Runs = 0;     ///< Runs started in this epoch.
    std::uint32_t m_Refusals = 0; ///< Refusals since its last run.
    std::vector<std::string> m_AvoidedWorkers;
  };
  struct LedgerJob {
    StoredJobRecord m_Record;
    StoredJobProgress m_Progress; ///< As of the next append.
    std::vector<LedgerTask> m_Tasks;
    std::vector<std::uint32_t> m_FirstOfStep;
    /// By step: tasks without a stored end.
    std::vector<std::uint32_t> m_UnfinishedOfStep;
    TimePoint m_Received;
    std::uint64_t m_Order = 0;
    bool m_IsStored = false;
    bool m_HasStarted = false;
    StoredJobState m_VisibleState = StoredJobState::Queued;
    std::vector<std::uint64_t> m_SubmitCalls;
  };
  struct ReportedEnd {
    std::string m_Owner;
    TaskRef m_Task;
    std::uint32_t m_Number = 0;
    bool m_Superseded = false;
  };
  struct Batch {
    std::vector<std::string> m_NewJobs;
    std::set<std::string> m_Progress;
    /// States written for the jobs of m_Progress.
    std::map<std::string, StoredJobState> m_WrittenStates;
    std::vector<std::string> m_DeletedJobs;
    std::vector<ReportedEnd> m_Ends;
    std::vector<std::uint64_t> m_CancelCalls;
    bool m_Urgent = false;
    bool empty() const {
      return m_NewJobs.empty() && m_Progress.empty() && m_DeletedJobs.empty();
    }
  };
  /// Priority, order of acceptance, job, index of the task in the job.
  using ReadyKey = std::tuple<int, std::uint64_t, std::string, std::uint32_t>;

  LedgerJob &add(JobRequest Request, LedgerEpoch Epoch);
  LedgerJob *find(const std::string &Id);
  static std::optional<std::uint32_t> taskIndexOf(const LedgerJob &Job,
                                                  const TaskRef &Ref);
  static TaskRef taskRefOf(const LedgerJob &Job, std::uint32_t TaskIndex);
  ReadyKey readyKey(const LedgerJob &Job, std::uint32_t TaskIndex) const;
  static bool mayRun(const LedgerJob &Job, std::uint32_t TaskIndex);
  std::uint32_t nextNumber(const LedgerJob &Job, const LedgerTask &Task) const;
  void setState(LedgerJob &Job, std::uint32_t TaskIndex, TaskState State,
                TimePoint Until = {});
  void unblock(LedgerJob &Job, TaskState NewState, TimePoint Until = {});
  void handleDone(std::int64_t WallMs, LedgerJob &Job, std::uint32_t TaskIndex,
                  const ReportedEnd &End);
  void handleFailed(std::int64_t WallMs, LedgerJob &Job,
                    std::uint32_t TaskIndex, const ReportedEnd &End,
                    const std::string &Worker);
  void recordEnd(LedgerJob &Job, const ReportedEnd &End);
  void acknowledge(const ReportedEnd &End);
  void finish(LedgerJob &Job, StoredJobState State, std::int64_t WallMs);
  void stopRun(LedgerJob &Job, std::uint32_t TaskIndex);
  void refuseNewJobs(std::vector<std::string> &Ids);
  void onJobStored(const std::string &Id);
  void onProgressStored(TimePoint Now, const std::string &Id,
                        StoredJobState State);
  void startBackoff(TimePoint Now, LedgerJob &Job, std::uint32_t TaskIndex);
  /// Restores the state of a job from its loaded progress.
  void restore(TimePoint Now, LedgerJob &Job);
  /// Frees everything of a finished job that state() does not need.
  static void freeDetails(LedgerJob &Job);
  void onEndStored(TimePoint Now, const ReportedEnd &End);
  void deleteExpiredJobs(std::int64_t WallMs);

  JobLedgerParameters m_Parameters;
  LedgerEpoch m_Epoch;
  std::map<std::string, std::unique_ptr<LedgerJob>> m_Jobs;
  /// Empty after begin().
  std::map<std::string, StoredJobProgress> m_LoadedProgress;
  std::uint64_t m_LastOrder = 0;
  std::set<ReadyKey> m_Ready;
  /// Tasks paused or in doubt, by the end of that state.
  std::set<std::pair<TimePoint, ReadyKey>> m_TimedTasks;
  /// Finished jobs, by wall-clock time.
  std::set<std::pair<std::int64_t, std::string>> m_FinishedJobs;
  Batch m_NextBatch;
  Batch m_CurrentBatch;
  bool m_Appending = false;
  std::vector<LedgerEffect> m_Effects;
};

} // namespace auburnhub

#endif
