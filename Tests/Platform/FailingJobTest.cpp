#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr int FailingJobs = 24;
constexpr int SoundJobs = 4;
/// A task that has room may wait for 3 s.
constexpr double SoundWaitMs = 3000;
constexpr double FailWaitMs = 6000; ///< Two attempts.

/// Three data centres with a node, which owns their worker, each.
struct ThreeOwners : PlatformCluster {
  ThreeOwners() {
    for (const char *Zone : {"a", "b", "c"}) {
      addExecutor(Zone);
      addNode(Zone);
    }
    BOOST_REQUIRE(untilReady());
    // The first stored job makes all nodes keepers.
    auto First = submitStored(0, "0000000000000001", 1);
    BOOST_REQUIRE(until([&] { return First->has(200); }));
    for (std::size_t Node = 0; Node < nodes(); ++Node)
      BOOST_REQUIRE(
          !waitForLogField(Node, R"("to":"serving")", "ledger_state", "part")
               .is_null());
    for (int Job = 0; Job < FailingJobs; ++Job) {
      auto Reply = submitStoredSpec(
          Job % 3, failingJob(Job), 2,
          nlohmann::json{{"cpu", 500}, {"ms", 300}, {"fails", true}});
      BOOST_REQUIRE(until([&] { return Reply->has(200); }));
    }
  }

  std::ptrdiff_t failedRuns(std::size_t Index) const {
    const auto &Journal = executor(Index).journal();
    return std::count_if(Journal.begin(), Journal.end(), [](const auto &Event) {
      return Event.m_What == "failed";
    });
  }
  static std::string failingJob(int Index) {
    return "00000000000003" + std::to_string(10 + Index);
  }
  static std::string soundJob(int Index) {
    return "00000000000004" + std::to_string(10 + Index);
  }
};

} // namespace

// Guards against workers that are taken out of service for the tasks that they
// were given.
BOOST_FIXTURE_TEST_SUITE(StoredJobsThatFailByTheirOwnFault, ThreeOwners)

BOOST_AUTO_TEST_CASE(FailWithoutADelay) {
  TimePoint Begin = EventLoop::now();
  for (int Job = 0; Job < FailingJobs; ++Job)
    BOOST_TEST(until([&] { return state(0, failingJob(Job)) == "failed"; }));
  // Their tasks run for less than a second in all, on idle workers.
  BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) < FailWaitMs);
}

BOOST_AUTO_TEST_CASE(KeepNoSoundJobWaiting) {
  BOOST_REQUIRE(until([&] {
    return failedRuns(0) >= 6 && failedRuns(1) >= 6 && failedRuns(2) >= 6;
  }));
  TimePoint Begin = EventLoop::now();
  for (int Job = 0; Job < SoundJobs; ++Job) {
    auto Reply = submitStoredSpec(Job % 3, soundJob(Job), 1,
                                  nlohmann::json{{"cpu", 500}, {"ms", 50}});
    BOOST_REQUIRE(until([&] { return Reply->has(200); }));
  }
  for (int Job = 0; Job < SoundJobs; ++Job)
    BOOST_TEST(until([&] { return state(0, soundJob(Job)) == "completed"; }));
  BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) < SoundWaitMs);
}

BOOST_AUTO_TEST_SUITE_END()
