#ifndef AUBURNHUB_JOBS_JOBLEDGER_H
#define AUBURNHUB_JOBS_JOBLEDGER_H

#include "auburnhub/Jobs/ReadyTasks.h"
#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Policy/LossLimits.h"
#include "auburnhub/Policy/Types.h"

#include "absl/status/status.h"

#include <cstdint>
#include <limits>
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
  /// Minimum and maximum backoff before a task is offered again that was not
  /// started or whose run did not succeed. The backoff doubles with each
  /// refusal.
  double m_RefusalPauseMs = 30;
  double m_MaxRefusalPauseMs = 1000;
  /// How long a run of unknown state is presumed alive: after a takeover of the
  /// partition and after the loss of its owner, both longer than
  /// StoredRunLimitMs, and after its worker has changed to another owner,
  /// longer than a lease.
  double m_TakeoverDoubtMs = 4000;
  double m_OwnerDoubtMs = 3200;
  double m_WorkerDoubtMs = 1500;
  /// How long a task that has lost two runs waits for evidence that the last
  /// worker has crashed; doubled with each further lost run. Longer than a
  /// crashed worker takes to register again.
  double m_CrashVerdictMs = 6000;
  /// How long a task waits after the second known crash under it; doubled with
  /// each further one.
  double m_CrashPauseMs = 500;
  /// Maximum of both waits. A task that crashes its workers is never given up;
  /// this bounds how often it crashes one.
  double m_MaxLossPauseMs = 30000;
  /// Maximum number of lost runs that are remembered of one task and of one
  /// job; more neither lengthen the waits nor fit into a record.
  std::size_t m_MaxLostRunsOfTask = 8;
  std::size_t m_MaxLostRunsOfJob = 256;
  /// A worker that starts later than this after the loss of its predecessor is
  /// no evidence of a crash.
  double m_MaxRestartMs = 20000;
  /// Time after which an owner is asked for a run that it has not reported:
  /// several times the run time of a usual task.
  double m_UnreportedRunMs = 3000;
  /// Maximum number of jobs in the ledger; bounds memory.
  std::size_t m_MaxJobs = 20000;
  /// Maximum bytes of a record, with its key, that the log accepts.
  std::size_t m_MaxRecordBytes = 1U << 18U;
  /// Maximum records and bytes of one append; not more than the log accepts in
  /// one request.
  std::size_t m_MaxBatchRecords = 400;
  std::size_t m_MaxBatchBytes = 1U << 20U;
};

/// How a run ended, as reported by the owner of its worker.
struct LedgerRunEnd {
  std::string m_Owner;
  std::string m_Worker; ///< Empty if the run had none.
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  StoredRunEnd m_Outcome = StoredRunEnd::NotRun;
  /// Set if the run ended because this worker became unreachable or restarted.
  WorkerIncarnation m_LostWith = {};
  /// Only for NotRun: another owner may run the task now, so that it is offered
  /// again without a backoff.
  bool m_MayRunElsewhere = false;
};

/// One record to append: the new value of a key, or a tombstone if there is no
/// value.
struct LedgerRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
};

/// Answer to a call of JobLedger::submit() or JobLedger::cancel().
struct LedgerCallAnswered {
  std::uint64_t m_Call = 0;
  /// True: the job or its final state is stored. False: the job is not stored
  /// and never will be, or the job to cancel is unknown.
  bool m_Done = false;
};

/// Order to an owner: stop a run.
struct LedgerStopRun {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
};

/// Order to an owner: acknowledge the end of a run to its worker. The end is
/// stored or does not need to be stored.
struct LedgerEndStored {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  /// The run was presumed to have ended, and the task may have been started
  /// again or its job finished without this run. The worker's lease must expire
  /// before the end is acknowledged.
  bool m_Superseded = false;
  /// What is stored is that the run was lost with its worker. The worker may
  /// have listed an end of the run since, which is not stored.
  bool m_IsLoss = false;
};

/// A job has finished and its final state is stored.
struct LedgerJobFinished {
  std::string m_Job;
  StoredJobState m_State = StoredJobState::Completed;
  double m_TookMs = 0;
};

/// The worker of a lost run has crashed: a later incarnation was seen at its
/// address.
struct LedgerCrashConfirmed {
  TaskRef m_Task;
  LostRun m_Run;
  WorkerIncarnation m_Successor;
};

