#ifndef AUBURNHUB_POLICY_TYPES_H
#define AUBURNHUB_POLICY_TYPES_H

#include "absl/status/status.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Inputs and outputs of the scheduling policy. The policy never reads a clock:
/// time points are passed in. Durations named Ms are in milliseconds.

namespace auburnhub {

using TimePoint = std::chrono::steady_clock::time_point;

/// Identifies a task of a submission within a dispatcher.
using TaskKey = std::uint64_t;

/// Returns End - Begin in milliseconds.
inline double millisecondsBetween(TimePoint Begin, TimePoint End) {
  return std::chrono::duration<double, std::milli>(End - Begin).count();
}

/// Returns the time point Ms milliseconds after From. Ms must be finite.
inline TimePoint addMs(TimePoint From, double Ms) {
  return From + std::chrono::duration_cast<TimePoint::duration>(
                    std::chrono::duration<double, std::milli>(Ms));
}

/// The class of a task by run time. Short work has priority over long work.
enum class TaskClass : std::uint8_t { Short, Long };

/// Returns "short" or "long".
std::string_view taskClassName(TaskClass Class);

/// How an attempt to run a task ended.
enum class TaskResult : std::uint8_t {
  Ok,
  Failed,            ///< The endpoint ran it and reported a failure.
  RefusedNotStarted, ///< The endpoint refused before starting it.
  Lost,              ///< The connection broke; the task may have run.
  Cancelled,         ///< Cancelled by the caller; no effect on health.
};

/// The health of an endpoint.
enum class HealthState : std::uint8_t { Healthy, Ejected, Probation };

/// Returns "healthy", "ejected" or "probation".
std::string_view healthStateName(HealthState State);

/// An endpoint and the number of its slots that this dispatcher may use.
struct EndpointSpec {
  std::string m_Address;
  std::string m_Service;
  int m_Slots = 0;
};

/// A team's weight in the fair queue and its quota of queued tasks.
struct TeamSpec {
  std::string m_Team;
  double m_Weight = 1;
  std::size_t m_MaxQueued = 10000;
};

/// A task submitted for admission.
struct TaskRequest {
  TaskKey m_Key = 0;
  std::string m_Team;
  std::string m_Service;
  std::string m_Kind; ///< The kind of work, for estimates of the run time.
  TimePoint m_Deadline;
  /// Addresses to avoid while another endpoint of the service can run the task.
  /// The scheduler adds the endpoint of each attempt.
  std::vector<std::string> m_Excluded;
};

/// The result of Scheduler::admit().
struct Admission {
  /// OK, or a failure with QuotaExceeded, Overloaded, NoEndpoint, Timeout,
  /// UnknownTeam or BadRequest (the key is already in use).
  absl::Status m_Status;
  /// The delay after which a refused caller should retry; 0 if a retry would be
  /// refused as well.
  std::int64_t m_RetryAfterMs = 0;
  /// The expected time that the task waits in the queue for a slot.
  double m_ExpectedWaitMs = 0;
  bool ok() const { return m_Status.ok(); }
};

/// Why a task was started on an endpoint.
enum class PlacementReason : std::uint8_t {
  Policy,         ///< The placement policy chose the endpoint.
  Probe,          ///< The task tests an endpoint on probation.
  GuaranteedLong, ///< Long work was below its guaranteed share of slots.
};

/// Returns "policy", "probe" or "guaranteed-long".
std::string_view placementReasonName(PlacementReason Reason);

/// The decision to start a task on an endpoint, with the values that are logged
/// to explain it.
struct PlacementDecision {
  TaskKey m_Task = 0;
  std::string m_Endpoint;
  TaskClass m_Class = TaskClass::Short;
  PlacementReason m_Reason = PlacementReason::Policy;
  std::string_view m_Policy;    ///< The placement policy's name.
  double m_ExpectedMs = 0;      ///< Expected run time; 0 while unknown.
  double m_WaitedMs = 0;        ///< Time in the queue.
  std::size_t m_Candidates = 0; ///< Endpoints with a free slot for m_Class.
  std::string m_Rejected;       ///< The next best endpoint, if compared.
  double m_RejectedExpectedMs = 0;
};

/// The result of Scheduler::cancel().
enum class CancelResult : std::uint8_t {
  Removed, ///< The task was queued and will not start.
  Running, ///< The task is running; its end must be reported to finishTask().
  Unknown, ///< The key is unknown, or the task has ended.
};

/// Slots of one endpoint that one dispatcher lends to another.
struct EndpointSlots {
  std::string m_Address;
  int m_Slots = 0;
};

/// The backlog of a service: its queued tasks.
struct QueuedWork {
  std::size_t m_ShortTasks = 0;
  std::size_t m_LongTasks = 0;
  double m_ExpectedMs = 0; ///< Total expected run time.
};

/// The kind of a state change that the policy made by itself; for the log.
enum class PolicyEventKind : std::uint8_t {
  Ejected,   ///< The endpoint failed too often and gets no new tasks.
  Probation, ///< The ejection expired; the endpoint gets one task as a probe.
  Recovered, ///< The endpoint is healthy again and begins a slow start.
  Demoted,   ///< The task exceeded the short limit and counts as long.
};

/// Returns "ejected", "probation", "recovered" or "demoted".
std::string_view policyEventName(PolicyEventKind Kind);

struct PolicyEvent {
  PolicyEventKind m_Kind = PolicyEventKind::Demoted;
  std::string m_Endpoint;
  TaskKey m_Task = 0; ///< The demoted task; 0 for other events.
};

/// The scheduler's state of an endpoint, for status pages.
struct EndpointSnapshot {
  std::string m_Address;
  std::string m_Service;
  int m_OwnedSlots = 0;
  int m_BorrowedSlots = 0;
  int m_LentSlots = 0;
  int m_Running = 0;
  int m_RunningLong = 0;
  double m_Slowness = 1; ///< See EndpointEstimate::slowness().
  HealthState m_Health = HealthState::Healthy;
  bool m_Leaving = false;
};

} // namespace auburnhub

#endif
