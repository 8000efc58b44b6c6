#include "auburnhub/Jobs/WorkerSession.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

/// A transport whose answers are given by the test, one by one.
class ScriptedTransport {
public:
  template <typename Order, typename Reply> struct Call {
    Order m_Order;
    std::function<void(Reply)> m_Done;
  };

  void start(const WorkerSpec &, const StartOrder &Order,
             std::chrono::milliseconds Timeout,
             std::function<void(OrderReply)> Done) {
    m_Starts.push_back({Order, std::move(Done)});
    m_StartTimeout = Timeout;
  }
  void stop(const WorkerSpec &, const StopOrder &Order,
            std::chrono::milliseconds, std::function<void(OrderReply)> Done) {
    m_Stops.push_back({Order, std::move(Done)});
  }
  void renew(const WorkerSpec &, const RenewOrder &Order,
             std::chrono::milliseconds Timeout,
             std::function<void(RenewReply)> Done) {
    m_Renewals.push_back({Order, std::move(Done)});
    m_RenewTimeout = Timeout;
  }

  std::deque<Call<StartOrder, OrderReply>> m_Starts;
  std::deque<Call<StopOrder, OrderReply>> m_Stops;
  std::deque<Call<RenewOrder, RenewReply>> m_Renewals;
  std::chrono::milliseconds m_StartTimeout{0}; ///< Of the last start.
  std::chrono::milliseconds m_RenewTimeout{0}; ///< Of the last renewal.
};

struct SessionFixture {
  SessionFixture()
      : m_Chart(*StateChart::load(
            AUBURNHUB_SOURCE_DIR "/share/auburnhub/charts/worker-session.yaml",
            WorkerSession<ScriptedTransport>::vocabulary())) {
    WorkerSessionEvents Events;
    Events.m_Reachable = [this](bool Reachable) { m_Reachable = Reachable; };
    Events.m_Accepted = [this](RunId Run) { m_Accepted.push_back(Run); };
    Events.m_Refused = [this](RunId Run, RefusalReason Reason) {
      m_Refused[Run] = Reason;
    };
    Events.m_Ended = [this](RunId Run, RunEnd End,
                            const WorkerIncarnation &LostWith) {
      m_Ended[Run] = End;
      m_LostWith[Run] = LostWith;
    };
    Events.m_Progress = [](RunId, double) {};
    Events.m_StrayEnd = [this](const TaskRef &, std::uint32_t, RunEnd) {
      return m_KeepsStrayEnds;
    };
    Events.m_LeaseLimit = [this] { return m_LeaseLimit; };
    Events.m_Fenced = [this] { m_Fenced = true; };
    WorkerSpec Spec;
    Spec.m_Id = "w";
    Spec.m_Address = "10.0.0.1:1";
    m_Session.emplace(m_Loop, m_Orders, m_Chart, m_Settings, m_Answers, Spec,
                      FencingToken{7}, Events);
    m_Session->begin();
  }

