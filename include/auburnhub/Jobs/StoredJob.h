#ifndef AUBURNHUB_JOBS_STOREDJOB_H
#define AUBURNHUB_JOBS_STOREDJOB_H

#include "auburnhub/Jobs/Job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Jobs that outlive the processes that serve them: their records in the
/// platform's log, and their tasks as owners of workers are told to run them.

namespace auburnhub {

/// Rises with each node that takes a partition of the stored jobs over.
using LedgerEpoch = std::uint64_t;

/// What callers see of a stored job.
enum class StoredJobState {
  Queued = 0,    ///< No task has started.
  Running = 1,   ///< Some task has started.
  Completed = 2, ///< Every task ended well.
  Failed = 3,    ///< A task failed as often as the queue allows.
  Cancelled = 4,
};

/// Returns "queued", "running", "completed", "failed" or "cancelled".
std::string_view storedJobStateName(StoredJobState State);

/// The record of a job, written once before its caller is answered.
struct StoredJobRecord {
  JobRequest m_Job;
  LedgerEpoch m_Epoch = 0; ///< Under which it was accepted.

  template <typename Visitor> void fields(Visitor &V) {
    V("job", m_Job);
    V("epoch", m_Epoch);
  }
};

/// A run that ended failed.
struct FailedRun {
  std::uint32_t m_Task = 0; ///< Place among all tasks of the job.
  std::uint32_t m_Number = 0;
  bool operator==(const FailedRun &) const = default;

  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
  }
};

/// The record of what has become of a job, written before a worker may forget
/// the end of a run.
struct StoredJobProgress {
  StoredJobState m_State = StoredJobState::Queued;
  std::vector<std::uint32_t> m_Done; ///< Places among all tasks of the job.
  std::vector<FailedRun> m_Failed;
  std::int64_t m_OverAtMs = 0; ///< Wall clock; 0 while it is not over.

  bool isOver() const { return m_State >= StoredJobState::Completed; }
  template <typename Visitor> void fields(Visitor &V) {
    V("state", m_State);
    V("done", m_Done);
    V("failed", m_Failed);
    V("over_at", m_OverAtMs);
  }
};

/// One task of a stored job, to be run once.
struct StoredTask {
  std::string m_Job;
  std::uint32_t m_StepNumber = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Number = 0; ///< Of the run.
  QueuePolicy m_Policy;
  std::string m_Spec;
  JobStep m_Step;
  double m_AgeMs = 0;               ///< Since its job was accepted.
  std::vector<std::string> m_Avoid; ///< Workers on which it has failed.

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
    V("avoid", m_Avoid);
  }
};

/// What became of one run of a stored task.
enum class StoredRunEnd {
  Done = 0,
  Failed = 1,
  Over = 2,   ///< Stopped or lapsed; it runs no more.
  NotRun = 3, ///< It has not started and never will.
  InDoubt =
      4, ///< Its worker has another owner; it may run until its lease ends.
};

/// Returns "done", "failed", "over", "not_run" or "in_doubt".
std::string_view storedRunEndName(StoredRunEnd End);

/// Returns the partition of a job among Parts partitions, by xxHash64.
std::uint32_t ledgerPartOf(std::string_view Job, std::uint32_t Parts);

} // namespace auburnhub

#endif
