#ifndef AUBURNHUB_POLICY_ENDPOINTHEALTH_H
#define AUBURNHUB_POLICY_ENDPOINTHEALTH_H

#include "auburnhub/Policy/PolicyParameters.h"
#include "auburnhub/Policy/Types.h"

#include <optional>
#include <span>

namespace auburnhub {

/// What changes an endpoint's health.
enum class HealthEvent : std::uint8_t {
  Success,         ///< A task ended well.
  Failure,         ///< A task failed or was lost.
  TooManyFailures, ///< The failure that fills the limit, and ejection is free.
  EjectionOver,    ///< The time of ejection has passed.
};

/// One row of the chart: in m_From, m_Event leads to m_To.
struct HealthTransition {
  HealthState m_From;
  HealthEvent m_Event;
  HealthState m_To;
};

/// Returns the chart of an endpoint's health. An event without a row for the
/// present state changes nothing.
std::span<const HealthTransition> healthTransitions();

/// Follows the health of an endpoint: one that fails everything is ejected for
/// a time that doubles at each return, then tried with one task.
class EndpointHealth {
public:
  HealthState state() const { return m_State; }

  /// Takes in a task's success. Returns the new state if it changed.
  std::optional<HealthState> succeeded();

  /// Takes in a task's failure. Returns the new state if it changed. MayEject
  /// says whether the share of ejected endpoints allows one more.
  std::optional<HealthState> failed(const PolicyParameters &Parameters,
                                    bool MayEject);

  /// Ends the ejection. Returns the new state if it changed.
  std::optional<HealthState> ejectionOver();

  /// Returns how long the present ejection lasts, in milliseconds.
  double ejectionMs(const PolicyParameters &Parameters) const;

private:
  std::optional<HealthState> apply(HealthEvent Event);

  HealthState m_State = HealthState::Healthy;
  int m_Failures = 0;  ///< In a row.
  int m_Successes = 0; ///< In a row.
  int m_Ejections = 0; ///< Since the last lasting recovery.
};

} // namespace auburnhub

#endif
