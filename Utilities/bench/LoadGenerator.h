#ifndef AUBURNHUB_BENCH_LOADGENERATOR_H
#define AUBURNHUB_BENCH_LOADGENERATOR_H

#include "Demand.h"

#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Http/HttpClient.h"

#include <atomic>
#include <functional>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace auburnhub::bench {

/// What became of one arrival.
struct Sample {
  int m_Status = 0;       ///< 0 without an answer.
  double m_EndMs = 0;     ///< Since the start of the run; 0 while it lasts.
  double m_LatencyMs = 0; ///< From the scheduled arrival to the answer.
  double m_LateMs = 0;    ///< From the scheduled arrival to the sending.
  std::string m_Outcome;  ///< Of a problem document.
  bool answered() const { return m_EndMs > 0; }
};

/// Sends arrivals at their times, whatever became of earlier ones.
///
/// Each thread waits for one arrival, sends it and reads the answer. When all
/// threads are taken, arrivals are sent late, and that counts as latency.
class LoadGenerator {
public:
  struct Options {
    std::vector<Address> m_Servers;
    std::size_t m_Threads = 600;
    Milliseconds m_ShortTimeout{2000}; ///< The callers'.
    Milliseconds m_LongTimeout{60000};
  };

  /// Begins at once. The arrivals must outlive the generator.
  LoadGenerator(Options Chosen, std::span<const Arrival> Arrivals);

  /// Waits for the callers; close the connections first if they may hang.
  ~LoadGenerator();

  MonotonicTime begin() const { return m_Begin; }

  /// Waits until a time since the start, in milliseconds.
  void waitUntil(double Ms) const;

  /// Waits until all arrivals have ended, or until a time.
  void waitForAll(double LimitMs) const;

  /// Sends nothing more.
  void stop() { m_Next = m_Arrivals.size(); }

  /// Returns what became of each arrival. Call it after the threads ended.
  std::vector<Sample> finish();

private:
  void work(std::size_t Thread);
  Sample send(HttpClient &Client, const Arrival &Sent, std::size_t Index) const;
  double sinceBegin() const;

  const Options m_Options;
  const std::span<const Arrival> m_Arrivals;
  const MonotonicTime m_Begin;
  std::vector<Sample> m_Samples;
  std::atomic<std::size_t> m_Next{0};
  std::atomic<std::size_t> m_Done{0};
  std::vector<std::thread> m_Threads;
};

} // namespace auburnhub::bench

#endif
