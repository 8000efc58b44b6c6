#ifndef AUBURNHUB_SYSTEM_SUPPORT_RUNCHECKS_H
#define AUBURNHUB_SYSTEM_SUPPORT_RUNCHECKS_H

#include "System/Support/Cluster.h"
#include "System/Support/HistoryChecker.h"
#include "System/Support/RecordingCaller.h"

#include <boost/test/unit_test.hpp>

namespace auburnhub::test {

/// Starts a cluster; the test case ends if that fails.
inline std::unique_ptr<Cluster> startCluster(ClusterOptions Options) {
  Options.m_Binaries = AUBURNHUB_BINARY_DIR;
  auto Started = Cluster::start(Options);
  BOOST_TEST_REQUIRE(Started.ok(), Started.status().ToString());
  return std::move(*Started);
}

/// Returns the history of a whole run.
inline History collectHistory(const Cluster &Run,
                              const RecordingCaller &Caller) {
  History Seen = Caller.history();
  absl::Status Collected = Run.collect(Seen);
  BOOST_TEST_REQUIRE(Collected.ok(), Collected.ToString());
  return Seen;
}

/// Reports each breach in a history as an error of the test.
inline void checkHolds(const History &Seen) {
  for (const Violation &Found : checkHistory(Seen))
    BOOST_ERROR(violationName(Found.m_Kind)
                << " " << Found.m_Subject << ": " << Found.m_Detail);
}

} // namespace auburnhub::test

#endif
