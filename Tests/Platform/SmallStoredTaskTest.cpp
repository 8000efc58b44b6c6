#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

const std::string LargeJob = "00000000000000aa";
const std::string MediumJob = "00000000000000bb";
const std::string SmallJob = "00000000000000cc";

/// One worker, of which a task of less than half its size takes up a part. No
/// second task as large as the largest one fits beside it.
struct PartlyUsedWorker : PlatformCluster {
  PartlyUsedWorker() {
    addExecutor();
    addNode();
    BOOST_REQUIRE(untilReady());
    submitTask(LargeJob, 15000, 20);
    BOOST_REQUIRE(until([&] { return state(0, LargeJob) == "completed"; }));
    submitTask(MediumJob, 7000, 60000);
    BOOST_REQUIRE(until([&] { return totalRunning() == 1; }));
  }

  /// Submits a stored job of one task.
  void submitTask(const std::string &Id, int CpuMillis, int RunMs) {
    auto Reply = submitStoredSpec(
        0, Id, 1, nlohmann::json{{"cpu", CpuMillis}, {"ms", RunMs}});
    BOOST_REQUIRE(until([&] { return Reply->has(200); }));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ASmallStoredTask)

// Guards against tasks that wait for the room of a task of typical size.
BOOST_FIXTURE_TEST_CASE(StartsWhereNoTaskOfTypicalSizeFits, PartlyUsedWorker) {
  submitTask(SmallJob, 1000, 20);
  BOOST_TEST(until([&] { return state(0, SmallJob) == "completed"; }));
  BOOST_TEST(totalRunning() == 1U);
}

// Guards against tasks that wait behind larger ones for which there is no room.
BOOST_FIXTURE_TEST_CASE(StartsBeforeALargeOneThatDoesNotFit, PartlyUsedWorker) {
  submitTask("0000000000000001", 15000, 20);
  submitTask(SmallJob, 1000, 20);
  BOOST_TEST(until([&] { return state(0, SmallJob) == "completed"; }));
  BOOST_TEST(state(0, "0000000000000001") == "queued");
}

BOOST_AUTO_TEST_SUITE_END()
