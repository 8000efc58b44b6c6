#ifndef AUBURNHUB_JOBS_JOB_H
#define AUBURNHUB_JOBS_JOB_H

#include "absl/status/status.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Jobs whose tasks are placed by the resources that they ask for, and the
/// workers that run them.

namespace auburnhub {

/// What a task needs, or what a worker has.
struct Resources {
  std::int64_t m_CpuMillis = 0; ///< Thousandths of a core.
  std::int64_t m_MemoryMb = 0;
  std::int64_t m_Gpus = 0;

  bool fitsInto(const Resources &Room) const {
    return m_CpuMillis <= Room.m_CpuMillis && m_MemoryMb <= Room.m_MemoryMb &&
           m_Gpus <= Room.m_Gpus;
  }
  Resources &operator+=(const Resources &Other);
  Resources &operator-=(const Resources &Other);
  bool operator==(const Resources &) const = default;

  template <typename Visitor> void fields(Visitor &V) {
    V("cpu", m_CpuMillis);
    V("memory", m_MemoryMb);
    V("gpus", m_Gpus);
  }
};

/// A number of tasks of the same kind.
struct JobStep {
  std::uint32_t m_Count = 0;
  Resources m_Each;
  double m_EstimatedMs = 0;           ///< The caller's rough guess.
  std::vector<std::uint32_t> m_After; ///< Steps that must be done first.
  std::string m_RequiredLabel;        ///< Empty: any worker.
  std::string m_PreferredLabel;       ///< Where its data lies, or empty.
  std::uint32_t m_MaxOnOneWorker = 0; ///< 0: no limit.

  template <typename Visitor> void fields(Visitor &V) {
    V("count", m_Count);
    V("each", m_Each);
    V("estimated_ms", m_EstimatedMs);
    V("after", m_After);
    V("required", m_RequiredLabel);
    V("preferred", m_PreferredLabel);
    V("max_on_one", m_MaxOnOneWorker);
  }
};

/// What the configuration says of the jobs of one queue.
struct QueuePolicy {
  std::string m_Queue;
  std::string m_Service;
  int m_Priority = 0;              ///< 0 goes first.
  std::uint32_t m_MaxAttempts = 1; ///< Failed runs after which a task failed.
  /// The latency objective is this many times the longest task and the target
  /// latency more.
  double m_Stretch = 1;
  double m_TargetLatencyMs = 0;

  template <typename Visitor> void fields(Visitor &V) {
    V("queue", m_Queue);
    V("service", m_Service);
    V("priority", m_Priority);
    V("max_attempts", m_MaxAttempts);
    V("stretch", m_Stretch);
    V("target_latency_ms", m_TargetLatencyMs);
  }
};

/// A job as a caller hands it in.
struct JobRequest {
  std::string m_Id;
  QueuePolicy m_Policy;
  std::string m_Spec; ///< Opaque; each task gets it.
  std::vector<JobStep> m_Steps;
  double m_TimeLeftMs = 0; ///< How long the caller still waits.

  template <typename Visitor> void fields(Visitor &V) {
    V("id", m_Id);
    V("policy", m_Policy);
    V("spec", m_Spec);
    V("steps", m_Steps);
    V("time_left_ms", m_TimeLeftMs);
  }
};

/// Checks that steps come after the steps they wait for, and that there are 1
/// to 1,000 tasks in all. Fails with BadRequest.
absl::Status checkSteps(std::span<const JobStep> Steps);

/// What became of a job.
enum class JobOutcome {
  Completed = 0, ///< Every task ended well.
  Failed = 1,    ///< A task failed as often as the queue allows.
  NotRun = 2,    ///< No task has started, and none will.
  GivenUp = 3,   ///< Tasks may have run; they are stopped.
};

/// Returns "completed", "failed", "not_run" or "given_up".
std::string_view jobOutcomeName(JobOutcome Outcome);

/// Why a job did not complete.
enum class JobReason {
  None = 0,
  NoRoom = 1,        ///< It could not start soon enough to be of use.
  TimedOut = 2,      ///< The caller's time is over.
  Cancelled = 3,     ///< The caller cancelled it or went away.
  AttemptsSpent = 4, ///< A task failed as often as the queue allows.
  NeverFits = 5,     ///< No worker of the service can ever hold a task.
  OwnerLost = 6,     ///< The node that ran it is gone.
  NoOwner = 7,       ///< No node takes jobs of the service now.
  Stopping = 8,      ///< The node is shutting down.
  NotStored = 9,     ///< The log is out of reach, or its answer is missing.
};

/// Returns the lower-case name with underscores, e.g. "no_room".
std::string_view jobReasonName(JobReason Reason);

struct JobResult {
  JobOutcome m_Outcome = JobOutcome::GivenUp;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0; ///< When to ask again, for NotRun.
};

/// Names one task within the system.
struct TaskRef {
  std::string m_Job;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;
  bool operator==(const TaskRef &) const = default;
  bool operator<(const TaskRef &Other) const;
  /// Returns "job/step/index", for logs.
  std::string str() const;
  template <typename Visitor> void fields(Visitor &V) {
    V("job", m_Job);
    V("step", m_Step);
    V("index", m_Index);
  }
};

/// How a run of a task ended.
enum class RunEnd {
  Done,
  Failed,  ///< By its own fault or the worker's.
  Stopped, ///< By our order.
  Lapsed,  ///< The worker's lease ran out, or the worker is gone.
};

/// Returns "done", "failed", "stopped" or "lapsed".
std::string_view runEndName(RunEnd End);

/// A worker as the registrations describe it.
struct WorkerSpec {
  std::string m_Id;
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_Address; ///< "host:port"
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  bool m_Leaving = false; ///< It drains and gets nothing new.
  bool operator==(const WorkerSpec &) const = default;

  bool hasLabel(std::string_view Label) const;
};

} // namespace auburnhub

#endif
