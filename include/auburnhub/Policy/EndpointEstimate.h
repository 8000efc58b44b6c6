#ifndef AUBURNHUB_POLICY_ENDPOINTESTIMATE_H
#define AUBURNHUB_POLICY_ENDPOINTESTIMATE_H

#include "auburnhub/Policy/Types.h"

namespace auburnhub {

/// Estimates the slowness of an endpoint relative to the run-time model of its
/// service, and limits the slots in use during a slow start.
///
/// The slowness is an exponentially weighted moving average on a logarithmic
/// scale. Each sample is clamped, so that a single straggler has little effect.
class EndpointEstimate {
public:
  /// Adds the run time of a task. ExpectedMs is the geometric mean of the
  /// task's kind over all endpoints, or 0 if unknown. The sample is ignored if
  /// either time is not positive. Smoothing, in (0, 1], is the weight of the
  /// new sample.
  void record(double RunTimeMs, double ExpectedMs, double Smoothing);

  /// Returns the run time on this endpoint divided by the run time over all
  /// endpoints of the service; 1 without samples, above 1 for a slow endpoint.
  double slowness() const;

  /// Begins a slow start: the number of usable slots rises linearly to all
  /// slots within DurationMs milliseconds.
  void beginSlowStart(TimePoint Now, double DurationMs);

  /// Returns how many of Slots may be used at Now: at least 1, or 0 if Slots
  /// is 0.
  int usableSlots(TimePoint Now, int Slots) const;

  /// Returns whether a slow start is in progress at Now.
  bool inSlowStart(TimePoint Now) const { return Now < m_SlowStartEnd; }

private:
  double m_LogSlowness = 0;
  TimePoint m_SlowStartBegin;
  TimePoint m_SlowStartEnd;
};

} // namespace auburnhub

#endif
