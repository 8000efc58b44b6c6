#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

const std::string CrashingJob = "00000000000000cc";
const std::string CrashingTask = CrashingJob + ".0.0.0";
const std::string CrashingSpec = R"({"cpu":6000,"ms":60,"crash":"0.0"})";
const std::string HealthySpec = R"({"cpu":6000,"ms":250})";
constexpr std::size_t MaxStarts = 5;
constexpr int HealthyJobs = 12;

struct SixWorkers : PlatformCluster {
  SixWorkers() : PlatformCluster({true, ""}) {
    for (int I = 0; I < 6; ++I)
      addExecutor();
    for (int I = 0; I < 3; ++I)
      addNode();
    BOOST_REQUIRE(untilReady());
  }

  std::size_t startsOf(const std::string &Task) const {
    std::size_t Starts = 0;
    for (std::size_t I = 0; I < executors(); ++I) {
      const auto &Journal = executor(I).journal();
      Starts += static_cast<std::size_t>(std::count_if(
          Journal.begin(), Journal.end(), [&](const FakeExecutor::Event &E) {
            return E.m_Task == Task && E.m_What == "start";
          }));
    }
    return Starts;
  }

  void submitJobs() {
    auto Crashing = submitStored(0, CrashingJob, 4, CrashingSpec);
    BOOST_REQUIRE(until([&] { return Crashing->has(200); }));
    for (int I = 0; I < HealthyJobs; ++I) {
      auto Healthy = submitStored(1, healthyJob(I), 1, HealthySpec);
      BOOST_REQUIRE(until([&] { return Healthy->has(200); }));
    }
  }

  static std::string healthyJob(int Index) {
    return "00000000000003" + std::to_string(10 + Index);
  }

  /// Waits until the crashing job is shown as failed; false after 40 s.
  bool untilFailed() {
    auto IsFailed = [this] { return state(2, CrashingJob) == "failed"; };
    return until(IsFailed) || until(IsFailed);
  }

  void checkHealthyJobs() {
    for (int I = 0; I < HealthyJobs; ++I)
      BOOST_TEST(until([&] { return state(2, healthyJob(I)) == "completed"; }));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ATaskThatCrashesItsWorkers)

BOOST_FIXTURE_TEST_CASE(IsGivenUpAndItsJobShownAsFailed, SixWorkers) {
  submitJobs();
  BOOST_TEST(untilFailed());
  checkHealthyJobs();
  BOOST_TEST(startsOf(CrashingTask) <= MaxStarts);
}

BOOST_FIXTURE_TEST_CASE(IsGivenUpWhenTheWorkersReturnUnderNewIds, SixWorkers) {
  for (std::size_t I = 0; I < executors(); ++I) {
    executor(I).behaviour().m_RestartsUnderNewId = true;
    executor(I).behaviour().m_RestartTime = EventLoop::Duration(3300);
  }
  submitJobs();
  BOOST_TEST(untilFailed());
  checkHealthyJobs();
  BOOST_TEST(startsOf(CrashingTask) <= MaxStarts);
}

BOOST_FIXTURE_TEST_CASE(IsGivenUpAlthoughAllNodesRestartMeanwhile, SixWorkers) {
  submitJobs();
  BOOST_REQUIRE(until([&] { return startsOf(CrashingTask) == 2; }));
  for (std::size_t I = 0; I < nodes(); ++I)
    signal(I, SIGKILL);
  BOOST_REQUIRE(
      until([&] { return !running(0) && !running(1) && !running(2); }));
  for (std::size_t I = 0; I < nodes(); ++I)
    restartNode(I);
  BOOST_REQUIRE(untilReady());
  BOOST_TEST(untilFailed());
  checkHealthyJobs();
  BOOST_TEST(startsOf(CrashingTask) <= MaxStarts);
}

BOOST_AUTO_TEST_SUITE_END()
