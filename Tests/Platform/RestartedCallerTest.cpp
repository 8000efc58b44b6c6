#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <memory>
#include <string>
#include <vector>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr int Calls = 12;
constexpr int DeadlineMs = 1500;

std::string jobId(int Index) {
  return "00000000000000" + std::to_string(10 + Index);
}

/// Three nodes. Calls about stored jobs have reached keepers through the first
/// one, which was killed while the store was silent and has started again.
struct RestartedNode : PlatformCluster {
  RestartedNode() {
    addExecutor();
    for (int Index = 0; Index < 3; ++Index)
      addNode();
    BOOST_REQUIRE(untilReady());
    auto First = submitStored(1, jobId(80), 1);
    BOOST_REQUIRE(until([&] { return First->has(200); }));
    // All three nodes have become keepers.
    for (std::size_t Node : {0, 1, 2})
      waitForLogField(Node, R"("to":"serving")", "ledger_state", "part");
    store().setResponseMode(FakeStore::ResponseMode::Holding);
    std::vector<std::shared_ptr<Reply>> Lost;
    Lost.reserve(Calls);
    for (int Index = 0; Index < Calls; ++Index)
      Lost.push_back(submitStored(0, jobId(Index), 1));
    wait(300);
    signal(0, SIGKILL);
    BOOST_REQUIRE(until([&] { return !running(0); }));
    wait(900);
    restartNode(0);
    wait(1900);
  }

  void wait(double Ms) {
    TimePoint Begin = EventLoop::now();
    until([&] { return millisecondsBetween(Begin, EventLoop::now()) > Ms; });
  }

  /// Makes the same call about Calls jobs at the restarted node, and lets the
  /// store return. Returns the jobs of the calls that were answered 200.
  std::vector<int> call200(const std::string &Method, int FirstJob) {
    const std::string Body =
        R"({"spec":"text","steps":[{"count":1,"cpu":1000,"mem_mb":64,)"
        R"("estimated_ms":20}]})";
    std::vector<std::shared_ptr<Reply>> Replies;
    Replies.reserve(Calls);
    for (int Index = 0; Index < Calls; ++Index)
      Replies.push_back(call(0, Method, Prefix + jobId(FirstJob + Index),
                             Method == "POST" ? Body : "", DeadlineMs));
    wait(1000);
    store().setResponseMode(FakeStore::ResponseMode::Serving);
    std::vector<int> Done;
    for (int Index = 0; Index < Calls; ++Index) {
      until([&] { return Replies[Index]->m_Answer.has_value(); });
      if (Replies[Index]->has(200))
        Done.push_back(FirstJob + Index);
    }
    return Done;
  }
};

} // namespace

// Guards against answers to calls of the node's earlier process that are taken
// for the answers to calls of its present one.
BOOST_FIXTURE_TEST_SUITE(ANodeThatHasRestarted, RestartedNode)

BOOST_AUTO_TEST_CASE(AcceptsNoJobThatIsNotStored) {
  for (int Job : call200("POST", 20)) {
    BOOST_TEST_CONTEXT(jobId(Job)) { BOOST_TEST(state(1, jobId(Job)) != ""); }
  }
}

BOOST_AUTO_TEST_CASE(ReportsNoStateOfAnUnknownJob) {
  BOOST_TEST(call200("GET", 40).empty());
}

BOOST_AUTO_TEST_CASE(CancelsNoUnknownJob) {
  BOOST_TEST(call200("DELETE", 60).empty());
}

BOOST_AUTO_TEST_SUITE_END()
