#include "auburnhub/Node/HeartbeatSchedule.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace auburnhub {
namespace {

/// Interval of the heartbeats between idle nodes divided by the number of
/// peers, in milliseconds. A node sends 50 of them per second in all, a few
/// percent of what the smallest machine can send.
constexpr double LongIntervalPerPeerMs = 20;

/// Maximum interval between idle nodes, in milliseconds. It bounds the time for
/// which a node counts as a member after it has lost power.
constexpr double MaxLongIntervalMs = 5000;

} // namespace

void HeartbeatSchedule::peerUp(const std::string &Name,
                               bool SupportsLongIntervals) {
  Peer Added;
  Added.m_SupportsLongIntervals = SupportsLongIntervals;
  m_Peers[Name] = Added;
}

bool HeartbeatSchedule::setPeerWorking(const std::string &Name, bool Working) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end())
    return false;
  bool HasStarted = Working && !Found->second.m_IsWorking;
  Found->second.m_IsWorking = Working;
  return HasStarted;
}

double HeartbeatSchedule::longIntervalMs() const {
  return std::clamp(LongIntervalPerPeerMs * static_cast<double>(m_Peers.size()),
                    ShortIntervalMs, MaxLongIntervalMs);
}

double HeartbeatSchedule::intervalMs(const std::string &Name) const {
  auto Found = m_Peers.find(Name);
  bool IsIdleLink = Found != m_Peers.end() && !m_SelfWorking &&
                    !Found->second.m_IsWorking &&
                    Found->second.m_SupportsLongIntervals;
  return IsIdleLink ? longIntervalMs() : ShortIntervalMs;
}

std::vector<std::string> HeartbeatSchedule::duePeers(TimePoint Now,
                                                     double TickMs) const {
  std::vector<std::string> Result;
  for (const auto &[Name, State] : m_Peers) {
    double IntervalMs = std::min(intervalMs(Name), State.m_StatedIntervalMs);
    double SinceSentMs = millisecondsBetween(State.m_LastSentAt, Now);
    if (IntervalMs <= TickMs || SinceSentMs + TickMs > IntervalMs)
      Result.push_back(Name);
  }
  return Result;
}

void HeartbeatSchedule::markSent(TimePoint Now, const std::string &Name) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end())
    return;
  Peer &State = Found->second;
  double IntervalMs = intervalMs(Name);
  State.m_LastSentAt = Now;
  // The first long interval is cut short by a different time for each peer.
  // Nodes that start together would otherwise always send at the same moment.
  if (IntervalMs > State.m_StatedIntervalMs)
    State.m_LastSentAt = addMs(
        Now, -std::fmod(static_cast<double>(std::hash<std::string>{}(Name)),
                        IntervalMs));
  State.m_StatedIntervalMs = IntervalMs;
}

} // namespace auburnhub
