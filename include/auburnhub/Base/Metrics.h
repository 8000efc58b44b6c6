#ifndef AUBURNHUB_BASE_METRICS_H
#define AUBURNHUB_BASE_METRICS_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// Label names and values of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// Counts events. Safe to use from any thread.
class Counter {
public:
  void add(std::uint64_t Amount = 1) { m_Value += Amount; }
  std::uint64_t value() const { return m_Value; }

private:
  std::atomic<std::uint64_t> m_Value{0};
};

/// Holds a value that rises and falls. Safe to use from any thread.
class Gauge {
public:
  void set(double Value) { m_Value = Value; }
  double value() const { return m_Value; }

private:
  std::atomic<double> m_Value{0};
};

/// Counts durations in logarithmic buckets from 0.1 ms to 100 s. Safe to use
/// from any thread.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  /// Adds one duration in seconds.
  void add(double Seconds);

  struct Bucket {
    double m_UpperSeconds;
    std::uint64_t m_Count; ///< Durations at or below the bound.
  };
  struct Snapshot {
    std::vector<Bucket> m_Buckets; ///< Cumulative, by rising bound.
    std::uint64_t m_Count = 0;
    double m_SumSeconds = 0;
  };
  Snapshot snapshot() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Owns the metrics of a process and writes them as Prometheus text.
///
/// Ask for a metric once and keep the reference; it lives as long as the
/// registry. The same name and labels give the same metric.
class MetricsRegistry {
public:
  Counter &counter(std::string_view Name, std::string_view Help,
                   MetricLabels Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Help,
               MetricLabels Labels = {});
  LatencyHistogram &latency(std::string_view Name, std::string_view Help,
                            MetricLabels Labels = {});

  /// Returns all metrics in the Prometheus text exposition format 0.0.4.
  std::string expose() const;

private:
  template <typename Metric> struct Family {
    std::string m_Help;
    std::map<MetricLabels, std::unique_ptr<Metric>> m_Series;
  };
  template <typename Metric>
  using Families = std::map<std::string, Family<Metric>, std::less<>>;

  template <typename Metric>
  Metric &find(Families<Metric> &In, std::string_view Name,
               std::string_view Help, MetricLabels Labels);

  mutable std::mutex m_Mutex;
  Families<Counter> m_Counters;
  Families<Gauge> m_Gauges;
  Families<LatencyHistogram> m_Latencies;
};

} // namespace auburnhub

#endif