/// A task waits because of its lost runs.
struct LedgerTaskHeld {
  TaskRef m_Task;
  LossCount m_Count;
  double m_HeldForMs = 0; ///< Maximum time of the wait.
};

using LedgerEffect =
    std::variant<LedgerCallAnswered, LedgerStopRun, LedgerEndStored,
                 LedgerJobFinished, LedgerCrashConfirmed, LedgerTaskHeld>;

/// The stored jobs of one partition, on the node that is its keeper.
///
/// A pure state machine: it receives events with their time and returns records
/// to append and orders to execute. A job is accepted, the end of a run is
/// acknowledged and a state is visible only once the corresponding records are
/// stored; at most one append is in flight. A task has at most one run at a
/// time: the next one is offered only after the previous one has ended, or
/// after the doubt period of JobLedgerParameters, during which it may continue
/// unobserved.
///
/// Load pattern: a task that crashes each worker that runs it. Runs that end
/// with their worker are counted for each task, over changes of the keeper.
/// Such a task runs alone, after pauses that grow up to a bound; its job never
/// fails for it and can be cancelled. A crash is told from a lost connection by
/// the next incarnation of the worker.
class JobLedger {
public:
  static constexpr std::int64_t AnyCpu =
      std::numeric_limits<std::int64_t>::max();

  JobLedger(const JobLedgerParameters &Parameters, LedgerEpoch Epoch)
      : m_Parameters(Parameters), m_Epoch(Epoch) {}

  // Recovery.
  /// Loads a record of an earlier epoch. Fails with BadMessage if the record
  /// cannot be decoded.
  absl::Status load(std::string_view Key, std::string_view Value);
  /// Resumes the loaded jobs; called once, after all records are loaded.
  void begin(TimePoint Now);

  // Callers.
  /// Each call of submit() or cancel() is answered by one LedgerCallAnswered
  /// with the same Call. A job with a known id is not stored again. WallMs is
  /// the wall clock, in milliseconds since the epoch of the system clock.
  void submit(TimePoint Now, std::uint64_t Call, JobRequest Request);
  void cancel(TimePoint Now, std::int64_t WallMs, std::uint64_t Call,
              const std::string &Id);
  /// Returns whether the job is stored or is to be stored.
  bool knows(const std::string &Id) const { return m_Jobs.contains(Id); }
  /// Returns the state of a stored job, or nothing if the job is unknown.
  std::optional<StoredJobState> state(const std::string &Id) const;
  /// Returns the number of jobs of each queue of which no task has started.
  std::map<std::string, std::uint64_t> pending() const;

  // The log.
  /// Returns whether a caller or a task waits for records to be stored.
  bool hasUrgentRecords() const { return m_NextBatch.m_Urgent; }
  bool hasRecords() const { return !m_NextBatch.empty(); }
  bool isAppending() const { return m_Appending; }
  /// Returns the records of the next append. Its result must be reported with
  /// appendSucceeded() or appendRefused() before the next batch is taken.
  std::vector<LedgerRecord> takeBatch();
  /// The records of the last takeBatch() are stored.
  void appendSucceeded(TimePoint Now);
  /// The append failed and will not take effect later. The new jobs in it are
  /// refused; all its other records are moved to the next batch.
  void appendRefused();
  /// The log will never accept the records of the last takeBatch(); none was
  /// stored. The next batches are smaller, until the job is known whose record
  /// the log does not accept. If it is new, it is refused; else its progress is
  /// appended again only once it has changed, and its ends stay unconfirmed.
  void appendRejected(TimePoint Now);
  /// Refuses the new jobs that are not part of an append yet.
  void refuseUnappendedJobs();

