#ifndef AUBURNHUB_BENCH_DEMAND_H
#define AUBURNHUB_BENCH_DEMAND_H

#include <cstdint>
#include <span>
#include <vector>

namespace auburnhub::bench {

/// A request that a caller makes at a set time, whatever became of others.
struct Arrival {
  double m_AtMs = 0;
  double m_RunMs = 0; ///< On an endpoint of speed 1.
  bool m_Long = false;
};

/// A time in which demand stays the same.
struct DemandPhase {
  double m_DurationMs = 0;
  double m_Load = 0; ///< Ratio to the capacity of all endpoints.
};

/// What callers ask for. The same fields give the same arrivals.
struct DemandShape {
  std::uint64_t m_Seed = 1;
  double m_ShortMs = 50;
  double m_LongShare = 0;       ///< Of the tasks.
  double m_LongestFactor = 100; ///< Long work is 20 to this times short work.
  std::vector<DemandPhase> m_Phases;

  /// Returns the mean run time on an endpoint of speed 1.
  double meanRunMs() const;

  /// Returns the Poisson arrivals; Speeds are those of all slots.
  std::vector<Arrival> arrivals(std::span<const double> Speeds) const;
};

/// Returns the mean time from arrival to end, in milliseconds, if one queue
/// served all slots in order of arrival, the fastest free slot first, without
/// any cost of communication. Arrivals before FromMs are not counted.
double centralQueueMeanMs(std::span<const Arrival> Arrivals,
                          std::span<const double> Speeds, double FromMs,
                          double UntilMs);

} // namespace auburnhub::bench

#endif
