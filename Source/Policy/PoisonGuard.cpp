#include "auburnhub/Policy/PoisonGuard.h"

namespace auburnhub {

bool PoisonGuard::mayRun(TaskKey Key, int MaxLosses) const {
  auto It = m_Losses.find(Key);
  return It == m_Losses.end() || It->second < MaxLosses;
}

} // namespace auburnhub
