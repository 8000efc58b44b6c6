#ifndef AUBURNHUB_POLICY_TYPES_H
#define AUBURNHUB_POLICY_TYPES_H

#include "absl/status/status.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What the decision policy takes in and gives back. Nothing here reads a
/// clock: instants are passed in. Durations named Ms are milliseconds.

namespace auburnhub {

using TimePoint = std::chrono::steady_clock::time_point;

/// Names one task of one submission within a dispatcher.
using TaskKey = std::uint64_t;

/// Returns End - Begin in milliseconds.
inline double millisecondsBetween(TimePoint Begin, TimePoint End) {
  return std::chrono::duration<double, std::milli>(End - Begin).count();
}

/// Returns the instant Ms milliseconds after From. Ms must be finite.
inline TimePoint addMs(TimePoint From, double Ms) {
  return From + std::chrono::duration_cast<TimePoint::duration>(
                    std::chrono::duration<double, std::milli>(Ms));
}

/// Short work goes before long work.
enum class TaskClass : std::uint8_t { Short, Long };

/// Returns "short" or "long".
std::string_view taskClassName(TaskClass Class);

/// How an attempt to run a task ended.
enum class TaskResult : std::uint8_t {
  Ok,
  Failed,            ///< The endpoint ran it and reported a failure.
  RefusedNotStarted, ///< The endpoint refused before starting it.
  Lost,              ///< The connection broke; it may have run.
  Cancelled,         ///< The caller no longer wants it. Nothing is learned.
};

/// The health of an endpoint.
enum class HealthState : std::uint8_t { Healthy, Ejected, Probation };

/// Returns "healthy", "ejected" or "probation".
std::string_view healthStateName(HealthState State);

/// An endpoint and the slots of it that this dispatcher may use.
struct EndpointSpec {
  std::string m_Address;
  std::string m_Service;
  int m_Slots = 0;
};

/// A team's weight in the fair shares and the most tasks it may have queued.
struct TeamSpec {
  std::string m_Team;
  double m_Weight = 1;
  std::size_t m_MaxQueued = 10000;
};

/// A task that asks to be run.
struct QueuedTask {
  TaskKey m_Key = 0;
  std::string m_Team;
  std::string m_Service;
  std::string m_Kind;
  TimePoint m_Deadline;
  /// Addresses to avoid while another endpoint of the service can run it.
  std::vector<std::string> m_Excluded;
};

/// The answer to a task that asks to be run.
struct Admission {
  /// OK, or a failure with QuotaExceeded, Overloaded, NoEndpoint, Timeout,
  /// UnknownTeam or BadRequest (the key is in use).
  absl::Status m_Status;
  /// When to ask again, if refused; 0 when asking again is no use.
  std::int64_t m_RetryAfterMs = 0;
  /// How long the task is expected to wait for a slot.
  double m_ExpectedWaitMs = 0;
  bool ok() const { return m_Status.ok(); }
};

/// Why a task was started on an endpoint.
enum class PlacementReason : std::uint8_t {
  Policy,         ///< The placement policy chose it.
  Probe,          ///< It is the one task that tries an ejected endpoint.
  GuaranteedLong, ///< Long work was below its guaranteed share.
};

/// Returns "policy", "probe" or "guaranteed-long".
std::string_view placementReasonName(PlacementReason Reason);

/// A task starts on an endpoint, with what a decision's log line shows.
struct PlacementDecision {
  TaskKey m_Task = 0;
  std::string m_Endpoint;
  TaskClass m_Class = TaskClass::Short;
  PlacementReason m_Reason = PlacementReason::Policy;
  std::string_view m_Policy; ///< The placement policy's name.
  double m_ExpectedMs = 0;   ///< Expected run time; 0 while not learned.
  double m_WaitedMs = 0;
  std::size_t m_Candidates = 0; ///< Endpoints that had a slot for its class.
  std::string m_Rejected;       ///< The next best endpoint; empty if none.
  double m_RejectedExpectedMs = 0;
};

/// What became of a request to cancel a task.
enum class CancelResult : std::uint8_t {
  Removed, ///< It was queued; it will not start.
  Running, ///< It runs; report its end to finished().
  Unknown, ///< It is not known, or has ended.
};

/// Slots of one endpoint that change hands between dispatchers.
struct EndpointSlots {
  std::string m_Address;
  int m_Slots = 0;
};

/// What waits for a service's slots.
struct QueuedWork {
  std::size_t m_ShortTasks = 0;
  std::size_t m_LongTasks = 0;
  double m_ExpectedMs = 0; ///< Summed expected run time.
};

/// A change that the policy made by itself, for the log.
enum class PolicyEventKind : std::uint8_t {
  Ejected,   ///< The endpoint failed too often and gets nothing new.
  Probation, ///< The endpoint is tried with one task.
  Recovered, ///< The endpoint is healthy again and starts slowly.
  Demoted,   ///< The task outlived the short class and counts as long.
};

/// Returns "ejected", "probation", "recovered" or "demoted".
std::string_view policyEventName(PolicyEventKind Kind);

struct PolicyEvent {
  PolicyEventKind m_Kind = PolicyEventKind::Demoted;
  std::string m_Endpoint;
  TaskKey m_Task = 0; ///< The demoted task.
};

/// An endpoint as the policy sees it, for status pages.
struct EndpointSnapshot {
  std::string m_Address;
  std::string m_Service;
  int m_OwnedSlots = 0;
  int m_BorrowedSlots = 0;
  int m_LentSlots = 0;
  int m_Running = 0;
  int m_RunningLong = 0;
  double m_Slowness = 1; ///< Run time relative to the service's other ones.
  HealthState m_Health = HealthState::Healthy;
  bool m_Leaving = false;
};

} // namespace auburnhub

#endif
