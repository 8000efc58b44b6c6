#include "auburnhub/Policy/EndpointHealth.h"

#include <algorithm>
#include <array>

namespace auburnhub {
namespace {

using enum HealthState;
using Event = HealthEvent;

constexpr std::array Transitions = {
    HealthTransition{Healthy, Event::FailureLimitReached, Ejected},
    HealthTransition{Ejected, Event::EjectionExpired, Probation},
    HealthTransition{Probation, Event::Success, Healthy},
    HealthTransition{Probation, Event::Failure, Ejected},
    HealthTransition{Probation, Event::FailureLimitReached, Ejected},
};

/// Number of consecutive successes after which the count of ejections is reset,
/// so that the next ejection has the minimum duration again.
constexpr int RecoverySuccesses = 50;

/// Maximum number of doublings of the ejection time; keeps the shift in
/// ejectionMs() within the range of int.
constexpr int MaxDoublings = 30;

} // namespace

std::span<const HealthTransition> healthTransitions() { return Transitions; }

std::optional<HealthState> EndpointHealth::recordSuccess() {
  m_Failures = 0;
  if (++m_Successes >= RecoverySuccesses)
    m_Ejections = 0;
  return apply(HealthEvent::Success);
}

std::optional<HealthState>
EndpointHealth::recordFailure(const PolicyParameters &Parameters,
                              bool MayEject) {
  m_Successes = 0;
  ++m_Failures;
  bool TooMany = m_Failures >= Parameters.m_EjectAfterFailures && MayEject;
  return apply(TooMany ? HealthEvent::FailureLimitReached
                       : HealthEvent::Failure);
}

std::optional<HealthState> EndpointHealth::beginProbation() {
  return apply(HealthEvent::EjectionExpired);
}

double EndpointHealth::ejectionMs(const PolicyParameters &Parameters) const {
  int Doublings = std::clamp(m_Ejections - 1, 0, MaxDoublings);
  double Ms = Parameters.m_MinEjectionMs * static_cast<double>(1 << Doublings);
  return std::min(Ms, Parameters.m_MaxEjectionMs);
}

std::optional<HealthState> EndpointHealth::apply(HealthEvent Event) {
  for (const HealthTransition &T : Transitions) {
    if (T.m_From != m_State || T.m_Event != Event)
      continue;
    m_State = T.m_To;
    if (m_State == Ejected)
      ++m_Ejections;
    return m_State;
  }
  return std::nullopt;
}

} // namespace auburnhub
