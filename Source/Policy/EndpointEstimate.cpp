#include "auburnhub/Policy/EndpointEstimate.h"

#include <algorithm>
#include <cmath>

namespace auburnhub {
namespace {

/// The largest ratio, either way, that one run time may report.
constexpr double MaxRatio = 16;

} // namespace

void EndpointEstimate::record(double RunTimeMs, double ExpectedMs,
                              double Smoothing) {
  if (ExpectedMs <= 0 || RunTimeMs <= 0)
    return;
  double Ratio = std::clamp(RunTimeMs / ExpectedMs, 1 / MaxRatio, MaxRatio);
  m_LogSlowness += Smoothing * (std::log(Ratio) - m_LogSlowness);
}

double EndpointEstimate::slowness() const { return std::exp(m_LogSlowness); }

void EndpointEstimate::startSlowly(TimePoint Now, double DurationMs) {
  m_SlowFrom = Now;
  m_SlowUntil = addMs(Now, DurationMs);
}

int EndpointEstimate::usableSlots(TimePoint Now, int Slots) const {
  if (!startsSlowly(Now) || Slots <= 1)
    return Slots;
  double Part = millisecondsBetween(m_SlowFrom, Now) /
                millisecondsBetween(m_SlowFrom, m_SlowUntil);
  return std::clamp(static_cast<int>(Part * Slots), 1, Slots);
}

} // namespace auburnhub
