#ifndef AUBURNHUB_JOBS_STOREDJOB_H
#define AUBURNHUB_JOBS_STOREDJOB_H

#include "auburnhub/Jobs/Job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Jobs that survive the processes that serve them: their records in the
/// platform's log, and their tasks as sent to owners of workers.

namespace auburnhub {

/// Increases each time a node takes over a partition of the stored jobs.
using LedgerEpoch = std::uint64_t;

/// State of a stored job as shown to callers.
enum class StoredJobState {
  Queued = 0,    ///< No task has started.
  Running = 1,   ///< A task has started.
  Completed = 2, ///< Every task has succeeded.
  Failed = 3,    ///< A task used up the attempts of its queue.
  Cancelled = 4,
};

/// Returns "queued", "running", "completed", "failed" or "cancelled".
std::string_view storedJobStateName(StoredJobState State);

/// The stored record of a job; written once, before its submission is
/// acknowledged to the caller.
struct StoredJobRecord {
  JobRequest m_Job;
  LedgerEpoch m_Epoch = 0; ///< Epoch in which it was accepted.

  template <typename Visitor> void fields(Visitor &V) {
    V("job", m_Job);
    V("epoch", m_Epoch);
  }
};

/// A failed run of a task.
struct FailedRun {
  std::uint32_t m_Task = 0;   ///< Index among all tasks of the job.
  std::uint32_t m_Number = 0; ///< Number of the run.
  bool operator==(const FailedRun &) const = default;

  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
  }
};

/// The highest number that a task has been given where that cannot be worked
/// out from its other records.
struct ReachedNumber {
  std::uint32_t m_Task = 0; ///< Index among all tasks of the job.
  std::uint32_t m_Number = 0;

  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
  }
};

/// A run that ended because its worker became unreachable or restarted.
struct LostRun {
  std::uint32_t m_Task = 0;   ///< Index among all tasks of the job.
  std::uint32_t m_Number = 0; ///< Number of the run.
  WorkerIncarnation m_On;
  std::int64_t m_ReportedAtMs = 0; ///< Wall clock.
  /// A later incarnation has been seen at the address of the worker.
  bool m_HasCrashed = false;
  bool operator==(const LostRun &) const = default;

  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
    V("on", m_On);
    V("at", m_ReportedAtMs);
    V("crashed", m_HasCrashed);
  }
};

/// The record of a job's progress, written before the end of a run is
/// acknowledged to its worker.
struct StoredJobProgress {
  StoredJobState m_State = StoredJobState::Queued;
  std::vector<std::uint32_t> m_Done; ///< Succeeded tasks: indices in the job.
  std::vector<FailedRun> m_Failed;
  std::vector<LostRun> m_Lost;     ///< Of tasks that have not succeeded since.
  std::int64_t m_FinishedAtMs = 0; ///< Wall clock; 0 while not finished.
  /// Written before a task is started again while an earlier run of it may be
  /// alive or may have ended unseen, and with the success of a task that had
  /// more than one run: the end of a run with a lower number is superseded.
  std::vector<ReachedNumber> m_Reached;
  /// 0: written by a version that did not store m_Reached.
  std::uint32_t m_Version = 0;

  bool isFinished() const { return m_State >= StoredJobState::Completed; }
  template <typename Visitor> void fields(Visitor &V) {
    V("state", m_State);
    V("done", m_Done);
    V("failed", m_Failed);
    V("lost", m_Lost);
    V("over_at", m_FinishedAtMs);
    V("reached", m_Reached);
    V("version", m_Version);
  }
};

/// Version of the progress records that this process writes.
inline constexpr std::uint32_t StoredProgressVersion = 1;

/// One task of a stored job as sent to an owner, to be run once.
struct StoredTask {
  std::string m_Job;
  std::uint32_t m_StepNumber = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Number = 0; ///< Number of the run.
  QueuePolicy m_Policy;
  std::string m_Spec;
  JobStep m_Step;
  double m_AgeMs = 0; ///< Time since its job was accepted.
  /// Workers on which the task has failed or stalled.
  std::vector<std::string> m_AvoidedWorkers;
  std::uint32_t m_LostRuns = 0; ///< Runs that ended with their worker.
  /// It may run on an ejected worker: no owner has another one with room.
  bool m_MayBeEjected = false;

  TaskRef task() const { return {m_Job, m_StepNumber, m_Index}; }
  template <typename Visitor> void fields(Visitor &V) {
    V("job", m_Job);
    V("step_number", m_StepNumber);
    V("index", m_Index);
    V("number", m_Number);
    V("policy", m_Policy);
    V("spec", m_Spec);
    V("step", m_Step);
    V("age", m_AgeMs);
    V("avoid", m_AvoidedWorkers);
    V("lost", m_LostRuns);
    V("any_health", m_MayBeEjected);
  }
};

/// Identifies one run of a task.
struct StoredRun {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  bool operator==(const StoredRun &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
  }
};

/// A run of a stored task has ended this time after the log last confirmed its
/// keeper, in milliseconds, whatever has become of the keeper, the owner and
/// the worker. The doubt periods of JobLedgerParameters are longer.
inline constexpr double StoredRunLimitMs = 3000;

/// How one run of a stored task ended.
enum class StoredRunEnd {
  Done = 0, ///< The task succeeded.
  Failed = 1,
  Over = 2,   ///< Stopped or lapsed; it no longer runs.
  NotRun = 3, ///< It has not started and never will.
  /// Its worker has another owner; the run may continue until its lease
  /// expires.
  InDoubt = 4,
};

/// Returns "done", "failed", "over", "not_run" or "in_doubt".
std::string_view storedRunEndName(StoredRunEnd End);

/// Returns the partition, from 0 to Parts - 1, that stores the job with this
/// id. Uses xxHash64. Parts must not be 0.
std::uint32_t ledgerPartitionOf(std::string_view Job, std::uint32_t Parts);

} // namespace auburnhub

#endif
