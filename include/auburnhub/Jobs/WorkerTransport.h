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
/// The orders that an owner gives to a worker, and the concept of what carries
/// them. A worker keeps everything alive only while its lease lasts, and obeys
/// the highest fencing token that it has seen.

namespace auburnhub {

/// Rises with each change of a worker's owner.
using FencingToken = std::uint64_t;

struct StartOrder {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  std::string m_Spec;
  FencingToken m_Token = 0;
  /// End of the lease, and of the order's validity, on the worker's clock.
  std::int64_t m_LeaseUntilMs = 0;
};

struct StopOrder {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  FencingToken m_Token = 0;
};

/// Extends the lease of all that runs and asks what runs and what has ended.
struct RenewOrder {
  FencingToken m_Token = 0;
  std::uint64_t m_LastEndSeen = 0; ///< Ends up to here may be forgotten.
  std::optional<std::int64_t> m_LeaseUntilMs; ///< On the worker's clock.
  /// How long the answer may wait for an end.
  std::chrono::milliseconds m_Wait{0};
};

/// What a worker did with an order.
enum class OrderAnswer {
  Accepted,
  Fenced,           ///< It obeys a higher token.
  NumberUsed,       ///< It knows the same or a higher run of this task.
  Expired,          ///< The order's validity was over.
  NoRoom,           ///< The task does not fit beside what runs.
  Invalid,          ///< It does not understand the order.
  Unhealthy,        ///< It takes nothing now and did nothing.
  OtherIncarnation, ///< Another life of the worker answered.
  NotSent,          ///< No connection; it cannot have arrived.
  NoAnswer,         ///< It may have been carried out, or may yet be.
};

/// Returns the lower-case name with underscores, e.g. "no_room".
std::string_view orderAnswerName(OrderAnswer Answer);

struct OrderReply {
  OrderAnswer m_Answer = OrderAnswer::NoAnswer;
  std::optional<std::int64_t> m_WorkerClockMs;
};

struct ListedRun {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  double m_Percent = 0;
};

struct ListedEnd {
  std::uint64_t m_Sequence = 0; ///< From 1 in each life of a worker.
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  RunEnd m_How = RunEnd::Lapsed;
};

struct RenewReply {
  OrderAnswer m_Answer = OrderAnswer::NoAnswer;
  std::int64_t m_WorkerClockMs = 0;
  std::int64_t m_BornMs = 0; ///< Start of this life of the worker.
  std::vector<ListedRun> m_Running;
  std::vector<ListedEnd> m_Ended;
  /// The worker has listed as many ends as it does at once; there may be more.
  bool m_HasMoreEnds = false;
};

/// Carries orders to workers. Calls return at once; the answer comes later,
/// once, never from within the call.
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
