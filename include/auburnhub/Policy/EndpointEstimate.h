#ifndef AUBURNHUB_POLICY_ENDPOINTESTIMATE_H
#define AUBURNHUB_POLICY_ENDPOINTESTIMATE_H

#include "auburnhub/Policy/Types.h"

namespace auburnhub {

/// Learns how slow an endpoint is, relative to the service's run-time model,
/// and how many of its slots to use while it warms up.
///
/// The ratio is smoothed exponentially on a logarithmic scale and each sample
/// is bounded, so that one straggler does not condemn an endpoint.
class EndpointEstimate {
public:
  /// Adds a run time. ExpectedMs is the kind's geometric mean over all
  /// endpoints;
  /// Smoothing, in (0, 1], is the weight of the new sample.
  void record(double RunTimeMs, double ExpectedMs, double Smoothing);

  /// Returns the run time relative to the service's endpoints as a whole.
  double slowness() const;

  /// Begins to use the endpoint's slots gradually.
  void startSlowly(TimePoint Now, double DurationMs);

  /// Returns how many of Slots may be used at Now; at least 1 if Slots is.
  int usableSlots(TimePoint Now, int Slots) const;

  /// Returns whether the slow start still limits the slots.
  bool startsSlowly(TimePoint Now) const { return Now < m_SlowUntil; }

private:
  double m_LogSlowness = 0;
  TimePoint m_SlowFrom;
  TimePoint m_SlowUntil;
};

} // namespace auburnhub

#endif
