#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <map>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

const std::string JobA = "00000000000000aa";
const std::string JobB = "00000000000000bb";

struct OneNode : PlatformCluster {
  OneNode() {
    addExecutor();
    addExecutor();
    addNode();
    BOOST_REQUIRE(untilReady());
  }
};

struct ThreeNodes : PlatformCluster {
  ThreeNodes() {
    for (int I = 0; I < 4; ++I)
      addExecutor();
    for (int I = 0; I < 3; ++I)
      addNode();
    BOOST_REQUIRE(untilReady());
  }

  /// Submits jobs one after the other until one is completed, at most 90.
  /// Returns whether one was.
  bool servesAgain(std::size_t Node) {
    bool Served = false;
    for (int Attempt = 0; Attempt < 90 && !Served; ++Attempt) {
      auto Again =
          submit(Node, "00000000000001" + std::to_string(10 + Attempt), 2);
      until([&] { return Again->m_Answer.has_value(); });
      Served = Again->has(200);
    }
    return Served;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ANodeOnThePlatform)

BOOST_AUTO_TEST_SUITE(ServesJobs)

BOOST_FIXTURE_TEST_CASE(AndAnswersWhenEveryTaskIsDone, OneNode) {
  auto Reply = submit(0, JobA, 3);
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(200));
  BOOST_TEST((*Reply->m_Answer)->m_Body == R"({"state":"completed"})");
  BOOST_TEST(totalStarts() == 3U);
}

BOOST_FIXTURE_TEST_CASE(AndAcknowledgesEveryEnd, OneNode) {
  auto Reply = submit(0, JobA, 4);
  BOOST_TEST(until([&] {
    return Reply->has(200) && executor(0).unacknowledgedEnds() == 0 &&
           executor(1).unacknowledgedEnds() == 0;
  }));
}

BOOST_FIXTURE_TEST_CASE(AndReportsATaskThatUsesUpItsAttempts, OneNode) {
  executor(0).behaviour().m_Fails = true;
  executor(1).behaviour().m_Fails = true;
  auto Reply = submit(0, JobA, 1);
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(200));
  BOOST_TEST((*Reply->m_Answer)->m_Body == R"({"state":"failed"})");
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AndRejectsAMalformedOneWithoutStopping, OneNode) {
  auto Bad = call(0, "POST", Prefix + JobA, "{");
  BOOST_TEST(until([&] { return Bad->has(400); }));
  auto NotText = call(0, "POST", Prefix + JobA, "\xff\xfe");
  BOOST_TEST(until([&] { return NotText->has(400); }));
  auto Good = submit(0, JobA, 1);
  BOOST_TEST(until([&] { return Good->has(200); }));
}

BOOST_FIXTURE_TEST_CASE(AndAnswersNotFoundForAnUnknownQueue, OneNode) {
  auto Reply = call(0, "POST", "/elsewhere/" + JobA, "{}");
  BOOST_TEST(until([&] { return Reply->has(404); }));
}

