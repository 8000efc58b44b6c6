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

/// The parameters of the stored jobs of one partition. Times are milliseconds.
struct JobLedgerParameters {
  /// A job that is over is forgotten after this time.
  double m_RetentionMs = 130000;
  /// Bounds of the pause after which a task that did not start, or ended other
  /// than done, is offered again; it doubles with each refusal.
  double m_RefusalPauseMs = 30;
  double m_MaxRefusalPauseMs = 1000;
  /// A run of which nobody knows whether it is alive may be for so long: after
  /// a takeover, after the loss of its owner, and after its worker has gone to
  /// another owner.
  double m_TakeoverDoubtMs = 4000;
  double m_OwnerDoubtMs = 3200;
  double m_WorkerDoubtMs = 1500;
  /// Jobs kept at once, a bound on memory.
  std::size_t m_MaxJobs = 20000;
  /// Records and bytes in one append: well under what the log takes at once.
  std::size_t m_MaxBatchRecords = 400;
  std::size_t m_MaxBatchBytes = 1U << 20U;
};

/// One record to be written: the newest value of a key; without a value the
/// key is dropped.
struct LedgerRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
};

/// Answer to a caller's call.
struct LedgerCallAnswered {
  std::uint64_t m_Call = 0;
  /// The job is stored, or its cancelling is; false: neither is nor will be.
  bool m_Done = false;
};

/// Order: stop a run at its owner.
struct LedgerRunStopped {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
};

/// The end of a run is stored: its worker may forget it.
struct LedgerEndSettled {
  std::string m_Owner;
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  /// The task was started again since, for the run was thought to be gone: its
  /// worker's lease must run out before the worker is told to forget the end.
  bool m_Superseded = false;
};

/// A job is over.
struct LedgerJobOver {
  std::string m_Job;
  StoredJobState m_State = StoredJobState::Completed;
  double m_TookMs = 0;
};

using LedgerEffect = std::variant<LedgerCallAnswered, LedgerRunStopped,
                                  LedgerEndSettled, LedgerJobOver>;

/// The stored jobs of one partition, at the node that keeps it.
///
/// A pure state machine: events go in with their time, records to append and
/// orders come out. A job is accepted, an end is settled and a state is shown
/// only once the records that say so are stored; one append is on its way at a
/// time. A task has one run at a time: the next one is offered only after the
/// end of the last, or after the time for which it may have lived unseen.
class JobLedger {
public:
  JobLedger(const JobLedgerParameters &Parameters, LedgerEpoch Epoch)
      : m_Parameters(Parameters), m_Epoch(Epoch) {}

  // Recovery.
  /// Takes in a record of an earlier epoch. Fails with BadMessage.
  absl::Status load(std::string_view Key, std::string_view Value);
  /// All records are loaded.
  void begin(TimePoint Now);

  // Callers.
  /// Each call is answered once.
  void submit(TimePoint Now, std::uint64_t Call, JobRequest Job);
  void cancel(TimePoint Now, std::int64_t WallMs, std::uint64_t Call,
              const std::string &Job);
  /// Returns what is stored of a job; nothing if there is no such job.
  std::optional<StoredJobState> state(const std::string &Job) const;
  /// Returns the jobs of each queue of which no task has started.
  std::map<std::string, std::uint64_t> pending() const;

  // The log.
  bool hasUrgentRecords() const { return m_Next.m_Urgent; }
  bool hasRecords() const { return !m_Next.empty(); }
  bool isAppending() const { return m_Appending; }
  /// Returns the records of the next append; call appended() or refused() for
  /// it before the next one is taken.
  std::vector<LedgerRecord> takeBatch();
  void appended(TimePoint Now);
  /// The append was not done and never will be. Jobs that it was to store are
  /// refused; everything else goes into the next batch.
  void refused();
  /// Refuses the jobs that no append has been taken for yet.
  void refuseWaiting();

  // Owners of workers.
  /// Returns the task that goes next, for one run, unless none may start.
  std::optional<StoredTask> nextTask(TimePoint Now) const;
  /// The task that nextTask() returned is run by this owner.
  void started(TimePoint Now, const std::string &Owner);
  /// No owner takes the task that nextTask() returned now.
  void postponed(TimePoint Now);
  void runOver(TimePoint Now, std::int64_t WallMs, const std::string &Owner,
               const std::string &Worker, const TaskRef &Task,
               std::uint32_t Number, StoredRunEnd How);
  /// An owner says that it has this run.
  void runFound(TimePoint Now, const std::string &Owner, const TaskRef &Task,
                std::uint32_t Number);
  /// Nothing more is heard of this owner.
  void ownerLost(TimePoint Now, const std::string &Owner);

