#include "auburnhub/Base/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(AMetricsRegistry)

BOOST_AUTO_TEST_CASE(WritesPrometheusText) {
  MetricsRegistry Metrics;
  Metrics.counter("calls_total", "Calls.", {{"team", "a\"b"}}).add(3);
  Metrics.counter("calls_total", "Calls.", {{"team", "a\"b"}}).add();
  Metrics.gauge("depth", "Depth.").set(2.5);
  Metrics.latency("run_seconds", "Run time.").add(0.05);
  std::string Text = Metrics.expose();
  auto Contains = [&](const char *Part) {
    return Text.find(Part) != std::string::npos;
  };
  BOOST_TEST(Contains("# TYPE calls_total counter\n"));
  BOOST_TEST(Contains("calls_total{team=\"a\\\"b\"} 4\n"));
  BOOST_TEST(Contains("depth 2.5\n"));
  BOOST_TEST(Contains("run_seconds_bucket{le=\"+Inf\"} 1\n"));
  BOOST_TEST(Contains("run_seconds_count 1\n"));
}

BOOST_AUTO_TEST_CASE(CountsEachDurationInItsBucketAndAllLaterOnes) {
  LatencyHistogram Hist;
  Hist.add(1e-6);
  Hist.add(0.05);
  Hist.add(1e6);
  auto Shot = Hist.snapshot();
  BOOST_TEST(Shot.m_Count == 3u);
  BOOST_TEST(Shot.m_Buckets.front().m_Count == 1u);
  BOOST_TEST(Shot.m_Buckets.back().m_Count == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