BOOST_FIXTURE_TEST_CASE(AndRejectsThoseItDoesNotSupport, OneNode) {
  auto Reply =
      call(0, "POST", Prefix + JobA,
           R"({"spec":"x","steps":[{"count":2,"cpu":1,"gang":true}]})");
  BOOST_TEST(until([&] { return Reply->has(503); }));
  BOOST_TEST((*Reply->m_Answer)->m_Headers.get("Retry-After") == "1");
  BOOST_TEST(totalStarts() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AtAnyNode, ThreeNodes) {
  std::vector<std::shared_ptr<Reply>> Replies;
  for (std::size_t I = 0; I < 3; ++I)
    Replies.push_back(submit(I, "00000000000000c" + std::to_string(I), 2));
  for (const auto &Reply : Replies)
    BOOST_TEST(until([&] { return Reply->has(200); }));
  BOOST_TEST(totalStarts() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StoresJobs)

BOOST_FIXTURE_TEST_CASE(AndAnswersBeforeTheyHaveRun, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Reply = submitStored(0, JobA, 2);
  BOOST_TEST(until([&] { return Reply->has(200); }));
  BOOST_TEST(store().countKeys("keyed.auburnhub-jobs", "job/") == 1U);
  BOOST_TEST(until([&] { return state(2, JobA) == "running"; }));
}

BOOST_FIXTURE_TEST_CASE(AndRunsEachTaskOnce, ThreeNodes) {
  auto Reply = submitStored(0, JobA, 3);
  BOOST_REQUIRE(until([&] { return Reply->has(200); }));
  BOOST_TEST(until([&] { return state(1, JobA) == "completed"; }));
  auto Again = submitStored(2, JobA, 3);
  BOOST_TEST(until([&] { return Again->has(200); }));
  BOOST_TEST(state(2, JobA) == "completed");
  BOOST_TEST(totalStarts() == 3U);
  BOOST_TEST(until([&] {
    std::size_t Unacknowledged = 0;
    for (std::size_t I = 0; I < 4; ++I)
      Unacknowledged += executor(I).unacknowledgedEnds();
    return Unacknowledged == 0;
  }));
}

BOOST_FIXTURE_TEST_CASE(AndResumesThemAfterAllNodesWereKilled, OneNode) {
  executor(0).behaviour().m_Hangs = true;
  executor(1).behaviour().m_Hangs = true;
  auto Reply = submitStored(0, JobA, 2);
  BOOST_REQUIRE(until([&] { return Reply->has(200) && totalStarts() == 2; }));
  signal(0, SIGKILL);
  executor(0).behaviour().m_Hangs = false;
  executor(1).behaviour().m_Hangs = false;
  addNode();
  BOOST_TEST(until([&] { return state(1, JobA) == "completed"; }));
  BOOST_TEST(totalStarts() == 4U);
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_FIXTURE_TEST_CASE(AndDoesNotRerunTasksThatEndedWhileNoNodeRan, OneNode) {
  executor(0).behaviour().m_RunTime = EventLoop::Duration(400);
  executor(1).behaviour().m_RunTime = EventLoop::Duration(400);
  auto Reply = submitStored(0, JobA, 2);
  BOOST_REQUIRE(until([&] { return Reply->has(200) && totalStarts() == 2; }));
  signal(0, SIGKILL);
  BOOST_REQUIRE(until([&] { return totalRunning() == 0; }));
  addNode();
  BOOST_TEST(until([&] { return state(1, JobA) == "completed"; }));
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AndAnotherKeeperTakesThemOver, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_RunTime = EventLoop::Duration(700);
  std::map<std::string, std::shared_ptr<Reply>> Jobs;
  for (int I = 0; I < 6; ++I) {
    std::string Job = "00000000000002" + std::to_string(10 + I);
    Jobs[Job] = submitStored(1, Job, 1);
  }
  for (const auto &[Job, Reply] : Jobs)
    BOOST_REQUIRE(until([Answer = Reply] { return Answer->has(200); }));
  signal(0, SIGKILL);
  for (const auto &[Job, Reply] : Jobs)
    BOOST_TEST(until([this, Id = Job] { return state(2, Id) == "completed"; }));
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_FIXTURE_TEST_CASE(OnceAlthoughTheStoresAnswerIsLost, OneNode) {
  auto First = submitStored(0, JobB, 1);
  BOOST_REQUIRE(until([&] { return state(0, JobB) == "completed"; }));
  store().loseAnswers(1);
  auto Reply = submitStored(0, JobA, 1);
  BOOST_TEST(until([&] { return Reply->has(200); }));
  BOOST_TEST(until([&] { return state(0, JobA) == "completed"; }));
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(OrReportsThatItDidNot, OneNode) {
  store().setResponseMode(FakeStore::ResponseMode::Refusing);
  auto Reply = submitStored(0, JobA, 1);
  BOOST_TEST(until([&] { return Reply->has(503); }));
  store().setResponseMode(FakeStore::ResponseMode::Serving);
  auto Later = submitStored(0, JobB, 1);
  BOOST_TEST(until([&] { return Later->has(200); }));
  auto Unknown = call(0, "GET", Prefix + JobA);
  BOOST_TEST(until([&] { return Unknown->has(410); }));
  BOOST_TEST(until([&] { return state(0, JobB) == "completed"; }));
  BOOST_TEST(totalStarts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AgainAfterItReleasedItsPartitions, OneNode) {
  auto First = submitStored(0, JobA, 1);
  BOOST_REQUIRE(until([&] { return state(0, JobA) == "completed"; }));
  store().setResponseMode(FakeStore::ResponseMode::Refusing);
  waitForLogField(0, "", "partitions_given_up", "parts");
  store().setResponseMode(FakeStore::ResponseMode::Serving);
  BOOST_TEST(until([&] {
    auto Again = submitStored(0, JobB, 1);
    until([&] { return Again->m_Answer.has_value(); });
    return Again->has(200);
  }));
  BOOST_TEST(until([&] { return state(0, JobB) == "completed"; }));
  BOOST_TEST(state(0, JobA) == "completed");
}

BOOST_FIXTURE_TEST_CASE(AndCancelsThem, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Reply = submitStored(0, JobA, 2);
  BOOST_REQUIRE(until([&] { return Reply->has(200) && totalStarts() == 2; }));
  auto Cancel = call(2, "DELETE", Prefix + JobA);
  BOOST_TEST(until([&] { return Cancel->has(200); }));
  BOOST_TEST(state(1, JobA) == "canceled");
  BOOST_TEST(until([&] { return totalRunning() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(AndADrainingNodeServesTheirStateToo, ThreeNodes) {
  signal(0, SIGTERM);
  BOOST_REQUIRE(until([&] { return !isReady(0); }));
  // This is the first stored job: the draining node has not learned before that
  // jobs are stored.
  auto Reply = submitStored(1, JobA, 1);
  BOOST_REQUIRE(until([&] { return Reply->has(200); }));
  BOOST_REQUIRE(until([&] { return state(2, JobA) == "completed"; }));
  BOOST_TEST(state(0, JobA) == "completed");
}

BOOST_FIXTURE_TEST_CASE(AndReportsHowManyArePending, OneNode) {
  executor(0).behaviour().m_Hangs = true;
  executor(1).behaviour().m_Hangs = true;
  auto First = submitStored(0, JobA, 4);
  BOOST_REQUIRE(until([&] { return totalStarts() == 4; }));
  auto Second = submitStored(0, JobB, 1);
  BOOST_REQUIRE(until([&] { return Second->has(200); }));
  BOOST_TEST(until([&] {
    auto Count = call(0, "GET", Prefix);
    until([&] { return Count->m_Answer.has_value(); });
    return Count->has(200) && (*Count->m_Answer)->m_Body == R"({"pending":1})";
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServesItsOwnInterface)

struct OwnCalls : ThreeNodes {
  std::shared_ptr<Reply> own(std::size_t Node, const std::string &Method,
                             const std::string &Path, std::string Body = "") {
    return callAt(addresses(Node).m_Interface, Method, Path, std::move(Body));
  }
  std::string ownState(std::size_t Node) {
    auto Answer = own(Node, "GET", "/v1/jobs/" + JobA);
    until([&] { return Answer->m_Answer.has_value(); });
    if (!Answer->has(200))
      return "";
    return nlohmann::json::parse((*Answer->m_Answer)->m_Body)["state"];
  }

  const std::string m_Submit = "/v1/queues/certify/jobs/" + JobA;
  const std::string m_Body =
      R"({"spec":"x","steps":[{"count":2,"each":{"cpu":100}}]})";
};

BOOST_FIXTURE_TEST_CASE(ForStoredJobs, OwnCalls) {
  auto Stored = own(0, "PUT", m_Submit, m_Body);
  BOOST_TEST(until([&] { return Stored->has(200); }));
  BOOST_TEST(until([&] { return ownState(1) == "completed"; }));
  BOOST_TEST(state(2, JobA) == "completed");
  auto Again = own(2, "PUT", m_Submit, m_Body);
  BOOST_TEST(until([&] { return Again->has(200); }));
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AndCancelsThem, OwnCalls) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Stored = own(0, "PUT", m_Submit, m_Body);
  BOOST_REQUIRE(until([&] { return Stored->has(200) && totalStarts() == 2; }));
  auto Cancel = own(1, "DELETE", "/v1/jobs/" + JobA);
  BOOST_TEST(until([&] { return Cancel->has(200); }));
  BOOST_TEST(ownState(2) == "cancelled");
  BOOST_TEST(until([&] { return totalRunning() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(AndReportsCallsItCannotServe, OwnCalls) {
  auto Elsewhere = own(0, "PUT", "/v1/queues/none/jobs/" + JobA, m_Body);
  auto Unknown = own(1, "GET", "/v1/jobs/" + JobB);
  auto Malformed = own(2, "PUT", m_Submit, "{}");
  BOOST_TEST(until([&] { return Elsewhere->has(404); }));
  BOOST_TEST(until([&] { return Unknown->has(404); }));
  BOOST_TEST(until([&] { return Malformed->has(400); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CancelsJobs)

BOOST_FIXTURE_TEST_CASE(WhereverTheyRun, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Job = submit(0, JobA, 2);
  BOOST_REQUIRE(until([&] { return totalStarts() == 2; }));
  auto Cancel = call(2, "DELETE", Prefix + JobA);
  BOOST_TEST(until([&] { return Cancel->has(200) && Job->has(504); }));
  BOOST_TEST(until([&] { return totalRunning() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(AndReportsUnknownOnes, ThreeNodes) {
  auto Cancel = call(1, "DELETE", Prefix + JobB);
  BOOST_TEST(until([&] { return Cancel->has(410); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAStartOrderIsNotAnswered)

BOOST_FIXTURE_TEST_CASE(NeverRunsATaskTwiceAtOnce, OneNode) {
  executor(0).behaviour().m_DelayedStarts = 2;
  executor(0).behaviour().m_StartDelay = EventLoop::Duration(300);
  executor(1).behaviour().m_DelayedStarts = 2;
  executor(1).behaviour().m_StartDelay = EventLoop::Duration(300);
  executor(0).behaviour().m_RunTime = EventLoop::Duration(400);
  executor(1).behaviour().m_RunTime = EventLoop::Duration(400);
  auto Reply = submit(0, JobA, 2, 15000);
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(200));
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_FIXTURE_TEST_CASE(AndItsWorkerRestarts, OneNode) {
  constexpr int MaxDelayed = 100;
  executor(0).behaviour().m_DelayedStarts = MaxDelayed;
  executor(0).behaviour().m_StartDelay = EventLoop::Duration(4000);
  executor(1).behaviour().m_RunTime = EventLoop::Duration(10000);
  auto Reply = submit(0, JobA, 1, 15000);
  BOOST_REQUIRE(until(
      [&] { return executor(0).behaviour().m_DelayedStarts < MaxDelayed; }));
  // The next run is started on the other worker.
  registerExecutor(executor(0), "draining");
  BOOST_REQUIRE(until([&] { return executor(1).running() == 1; }));
  executor(0).crash();
  TimePoint RestartedAt = EventLoop::now();
  BOOST_TEST(until([&] {
    return millisecondsBetween(RestartedAt, EventLoop::now()) > 4500;
  }));
  BOOST_TEST(executor(0).starts() == 0U);
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnOwnerDies)

BOOST_FIXTURE_TEST_CASE(AnotherTakesOver, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Lost = submit(1, JobA, 2);
  BOOST_REQUIRE(until([&] { return totalStarts() == 2; }));
  // Node 0 is the preferred owner: weights are equal and its name is lowest.
  signal(0, SIGKILL);
  BOOST_TEST(until([&] { return Lost->has(504); }));
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = false;
  BOOST_TEST(servesAgain(1));
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_AUTO_TEST_SUITE_END()

/// Two data centres with one node and one worker each, connected through
/// proxies.
struct TwoDataCentres : PlatformCluster {
  TwoDataCentres() : PlatformCluster({/*m_UsesProxies=*/true, ""}) {
    for (const char *Zone : {"a", "b"}) {
      addExecutor(Zone);
      addNode(Zone);
    }
    BOOST_REQUIRE(untilReady());
  }

  /// Submits a job repeatedly until it is completed. Returns whether it was.
  bool serves(std::size_t Node, const std::string &Job) {
    return until([&] {
      auto Reply = submit(Node, Job, 1);
      until([&] { return Reply->m_Answer.has_value(); });
      return Reply->has(200);
    });
  }

  /// Partitions the data centres: cuts the links of both nodes and the path to
  /// the worker of the second data centre. False restores them.
  void cut(bool Value) {
    for (std::size_t Node : {0, 1})
      linkProxy(Node).set({{}, Value, Value, false});
    executorProxy(1).set({{}, Value, Value, false});
  }

  /// Waits until each node has claimed the shard of its data centre.
  void awaitOwners() {
    BOOST_REQUIRE(until([&] {
      return claims(0, "a/0") > claims(1, "a/0") && claims(1, "b/0") > 0;
    }));
  }

  /// Returns how often a node has claimed a shard.
  std::size_t claims(std::size_t Node, const std::string &Shard = "b/0") const {
    std::size_t Count = 0;
    for (const std::string &Text : log(Node)) {
      auto Line = nlohmann::json::parse(Text, nullptr, false);
      bool IsClaim =
          Line.is_object() && Line.value("event", "") == "shard_claimed";
      Count += IsClaim && Line.value("shard", "") == Shard ? 1 : 0;
    }
    return Count;
  }
};

BOOST_AUTO_TEST_SUITE(WhenADataCentreIsPartitionedOff)

BOOST_FIXTURE_TEST_CASE(ItsShardIsNotClaimedByNodesThatCannotReachIt,
                        TwoDataCentres) {
  awaitOwners();
  // Node 0 may have claimed the shard before node 1 started.
  std::size_t Before = claims(0);
  cut(true);
  waitForLogField(0, "", "peer_down", "peer");
  // The probes of the shard's workers are not answered.
  waitForLogField(0, "b/0", "shard_probed", "shard");
  BOOST_TEST(serves(0, JobA));
  BOOST_TEST(claims(0) == Before);
  cut(false);
  BOOST_TEST(serves(1, JobB));
}

BOOST_FIXTURE_TEST_CASE(ItsShardIsClaimedByNodesThatCanReachIt,
                        TwoDataCentres) {
  awaitOwners();
  std::size_t Before = claims(0);
  signal(1, SIGKILL);
  BOOST_TEST(until([&] { return claims(0) > Before; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterItsStart)

/// Longest time that a node waits for its peers, in milliseconds.
constexpr double ClaimDelayMs = 600;

struct RestartedNodes : TwoDataCentres {
  void restart(std::size_t Node) {
    signal(Node, SIGKILL);
    BOOST_REQUIRE(until([&] { return !running(Node); }));
    restartNode(Node);
  }
  /// Returns how long after its start a node has claimed a shard.
  double claimedAfterMs(std::size_t Node) {
    return waitForLogField(Node, "", "shard_claimed", "since_start_ms")
        .get<double>();
  }
};

BOOST_FIXTURE_TEST_CASE(ClaimsItsShardAtOnceIfEveryOtherNodeIsDown,
                        RestartedNodes) {
  awaitOwners();
  // A running node would claim the shard itself while this one restarts.
  signal(1, SIGKILL);
  BOOST_REQUIRE(until([&] { return !running(1); }));
  // The processes of a busy machine may start late, but not each time.
  constexpr int MaxAttempts = 5;
  double ShortestMs = ClaimDelayMs;
  for (int I = 0; I < MaxAttempts && ShortestMs >= ClaimDelayMs / 2; ++I) {
    restart(0);
    ShortestMs = std::min(ShortestMs, claimedAfterMs(0));
  }
  BOOST_TEST(ShortestMs < ClaimDelayMs / 2);
}

BOOST_FIXTURE_TEST_CASE(WaitsForANodeThatMayOwnIt, RestartedNodes) {
  awaitOwners();
  linkProxy(1).set({{}, true, true, false});
  restart(0);
  BOOST_TEST(claimedAfterMs(0) >= ClaimDelayMs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenOpenLinksBecomeSilent)

BOOST_FIXTURE_TEST_CASE(EveryOwnerKeepsItsShard, TwoDataCentres) {
  awaitOwners();
  auto AllClaims = [this] {
    return claims(0, "a/0") + claims(0, "b/0") + claims(1, "a/0") +
           claims(1, "b/0");
  };
  std::size_t Before = AllClaims();
  for (std::size_t Node : {0, 1})
    linkProxy(Node).blackholeConnections();
  BOOST_TEST(waitForLogField(0, "", "peer_reconnected", "peer") == "node-1");
  BOOST_TEST(waitForLogField(1, "", "peer_reconnected", "peer") == "node-0");
  BOOST_TEST(serves(0, JobA));
  BOOST_TEST(serves(1, JobB));
  BOOST_TEST(AllClaims() == Before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhileTheStoreIsUnavailable)

BOOST_FIXTURE_TEST_CASE(KeepsServing, ThreeNodes) {
  store().setResponseMode(FakeStore::ResponseMode::Refusing);
  auto Reply = submit(2, JobA, 2);
  BOOST_TEST(until([&] { return Reply->has(200); }));
}

BOOST_FIXTURE_TEST_CASE(ANewNodeReadsTheDocumentsFromItsPeers, ThreeNodes) {
  store().setResponseMode(FakeStore::ResponseMode::Refusing);
  addNode();
  BOOST_TEST(untilReady());
  auto Reply = submit(3, JobA, 2);
  BOOST_TEST(until([&] { return Reply->has(200); }));
}

BOOST_FIXTURE_TEST_CASE(ANewNodeReceivesAllDocumentsAtOnce, ThreeNodes) {
  store().setResponseMode(FakeStore::ResponseMode::Silent);
  addNode();
  BOOST_REQUIRE(untilReady());
  // Its own reads of the store are still pending, and no peer is left to query.
  for (std::size_t I = 0; I < 3; ++I)
    signal(I, SIGKILL);
  BOOST_TEST(servesAgain(3));
}

BOOST_FIXTURE_TEST_CASE(ToOneNodeOnly, ThreeNodes) {
  for (auto Mode :
       {FakeStore::ResponseMode::Refusing, FakeStore::ResponseMode::TooMany,
        FakeStore::ResponseMode::Silent}) {
    store().setListenerResponseMode(storeListener(1), Mode);
    auto Reply = submit(1, JobA, 2);
    BOOST_TEST(until([&] { return Reply->has(200); }));
    auto Stored = submitStored(1, JobB, 1);
    BOOST_TEST(until([&] { return Stored->has(200); }));
    store().setListenerResponseMode(storeListener(1),
                                    FakeStore::ResponseMode::Serving);
  }
}

BOOST_FIXTURE_TEST_CASE(DelayedAppendsStoreAJobOnce, OneNode) {
  auto First = submitStored(0, JobB, 1);
  BOOST_REQUIRE(until([&] { return state(0, JobB) == "completed"; }));
  store().delayAppends(1, EventLoop::Duration(900));
  auto Reply = submitStored(0, JobA, 1);
  BOOST_TEST(until([&] { return Reply->has(200); }));
  BOOST_TEST(until([&] { return state(0, JobA) == "completed"; }));
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItIsPaused)

BOOST_FIXTURE_TEST_CASE(ForLessThanTheTimeoutItsJobsContinue, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_RunTime = EventLoop::Duration(800);
  auto Reply = submit(1, JobA, 2);
  BOOST_REQUIRE(until([&] { return totalStarts() == 2; }));
  signal(0, SIGSTOP);
  TimePoint Until = addMs(EventLoop::now(), 480);
  until([&] { return EventLoop::now() >= Until; });
  signal(0, SIGCONT);
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(200));
  BOOST_TEST(totalStarts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ItsShardIsServedByAnother, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_RunTime = EventLoop::Duration(300);
  auto Lost = submit(1, JobA, 2);
  BOOST_REQUIRE(until([&] { return totalStarts() == 2; }));
  signal(0, SIGSTOP);
  BOOST_TEST(servesAgain(1));
  signal(0, SIGCONT);
  BOOST_TEST(untilReady());
  BOOST_TEST(servesAgain(0));
  BOOST_TEST(!hasOverlappingRuns());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FollowsTheConfiguration)

BOOST_FIXTURE_TEST_CASE(AndNeverRevertsToAnOlderVersion, OneNode) {
  publishConfiguration(7, "/other/");
  BOOST_TEST(until([&] {
    auto Removed = call(0, "GET", Prefix);
    until([&] { return Removed->m_Answer.has_value(); });
    return Removed->has(404);
  }));
  publishConfiguration(3);
  store().trim("keyed.op");
  publishConfiguration(8, "/third/");
  BOOST_TEST(until([&] {
    auto Old = call(0, "GET", Prefix);
    until([&] { return Old->m_Answer.has_value(); });
    BOOST_REQUIRE(Old->has(404));
    auto New = call(0, "GET", "/third/");
    until([&] { return New->m_Answer.has_value(); });
    return New->has(200);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenWorkersLeave)

BOOST_FIXTURE_TEST_CASE(StartsNothingOnThem, OneNode) {
  registerExecutor(executor(0), "draining");
  registerExecutor(executor(1), "draining");
  bool Refused = until([&] {
    auto Reply = submit(0, JobA, 1);
    until([&] { return Reply->m_Answer.has_value(); });
    return Reply->has(503);
  });
  BOOST_TEST(Refused);
}

BOOST_FIXTURE_TEST_CASE(UsesAWorkerWithoutRegistrationWhileItAnswers, OneNode) {
  executor(0).behaviour().m_RunTime = EventLoop::Duration(600);
  auto Running = submit(0, JobA, 4);
  BOOST_REQUIRE(until([&] { return totalStarts() == 4; }));
  store().put("keyed.servers", executor(0).id(), std::nullopt);
  BOOST_TEST(until([&] { return Running->has(200); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAskedToStop)

BOOST_FIXTURE_TEST_CASE(FinishesRunningJobs, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_RunTime = EventLoop::Duration(500);
  auto AtOwner = submit(0, JobA, 2);
  auto Elsewhere = submit(1, JobB, 2);
  BOOST_REQUIRE(until([&] { return totalStarts() == 4; }));
  signal(0, SIGTERM);
  BOOST_TEST(until([&] { return AtOwner->has(200) && Elsewhere->has(200); }));
  BOOST_TEST(!isReady(0));
  BOOST_TEST(until([&] { return !running(0); }));
}

struct ShortGrace : PlatformCluster {
  ShortGrace() {
    m_StopGraceSeconds = 2;
    addExecutor().behaviour().m_Hangs = true;
    addNode();
    BOOST_REQUIRE(untilReady());
  }
};

BOOST_FIXTURE_TEST_CASE(AnswersCallsItCannotFinish, ShortGrace) {
  auto Reply = submit(0, JobA, 1, 15000);
  BOOST_REQUIRE(until([&] { return totalStarts() == 1; }));
  signal(0, SIGTERM);
  BOOST_TEST(until([&] { return !running(0); }));
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(504));
}

BOOST_FIXTURE_TEST_CASE(RejectsJobsItCannotFinish, ShortGrace) {
  addNode();
  BOOST_REQUIRE(untilReady());
  signal(0, SIGTERM);
  BOOST_REQUIRE(until([&] { return !isReady(0) && isReady(1); }));
  nlohmann::json Body = {
      {"spec", "text"},
      {"best_effort", true},
      {"steps", {{{"count", 1}, {"cpu", 10}, {"estimated_ms", 3000}}}}};
  auto Reply = call(0, "POST", Prefix + JobA, Body.dump());
  BOOST_TEST(until([&] { return Reply->m_Answer.has_value(); }));
  BOOST_TEST(Reply->has(503));
  BOOST_TEST(totalStarts() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ExplainsAFailedRequestByItsLog)

BOOST_FIXTURE_TEST_CASE(ThatWasRejectedForLackOfCapacity, OneNode) {
  executor(0).behaviour().m_Hangs = true;
  executor(1).behaviour().m_Hangs = true;
  auto First = submit(0, JobA, 4, 15000);
  BOOST_REQUIRE(until([&] { return totalStarts() == 4; }));
  auto Refused = submit(0, JobB, 1);
  BOOST_REQUIRE(until([&] { return Refused->has(503); }));
  BOOST_TEST(waitForLogField(0, JobB, "job_over", "runs") == 0);
  BOOST_TEST(waitForLogField(0, JobB, "job_over", "free_slots") == 0);
  BOOST_TEST(waitForLogField(0, JobB, "job_answered", "reason") == "no_room");
  BOOST_TEST(waitForLogField(0, JobB, "job_answered", "owner") == "node-0");
}

BOOST_FIXTURE_TEST_CASE(WhoseOwnerWasLost, ThreeNodes) {
  for (std::size_t I = 0; I < 4; ++I)
    executor(I).behaviour().m_Hangs = true;
  auto Lost = submit(1, JobA, 1);
  BOOST_REQUIRE(until([&] { return totalStarts() == 1; }));
  auto Owner = waitForLogField(1, JobA, "job_routed", "owner");
  signal(0, SIGKILL);
  BOOST_REQUIRE(until([&] { return Lost->has(504); }));
  BOOST_TEST(Owner == "node-0");
  BOOST_TEST(waitForLogField(1, JobA, "job_answered", "reason") ==
             "owner_lost");
  BOOST_TEST(waitForLogField(1, "", "peer_down", "peer") == Owner);
}

BOOST_FIXTURE_TEST_CASE(WhoseTaskUsedUpItsAttempts, OneNode) {
  executor(0).behaviour().m_Fails = true;
  executor(1).behaviour().m_Fails = true;
  auto Failed = submit(0, JobA, 1);
  BOOST_REQUIRE(until([&] { return Failed->has(200); }));
  BOOST_TEST(waitForLogField(0, JobA, "job_answered", "reason") ==
             "attempts_spent");
  BOOST_TEST(waitForLogField(0, JobA, "run_ended", "how") == "failed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
