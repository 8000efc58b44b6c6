#ifndef AUBURNHUB_BENCH_QUANTILES_H
#define AUBURNHUB_BENCH_QUANTILES_H

#include <boost/histogram.hpp>

#include <cstddef>

namespace auburnhub::bench {

/// Counts positive values in logarithmic bins, about 1 % wide.
class Quantiles {
public:
  void add(double Value) {
    m_Bins(Value);
    m_Sum += Value;
    ++m_Count;
  }

  std::size_t count() const { return m_Count; }

  /// Returns the mean; 0 if nothing was added.
  double mean() const {
    return m_Count == 0 ? 0 : m_Sum / static_cast<double>(m_Count);
  }

  /// Returns the upper bound of the bin that holds a quantile; 0 if nothing was
  /// added.
  double quantile(double Q) const {
    const double Wanted = Q * static_cast<double>(m_Count);
    double Below = 0;
    for (auto &&Bin :
         boost::histogram::indexed(m_Bins, boost::histogram::coverage::all)) {
      Below += *Bin;
      if (Below > 0 && Below >= Wanted)
        return Bin.bin().upper();
    }
    return 0;
  }

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  static constexpr unsigned Bins = 1840;
  static constexpr double Least = 0.01;
  static constexpr double Most = 1e6;

  decltype(boost::histogram::make_histogram(Axis(Bins, Least, Most))) m_Bins =
      boost::histogram::make_histogram(Axis(Bins, Least, Most));
  double m_Sum = 0;
  std::size_t m_Count = 0;
};

} // namespace auburnhub::bench

#endif
