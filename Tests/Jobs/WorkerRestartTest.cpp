#include "ModelWorker.h"

#include "auburnhub/Jobs/WorkerSession.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

using namespace auburnhub;

namespace {

struct RestartFixture {
  RestartFixture()
      : m_Chart(*StateChart::load(AUBURNHUB_SOURCE_DIR
                                  "/share/auburnhub/charts/worker-session.yaml",
                                  WorkerSession<ModelWorker>::vocabulary())) {
    m_Settings.m_LeaseMs = 60;
    m_Settings.m_OrderTimeoutMs = 60;
    m_Settings.m_OrderRetryMs = 10;
    m_Settings.m_SilentMs = 20;
    m_Settings.m_ProbeMs = 5;
    m_Settings.m_MaxProbeMs = 10;
    WorkerSessionEvents Events;
    Events.m_Reachable = [this](bool Reachable) { m_Reachable = Reachable; };
    Events.m_Accepted = [this](RunId) { m_Accepted = true; };
    Events.m_Refused = [](RunId, RefusalReason) {};
    Events.m_Ended = [this](RunId Run, RunEnd End, const WorkerIncarnation &) {
      m_Ended[Run] = End;
    };
    Events.m_Progress = [](RunId, double) {};
    Events.m_StrayEnd = [](const TaskRef &, std::uint32_t, RunEnd) {
      return true;
    };
    Events.m_Fenced = [this] { m_Fenced = true; };
    m_Session.emplace(m_Loop, m_Worker, m_Chart, m_Settings, m_Answers,
                      WorkerSpec(), FencingToken{7}, Events);
    m_Session->begin();
    waitUntil([this] { return m_Reachable; });
  }

  template <typename Condition> void waitUntil(Condition IsTrue) {
    TimePoint Begin = EventLoop::now();
    while (!IsTrue()) {
      if (millisecondsBetween(Begin, EventLoop::now()) > 10000)
        BOOST_FAIL("the awaited event has not occurred");
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(1));
    }
  }

  /// Starts a run; the first attempt is delayed, and the next one is accepted.
  void startWithADelayedAttempt() {
    m_Worker.setPath(ModelWorker::Path::AllDelayed);
    m_Session->start(1, m_Task, 1, "spec", true);
    m_Worker.setPath(ModelWorker::Path::Up);
    waitUntil([this] { return m_Accepted; });
  }

  /// Starts a run; no attempt is answered, and its lease expires.
  void startWithoutAnAnswer() {
    m_Worker.setPath(ModelWorker::Path::AllDelayed);
    m_Session->start(1, m_Task, 1, "spec");
    waitUntil([this] { return m_Ended.contains(1); });
  }

  const TaskRef m_Task{"job", 0, 0};
  const TaskRef m_OtherTask{"job", 0, 1};
  EventLoop m_Loop;
  ModelWorker m_Worker{m_Loop};
  StateChart m_Chart;
  WorkerSessionSettings m_Settings;
  AnswerTime m_Answers;
  std::optional<WorkerSession<ModelWorker>> m_Session;
  bool m_Reachable = false;
  bool m_Accepted = false;
  bool m_Fenced = false;
  std::map<RunId, RunEnd> m_Ended;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWorkerThatHasRestarted, RestartFixture)

BOOST_AUTO_TEST_SUITE(DoesNotExecuteADelayedStart)

BOOST_AUTO_TEST_CASE(OfARunWhoseLeaseHasExpired) {
  startWithoutAnAnswer();
  m_Worker.restart();
  m_Worker.setPath(ModelWorker::Path::Up);
  waitUntil([this] { return m_Reachable; });
  m_Worker.executeDelayedStarts();
  BOOST_TEST(!m_Worker.isRunning(m_Task));
}

BOOST_AUTO_TEST_CASE(OfARunThatItHasNotListed) {
  startWithADelayedAttempt();
  m_Worker.restart();
  waitUntil([this] { return m_Ended.contains(1); });
  m_Worker.executeDelayedStarts();
  BOOST_TEST(!m_Worker.isRunning(m_Task));
}