  /// Applies what time brings.
  void advance(TimePoint Now, std::int64_t WallMs);
  std::vector<LedgerEffect> takeEffects();
  std::size_t jobs() const { return m_Jobs.size(); }
  std::size_t readyTasks() const { return m_Ready.size(); }

private:
  enum class TaskState {
    Blocked, ///< Waits for earlier steps.
    Ready,
    Paused,  ///< Ready again at m_Until.
    InDoubt, ///< An unseen run may be alive until m_Until.
    Running,
    Ending, ///< Its end is being stored.
    Done,
  };
  struct Task {
    TaskState m_State = TaskState::Blocked;
    TimePoint m_Until;
    std::string m_Owner;
    std::uint32_t m_Number = 0;   ///< Of its last run.
    std::uint32_t m_Runs = 0;     ///< Under this epoch.
    std::uint32_t m_Refusals = 0; ///< Since it last ran.
    std::vector<std::string> m_Avoid;
  };
  struct Job {
    StoredJobRecord m_Record;
    StoredJobProgress m_Progress; ///< What the next append will say.
    std::vector<Task> m_Tasks;
    std::vector<std::uint32_t> m_FirstOfStep;
    std::vector<std::uint32_t> m_LeftOfStep; ///< Tasks whose end is not stored.
    TimePoint m_Received;
    std::uint64_t m_Order = 0;
    bool m_IsStored = false;
    bool m_HasStarted = false;
    StoredJobState m_Shown = StoredJobState::Queued;
    std::vector<std::uint64_t> m_Submitters;
  };
  struct End {
    std::string m_Owner;
    TaskRef m_Task;
    std::uint32_t m_Number = 0;
    bool m_Superseded = false;
  };
  struct Batch {
    std::vector<std::string> m_NewJobs;
    std::set<std::string> m_Progress;
    std::map<std::string, StoredJobState> m_Written; ///< Of m_Progress.
    std::vector<std::string> m_Dropped;
    std::vector<End> m_Ends;
    std::vector<std::uint64_t> m_Cancellers;
    bool m_Urgent = false;
    bool empty() const {
      return m_NewJobs.empty() && m_Progress.empty() && m_Dropped.empty();
    }
  };
  /// Priority, order of acceptance, job, place of the task.
  using ReadyKey = std::tuple<int, std::uint64_t, std::string, std::uint32_t>;

  Job &add(JobRequest Request, LedgerEpoch Epoch);
  Job *find(const std::string &Id);
  static std::optional<std::uint32_t> placeOf(const Job &Item,
                                              const TaskRef &Task);
  static TaskRef refOf(const Job &Item, std::uint32_t Place);
  ReadyKey readyKey(const Job &Item, std::uint32_t Place) const;
  static bool mayRun(const Job &Item, std::uint32_t Place);
  std::uint32_t nextNumber(const Job &Item, const Task &Which) const;
  void set(Job &Item, std::uint32_t Place, TaskState State,
           TimePoint Until = {});
  void unblock(Job &Item, TaskState As, TimePoint Until = {});
  void takeDone(std::int64_t WallMs, Job &Item, std::uint32_t Place,
                const End &Which);
  void takeFailed(std::int64_t WallMs, Job &Item, std::uint32_t Place,
                  const End &Which, const std::string &Worker);
  void recordEnd(Job &Item, const End &Which);
  void settle(const End &Which);
  void finish(Job &Item, StoredJobState State, std::int64_t WallMs);
  void stopRun(Job &Item, std::uint32_t Place);
  void dropNewJobs(std::vector<std::string> &Ids);
  void jobIsStored(const std::string &Id);
  void progressIsStored(TimePoint Now, const std::string &Id,
                        StoredJobState State);
  void pause(TimePoint Now, Job &Item, std::uint32_t Place);
  /// Goes on from what the log says of a job.
  void restore(TimePoint Now, Job &Item);
  /// Keeps of a job that is over only what its state is told from.
  static void shrink(Job &Item);
  void endIsStored(TimePoint Now, const End &Which);
  void forgetOld(std::int64_t WallMs);

  JobLedgerParameters m_Parameters;
  LedgerEpoch m_Epoch;
  std::map<std::string, std::unique_ptr<Job>> m_Jobs;
  std::map<std::string, StoredJobProgress> m_Loaded; ///< Until begin().
  std::uint64_t m_LastOrder = 0;
  std::set<ReadyKey> m_Ready;
  std::set<std::pair<TimePoint, ReadyKey>> m_Timed; ///< Paused or in doubt.
  std::set<std::pair<std::int64_t, std::string>> m_Over; ///< By wall clock.
  Batch m_Next;
  Batch m_Current;
  bool m_Appending = false;
  std::vector<LedgerEffect> m_Effects;
};

} // namespace auburnhub

#endif