  // Owners of workers.
  /// Returns the first ready task that needs at most this much CPU, in
  /// thousandths of a core, if there is one.
  std::optional<StoredTask> nextTask(TimePoint Now,
                                     std::int64_t MaxCpuMillis = AnyCpu) const;
  /// Returns the CPU that a task of an unfinished job needs, in thousandths of
  /// a core; 0 if the task is unknown.
  std::int64_t cpuMillisOf(const TaskRef &Ref) const;
  /// A task returned by nextTask() has been assigned to this owner.
  void taskStarted(TimePoint Now, const TaskRef &Ref, const std::string &Owner);
  /// An owner reports how a run ended; it may report the same end again.
  void runEndReported(TimePoint Now, std::int64_t WallMs,
                      const LedgerRunEnd &Report);
  /// An owner reports an active run. An order to stop the run follows unless
  /// the run is, or may be, the current run of its task.
  void runReported(TimePoint Now, const std::string &Owner, const TaskRef &Ref,
                   std::uint32_t Number);
  /// Returns the runs that are presumed active, by owner.
  std::map<std::string, std::vector<StoredRun>> runsByOwner() const;
  /// Returns the owners with runs that they have not reported for
  /// m_UnreportedRunMs.
  std::set<std::string> ownersToQuery(TimePoint Now) const;
  /// An owner has reported all its runs that were ordered before QueriedAt.
  /// Others are presumed alive for m_OwnerDoubtMs.
  void runsReported(TimePoint Now, TimePoint QueriedAt,
                    const std::string &Owner);
  /// This owner is unreachable; its runs are presumed alive for m_OwnerDoubtMs.
  void ownerLost(TimePoint Now, const std::string &Owner);

  /// This incarnation of a worker is registered. After a takeover, and after an
  /// end with a lost worker was reported, the known ones must be passed again.
  void workerSeen(TimePoint Now, const WorkerIncarnation &Seen);

  /// Makes tasks ready whose backoff or doubt period has expired, and deletes
  /// finished jobs after their retention time. WallMs is the wall clock.
  void advance(TimePoint Now, std::int64_t WallMs);
  /// Returns the answers and orders since the last call, in order.
  std::vector<LedgerEffect> takeEffects();
  /// Returns the number of jobs, including finished ones.
  std::size_t jobs() const { return m_Jobs.size(); }
  std::size_t readyTasks() const { return m_Ready.size(); }

private:
  enum class TaskState {
    Blocked, ///< Waits for earlier steps.
    Ready,
    Paused,  ///< Ready again at m_Until.
    InDoubt, ///< An unobserved run may be alive until m_Until.
    /// Ready once its next number is stored; an unobserved run may still be
    /// reported.
    Reserving,
    /// Waits for evidence of a crash; ready at m_Until at the latest.
    AwaitingVerdict,
    Running,
    Ending, ///< The end of its run is being stored.
    Done,   ///< Its success is stored.
  };
  struct LedgerTask {
    TaskState m_State = TaskState::Blocked;
    TimePoint m_Until;          ///< End of a state with a limited time.
    std::string m_Owner;        ///< Owner of its last run.
    std::uint32_t m_Number = 0; ///< Number of its last run.
    /// The highest number given to the task, in any epoch, as far as known; an
    /// end of a lower number is superseded.
    std::uint32_t m_Reached = 0;
    std::uint32_t m_Reserved = 0; ///< Stored number of its next run, or 0.
    TimePoint m_ReportedAt;   ///< When its run was ordered or last reported.
    std::uint32_t m_Runs = 0; ///< Runs started in this epoch.
    std::uint32_t m_Refusals = 0; ///< Refusals since its last run.
    std::vector<std::string> m_AvoidedWorkers;
  };
  struct LedgerJob {
    StoredJobRecord m_Record;
    StoredJobProgress m_Progress; ///< Includes changes not stored yet.
    std::vector<LedgerTask> m_Tasks;
    /// By step: index of its first task in m_Tasks.
    std::vector<std::uint32_t> m_FirstOfStep;
    /// By step: tasks without a stored end.
    std::vector<std::uint32_t> m_UnfinishedOfStep;
    TimePoint m_Received;      ///< When the job was submitted or loaded.
    std::uint64_t m_Order = 0; ///< Order of acceptance.
    bool m_IsStored = false;
    /// A task has run, or is assigned to an owner, which may start it.
    bool m_HasStarted = false;
    bool m_HasRun = false; ///< A run of a task is known.
    /// State according to the stored records; shown to callers.
    StoredJobState m_VisibleState = StoredJobState::Queued;
    /// Calls of submit() to be answered once the job is stored.
    std::vector<std::uint64_t> m_SubmitCalls;
    std::string m_Encoded; ///< Its record, until it is stored.
  };
  struct ReportedEnd {
    std::string m_Owner;
    TaskRef m_Task;
    std::uint32_t m_Number = 0;
    bool m_Superseded = false;
    bool m_IsLoss = false; ///< The run was lost with its worker.
  };
  /// Records to append, and what depends on them.
  struct Batch {
    std::vector<std::string> m_NewJobs;
    /// Jobs whose progress is to be written.
    std::set<std::string> m_Progress;
    /// States written for the jobs of m_Progress.
    std::map<std::string, StoredJobState> m_WrittenStates;
    std::vector<std::string> m_DeletedJobs;
    /// Ends and calls to be acknowledged once the records are stored.
    std::vector<ReportedEnd> m_Ends;
    std::vector<std::uint64_t> m_CancelCalls;
    /// Tasks that are ready once their job's progress is stored: job, index.
    std::set<std::pair<std::string, std::uint32_t>> m_Reservations;
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
  static std::int64_t cpuMillisOf(const LedgerJob &Job,
                                  std::uint32_t TaskIndex);
  /// Returns whether the job is stored and unfinished and the steps that the
  /// task depends on are done.
  static bool mayRun(const LedgerJob &Job, std::uint32_t TaskIndex);
  /// Returns whether a run of the task may be alive, as far as known.
  static bool mayBeAlive(const LedgerTask &Task) {
    return Task.m_State == TaskState::Running ||
           Task.m_State == TaskState::InDoubt ||
           Task.m_State == TaskState::Reserving;
  }