BOOST_AUTO_TEST_CASE(OfARunThatWasStoppedBefore) {
  m_Worker.setPath(ModelWorker::Path::StartsDelayed);
  m_Session->start(1, m_Task, 1, "spec");
  waitUntil([this] { return m_Ended.contains(1); });
  // The owner has to notice the restart of an idle worker.
  m_Worker.restart();
  bool IsListed = false;
  m_Worker.afterNextRenewal([&] { IsListed = true; });
  waitUntil([&] { return IsListed; });
  m_Worker.executeDelayedStarts();
  BOOST_TEST(!m_Worker.isRunning(m_Task));
}

BOOST_AUTO_TEST_CASE(OfARunThatHasBeenReportedAsEnded) {
  startWithADelayedAttempt();
  m_Worker.restart();
  bool IsExecuted = false;
  m_Worker.afterNextRenewal([&] {
    m_Worker.executeDelayedStarts();
    IsExecuted = true;
  });
  waitUntil([&] { return IsExecuted; });
  // The run may continue, or it may have ended, but not both.
  BOOST_TEST((!m_Ended.contains(1) || !m_Worker.isRunning(m_Task)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(IsNotReachableBeforeADelayedStartIsStopped) {
  startWithoutAnAnswer();
  m_Worker.restart();
  m_Worker.afterNextRenewal([this] { m_Worker.executeDelayedStarts(); });
  m_Worker.setPath(ModelWorker::Path::Up);
  waitUntil([this] { return m_Reachable; });
  BOOST_TEST(!m_Worker.isRunning(m_Task));
}

BOOST_AUTO_TEST_CASE(DoesNotTakeADelayedAcknowledgementForOneOfItsEnds) {
  startWithADelayedAttempt();
  m_Worker.finish(m_Task);
  waitUntil([this] { return m_Ended.contains(1); });
  m_Worker.setPath(ModelWorker::Path::AllDelayed);
  m_Session->acknowledge(m_Task, 1);
  waitUntil([this] { return !m_Reachable; });
  m_Worker.restart();
  m_Worker.setPath(ModelWorker::Path::Up);
  waitUntil([this] { return m_Reachable; });
  m_Session->start(2, m_OtherTask, 1, "spec", true);
  m_Worker.finish(m_OtherTask);
  m_Worker.executeDelayedRenewals();
  BOOST_TEST(m_Worker.keptEnds() == 1U);
}

BOOST_AUTO_TEST_CASE(DoesNotFenceOffItsOwner) {
  m_Worker.restart();
  m_Worker.setPath(ModelWorker::Path::StartsDelayed);
  m_Session->start(1, m_Task, 1, "spec");
  // The start order arrives after a renewal with a higher token.
  m_Worker.afterNextRenewal([this] {
    m_Worker.setPath(ModelWorker::Path::Up);
    m_Worker.executeDelayedStarts();
  });
  waitUntil([this] { return m_Accepted || m_Fenced; });
  BOOST_TEST(!m_Fenced);
  BOOST_TEST(m_Worker.isRunning(m_Task));
}

BOOST_AUTO_TEST_CASE(StopsARunAgainThatWasStoppedBefore) {
  startWithADelayedAttempt();
  m_Session->stop(1);
  // The stop is confirmed, and its effect is lost with the incarnation.
  m_Loop.io().poll_one();
  m_Worker.restart();
  m_Worker.executeDelayedStarts();
  waitUntil([this] { return m_Ended.contains(1); });
  BOOST_TEST(!m_Worker.isRunning(m_Task));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Stopped));
}

BOOST_AUTO_TEST_SUITE(IsUsedAgain)

BOOST_AUTO_TEST_CASE(WhenItHasForgottenAnEndThatWasKeptUntilItsLeaseEnds) {
  startWithADelayedAttempt();
  m_Worker.finish(m_Task);
  waitUntil([this] { return m_Ended.contains(1); });
  m_Session->acknowledgeAfterLease(m_Task, 1);
  BOOST_TEST(!m_Reachable);
  m_Worker.restart();
  waitUntil([this] { return m_Reachable; });
}

BOOST_AUTO_TEST_CASE(WhenAnEndThatItHasForgottenIsAcknowledged) {
  startWithADelayedAttempt();
  m_Worker.finish(m_Task);
  waitUntil([this] { return m_Ended.contains(1); });
  m_Worker.restart();
  bool IsListed = false;
  m_Worker.afterNextRenewal([&] { IsListed = true; });
  waitUntil([&] { return IsListed; });
  m_Session->acknowledgeAfterLease(m_Task, 1);
  waitUntil([this] { return m_Reachable; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
