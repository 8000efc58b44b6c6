#ifndef AUBURNHUB_POLICY_POISONGUARD_H
#define AUBURNHUB_POLICY_POISONGUARD_H

#include "auburnhub/Policy/Types.h"

#include <unordered_map>

namespace auburnhub {

/// Stops a task that kills the endpoints it runs on.
class PoisonGuard {
public:
  /// Notes that an endpoint was lost while it ran the task.
  void lost(TaskKey Key) { ++m_Losses[Key]; }

  /// Returns whether the task may be started once more.
  bool mayRun(TaskKey Key, int MaxLosses) const;

  /// Drops what is known of a task.
  void forget(TaskKey Key) { m_Losses.erase(Key); }

  std::size_t size() const { return m_Losses.size(); }

private:
  std::unordered_map<TaskKey, int> m_Losses;
};

} // namespace auburnhub

#endif
