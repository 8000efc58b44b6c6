#ifndef AUBURNHUB_BENCH_TRIAL_H
#define AUBURNHUB_BENCH_TRIAL_H

#include "Demand.h"
#include "LoadGenerator.h"
#include "Machine.h"
#include "Variant.h"

#include "System/Support/Cluster.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnhub::bench {

/// A fleet of entry VMs and endpoints of unequal speed.
struct Fleet {
  std::string m_Binaries;
  std::string m_LogLevel = "warning";
  int m_Vms = 3;
  int m_Endpoints = 17;
  int m_Slots = 8;
  double m_Slowest = 0.25;
  double m_Fastest = 1;

  /// Returns the speeds of the endpoints, evenly spread.
  std::vector<double> endpointSpeeds() const;
  /// Returns the speeds of all slots.
  std::vector<double> slotSpeeds() const;

  /// Starts it with a variant of the policy.
  absl::StatusOr<std::unique_ptr<test::Cluster>>
  start(const Variant &Chosen) const;
};

/// One run of one variant under one demand.
struct Trial {
  Fleet m_Fleet;
  Variant m_Variant;
  DemandShape m_Demand;
  std::size_t m_Threads = 600;
  Milliseconds m_ShortTimeout{5000};
  /// Called once on the caller's thread when FaultAtMs has passed.
  std::function<void(test::Cluster &)> m_Fault;
  double m_FaultAtMs = 0;

  struct Result {
    std::vector<Arrival> m_Arrivals;
    std::vector<Sample> m_Samples;
    std::map<std::string, double> m_Counters; ///< Of the dispatchers.
    CpuUse m_Cpu;
    double m_Seconds = 0;
  };

  /// Runs it on processes of its own. Short work still open AnswerLimit after
  /// the last arrival, and long work, is cut.
  absl::StatusOr<Result> run() const;
};

} // namespace auburnhub::bench

#endif
