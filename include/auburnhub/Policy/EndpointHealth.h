#ifndef AUBURNHUB_POLICY_ENDPOINTHEALTH_H
#define AUBURNHUB_POLICY_ENDPOINTHEALTH_H

#include "auburnhub/Policy/PolicyParameters.h"
#include "auburnhub/Policy/Types.h"

#include <optional>
#include <span>

namespace auburnhub {

/// An input of the state machine of EndpointHealth.
enum class HealthEvent : std::uint8_t {
  Success,             ///< A task succeeded.
  Failure,             ///< A task failed, was refused or was lost.
  FailureLimitReached, ///< Consecutive failures reached the limit, and the
                       ///< share of ejected endpoints allows an ejection.
  EjectionExpired,     ///< The duration of the ejection has passed.
};

/// A transition of the state machine: m_Event changes m_From to m_To.
struct HealthTransition {
  HealthState m_From;
  HealthEvent m_Event;
  HealthState m_To;
};

/// Returns all transitions of an endpoint's health. An event without a
/// transition from the current state is ignored.
std::span<const HealthTransition> healthTransitions();

/// Tracks the health of an endpoint.
///
/// An endpoint is ejected after a number of consecutive failures. After the
/// ejection it is on probation: a success makes it healthy, a failure ejects it
/// again. Each repeated ejection lasts twice as long as the one before, up to
/// PolicyParameters::m_MaxEjectionMs.
class EndpointHealth {
public:
  HealthState state() const { return m_State; }

  /// Records that a task succeeded. Returns the new state if it changed.
  std::optional<HealthState> recordSuccess();

  /// Records that a task failed. Returns the new state if it changed. MayEject
  /// tells whether the allowed share of ejected endpoints permits one more; if
  /// it is false, a healthy endpoint stays healthy.
  std::optional<HealthState> recordFailure(const PolicyParameters &Parameters,
                                           bool MayEject);

  /// Ends the ejection and begins the probation. Returns the new state if it
  /// changed. The caller must wait until the ejection has lasted ejectionMs().
  std::optional<HealthState> beginProbation();

  /// Returns the duration of the current ejection, in milliseconds.
  double ejectionMs(const PolicyParameters &Parameters) const;

private:
  std::optional<HealthState> apply(HealthEvent Event);

  HealthState m_State = HealthState::Healthy;
  int m_Failures = 0;  ///< Consecutive failures.
  int m_Successes = 0; ///< Consecutive successes.
  int m_Ejections = 0; ///< Since the last reset by consecutive successes.
};

} // namespace auburnhub

#endif