  /// Lets every lease expire while the worker answers nothing.
  void loseWorker() {
    m_Settings.m_SilentMs = 0;
    for (int Attempt = 0; Attempt < 200 && !m_Session->idle(); ++Attempt) {
      if (!m_Orders.m_Renewals.empty())
        answerRenewal(RenewReply());
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(20));
    }
  }

  static RenewReply makeReply(std::vector<ListedRun> Running = {},
                              std::vector<ListedEnd> Ended = {},
                              std::int64_t IncarnationStartMs = 1) {
    RenewReply Reply;
    Reply.m_Answer = OrderAnswer::Accepted;
    Reply.m_WorkerClockMs = 100000;
    Reply.m_IncarnationStartMs = IncarnationStartMs;
    Reply.m_Running = std::move(Running);
    Reply.m_Ended = std::move(Ended);
    return Reply;
  }

  /// Answers the oldest renewal. Real time passes between two calls, so that
  /// the times recorded from earlier answers precede the next renewal.
  void answerRenewal(const RenewReply &Reply) {
    BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
    auto Call = m_Orders.m_Renewals.front();
    m_Orders.m_Renewals.pop_front();
    Call.m_Done(Reply);
  }

  void answerStart(OrderAnswer Answer) {
    auto Call = m_Orders.m_Starts.front();
    m_Orders.m_Starts.pop_front();
    Call.m_Done({Answer, 100000});
  }

  /// Leaves every attempt to start a run unanswered.
  void leaveStartUnanswered() {
    while (!m_Orders.m_Starts.empty())
      answerStart(OrderAnswer::NoAnswer);
  }

  /// Leaves renewals unanswered until the worker is unreachable.
  void leaveRenewalsUnanswered() {
    while (m_Reachable)
      answerRenewal(RenewReply());
  }

  void answerStop(OrderAnswer Answer) {
    BOOST_REQUIRE(!m_Orders.m_Stops.empty());
    auto Call = m_Orders.m_Stops.front();
    m_Orders.m_Stops.pop_front();
    Call.m_Done({Answer, 100000});
  }

  void waitMs(double Ms) {
    TimePoint Until = addMs(EventLoop::now(), Ms);
    while (EventLoop::now() < Until) {
      m_Loop.io().restart();
      m_Loop.io().run_for(std::chrono::milliseconds(1));
    }
  }

  const TaskRef m_Task{"job", 0, 0};
  EventLoop m_Loop;
  ScriptedTransport m_Orders;
  StateChart m_Chart;
  WorkerSessionSettings m_Settings;
  AnswerTime m_Answers;
  std::optional<WorkerSession<ScriptedTransport>> m_Session;
  bool m_Reachable = false;
  bool m_Fenced = false;
  bool m_KeepsStrayEnds = false;
  TimePoint m_LeaseLimit = TimePoint::max();
  std::vector<RunId> m_Accepted;
  std::map<RunId, RefusalReason> m_Refused;
  std::map<RunId, RunEnd> m_Ended;
  std::map<RunId, WorkerIncarnation> m_LostWith;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWorkerSession, SessionFixture)

BOOST_AUTO_TEST_SUITE(BecomesReachable)

BOOST_AUTO_TEST_CASE(WhenTheWorkerHasAnswered) {
  BOOST_TEST(!m_Reachable);
  answerRenewal(makeReply());
  BOOST_TEST(m_Reachable);
}

BOOST_AUTO_TEST_CASE(OnlyOnceRunsOfAnEarlierOwnerHaveEnded) {
  answerRenewal(makeReply({{{"other", 0, 3}, 1, 20}}));
  BOOST_TEST(!m_Reachable);
  BOOST_REQUIRE(m_Orders.m_Stops.size() == 1U);
  BOOST_TEST(m_Orders.m_Stops[0].m_Order.m_Task.m_Job == "other");
  answerStop(OrderAnswer::Accepted);
  answerRenewal(makeReply({}, {{1, {"other", 0, 3}, 1, RunEnd::Stopped}}));
  BOOST_TEST(m_Reachable);
}

BOOST_AUTO_TEST_CASE(WithoutExtendingALeaseOfUnknownRuns) {
  BOOST_TEST(!m_Orders.m_Renewals[0].m_Order.m_LeaseUntilMs.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithARun)

BOOST_AUTO_TEST_CASE(TimesOutARenewalWithinAFifthOfTheLease) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(m_Orders.m_RenewTimeout.count() <= 0.2 * m_Settings.m_LeaseMs);
}

BOOST_AUTO_TEST_CASE(ReportsItsEndAndAcknowledgesItOnce) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  BOOST_TEST(m_Accepted.size() == 1U);
  answerRenewal(makeReply({}, {{5, m_Task, 1, RunEnd::Done}}));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Done));
  // One more renewal acknowledges the end to the worker.
  BOOST_REQUIRE(m_Orders.m_Renewals.size() == 1U);
  BOOST_TEST(m_Orders.m_Renewals[0].m_Order.m_LastEndSeen == 5U);
  answerRenewal(makeReply());
  BOOST_TEST(m_Orders.m_Renewals.empty());
}

BOOST_AUTO_TEST_CASE(IgnoresAListThatIsOlderThanTheStart) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  // This renewal was sent before the start was answered.
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply());
  BOOST_TEST(m_Ended.empty());
  // The next renewal was sent later, and its answer does not list the run.
  answerRenewal(makeReply());
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lapsed));
}

BOOST_AUTO_TEST_CASE(IsLostWhenANewIncarnationAnswersWithoutIt) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  // This renewal was sent before the start was answered.
  answerRenewal(makeReply({{m_Task, 1, 20}}));
  answerRenewal(makeReply({}, {}, 2));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lost));
  BOOST_TEST((m_LostWith.at(1) == WorkerIncarnation{"w", "10.0.0.1:1", 1}));
}

