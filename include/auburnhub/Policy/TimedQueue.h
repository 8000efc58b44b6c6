#ifndef AUBURNHUB_POLICY_TIMEDQUEUE_H
#define AUBURNHUB_POLICY_TIMEDQUEUE_H

#include "auburnhub/Policy/Types.h"

#include <optional>
#include <queue>

namespace auburnhub {

/// Holds values until their time comes. There is no removal: whoever takes a
/// value out checks that it still applies.
template <typename Value> class TimedQueue {
public:
  void push(TimePoint At, Value V) { m_Heap.push({At, std::move(V)}); }

  /// Takes out the earliest value whose time is at or before Now.
  std::optional<Value> popDue(TimePoint Now) {
    if (m_Heap.empty() || m_Heap.top().m_At > Now)
      return std::nullopt;
    Value V = m_Heap.top().m_Value;
    m_Heap.pop();
    return V;
  }

  /// Returns the earliest time held.
  std::optional<TimePoint> next() const {
    if (m_Heap.empty())
      return std::nullopt;
    return m_Heap.top().m_At;
  }

private:
  struct Entry {
    TimePoint m_At;
    Value m_Value;
    bool operator<(const Entry &Other) const { return m_At > Other.m_At; }
  };

  std::priority_queue<Entry> m_Heap;
};

} // namespace auburnhub

#endif
