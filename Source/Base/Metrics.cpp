#include "auburnhub/Base/Metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace auburnhub {
namespace {

namespace bh = boost::histogram;

constexpr double ShortestSeconds = 1e-4;
constexpr double LongestSeconds = 100;
constexpr unsigned BucketsPerDecade = 5;
constexpr unsigned Decades = 6;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

std::string escaped(std::string_view Text) {
  std::string Result;
  for (char C : Text) {
    if (C == '\\' || C == '"')
      Result.push_back('\\');
    if (C == '\n') {
      Result += "\\n";
      continue;
    }
    Result.push_back(C);
  }
  return Result;
}

std::string formatLabels(const MetricLabels &Labels,
                         std::string_view Extra = {}) {
  std::string Result;
  for (const auto &[Name, Value] : Labels) {
    Result += Result.empty() ? "" : ",";
    Result += Name + "=\"" + escaped(Value) + "\"";
  }
  if (!Extra.empty()) {
    Result += Result.empty() ? "" : ",";
    Result += Extra;
  }
  return Result.empty() ? "" : "{" + Result + "}";
}

void writeHeader(std::ostream &Out, const std::string &Name,
                 const std::string &Help, std::string_view Type) {
  Out << "# HELP " << Name << ' ' << Help << '\n';
  Out << "# TYPE " << Name << ' ' << Type << '\n';
}

void writeHistogram(std::ostream &Out, const std::string &Name,
                    const MetricLabels &Labels, const LatencyHistogram &Hist) {
  LatencyHistogram::Snapshot Shot = Hist.snapshot();
  for (const LatencyHistogram::Bucket &Item : Shot.m_Buckets) {
    std::ostringstream Bound;
    Bound << "le=\"" << Item.m_UpperSeconds << '"';
    Out << Name << "_bucket" << formatLabels(Labels, Bound.str()) << ' '
        << Item.m_Count << '\n';
  }
  Out << Name << "_bucket" << formatLabels(Labels, "le=\"+Inf\"") << ' '
      << Shot.m_Count << '\n';
  Out << Name << "_sum" << formatLabels(Labels) << ' ' << Shot.m_SumSeconds
      << '\n';
  Out << Name << "_count" << formatLabels(Labels) << ' ' << Shot.m_Count
      << '\n';
}

} // namespace

struct LatencyHistogram::Impl {
  mutable std::mutex m_Mutex;
  decltype(bh::make_histogram(LogAxis())) m_Histogram = bh::make_histogram(
      LogAxis(BucketsPerDecade * Decades, ShortestSeconds, LongestSeconds));
  double m_SumSeconds = 0;
  std::uint64_t m_Count = 0;
};

LatencyHistogram::LatencyHistogram() : m_Impl(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(double Seconds) {
  std::lock_guard Lock(m_Impl->m_Mutex);
  m_Impl->m_Histogram(Seconds);
  m_Impl->m_SumSeconds += Seconds;
  ++m_Impl->m_Count;
}

LatencyHistogram::Snapshot LatencyHistogram::snapshot() const {
  std::lock_guard Lock(m_Impl->m_Mutex);
  Snapshot Result;
  Result.m_Count = m_Impl->m_Count;
  Result.m_SumSeconds = m_Impl->m_SumSeconds;
  const auto &Axis = m_Impl->m_Histogram.axis();
  auto Total = static_cast<std::uint64_t>(m_Impl->m_Histogram.at(-1));
  for (int I = 0; I != Axis.size(); ++I) {
    Total += static_cast<std::uint64_t>(m_Impl->m_Histogram.at(I));
    Result.m_Buckets.push_back({Axis.bin(I).upper(), Total});
  }
  return Result;
}

template <typename Metric>
Metric &MetricsRegistry::find(Families<Metric> &In, std::string_view Name,
                              std::string_view Help, MetricLabels Labels) {
  std::lock_guard Lock(m_Mutex);
  Family<Metric> &Found = In[std::string(Name)];
  Found.m_Help = std::string(Help);
  std::unique_ptr<Metric> &Series = Found.m_Series[std::move(Labels)];
  if (!Series)
    Series = std::make_unique<Metric>();
  return *Series;
}

Counter &MetricsRegistry::counter(std::string_view Name, std::string_view Help,
                                  MetricLabels Labels) {
  return find(m_Counters, Name, Help, std::move(Labels));
}

Gauge &MetricsRegistry::gauge(std::string_view Name, std::string_view Help,
                              MetricLabels Labels) {
  return find(m_Gauges, Name, Help, std::move(Labels));
}

LatencyHistogram &MetricsRegistry::latency(std::string_view Name,
                                           std::string_view Help,
                                           MetricLabels Labels) {
  return find(m_Latencies, Name, Help, std::move(Labels));
}

std::string MetricsRegistry::expose() const {
  std::lock_guard Lock(m_Mutex);
  std::ostringstream Out;
  for (const auto &[Name, Group] : m_Counters) {
    writeHeader(Out, Name, Group.m_Help, "counter");
    for (const auto &[Labels, Metric] : Group.m_Series)
      Out << Name << formatLabels(Labels) << ' ' << Metric->value() << '\n';
  }
  for (const auto &[Name, Group] : m_Gauges) {
    writeHeader(Out, Name, Group.m_Help, "gauge");
    for (const auto &[Labels, Metric] : Group.m_Series)
      Out << Name << formatLabels(Labels) << ' ' << Metric->value() << '\n';
  }
  for (const auto &[Name, Group] : m_Latencies) {
    writeHeader(Out, Name, Group.m_Help, "histogram");
    for (const auto &[Labels, Metric] : Group.m_Series)
      writeHistogram(Out, Name, Labels, *Metric);
  }
  return Out.str();
}

} // namespace auburnhub
