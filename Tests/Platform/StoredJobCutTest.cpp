#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <string>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr int Jobs = 16;

/// Two data centres with a node, which owns their worker, each. Half of the
/// workers' room is taken by stored jobs of one long task.
struct LongJobs : PlatformCluster {
  LongJobs() : PlatformCluster({/*m_UsesProxies=*/true, ""}) {
    for (const char *Zone : {"a", "b"}) {
      addExecutor(Zone);
      addNode(Zone);
    }
    BOOST_REQUIRE(untilReady());
    BOOST_REQUIRE(waitForLogField(1, "b/0", "shard_claimed", "shard") == "b/0");
    // The first stored job makes both nodes keepers.
    BOOST_REQUIRE(until([&] { return isAccepted(0, 10); }));
    BOOST_REQUIRE(until([&] { return totalRunning() == 0; }));
    waitForLogField(1, R"("to":"serving")", "ledger_state", "part");
    for (int Index = 1; Index <= Jobs; ++Index)
      BOOST_REQUIRE(until([&] { return isAccepted(Index, 12000); }));
    BOOST_REQUIRE(until([&] { return totalRunning() == Jobs; }));
    BOOST_REQUIRE(executor(1).running() > 0);
  }

  /// Submits a job of one task that runs for this time.
  bool isAccepted(int Index, int RunMs) {
    const nlohmann::json Spec = {{"cpu", 1000}, {"ms", RunMs}};
    const nlohmann::json Body = {{"spec", Spec.dump()},
                                 {"steps",
                                  {{{"count", 1},
                                    {"cpu", 1000},
                                    {"mem_mb", 64},
                                    {"estimated_ms", RunMs}}}}};
    std::string Id = "00000000000000" + std::to_string(10 + Index);
    auto Reply = call(Index % 2, "POST", Prefix + Id, Body.dump());
    until([&] { return Reply->m_Answer.has_value(); });
    return Reply->has(200);
  }

  /// Cuts the second data centre off from the first one and from the store.
  /// Each node still reaches its own worker, on the connections that it has.
  void cutOffSecondDataCentre() {
    FaultyProxy::Faults BothWays;
    BothWays.m_CutForward = BothWays.m_CutBack = true;
    for (std::size_t Node : {0, 1})
      linkProxy(Node).set(BothWays);
    storeProxy(1).set(BothWays);
    FaultyProxy::Faults NewConnections;
    NewConnections.m_Refuse = true;
    for (std::size_t Worker : {0, 1})
      executorProxy(Worker).set(NewConnections);
  }

  void waitFor(double Ms) {
    TimePoint Begin = EventLoop::now();
    until([&] { return millisecondsBetween(Begin, EventLoop::now()) > Ms; });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AStoredJobWhoseDataCentreIsCutOff)

// Guards against runs that go on for a keeper which is no longer the keeper,
// beside those that the next keeper starts.
BOOST_FIXTURE_TEST_CASE(HasNoSecondRunBesideTheFirst, LongJobs) {
  cutOffSecondDataCentre();
  // The next keeper starts the tasks again after 4 s.
  BOOST_TEST(until([&] { return executor(0).starts() > Jobs; }));
  waitFor(500);
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_AUTO_TEST_SUITE_END()