BOOST_AUTO_TEST_CASE(IsLostWithTheIncarnationThatListedItLast) {
  answerRenewal(makeReply());
  // The worker has restarted while it was idle.
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply({{m_Task, 1, 20}}, {}, 2));
  answerRenewal(makeReply({}, {}, 3));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lost));
  BOOST_TEST(m_LostWith.at(1).m_StartMs == 2);
}

BOOST_AUTO_TEST_CASE(GoesOnIfTheNewIncarnationHasStartedIt) {
  answerRenewal(makeReply());
  // The worker has restarted while it was idle.
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply({{m_Task, 1, 20}}, {}, 2));
  BOOST_TEST(m_Ended.empty());
  answerRenewal(makeReply({}, {{1, m_Task, 1, RunEnd::Done}}, 2));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Done));
}

BOOST_AUTO_TEST_CASE(IsNotAcknowledgedUnseenToAWorkerThatMayHaveRestarted) {
  m_Settings.m_SilentMs = 20;
  answerRenewal(makeReply({}, {{5, {"other", 0, 0}, 1, RunEnd::Done}}));
  answerRenewal(makeReply());
  waitMs(2 * m_Settings.m_SilentMs);
  // Meanwhile the worker has restarted, and numbers its ends anew.
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  BOOST_TEST(m_Orders.m_Renewals[0].m_Order.m_LastEndSeen == 0U);
  answerRenewal(RenewReply());
  BOOST_TEST(m_Orders.m_Renewals[0].m_Order.m_LastEndSeen == 0U);
}

BOOST_AUTO_TEST_CASE(EndsAsTheNewIncarnationListsIt) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply({}, {{1, m_Task, 1, RunEnd::Done}}, 2));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAnUnansweredStart)

BOOST_AUTO_TEST_CASE(SendsItAgainWithTheSameNumber) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 3, "spec");
  answerStart(OrderAnswer::NoAnswer);
  BOOST_TEST(m_Orders.m_Stops.empty());
  BOOST_REQUIRE(m_Orders.m_Starts.size() == 1U);
  BOOST_TEST(m_Orders.m_Starts[0].m_Order.m_Number == 3U);
  BOOST_TEST(m_Orders.m_Starts[0].m_Order.m_Spec == "spec");
  answerStart(OrderAnswer::Accepted);
  BOOST_TEST(m_Accepted.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WaitsLongerForEachRepetition) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 3, "spec");
  answerStart(OrderAnswer::NoAnswer);
  auto First = m_Orders.m_StartTimeout;
  answerStart(OrderAnswer::NoAnswer);
  BOOST_TEST(m_Orders.m_StartTimeout.count() >= 2 * First.count());
}

BOOST_AUTO_TEST_CASE(DoesNotSendItAgainSoonerThanASlowPathAnswers) {
  // An owner whose link is full: each answer takes 30 ms.
  answerRenewal(makeReply());
  for (int I = 0; I < 100; ++I)
    m_Answers.add(30);
  m_Session->start(9, m_Task, 1, "spec");
  BOOST_TEST(m_Orders.m_StartTimeout.count() >= 90);
}

BOOST_AUTO_TEST_CASE(DoesNotTakeARefusalOfTheRepetitionForOneOfTheRun) {
  for (OrderAnswer Answer :
       {OrderAnswer::NumberUsed, OrderAnswer::NoRoom, OrderAnswer::Expired,
        OrderAnswer::Unhealthy, OrderAnswer::NotSent}) {
    SessionFixture Fixture;
    Fixture.answerRenewal(makeReply());
    Fixture.m_Session->start(1, m_Task, 1, "spec");
    Fixture.answerStart(OrderAnswer::NoAnswer);
    // The first attempt may have been executed, or may be executed later.
    Fixture.answerStart(Answer);
    BOOST_TEST(Fixture.m_Refused.empty());
    BOOST_TEST(Fixture.m_Ended.empty());
    BOOST_TEST(Fixture.m_Orders.m_Stops.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(LearnsThatTheFirstAttemptHasRun) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::NoAnswer);
  answerStart(OrderAnswer::NumberUsed);
  answerStop(OrderAnswer::NumberUsed);
  answerRenewal(makeReply({}, {{1, m_Task, 1, RunEnd::Done}}));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Done));
}

