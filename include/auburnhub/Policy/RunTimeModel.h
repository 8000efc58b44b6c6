#ifndef AUBURNHUB_POLICY_RUNTIMEMODEL_H
#define AUBURNHUB_POLICY_RUNTIMEMODEL_H

#include "auburnhub/Policy/Types.h"

#include <boost/histogram.hpp>

namespace auburnhub {

/// Learns the run times of one sort of work as a histogram whose older entries
/// lose weight with a half-life, so that a change of behaviour is followed and
/// a stale estimate is forgotten.
class RunTimeModel {
public:
  /// HalfLifeMs must be positive.
  explicit RunTimeModel(double HalfLifeMs, TimePoint Now = TimePoint());

  void setHalfLife(double HalfLifeMs) { m_HalfLifeMs = HalfLifeMs; }

  /// Adds a run time.
  void record(TimePoint Now, double RunTimeMs);

  /// Lets older entries lose weight up to Now.
  void decay(TimePoint Now);

  /// Returns the decayed number of recorded run times.
  double weight() const { return m_Weight; }

  /// Returns the mean run time in milliseconds, or 0 without entries.
  double meanMs() const;

  /// Returns the geometric mean of the run times in milliseconds, or 0 without
  /// entries.
  double geometricMeanMs() const;

  /// Returns the run time that the share Quantile of the entries stays below,
  /// in milliseconds and within the width of a bin; 0 without entries.
  double quantileMs(double Quantile) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  double m_HalfLifeMs;
  TimePoint m_DecayedAt;
  Histogram m_Histogram;
  double m_Weight = 0;
  double m_SumMs = 0;
  double m_SumLog = 0;
};

} // namespace auburnhub

#endif
