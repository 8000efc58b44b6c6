#include "auburnhub/Policy/EndpointEstimate.h"

#include <algorithm>
#include <cmath>

namespace auburnhub {
namespace {

/// The ratio of a run time to the expected run time is clamped to
/// [1 / MaxRatio, MaxRatio].
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

void EndpointEstimate::beginSlowStart(TimePoint Now, double DurationMs) {
  m_SlowStartBegin = Now;
  m_SlowStartEnd = addMs(Now, DurationMs);
}

int EndpointEstimate::usableSlots(TimePoint Now, int Slots) const {
  if (!inSlowStart(Now) || Slots <= 1)
    return Slots;
  double Fraction = millisecondsBetween(m_SlowStartBegin, Now) /
                    millisecondsBetween(m_SlowStartBegin, m_SlowStartEnd);
  return std::clamp(static_cast<int>(Fraction * Slots), 1, Slots);
}

} // namespace auburnhub
