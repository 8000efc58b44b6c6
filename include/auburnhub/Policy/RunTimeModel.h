#ifndef AUBURNHUB_POLICY_RUNTIMEMODEL_H
#define AUBURNHUB_POLICY_RUNTIMEMODEL_H

#include "auburnhub/Policy/Types.h"

#include <boost/histogram.hpp>

namespace auburnhub {

/// The distribution of the run times of one kind of work: a histogram in which
/// the weight of each sample halves within every half-life, so that the
/// estimate follows changes of the run times.
class RunTimeModel {
public:
  /// HalfLifeMs must be positive.
  explicit RunTimeModel(double HalfLifeMs, TimePoint Now = TimePoint());

  void setHalfLife(double HalfLifeMs) { m_HalfLifeMs = HalfLifeMs; }

  /// Adds a run time, clamped to the range of the histogram.
  void record(TimePoint Now, double RunTimeMs);

  /// Applies the decay up to Now.
  void decay(TimePoint Now);

  /// Returns the number of recorded run times after decay.
  double weight() const { return m_Weight; }

  /// Returns the mean run time in milliseconds, or 0 without samples.
  double meanMs() const;

  /// Returns the geometric mean of the run times in milliseconds, or 0 without
  /// samples.
  double geometricMeanMs() const;

  /// Returns the given quantile, in [0, 1], of the run times in milliseconds,
  /// accurate to the width of a bin; 0 without samples.
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
