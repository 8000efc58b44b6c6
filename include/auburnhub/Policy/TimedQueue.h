#ifndef AUBURNHUB_POLICY_TIMEDQUEUE_H
#define AUBURNHUB_POLICY_TIMEDQUEUE_H

#include "auburnhub/Policy/Types.h"

#include <optional>
#include <queue>

namespace auburnhub {

/// A priority queue of values by due time. Entries cannot be removed before
/// they are due: the caller checks that a value from popDue() still applies.
template <typename Value> class TimedQueue {
public:
  void push(TimePoint At, Value V) { m_Heap.push({At, std::move(V)}); }

  /// Removes and returns the earliest value that is due at Now, if any.
  std::optional<Value> popDue(TimePoint Now) {
    if (m_Heap.empty() || m_Heap.top().m_At > Now)
      return std::nullopt;
    Value V = m_Heap.top().m_Value;
    m_Heap.pop();
    return V;
  }

  /// Returns the earliest due time, or nothing if the queue is empty.
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
