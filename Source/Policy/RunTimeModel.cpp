#include "auburnhub/Policy/RunTimeModel.h"

#include <algorithm>
#include <cmath>

namespace auburnhub {
namespace {

/// The histogram has logarithmic bins over this range of run times.
constexpr unsigned BinCount = 96;
constexpr double MinRunTimeMs = 0.1;
constexpr double MaxRunTimeMs = 1e6;

/// The decay is applied in steps of at least this fraction of the half-life,
/// because each step scales every bin.
constexpr double DecayStep = 1.0 / 16;

} // namespace

RunTimeModel::RunTimeModel(double HalfLifeMs, TimePoint Now)
    : m_HalfLifeMs(HalfLifeMs), m_DecayedAt(Now),
      m_Histogram(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<double>(),
          Axis(BinCount, MinRunTimeMs, MaxRunTimeMs))) {}

void RunTimeModel::record(TimePoint Now, double RunTimeMs) {
  decay(Now);
  double Bounded = std::clamp(RunTimeMs, MinRunTimeMs, MaxRunTimeMs);
  m_Histogram(Bounded);
  m_Weight += 1;
  m_SumMs += Bounded;
  m_SumLog += std::log(Bounded);
}

void RunTimeModel::decay(TimePoint Now) {
  double HalfLives = millisecondsBetween(m_DecayedAt, Now) / m_HalfLifeMs;
  if (HalfLives < DecayStep)
    return;
  double Factor = std::exp2(-HalfLives);
  m_Histogram *= Factor;
  m_Weight *= Factor;
  m_SumMs *= Factor;
  m_SumLog *= Factor;
  m_DecayedAt = Now;
}

double RunTimeModel::meanMs() const {
  return m_Weight > 0 ? m_SumMs / m_Weight : 0;
}

double RunTimeModel::geometricMeanMs() const {
  return m_Weight > 0 ? std::exp(m_SumLog / m_Weight) : 0;
}

double RunTimeModel::quantileMs(double Quantile) const {
  if (m_Weight <= 0)
    return 0;
  const Axis &Bounds = m_Histogram.axis();
  double Target = Quantile * m_Weight;
  double Below = 0;
  for (int I = 0; I <= static_cast<int>(BinCount); ++I) {
    double Count = m_Histogram.at(I);
    if (Count > 0 && Below + Count >= Target) {
      double Fraction = std::max(0.0, (Target - Below) / Count);
      return I < static_cast<int>(BinCount) ? Bounds.value(I + Fraction)
                                            : MaxRunTimeMs;
    }
    Below += Count;
  }
  return MaxRunTimeMs;
}

} // namespace auburnhub