BOOST_AUTO_TEST_CASE(DoesNotSendItAgainWhenItIsToBeStopped) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  m_Session->stop(1);
  answerStart(OrderAnswer::NoAnswer);
  BOOST_TEST(m_Orders.m_Starts.empty());
}

BOOST_AUTO_TEST_CASE(StopsItAndKeepsTheRunUntilThatIsConfirmed) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  leaveStartUnanswered();
  BOOST_REQUIRE(m_Orders.m_Stops.size() == 1U);
  // The run is not listed, but the start order may yet be executed.
  answerRenewal(makeReply());
  BOOST_TEST(m_Ended.empty());
  answerStop(OrderAnswer::Accepted);
  answerRenewal(makeReply());
  // That renewal was sent before the stop was confirmed; only the next renewal
  // shows that the run has not started.
  BOOST_TEST(m_Ended.empty());
  answerRenewal(makeReply());
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lapsed));
  BOOST_TEST(m_LostWith.at(1).m_Worker.empty());
}

BOOST_AUTO_TEST_CASE(IsLostWhenANewIncarnationConfirmsTheStop) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  leaveStartUnanswered();
  answerRenewal(makeReply({}, {}, 2));
  answerStop(OrderAnswer::Accepted);
  answerRenewal(makeReply({}, {}, 2));
  answerRenewal(makeReply({}, {}, 2));
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lost));
  BOOST_TEST((m_LostWith.at(1) == WorkerIncarnation{"w", "10.0.0.1:1", 0}));
}

BOOST_AUTO_TEST_CASE(StopsItAgainWhenTheStopIsNotAnsweredEither) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  leaveStartUnanswered();
  answerStop(OrderAnswer::NoAnswer);
  BOOST_TEST(m_Orders.m_Stops.size() == 1U);
  BOOST_TEST(m_Ended.empty());
}

BOOST_AUTO_TEST_CASE(ReportsAnOrderWithoutAConnectionAsRefused) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::NotSent);
  BOOST_TEST((m_Refused.at(1) == RefusalReason::Unreachable));
  BOOST_TEST(!m_Reachable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithOneUnansweredRenewal)

BOOST_AUTO_TEST_CASE(AsksAgainAtOnceAndUsesTheWorkerMeanwhile) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  answerRenewal(RenewReply());
  BOOST_TEST(m_Reachable);
  BOOST_REQUIRE(m_Orders.m_Renewals.size() == 1U);
  BOOST_TEST(m_Orders.m_Renewals[0].m_Order.m_MaxWait.count() == 0);
  answerRenewal(makeReply({{m_Task, 1, 20}}));
  BOOST_TEST(m_Reachable);
  BOOST_TEST(m_Ended.empty());
}

BOOST_AUTO_TEST_CASE(StaysReachableWhileItAnswersOtherOrders) {
  m_Settings.m_SilentMs = 40;
  answerRenewal(makeReply());
  for (RunId Id = 1; Id <= 4; ++Id) {
    m_Session->start(Id, {"job", 0, static_cast<std::uint32_t>(Id)}, 1, "spec");
    answerStart(OrderAnswer::Accepted);
    answerRenewal(RenewReply());
    BOOST_TEST(m_Reachable);
    waitMs(20);
  }
  waitMs(m_Settings.m_SilentMs);
  answerRenewal(RenewReply());
  BOOST_TEST(!m_Reachable);
}

BOOST_AUTO_TEST_CASE(PollsMoreOftenForATime) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  answerRenewal(RenewReply());
  answerRenewal(makeReply({{m_Task, 1, 20}}));
  BOOST_REQUIRE(m_Orders.m_Renewals.size() == 1U);
  BOOST_TEST(m_Orders.m_Renewals[0].m_Order.m_MaxWait.count() ==
             m_Settings.m_DoubtfulWaitMs);
}

BOOST_AUTO_TEST_CASE(KnowsAfterAFifthOfTheLeaseWhetherItIsReachable) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  auto FirstTimeout = m_Orders.m_RenewTimeout;
  answerRenewal(RenewReply());
  BOOST_TEST((FirstTimeout + m_Orders.m_RenewTimeout).count() <=
             0.2 * m_Settings.m_LeaseMs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAnUnresponsiveWorker)

BOOST_AUTO_TEST_CASE(PresumesItsRunsAliveWhileALeaseMayLast) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  leaveRenewalsUnanswered();
  BOOST_TEST(!m_Reachable);
  BOOST_TEST(m_Ended.empty());
}