  // Numbers of runs.
  /// Returns the highest number that earlier epochs reserve without a record.
  std::uint32_t lastNumberOfEarlierEpochs(const LedgerJob &Job) const;
  std::uint32_t nextNumber(const LedgerJob &Job, const LedgerTask &Task) const;
  /// Returns whether a keeper that takes over must read the task's next number
  /// in the log to tell an end that is superseded.
  bool mustReserve(const LedgerJob &Job, const LedgerTask &Task) const;
  /// Has the task's next number stored; the task is ready thereafter.
  void reserve(LedgerJob &Job, std::uint32_t TaskIndex);
  void onReserved(const std::string &Id, std::uint32_t TaskIndex);
  /// Adds the task's highest number to the job's progress.
  static void recordReached(LedgerJob &Job, std::uint32_t TaskIndex);
  void restoreReached(LedgerJob &Job) const;
  void setState(LedgerJob &Job, std::uint32_t TaskIndex, TaskState State,
                TimePoint Until = {});
  /// Moves blocked tasks that may run to NewState.
  void unblockTasks(LedgerJob &Job, TaskState NewState, TimePoint Until = {});
  void handleDone(std::int64_t WallMs, LedgerJob &Job, std::uint32_t TaskIndex,
                  const ReportedEnd &End);
  void handleFailed(std::int64_t WallMs, LedgerJob &Job,
                    std::uint32_t TaskIndex, const ReportedEnd &End,
                    const std::string &Worker);
  void handleLost(TimePoint Now, std::int64_t WallMs, LedgerJob &Job,
                  std::uint32_t TaskIndex, const ReportedEnd &End,
                  const WorkerIncarnation &On);
  /// Adds the end and the job's progress to the next batch.
  void recordEnd(LedgerJob &Job, const ReportedEnd &End);
  /// Acknowledges the end of a run of a job that does not exist once the log
  /// has accepted that its records are deleted. A log that has a later keeper,
  /// which may know the job, refuses that.
  void recordEndOfUnknownJob(const ReportedEnd &End);
  void acknowledge(const ReportedEnd &End);
  void finish(LedgerJob &Job, StoredJobState State, std::int64_t WallMs);
  /// Orders the owner to stop the run of the task, if one is running.
  void stopRun(LedgerJob &Job, std::uint32_t TaskIndex);
  /// Returns an upper limit of the size of a job's record in the log.
  static std::size_t recordBytes(std::string_view Job, std::string_view Value);
  static std::string encodeJob(const LedgerJob &Job);
  /// Moves what waits for records from m_NextBatch to the batches with them.
  void takeDependants(Batch &Remaining);
  void completeBatch(TimePoint Now, const Batch &Stored);
  /// Moves the records of a failed append back into the next batch.
  void requeue(Batch Failed);
  /// Keeps the reported ends of a job whose progress cannot be stored.
  void keepEndsOf(const std::string &Id);
  void refuseNewJobs(std::vector<std::string> &Ids);
  /// Removes a job together with everything that refers to it by its id.
  void eraseJob(const std::string &Id);
  void onJobStored(const std::string &Id);
  void onProgressStored(TimePoint Now, const std::string &Id,
                        StoredJobState State);
  void startBackoff(TimePoint Now, LedgerJob &Job, std::uint32_t TaskIndex);
  /// Records that a run of a task is known.
  static void setHasRun(LedgerJob &Job) {
    Job.m_HasStarted = Job.m_HasRun = true;
  }
  /// An owner has not run the task that was assigned to it.
  static void revokeStart(LedgerJob &Job);
  // Lost runs.
  static LossCount countLosses(const LedgerJob &Job, std::uint32_t TaskIndex);
  /// Returns the run with this number if it was lost, or nullptr.
  static LostRun *findLostRun(LedgerJob &Job, std::uint32_t TaskIndex,
                              std::uint32_t Number);
  /// Returns the lost run that was reported last, or nullptr.
  static const LostRun *lastLostRun(const LedgerJob &Job,
                                    std::uint32_t TaskIndex);
  bool isEvidenceOfCrash(const LostRun &Run,
                         const WorkerIncarnation &Seen) const;
  /// Returns how long the task must wait after its last lost run: for evidence
  /// of a crash, or because of the known crashes. 0: not at all.
  double lossPauseMs(const LedgerJob &Job, std::uint32_t TaskIndex) const;
  /// Remembers a lost run and forgets the oldest ones above the maxima.
  void addLostRun(LedgerJob &Job, const LostRun &Run);
  /// Lets a task without a known run wait, if it must.
  void extendWait(TimePoint Now, LedgerJob &Job, std::uint32_t TaskIndex);
  /// Offers the task again after a backoff or after the wait that it must.
  void retryAfterLoss(TimePoint Now, LedgerJob &Job, std::uint32_t TaskIndex);
  void forgetLostRun(LedgerJob &Job, std::vector<LostRun>::iterator Run);
  /// Forgets the lost runs of a task that has succeeded.
  void eraseLostRuns(LedgerJob &Job, std::uint32_t TaskIndex);
  /// No longer expects evidence of crashes under the tasks of the job.
  void stopAwaitingVerdicts(const LedgerJob &Job);
  void restoreLostRuns(TimePoint Now, LedgerJob &Job);

