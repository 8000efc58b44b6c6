#ifndef AUBURNHUB_POLICY_RETRYAFTER_H
#define AUBURNHUB_POLICY_RETRYAFTER_H

#include "auburnhub/Policy/PolicyParameters.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace auburnhub {

/// Returns when a refused caller should ask again, in milliseconds: at least
/// WaitMs, spread evenly so that refused callers do not return together.
template <std::uniform_random_bit_generator Rng>
std::int64_t retryAfterMs(const PolicyParameters &Parameters, double WaitMs,
                          Rng &Random) {
  double Least = std::max(WaitMs, Parameters.m_MinRetryAfterMs);
  std::uniform_real_distribution<double> Spread(0,
                                                Parameters.m_RetryAfterSpread);
  return static_cast<std::int64_t>(Least * (1 + Spread(Random)));
}

} // namespace auburnhub

#endif
