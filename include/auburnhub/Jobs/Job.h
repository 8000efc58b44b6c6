#ifndef AUBURNHUB_JOBS_JOB_H
#define AUBURNHUB_JOBS_JOB_H

#include "auburnhub/Policy/LossLimits.h"

#include "absl/status/status.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Jobs, the resources that their tasks require, and the workers that run them.

namespace auburnhub {

/// Resources that a task requires or a worker provides.
struct Resources {
  std::int64_t m_CpuMillis = 0; ///< Thousandths of a core.
  std::int64_t m_MemoryMb = 0;
  std::int64_t m_Gpus = 0;

  /// Returns whether no kind of resource exceeds what is available.
  bool fitsInto(const Resources &Available) const {
    return m_CpuMillis <= Available.m_CpuMillis &&
           m_MemoryMb <= Available.m_MemoryMb && m_Gpus <= Available.m_Gpus;
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

/// Tasks of a job with the same requirements and dependencies.
struct JobStep {
  std::uint32_t m_Count = 0;
  Resources m_TaskResources;              ///< Required by each task.
  double m_EstimatedMs = 0;               ///< Run time estimated by the caller.
  std::vector<std::uint32_t> m_DependsOn; ///< Steps that must finish first.
  std::string m_RequiredLabel;  ///< Label a worker must have, or empty.
  std::string m_PreferredLabel; ///< Label of workers near its data, or empty.
  std::uint32_t m_MaxOnOneWorker = 0; ///< Tasks of this step; 0: no limit.

  template <typename Visitor> void fields(Visitor &V) {
    V("count", m_Count);
    V("each", m_TaskResources);
    V("estimated_ms", m_EstimatedMs);
    V("after", m_DependsOn);
    V("required", m_RequiredLabel);
    V("preferred", m_PreferredLabel);
    V("max_on_one", m_MaxOnOneWorker);
  }
};

/// Configuration of one queue of jobs.
struct QueuePolicy {
  std::string m_Queue;
  std::string m_Service;
  int m_Priority = 0;              ///< 0 is the highest.
  std::uint32_t m_MaxAttempts = 1; ///< Failed runs after which a task fails.
  /// The latency objective is m_Stretch times the expected run time of the
  /// longest task, plus m_TargetLatencyMs.
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

/// A job as submitted by a caller.
struct JobRequest {
  std::string m_Id;
  QueuePolicy m_Policy;
  std::string m_Spec; ///< Opaque; passed to each task.
  std::vector<JobStep> m_Steps;
  double m_TimeLeftMs = 0; ///< Time until the caller's deadline.
  /// The job may wait for free capacity. If not, it is refused at once where
  /// none of its tasks can start.
  bool m_MayWait = true;

  template <typename Visitor> void fields(Visitor &V) {
    V("id", m_Id);
    V("policy", m_Policy);
    V("spec", m_Spec);
    V("steps", m_Steps);
    V("time_left_ms", m_TimeLeftMs);
    V("may_wait", m_MayWait);
  }
};

/// Checks that each step depends only on earlier steps, that its resources and
/// its estimate are in range, and that the job has 1 to 1,000 tasks in all.
/// Fails with BadRequest.
absl::Status checkSteps(std::span<const JobStep> Steps);

/// Final outcome of a job.
enum class JobOutcome {
  Completed = 0, ///< Every task has succeeded.
  Failed = 1,    ///< A task used up the attempts of its queue.
  NotRun = 2,    ///< No task has started or will start.
  Abandoned = 3, ///< Tasks may have run; active runs are stopped.
};

/// Returns "completed", "failed", "not_run" or "given_up".
std::string_view jobOutcomeName(JobOutcome Outcome);

/// Why a job did not complete.
enum class JobReason {
  None = 0,
  NoRoom = 1,        ///< No worker had free capacity in time.
  TimedOut = 2,      ///< The caller's deadline has passed.
  Cancelled = 3,     ///< The caller cancelled it or disconnected.
  AttemptsSpent = 4, ///< A task used up the attempts of its queue.
  NeverFits = 5,     ///< No worker of the service can ever run a task.
  OwnerLost = 6,     ///< The owner is unreachable or no longer owns the worker.
  NoOwner = 7,       ///< No node currently accepts jobs of the service.
  Stopping = 8,      ///< The node is shutting down.
  NotStored = 9,     ///< The log was unreachable or did not answer.
  Evacuated = 10,    ///< All data centres with workers are evacuated.
  WouldBeLate = 11,  ///< It would start too late, by the owner's forecast.
  NoHealthyWorker = 12, ///< The workers with free capacity are ejected.
};

/// Returns the lower-case name with underscores, e.g. "no_room"; "unknown" for
/// a reason of a later version.
std::string_view jobReasonName(JobReason Reason);

/// Result of a job as returned to its caller.
struct JobResult {
  JobOutcome m_Outcome = JobOutcome::Abandoned;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0; ///< Delay before a retry; 0 unless NotRun.
  /// Runs of an earlier submission may be active: the job must not be started
  /// elsewhere yet. Only set with NotRun.
  bool m_HasEarlierRuns = false;
};

/// Identifies one task in the system.
struct TaskRef {
  std::string m_Job;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;
  bool operator==(const TaskRef &) const = default;
  bool operator<(const TaskRef &Other) const;
  /// Returns "job/step/index"; used in logs and as a key.
  std::string str() const;
  template <typename Visitor> void fields(Visitor &V) {
    V("job", m_Job);
    V("step", m_Step);
    V("index", m_Index);
  }
};

/// How a run of a task ended.
enum class RunEnd {
  Done,    ///< The task succeeded.
  Failed,  ///< The task or its worker failed.
  Stopped, ///< By an order of the owner.
  Lapsed,  ///< Its lease expired, or its worker no longer runs it.
  Lost,    ///< Its worker became unreachable or restarted while it ran.
};

/// Returns "done", "failed", "stopped", "lapsed" or "lost".
std::string_view runEndName(RunEnd End);

/// One life of a worker, from its start to its crash or exit. A worker may
/// return under the same id, or another one may start at its address.
struct WorkerIncarnation {
  std::string m_Worker; ///< Empty: none.
  std::string m_Address;
  /// When it started, in milliseconds since 1970; 0 if unknown.
  std::int64_t m_StartMs = 0;
  bool operator==(const WorkerIncarnation &) const = default;

  /// Returns whether this incarnation shows that the earlier one has ended.
  bool isSuccessorOf(const WorkerIncarnation &Earlier) const {
    return m_Address == Earlier.m_Address && Earlier.m_StartMs > 0 &&
           Earlier.m_StartMs < m_StartMs;
  }

  template <typename Visitor> void fields(Visitor &V) {
    V("worker", m_Worker);
    V("address", m_Address);
    V("start", m_StartMs);
  }
};

/// Limits of the runs that a task of a best-effort job may lose together with
/// its worker. The task is also given up without a known crash, because a
/// worker may never return.
inline constexpr LossLimits TaskLossLimits{.m_MaxLosses = 4, .m_MaxCrashes = 2};

/// A worker as described by its registration.
struct WorkerSpec {
  std::string m_Id;
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_Address; ///< "host:port"
  Resources m_Capacity;
  std::vector<std::string> m_Labels;
  bool m_Leaving = false; ///< Draining; gets no new runs.
  /// How much longer it is slower, when it wrote the registration.
  double m_ColdMs = 0;
  /// When this incarnation of the worker started, in milliseconds since 1970; 0
  /// if unknown.
  std::int64_t m_IncarnationStartMs = 0;
  bool operator==(const WorkerSpec &) const = default;

  bool hasLabel(std::string_view Label) const;
  WorkerIncarnation incarnation() const {
    return {m_Id, m_Address, m_IncarnationStartMs};
  }
};

} // namespace auburnhub

#endif