BOOST_AUTO_TEST_CASE(EndsItsRunsWhenEveryLeaseHasExpired) {
  m_Settings.m_LeaseMs = 20;
  m_Settings.m_OrderTimeoutMs = 10;
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  loseWorker();
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lost));
  BOOST_TEST((m_LostWith.at(1) == WorkerIncarnation{"w", "10.0.0.1:1", 1}));
}

BOOST_AUTO_TEST_CASE(ReportsARunLostThatItNeverAccepted) {
  m_Settings.m_LeaseMs = 20;
  m_Settings.m_OrderTimeoutMs = 10;
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  leaveStartUnanswered();
  loseWorker();
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lost));
  BOOST_TEST((m_LostWith.at(1) == WorkerIncarnation{"w", "10.0.0.1:1", 0}));
}

BOOST_AUTO_TEST_CASE(ReportsARunLapsedIfItWasLeaving) {
  m_Settings.m_LeaseMs = 20;
  m_Settings.m_OrderTimeoutMs = 10;
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  WorkerSpec Leaving = m_Session->spec();
  Leaving.m_Leaving = true;
  m_Session->update(Leaving);
  loseWorker();
  BOOST_REQUIRE(m_Ended.contains(1));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lapsed));
  BOOST_TEST(m_LostWith.at(1).m_Worker.empty());
}

// Guards against leases that outlive what is known of the caller.
BOOST_AUTO_TEST_CASE(GetsNoLeaseBeyondItsLimit) {
  constexpr std::int64_t ClockMs = 100000;
  answerRenewal(makeReply());
  m_LeaseLimit = addMs(EventLoop::now(), 300);
  m_Session->start(1, m_Task, 1, "spec");
  BOOST_TEST(m_Orders.m_Starts[0].m_Order.m_LeaseUntilMs < ClockMs + 300);
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(*m_Orders.m_Renewals[0].m_Order.m_LeaseUntilMs < ClockMs + 300);
  answerStart(OrderAnswer::Accepted);
  m_LeaseLimit = EventLoop::now();
  answerRenewal(makeReply({{m_Task, 1, 20}}));
  BOOST_TEST(!m_Orders.m_Renewals[0].m_Order.m_LeaseUntilMs.has_value());
}

BOOST_AUTO_TEST_CASE(ExtendsNoLeaseUntilItAnswers) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  leaveRenewalsUnanswered();
  while (m_Orders.m_Renewals.empty()) {
    m_Loop.io().restart();
    m_Loop.io().run_one_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(!m_Orders.m_Renewals[0].m_Order.m_LeaseUntilMs.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(DoesNothingMoreOnceItIsFenced) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Fenced);
  BOOST_TEST(m_Fenced);
  std::size_t Renewals = m_Orders.m_Renewals.size();
  m_Session->stop(1);
  BOOST_TEST(m_Orders.m_Stops.empty());
  BOOST_TEST(m_Session->isClosed());
  m_Session->start(2, {"job", 0, 1}, 1, "spec");
  BOOST_TEST(m_Orders.m_Starts.empty());
  BOOST_TEST(m_Orders.m_Renewals.size() == Renewals);
}

BOOST_AUTO_TEST_SUITE(LetsTheWorkerKeepTheEnd)

BOOST_AUTO_TEST_CASE(OfAStoredRunUntilItIsAcknowledged) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec", true);
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply({}, {{1, m_Task, 1, RunEnd::Done}}));
  BOOST_TEST((m_Ended.at(1) == RunEnd::Done));
  BOOST_TEST(m_Orders.m_Renewals.empty());
  m_Session->acknowledge(m_Task, 1);
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(m_Orders.m_Renewals.back().m_Order.m_LastEndSeen == 1U);
}

BOOST_AUTO_TEST_CASE(ButNotOfARunThatWasStopped) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec", true);
  answerStart(OrderAnswer::Accepted);
  answerRenewal(makeReply({}, {{1, m_Task, 1, RunEnd::Stopped}}));
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(m_Orders.m_Renewals.back().m_Order.m_LastEndSeen == 1U);
}

BOOST_AUTO_TEST_CASE(ThatAnEarlierOwnerDidNotAcknowledge) {
  m_KeepsStrayEnds = true;
  answerRenewal(makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}));
  BOOST_TEST(m_Reachable);
  BOOST_TEST(m_Orders.m_Renewals.empty());
  m_Session->acknowledge({"other", 0, 0}, 2);
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(m_Orders.m_Renewals.back().m_Order.m_LastEndSeen == 1U);
}

