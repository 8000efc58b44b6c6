#include "PlatformCluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

/// Fits twice into the initial capacity of a worker.
constexpr std::int64_t TaskCpuMillis = 6000;
constexpr std::int64_t OneTaskCpuMillis = 8000;
constexpr std::int64_t NoTaskCpuMillis = 4000;

/// Nodes under a load that exceeds the capacity of their workers, which execute
/// all orders that they receive.
struct OverloadedWorkers : PlatformCluster {
  OverloadedWorkers() {
    for (int I = 0; I < 4; ++I)
      addExecutor().behaviour().m_GuardsCapacity = false;
    for (int I = 0; I < 3; ++I)
      addNode();
    BOOST_REQUIRE(untilReady());
  }

  void submitNext() {
    std::array<char, 17> Id{};
    std::snprintf(Id.data(), Id.size(), "%016x", ++m_LastJob);
    nlohmann::json Spec = {{"cpu", TaskCpuMillis}, {"ms", m_RunMs}};
    nlohmann::json Step = {{"count", 2},
                           {"cpu", TaskCpuMillis},
                           {"mem_mb", 64},
                           {"estimated_ms", m_RunMs}};
    nlohmann::json Body = {{"spec", Spec.dump()}, {"steps", {Step}}};
    if (m_LastJob % 4 != 0)
      Body["best_effort"] = true;
    std::size_t Node = m_LastJob % nodes();
    if (running(Node))
      m_Calls.push_back(call(Node, "POST", Prefix + std::string(Id.data()),
                             Body.dump(), m_DeadlineMs));
  }

  /// Submits a job every 40 ms for this time.
  void load(EventLoop::Duration Time) {
    auto Timer =
        loop().every(EventLoop::Duration(40), [this] { submitNext(); });
    TimePoint End = EventLoop::now() + Time;
    until([&] { return EventLoop::now() >= End; });
  }

  void resizeAll(std::int64_t CpuMillis) {
    for (std::size_t I = 0; I < executors(); ++I)
      resizeExecutor(I, CpuMillis);
  }

  std::size_t startsOverCapacity() const {
    std::size_t Total = 0;
    for (std::size_t I = 0; I < executors(); ++I)
      Total += executor(I).startsOverCapacity().size();
    return Total;
  }

  std::size_t completedJobs() const {
    return static_cast<std::size_t>(
        std::count_if(m_Calls.begin(), m_Calls.end(),
                      [](const auto &Call) { return Call->has(200); }));
  }

  static constexpr EventLoop::Duration NoticedTime =
      FakeExecutor::CapacityNoticeTime;
  unsigned m_LastJob = 0;
  int m_RunMs = 150;
  int m_DeadlineMs = 3000;
  std::vector<std::shared_ptr<Reply>> m_Calls;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWorkerIsNotLoadedBeyondItsCapacity, OverloadedWorkers)

BOOST_AUTO_TEST_CASE(WhenItShrinksAndGrowsAgain) {
  load(EventLoop::Duration(1000));
  for (std::int64_t CpuMillis : {OneTaskCpuMillis, NoTaskCpuMillis}) {
    resizeAll(CpuMillis);
    load(NoticedTime + EventLoop::Duration(1500));
  }
  std::size_t Before = totalStarts();
  load(EventLoop::Duration(500));
  BOOST_TEST(totalStarts() == Before);
  resizeAll(FakeExecutor::CpuMillis);
  load(EventLoop::Duration(2500));
  BOOST_TEST(totalStarts() > Before + 8);
  BOOST_TEST(startsOverCapacity() == 0U);
  BOOST_TEST(completedJobs() > 0U);
}

BOOST_AUTO_TEST_CASE(WhenItsOwnerChangesMeanwhile) {
  load(EventLoop::Duration(500));
  resizeAll(OneTaskCpuMillis);
  load(NoticedTime);
  // Node 0 is the preferred owner: weights are equal and its name is lowest.
  signal(0, SIGKILL);
  load(EventLoop::Duration(2500));
  std::size_t Before = totalStarts();
  restartNode(0);
  load(EventLoop::Duration(2500));
  BOOST_TEST(totalStarts() > Before);
  BOOST_TEST(startsOverCapacity() == 0U);
}

BOOST_AUTO_TEST_CASE(WhileItsOwnerCannotReadTheStore) {
  load(EventLoop::Duration(500));
  for (auto Mode :
       {FakeStore::ResponseMode::Refusing, FakeStore::ResponseMode::Silent}) {
    resizeAll(FakeExecutor::CpuMillis);
    load(EventLoop::Duration(1500));
    store().setListenerResponseMode(storeListener(0), Mode);
    load(EventLoop::Duration(500));
    resizeAll(OneTaskCpuMillis);
    load(NoticedTime + EventLoop::Duration(2000));
    BOOST_TEST(startsOverCapacity() == 0U);
    store().setListenerResponseMode(storeListener(0),
                                    FakeStore::ResponseMode::Serving);
  }
}

BOOST_AUTO_TEST_CASE(WhenAllNodesWerePausedMeanwhile) {
  for (int Round = 0; Round < 3; ++Round) {
    resizeAll(FakeExecutor::CpuMillis);
    load(EventLoop::Duration(1500));
    for (std::size_t I = 0; I < nodes(); ++I)
      signal(I, SIGSTOP);
    resizeAll(OneTaskCpuMillis);
    load(NoticedTime + EventLoop::Duration(200));
    for (std::size_t I = 0; I < nodes(); ++I)
      signal(I, SIGCONT);
    load(EventLoop::Duration(2000));
  }
  BOOST_TEST(startsOverCapacity() == 0U);
}

BOOST_AUTO_TEST_CASE(WhileRunsAreBeingStopped) {
  m_RunMs = 600;
  m_DeadlineMs = 400;
  for (std::size_t I = 0; I < executors(); ++I)
    executor(I).behaviour().m_StopTime = EventLoop::Duration(300);
  load(EventLoop::Duration(2000));
  resizeAll(OneTaskCpuMillis);
  load(NoticedTime + EventLoop::Duration(2000));
  BOOST_TEST(totalStarts() > 0U);
  BOOST_TEST(startsOverCapacity() == 0U);
}

BOOST_AUTO_TEST_CASE(WhenItRestartsUnderItsIdWithLessOfIt) {
  load(EventLoop::Duration(500));
  for (std::size_t I = 0; I < executors(); ++I) {
    executor(I).setCpuMillis(OneTaskCpuMillis);
    executor(I).crashAndRestart();
  }
  load(executor(0).behaviour().m_RestartTime + NoticedTime);
  std::size_t Before = totalStarts();
  load(EventLoop::Duration(1500));
  BOOST_TEST(totalStarts() > Before);
  BOOST_TEST(startsOverCapacity() == 0U);
}

BOOST_AUTO_TEST_CASE(WhileStartOrdersAreExecutedLate) {
  resizeAll(OneTaskCpuMillis);
  load(NoticedTime);
  for (int Round = 0; Round < 8; ++Round) {
    for (std::size_t I = 0; I < executors(); ++I) {
      executor(I).behaviour().m_DelayedStarts = 2;
      executor(I).behaviour().m_StartDelay = EventLoop::Duration(300);
    }
    load(EventLoop::Duration(500));
  }
  BOOST_TEST(startsOverCapacity() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
