#ifndef AUBURNHUB_NODE_SHARDPROBER_H
#define AUBURNHUB_NODE_SHARDPROBER_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Jobs/WorkerTransport.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Policy/Types.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace auburnhub {

/// Probes whether the workers of another data centre are reachable before their
/// shard is claimed.
///
/// A claim made while the workers are unreachable is harmful: once the path is
/// restored, its higher token fences off the owner that has served the workers
/// all along. The same holds for a claim made immediately after the path is
/// restored, because the links to that owner may take longer to reconnect.
template <WorkerTransport Transport> class ShardProber {
public:
  /// OnReachable is called whenever a worker answers a probe.
  ShardProber(Transport &Orders, std::function<void()> OnReachable)
      : m_Orders(Orders), m_OnReachable(std::move(OnReachable)),
        m_Self(std::make_shared<ShardProber *>(this)) {}

  /// Returns whether a worker of the shard has answered a probe that was sent
  /// within the last AnswerValidityMs. If the shard was unreachable before, the
  /// first answered probe must also be ReconnectMs old. Probes up to
  /// WorkersPerProbe workers if no such answer exists and the last probe is at
  /// least ProbeIntervalMs old.
  bool isReachable(TimePoint Now, const ShardId &Shard,
                   std::span<const WorkerSpec> Workers);

private:
  /// Time for which an answer is valid after its probe was sent, in
  /// milliseconds: several times the period of ownership updates.
  static constexpr double AnswerValidityMs = 1000;
  /// Minimum time between two probes, in milliseconds.
  static constexpr double ProbeIntervalMs = 400;
  /// Timeout of a probe, in milliseconds: workers in other regions answer well
  /// within it.
  static constexpr std::chrono::milliseconds ProbeTimeout{200};
  /// Time from the first answered probe after the shard was unreachable until
  /// links to other nodes have reconnected, in milliseconds: the longest
  /// reconnect backoff and the handshake.
  static constexpr double ReconnectMs = 1500;
  /// Number of workers per probe: several, because single workers may be down.
  static constexpr std::size_t WorkersPerProbe = 3;

  struct ProbeState {
    std::optional<TimePoint> m_ProbedAt;
    /// Send time of the last probe that was answered.
    std::optional<TimePoint> m_AnsweredProbeAt;
    /// No worker had answered a probe when the next one was sent.
    bool m_WasUnreachable = false;
    /// Send time of the first answered probe since the shard was unreachable.
    std::optional<TimePoint> m_ReachableSince;
  };

  void probe(TimePoint Now, const ShardId &Shard, const WorkerSpec &Worker);

  Transport &m_Orders;
  std::function<void()> m_OnReachable;
  Log m_Log{"ownership"};
  std::map<std::string, ProbeState> m_Probes; ///< By shard name.
  /// Callbacks of probes hold a weak reference and do nothing once the prober
  /// is destroyed.
  std::shared_ptr<ShardProber *> m_Self;
};

template <WorkerTransport Transport>
bool ShardProber<Transport>::isReachable(TimePoint Now, const ShardId &Shard,
                                         std::span<const WorkerSpec> Workers) {
  ProbeState &State = m_Probes[Shard.str()];
  if (State.m_AnsweredProbeAt &&
      millisecondsBetween(*State.m_AnsweredProbeAt, Now) < AnswerValidityMs)
    return !State.m_WasUnreachable ||
           millisecondsBetween(*State.m_ReachableSince, Now) >= ReconnectMs;
  if (State.m_ProbedAt &&
      millisecondsBetween(*State.m_ProbedAt, Now) < ProbeIntervalMs)
    return false;
  bool HadAnswer = State.m_AnsweredProbeAt && State.m_ProbedAt &&
                   *State.m_AnsweredProbeAt >= *State.m_ProbedAt;
  if (State.m_ProbedAt && !HadAnswer) {
    State.m_WasUnreachable = true;
    State.m_ReachableSince.reset();
  }
  State.m_ProbedAt = Now;
  std::size_t WorkerCount = std::min(WorkersPerProbe, Workers.size());
  m_Log.info("shard_probed",
             {{"shard", Shard.str()}, {"workers", WorkerCount}});
  for (const WorkerSpec &Worker : Workers.first(WorkerCount))
    probe(Now, Shard, Worker);
  return false;
}

template <WorkerTransport Transport>
void ShardProber<Transport>::probe(TimePoint Now, const ShardId &Shard,
                                   const WorkerSpec &Worker) {
  // A renewal with the lowest token and without a lease changes nothing at the
  // worker and fences off no owner.
  std::weak_ptr<ShardProber *> Weak = m_Self;
  m_Orders.renew(Worker, RenewOrder(), ProbeTimeout,
                 [Weak, Now, Shard](const RenewReply &Reply) {
                   auto Self = Weak.lock();
                   bool Answered = Reply.m_Answer != OrderAnswer::NotSent &&
                                   Reply.m_Answer != OrderAnswer::NoAnswer;
                   if (!Self || !Answered)
                     return;
                   ProbeState &State = (*Self)->m_Probes[Shard.str()];
                   State.m_AnsweredProbeAt = Now;
                   if (!State.m_ReachableSince)
                     State.m_ReachableSince = Now;
                   (*Self)->m_OnReachable();
                 });
}

} // namespace auburnhub

#endif
