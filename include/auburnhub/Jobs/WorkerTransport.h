#ifndef AUBURNHUB_JOBS_WORKERTRANSPORT_H
#define AUBURNHUB_JOBS_WORKERTRANSPORT_H

#include "auburnhub/Jobs/Job.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Orders from an owner to a worker, and the concept of the transport that
/// carries them. A worker keeps its runs alive only while its lease lasts, and
/// obeys the highest fencing token that it has seen.

namespace auburnhub {

/// Increases with each change of a worker's owner.
using FencingToken = std::uint64_t;

/// Starts a run of a task.
struct StartOrder {
  TaskRef m_Task;
  std::uint32_t m_Number = 0; ///< Number of the run.
  std::string m_Spec;
  FencingToken m_Token = 0;
  /// End of the lease, and of the order's validity, on the worker's clock.
  std::int64_t m_LeaseUntilMs = 0;
};

/// Stops a run of a task.
struct StopOrder {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  FencingToken m_Token = 0;
};

/// Renews the lease of all runs of a worker and queries its active and ended
/// runs.
struct RenewOrder {
  FencingToken m_Token = 0;
  std::uint64_t m_LastEndSeen = 0; ///< Acknowledges ends up to this one.
  std::optional<std::int64_t> m_LeaseUntilMs; ///< On the worker's clock.
  /// Maximum time that the worker may delay its answer until a run ends.
  std::chrono::milliseconds m_MaxWait{0};
};

/// Result of an order.
enum class OrderAnswer {
  Accepted,
  Fenced,           ///< The worker obeys a higher token.
  NumberUsed,       ///< The worker knows this or a higher run number.
  Expired,          ///< The order arrived after its validity had ended.
  NoRoom,           ///< Too little free capacity for the task.
  Invalid,          ///< The worker does not understand the order.
  Unhealthy,        ///< The worker accepts no orders now; nothing was done.
  OtherIncarnation, ///< Another incarnation of the worker answered.
  NotSent,          ///< No connection; the order cannot have arrived.
  NoAnswer,         ///< The order may have been or may still be executed.
};

/// Returns the lower-case name with underscores, e.g. "no_room".
std::string_view orderAnswerName(OrderAnswer Answer);

/// Answer to a start or stop order.
struct OrderReply {
  OrderAnswer m_Answer = OrderAnswer::NoAnswer;
  std::optional<std::int64_t> m_WorkerClockMs;
};

/// An active run as listed by its worker.
struct ListedRun {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  double m_Percent = 0; ///< Progress.
};

/// The end of a run as listed by its worker until it is acknowledged.
struct ListedEnd {
  std::uint64_t m_Sequence = 0; ///< From 1 in each incarnation of a worker.
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  RunEnd m_EndKind = RunEnd::Lapsed;
};

/// Answer to a renewal.
struct RenewReply {
  OrderAnswer m_Answer = OrderAnswer::NoAnswer;
  std::int64_t m_WorkerClockMs = 0;
  std::int64_t m_IncarnationStartMs =
      0; ///< Start time of this incarnation of the worker.
  std::vector<ListedRun> m_Running;
  std::vector<ListedEnd> m_Ended;
  /// The list of ends has reached the worker's limit; there may be more.
  bool m_HasMoreEnds = false;
};

/// Carries orders to workers. Calls return immediately; the callback is invoked
/// exactly once, later, never from within the call.
template <typename Type>
concept WorkerTransport = requires(Type &T, const WorkerSpec &To,
                                   const StartOrder &Start,
                                   const StopOrder &Stop,
                                   const RenewOrder &Renew,
                                   std::chrono::milliseconds Timeout,
                                   std::function<void(OrderReply)> Ordered,
                                   std::function<void(RenewReply)> Renewed) {
  T.start(To, Start, Timeout, Ordered);
  T.stop(To, Stop, Timeout, Ordered);
  T.renew(To, Renew, Timeout, Renewed);
};

} // namespace auburnhub

#endif