// Each incarnation numbers its ends anew.
BOOST_AUTO_TEST_CASE(OfTheCurrentIncarnationAfterTwoRestarts) {
  m_KeepsStrayEnds = true;
  answerRenewal(makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}));
  m_Session->start(1, m_Task, 1, "spec", true);
  answerStart(OrderAnswer::Accepted);
  for (int Incarnation : {2, 3}) {
    answerRenewal(
        makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}, Incarnation));
    BOOST_TEST(m_Session->token() == 7U + Incarnation - 1U);
    BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
    BOOST_TEST(m_Orders.m_Renewals.back().m_Order.m_LastEndSeen == 0U);
  }
  answerRenewal(makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}, 3));
  m_Session->acknowledge({"other", 0, 0}, 2);
  BOOST_REQUIRE(!m_Orders.m_Renewals.empty());
  BOOST_TEST(m_Orders.m_Renewals.back().m_Order.m_LastEndSeen == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LetsTheLeaseExpire)

BOOST_AUTO_TEST_CASE(BeforeAnEndOfARestartedTaskIsAcknowledged) {
  m_KeepsStrayEnds = true;
  m_Settings.m_LeaseMs = 40;
  m_Settings.m_OrderTimeoutMs = 10;
  answerRenewal(makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}));
  m_Session->start(1, m_Task, 1, "spec");
  answerStart(OrderAnswer::Accepted);
  m_Session->acknowledgeAfterLease({"other", 0, 0}, 2);
  BOOST_TEST(!m_Reachable);
  // The end of the worker's last run is listed; its lease has not expired.
  answerRenewal(makeReply({}, {{2, m_Task, 1, RunEnd::Done}}));
  BOOST_TEST(m_Ended.contains(1));
  BOOST_TEST(!m_Reachable);
  // Renewals that do not extend the lease follow until it has expired.
  TimePoint Begin = EventLoop::now();
  while (!m_Reachable) {
    BOOST_REQUIRE(millisecondsBetween(Begin, EventLoop::now()) < 10000);
    m_Loop.io().restart();
    m_Loop.io().run_one_for(std::chrono::milliseconds(5));
    while (!m_Orders.m_Renewals.empty()) {
      BOOST_TEST(!m_Orders.m_Renewals.front().m_Order.m_LeaseUntilMs);
      answerRenewal(makeReply());
    }
  }
  BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) >= 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfAWorkerThatItHasTakenOver)

BOOST_AUTO_TEST_CASE(LetsTheLeaseOfTheEarlierOwnerExpire) {
  m_KeepsStrayEnds = true;
  m_Settings.m_LeaseMs = 60;
  m_Settings.m_OrderTimeoutMs = 10;
  TimePoint Begin = EventLoop::now();
  m_Session->begin();
  // The task was started again elsewhere before its end was listed here.
  answerRenewal(makeReply({}, {{1, {"other", 0, 0}, 2, RunEnd::Done}}));
  m_Session->acknowledgeAfterLease({"other", 0, 0}, 2);
  while (!m_Reachable) {
    BOOST_REQUIRE(millisecondsBetween(Begin, EventLoop::now()) < 10000);
    waitMs(2);
    while (!m_Orders.m_Renewals.empty()) {
      if (millisecondsBetween(Begin, EventLoop::now()) < m_Settings.m_LeaseMs)
        BOOST_TEST(m_Orders.m_Renewals.front().m_Order.m_LastEndSeen == 0U);
      answerRenewal(makeReply());
    }
  }
  BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) >=
             m_Settings.m_LeaseMs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PresumesARunAlive)

BOOST_AUTO_TEST_CASE(WhileTheWorkerHasMoreEndsThanItLists) {
  answerRenewal(makeReply());
  m_Session->start(1, m_Task, 1, "spec", true);
  answerStart(OrderAnswer::Accepted);
  // The first renewal was sent before the run was accepted.
  answerRenewal(makeReply());
  BOOST_REQUIRE(m_Ended.empty());
  RenewReply Partial = makeReply();
  Partial.m_HasMoreEnds = true;
  answerRenewal(Partial);
  BOOST_TEST(m_Ended.empty());
  answerRenewal(makeReply());
  BOOST_TEST((m_Ended.at(1) == RunEnd::Lapsed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
