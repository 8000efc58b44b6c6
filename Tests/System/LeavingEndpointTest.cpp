#define BOOST_TEST_MODULE LeavingEndpoint
#include "System/Support/CallerLoad.h"
#include "System/Support/RunChecks.h"

using namespace auburnhub;
using namespace auburnhub::test;

namespace {

using Json = nlohmann::json;

constexpr std::size_t SomeCalls = 100;
constexpr std::size_t Leaver = 0;

struct ClusterUnderLoad {
  ClusterUnderLoad() : m_Cluster(startCluster(options())) {
    for (std::size_t Vm = 0; Vm < m_Cluster->vms().size(); ++Vm)
      m_Entries.push_back(m_Cluster->http(Vm, Role::Entry));
    m_Load.emplace(m_Caller, m_Entries);
    workOn();
  }

  static ClusterOptions options() {
    ClusterOptions Options;
    Options.m_VmsPerDataCentre = 2;
    return Options;
  }

  void workOn() { BOOST_TEST_REQUIRE(m_Load->waitForCompleted(SomeCalls)); }

  /// Keeps the load up until the bound after a sign is surely over.
  void workPastTheBound(std::int64_t SinceMs) {
    const std::int64_t PastMs = SinceMs + 2 * CheckerBounds().m_LeavingMs;
    while (TimerService::wallMilliseconds() < PastMs)
      workOn();
  }

  void check(const History &Seen) {
    BOOST_TEST(!Seen.m_Signs.empty());
    checkHolds(Seen);
  }

  History finish() {
    m_Load->stop();
    return collectHistory(*m_Cluster, m_Caller);
  }

  std::unique_ptr<Cluster> m_Cluster;
  RecordingCaller m_Caller;
  std::vector<std::string> m_Entries;
  std::optional<CallerLoad> m_Load;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ALeavingEndpoint)

BOOST_AUTO_TEST_CASE(GetsNoNewWorkOnceThePlatformsListSaysSo) {
  ClusterUnderLoad Run;
  const std::string &Name = Run.m_Cluster->endpoints()[Leaver].m_Name;
  BOOST_TEST_REQUIRE(Run.m_Cluster->publishVms({Name}).ok());
  const std::int64_t SinceMs = TimerService::wallMilliseconds();
  Run.workPastTheBound(SinceMs);
  History Seen = Run.finish();
  Seen.m_Signs.push_back({Name, true, SinceMs});
  Run.check(Seen);
}

BOOST_AUTO_TEST_CASE(GetsNoNewWorkOnItsOwnWordWhileThePlatformIsDown) {
  ClusterUnderLoad Run;
  BOOST_TEST_REQUIRE(
      Run.m_Cluster->tellPlatform("/test/faults", {{"vms_down", true}}).ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->setMode(Leaver, "leaving").ok());
  Run.workPastTheBound(TimerService::wallMilliseconds());
  Run.check(Run.finish());
}

BOOST_AUTO_TEST_CASE(GetsNoNewWorkFromADispatcherThatHasJustStarted) {
  ClusterUnderLoad Run;
  BOOST_TEST_REQUIRE(
      Run.m_Cluster->tellPlatform("/test/faults", {{"vms_down", true}}).ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->setMode(Leaver, "leaving").ok());
  Run.workPastTheBound(TimerService::wallMilliseconds());
  Run.m_Cluster->stopProcess(0, Role::Dispatch);
  BOOST_TEST_REQUIRE(Run.m_Cluster->process(0, Role::Dispatch).wait().ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->startProcess(0, Role::Dispatch).ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->waitReady(0, Role::Dispatch).ok());
  Run.workPastTheBound(TimerService::wallMilliseconds());
  Run.check(Run.finish());
}

BOOST_AUTO_TEST_SUITE(ThatTakesWorkAgain)

BOOST_AUTO_TEST_CASE(IsUsedAgainOnceThePlatformsListSaysSo) {
  ClusterUnderLoad Run;
  const std::string &Name = Run.m_Cluster->endpoints()[Leaver].m_Name;
  BOOST_TEST_REQUIRE(Run.m_Cluster->setMode(Leaver, "leaving").ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->publishVms({Name}).ok());
  Run.workPastTheBound(TimerService::wallMilliseconds());
  BOOST_TEST_REQUIRE(Run.m_Cluster->setMode(Leaver, "ok").ok());
  BOOST_TEST_REQUIRE(Run.m_Cluster->publishVms().ok());
  const std::int64_t JoinedMs = TimerService::wallMilliseconds();
  Run.workPastTheBound(JoinedMs);
  const History Seen = Run.finish();
  Run.check(Seen);
  BOOST_TEST(std::ranges::any_of(Seen.m_Starts, [&](const auto &Start) {
    return Start.m_Endpoint == Name && Start.m_TimeMs > JoinedMs;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
