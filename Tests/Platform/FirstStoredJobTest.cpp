#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr const char *Directory = "keyed.auburnhub-nodes";
constexpr const char *StoredJobsKey = "stores-jobs/";

constexpr int TasksPerJob = 8;

/// Two data centres with a node, which owns their worker, each. No job has been
/// stored yet.
struct NoStoredJobs : PlatformCluster {
  NoStoredJobs() : PlatformCluster({/*m_UsesProxies=*/true, ""}) {
    for (const char *Zone : {"a", "b"}) {
      addExecutor(Zone);
      addNode(Zone);
    }
    BOOST_REQUIRE(untilReady());
    BOOST_REQUIRE(waitForLogField(1, "b/0", "shard_claimed", "shard") == "b/0");
  }

  /// Submits a job of short tasks at the first node.
  std::shared_ptr<Reply> submitNext() {
    std::string Number = std::to_string(++m_LastJob);
    std::string Id = std::string(16 - Number.size(), '0') + Number;
    return submitStoredSpec(0, Id, TasksPerJob, {{"cpu", 1000}, {"ms", 150}});
  }

  bool isMarked() const {
    return store().value(Directory, StoredJobsKey).has_value();
  }

  int m_LastJob = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheFirstStoredJob)

// Guards against keepers that hear of stored jobs from a peer and start tasks
// while a node that reads the log would still find that there are none.
BOOST_FIXTURE_TEST_CASE(IsMarkedInTheLogBeforeItsFirstTaskStarts,
                        NoStoredJobs) {
  // The first append is that of the mark.
  store().delayAppends(1, EventLoop::Duration(3000));
  submitNext();
  BOOST_REQUIRE(until([&] { return totalStarts() > 0 || isMarked(); }));
  BOOST_TEST(isMarked());
  // Its caller may have been told to come back.
  submitNext();
  BOOST_TEST(until([&] { return totalStarts() > 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
