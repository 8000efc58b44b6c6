#ifndef AUBURNHUB_BENCH_SCENARIOS_H
#define AUBURNHUB_BENCH_SCENARIOS_H

#include "Report.h"
#include "Trial.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <vector>

namespace auburnhub::bench {

/// What the scenarios have in common.
struct ScenarioOptions {
  Fleet m_Fleet;
  std::vector<Variant> m_Variants;
  std::vector<double> m_Loads;
  std::vector<double> m_LongShares;
  std::uint64_t m_Seed = 1;
  double m_Seconds = 10; ///< Of demand, for each trial.
  double m_ShortMs = 50;
  double m_LongestFactor = 100;
  std::size_t m_Threads = 600;
};

// Each runs its trials one after the other and fails if one cannot be run.

/// Steady demand with shares of long work (measures 1, 3 and 4).
absl::StatusOr<Report> steadyLoad(const ScenarioOptions &Options);

/// Demand from 30 % to 200 % of capacity and back (measure 2).
absl::StatusOr<Report> crest(const ScenarioOptions &Options);

/// Steady demand while something breaks (measure 5).
absl::StatusOr<Report> faults(const ScenarioOptions &Options);

/// The time of one request directly and through the system, by callers that
/// each wait for an answer before the next request.
absl::StatusOr<Report> overhead(const ScenarioOptions &Options);

} // namespace auburnhub::bench

#endif
