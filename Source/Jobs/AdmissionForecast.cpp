#include "auburnhub/Jobs/AdmissionForecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnhub {
namespace {

/// Share of jobs that may wait longer than the forecast times the margin.
constexpr double LateShare = 0.2;

/// Change of the margin, on a logarithmic scale, with each wait.
constexpr double MarginStep = 0.05;

constexpr double MinMargin = 0.25;
constexpr double MaxMargin = 4;

} // namespace

StartForecast AdmissionForecast::forecast(const BacklogState &State) {
  if (State.m_ReleasedPerMs <= 0) {
    double Never = std::numeric_limits<double>::infinity();
    return {Never, Never};
  }
  return {(State.m_CpuBefore + State.m_FirstTaskCpu) / State.m_ReleasedPerMs,
          (State.m_CpuBefore + State.m_JobCpu) / State.m_ReleasedPerMs};
}

bool AdmissionForecast::isHopeless(const StartForecast &Forecast,
                                   double FirstLimitMs,
                                   double LastLimitMs) const {
  if (!std::isfinite(Forecast.m_FirstStartMs))
    return false;
  return m_Margin * Forecast.m_FirstStartMs > FirstLimitMs ||
         m_Margin * Forecast.m_LastStartMs > LastLimitMs;
}

void AdmissionForecast::observe(double ForecastMs, double WaitedMs) {
  if (!std::isfinite(ForecastMs))
    return;
  double IsLonger = WaitedMs > m_Margin * ForecastMs ? 1 : 0;
  m_Margin =
      std::clamp(m_Margin * std::exp(MarginStep * (IsLonger - LateShare)),
                 MinMargin, MaxMargin);
}

} // namespace auburnhub
