#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

  void waitFor(double Ms) {
    TimePoint Begin = EventLoop::now();
    until([&] { return millisecondsBetween(Begin, EventLoop::now()) > Ms; });
  }

  bool isMarked() const {
    return store().value(Directory, StoredJobsKey).has_value();
  }

  /// Cuts the nodes off from each other. They reach the store, the workers and
  /// the callers.
  void setCut(bool IsCut) {
    FaultyProxy::Faults BothWays;
    BothWays.m_CutForward = BothWays.m_CutBack = IsCut;
    for (std::size_t Node : {0, 1})
      linkProxy(Node).set(BothWays);
  }

  /// Submits a job each IntervalMs for DurationMs.
  void submitFor(double DurationMs, double IntervalMs) {
    TimePoint Begin = EventLoop::now();
    while (millisecondsBetween(Begin, EventLoop::now()) < DurationMs) {
      m_Submitted.push_back(submitNext());
      waitFor(IntervalMs);
    }
  }

  std::size_t acceptedJobs() const {
    return static_cast<std::size_t>(
        std::count_if(m_Submitted.begin(), m_Submitted.end(),
                      [](const auto &Job) { return Job->has(200); }));
  }

  /// Returns when a run of each task has ended `done`, if its worker forgot
  /// that end within the same lease. The first one counts.
  std::map<std::string, TimePoint> doneTasks() const {
    std::map<std::string, TimePoint> Result;
    for (std::size_t Index = 0; Index < executors(); ++Index) {
      const FakeExecutor &Worker = executor(Index);
      std::map<std::pair<std::string, std::uint32_t>, TimePoint> Done;
      for (const FakeExecutor::Event &E : Worker.journal()) {
        std::pair Run(E.m_Task, E.m_Run);
        if (E.m_What == "done")
          Done[Run] = E.m_At;
        if (E.m_What != "acknowledged" || !Done.contains(Run))
          continue;
        const auto &Lapsed = Worker.lapsedLeases();
        bool HasLapsed =
            std::any_of(Lapsed.begin(), Lapsed.end(), [&](TimePoint At) {
              return At > Done[Run] && At <= E.m_At;
            });
        if (!HasLapsed)
          Result.try_emplace(E.m_Task, Done[Run]);
      }
    }
    return Result;
  }

  /// Returns how many runs have started after their task was done.
  std::size_t startsOfDoneTasks() const {
    std::size_t Result = 0;
    auto Done = doneTasks();
    for (std::size_t Index = 0; Index < executors(); ++Index)
      for (const FakeExecutor::Event &E : executor(Index).journal())
        if (auto Found = Done.find(E.m_Task); E.m_What == "start" &&
                                              Found != Done.end() &&
                                              E.m_At > Found->second)
          ++Result;
    return Result;
  }

  bool hasLogged(std::size_t Node, const std::string &Event) const {
    auto Lines = log(Node);
    return std::any_of(
        Lines.begin(), Lines.end(), [&](const std::string &Line) {
          return Line.find('"' + Event + '"') != std::string::npos;
        });
  }

  int m_LastJob = 0;
  std::vector<std::shared_ptr<Reply>> m_Submitted;
};

/// The second node has read that no jobs are stored, and is cut off from the
/// other one. The store answers its further reads of the directory too late.
/// Ends take some time to be stored, and are unacknowledged meanwhile.
struct UninformedNode : NoStoredJobs {
  UninformedNode() {
    store().delayReads(Directory, EventLoop::Duration(30000));
    FaultyProxy::Faults Slow;
    Slow.m_Delay = EventLoop::Duration(100);
    storeProxy(0).set(Slow);
    setCut(true);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheFirstStoredJob)

// Guards against tasks that are started again because a node that did not know
// of stored jobs has acknowledged their ends to the workers.
BOOST_FIXTURE_TEST_CASE(HasNoTaskStartedAgainAfterAnEndThatAnUninformedNodeSaw,
                        UninformedNode) {
  submitFor(6000, 40);
  BOOST_TEST(acceptedJobs() > 10U);
  BOOST_REQUIRE(waitForLogField(1, "a/0", "shard_claimed", "shard") == "a/0");
  BOOST_TEST(hasLogged(1, "stray_end_kept"));
  waitFor(5000);
  BOOST_TEST(doneTasks().size() > 10U * TasksPerJob);
  BOOST_TEST(startsOfDoneTasks() == 0U);
  // Each end is acknowledged once the nodes and the store are well.
  setCut(false);
  store().delayReads(Directory, EventLoop::Duration(0));
  storeProxy(0).set({});
  BOOST_TEST(until([&] {
    return totalRunning() == 0 && executor(0).unacknowledgedEnds() == 0 &&
           executor(1).unacknowledgedEnds() == 0;
  }));
  BOOST_TEST(startsOfDoneTasks() == 0U);
}

// Guards against 410 for a job that another node has accepted.
BOOST_FIXTURE_TEST_CASE(IsNotDeniedByAnUninformedNode, UninformedNode) {
  const std::string Path = Prefix + std::string("5c0e7a21d94b36f8");
  auto Ask = [&](std::size_t Node, const std::string &Method) {
    auto Call = call(Node, Method, Path);
    until([&] { return Call->m_Answer.has_value(); });
    return Call;
  };
  BOOST_REQUIRE(until([&] {
    auto Job = submitStoredSpec(0, "5c0e7a21d94b36f8", 1,
                                {{"cpu", 1000}, {"ms", 60000}});
    until([&] { return Job->m_Answer.has_value(); });
    return Job->has(200);
  }));
  BOOST_TEST(Ask(1, "GET")->has(503));
  BOOST_TEST(Ask(1, "DELETE")->has(503));
  setCut(false);
  store().delayReads(Directory, EventLoop::Duration(0));
  BOOST_TEST(until([&] { return Ask(1, "DELETE")->has(200); }));
  BOOST_TEST(until([&] { return totalRunning() == 0; }));
}

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
