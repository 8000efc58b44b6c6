#include "auburnhub/Node/PeerClock.h"

#include <cmath>

namespace auburnhub {

void PeerClock::observe(TimePoint Now, TimePoint PeerTime) {
  std::optional<TimePoint> Known = reached(Now);
  if (Known && PeerTime <= *Known)
    return;
  m_PeerTime = PeerTime;
  m_ObservedAt = Now;
}

std::optional<TimePoint> PeerClock::reached(TimePoint At) const {
  if (!m_PeerTime)
    return std::nullopt;
  double ElapsedMs = millisecondsBetween(m_ObservedAt, At);
  double DriftMs = std::abs(ElapsedMs) * MaxDriftShare;
  return addMs(*m_PeerTime, ElapsedMs - DriftMs);
}

} // namespace auburnhub
