#ifndef AUBURNHUB_POLICY_RETRYAFTER_H
#define AUBURNHUB_POLICY_RETRYAFTER_H

#include "auburnhub/Policy/PolicyParameters.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace auburnhub {

/// Returns the delay, in milliseconds, after which a refused caller should
/// retry: the larger of WaitMs and m_MinRetryAfterMs, plus a uniform jitter of
/// up to m_RetryAfterSpread times that delay, so that refused callers do not
/// retry at the same time.
template <std::uniform_random_bit_generator Rng>
std::int64_t retryAfterMs(const PolicyParameters &Parameters, double WaitMs,
                          Rng &Random) {
  double MinMs = std::max(WaitMs, Parameters.m_MinRetryAfterMs);
  std::uniform_real_distribution<double> Spread(0,
                                                Parameters.m_RetryAfterSpread);
  return static_cast<std::int64_t>(MinMs * (1 + Spread(Random)));
}

} // namespace auburnhub

#endif
