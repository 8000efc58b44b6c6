#ifndef AUBURNHUB_NODE_PEERCLOCK_H
#define AUBURNHUB_NODE_PEERCLOCK_H

#include "auburnhub/Policy/Types.h"

#include <optional>

namespace auburnhub {

/// A lower bound of the clock of another process, from the times that its
/// messages state. A delayed message only lowers the bound.
class PeerClock {
public:
  /// A message that was sent at PeerTime on the peer's clock has arrived.
  void observe(TimePoint Now, TimePoint PeerTime);

  /// Returns a time that the peer's clock had reached at At, which may be in
  /// the past; nothing before the first observe().
  std::optional<TimePoint> reached(TimePoint At) const;

private:
  /// Share by which the peer's clock may run slower or faster than the local
  /// one.
  static constexpr double MaxDriftShare = 0.001;

  std::optional<TimePoint> m_PeerTime; ///< Bound at m_ObservedAt.
  TimePoint m_ObservedAt;
};

} // namespace auburnhub

#endif