  /// Restores the state of a job from its loaded progress.
  void restoreJob(TimePoint Now, LedgerJob &Job);
  /// Frees everything of a finished job that state() does not need.
  static void freeDetails(LedgerJob &Job);
  void onEndStored(TimePoint Now, const ReportedEnd &End);
  void deleteExpiredJobs(std::int64_t WallMs);

  JobLedgerParameters m_Parameters;
  LedgerEpoch m_Epoch;
  std::map<std::string, std::unique_ptr<LedgerJob>> m_Jobs;
  /// Loaded progress by job; empty after begin().
  std::map<std::string, StoredJobProgress> m_LoadedProgress;
  std::uint64_t m_LastOrder = 0;
  ReadyTasks<ReadyKey> m_Ready;
  /// Tasks in a state with a limited time, by the end of that state.
  std::set<std::pair<TimePoint, ReadyKey>> m_TimedTasks;
  /// Lost runs without evidence of a crash: address of the worker, job, index
  /// of the task in the job, number of the run.
  std::set<std::tuple<std::string, std::string, std::uint32_t, std::uint32_t>>
      m_UnconfirmedLosses;
  /// Finished jobs, by the wall-clock time of their end in milliseconds.
  std::set<std::pair<std::int64_t, std::string>> m_FinishedJobs;
  Batch m_NextBatch;
  Batch m_CurrentBatch; ///< The append in flight.
  /// Maximum jobs of the next batch; lower after the log has rejected one.
  std::size_t m_JobsPerBatch = m_Parameters.m_MaxBatchRecords;
  /// By job: ends that wait for progress which the log does not accept.
  std::map<std::string, std::vector<ReportedEnd>> m_EndsOfUnstorable;
  bool m_Appending = false;
  std::vector<LedgerEffect> m_Effects;
};

} // namespace auburnhub

#endif
