#ifndef AUBURNHUB_CONTROL_MONOTONICCLOCK_H
#define AUBURNHUB_CONTROL_MONOTONICCLOCK_H

#include "auburnhub/Base/TimerService.h"

namespace auburnhub {

inline constexpr double MillisecondsPerSecond = 1000;

/// Returns the monotonic time in milliseconds, for parts that take time so.
inline std::int64_t monotonicMilliseconds() {
  auto SinceStart = TimerService::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(SinceStart).count();
}

} // namespace auburnhub

#endif
