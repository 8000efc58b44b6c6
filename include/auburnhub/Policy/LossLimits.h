#ifndef AUBURNHUB_POLICY_LOSSLIMITS_H
#define AUBURNHUB_POLICY_LOSSLIMITS_H

#include <cstdint>
#include <limits>

namespace auburnhub {

/// How often the endpoint or the worker of a task was lost during a run.
struct LossCount {
  std::uint32_t m_Losses = 0;
  std::uint32_t m_Crashes = 0; ///< Losses that are known to be crashes.
};

/// Limits the retries of tasks that crash what they run on. A task is given up
/// once one of the limits is reached.
struct LossLimits {
  std::uint32_t m_MaxLosses = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t m_MaxCrashes = std::numeric_limits<std::uint32_t>::max();

  constexpr bool areReached(const LossCount &Count) const {
    return Count.m_Losses >= m_MaxLosses || Count.m_Crashes >= m_MaxCrashes;
  }
};

} // namespace auburnhub

#endif
