#ifndef AUBURNHUB_POLICY_POISONGUARD_H
#define AUBURNHUB_POLICY_POISONGUARD_H

#include "auburnhub/Policy/Types.h"

#include <unordered_map>

namespace auburnhub {

/// Limits the retries of poison tasks: tasks that crash the endpoints they run
/// on.
class PoisonGuard {
public:
  /// Records that the connection to an endpoint broke while it ran the task.
  void recordLoss(TaskKey Key) { ++m_Losses[Key]; }

  /// Returns whether the task may be started again: it was lost fewer than
  /// MaxLosses times.
  bool mayRun(TaskKey Key, int MaxLosses) const;

  /// Removes the count of a task.
  void forget(TaskKey Key) { m_Losses.erase(Key); }

  std::size_t size() const { return m_Losses.size(); }

private:
  std::unordered_map<TaskKey, int> m_Losses;
};

} // namespace auburnhub

#endif
