#include "auburnhub/Node/ShardProber.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace auburnhub;

namespace {

/// Records renewals, which a test then answers by index.
struct ScriptedOrders {
  void start(const WorkerSpec &, const StartOrder &, std::chrono::milliseconds,
             const std::function<void(OrderReply)> &) {}
  void stop(const WorkerSpec &, const StopOrder &, std::chrono::milliseconds,
            const std::function<void(OrderReply)> &) {}
  void renew(const WorkerSpec &To, const RenewOrder &Order,
             std::chrono::milliseconds,
             const std::function<void(RenewReply)> &Done) {
    m_Probed.push_back(To.m_Id);
    m_Orders.push_back(Order);
    m_Done.push_back(Done);
  }

  std::vector<std::string> m_Probed;
  std::vector<RenewOrder> m_Orders;
  std::vector<std::function<void(RenewReply)>> m_Done;
};

struct Fixture {
  Fixture() {
    for (const char *Id : {"w1", "w2", "w3", "w4"})
      m_Workers.emplace_back().m_Id = Id;
  }
  bool isReachable(double AtMs) {
    return m_Prober.isReachable(addMs(m_Begin, AtMs), {"b", 0}, m_Workers);
  }
  void answer(std::size_t Call, OrderAnswer Answer) {
    RenewReply Reply;
    Reply.m_Answer = Answer;
    m_Orders.m_Done[Call](Reply);
  }

  TimePoint m_Begin = TimePoint(std::chrono::hours(1));
  std::vector<WorkerSpec> m_Workers;
  ScriptedOrders m_Orders;
  int m_ReachableCalls = 0;
  ShardProber<ScriptedOrders> m_Prober{m_Orders,
                                       [this] { ++m_ReachableCalls; }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheReachabilityOfAShard, Fixture)

BOOST_AUTO_TEST_CASE(IsProbedWithoutFencingOffTheOwner) {
  BOOST_TEST(!isReachable(0));
  BOOST_TEST(m_Orders.m_Probed.size() == 3U);
  BOOST_TEST(m_Orders.m_Orders[0].m_Token == 0U);
  BOOST_TEST(!m_Orders.m_Orders[0].m_LeaseUntilMs.has_value());
}

BOOST_AUTO_TEST_CASE(IsConfirmedByAnyAnswerOfAWorker) {
  (void)isReachable(0);
  answer(1, OrderAnswer::Fenced);
  BOOST_TEST(m_ReachableCalls == 1);
  BOOST_TEST(isReachable(1));
}

BOOST_AUTO_TEST_CASE(IsNotConfirmedWhileNoWorkerAnswers) {
  (void)isReachable(0);
  answer(0, OrderAnswer::NoAnswer);
  answer(1, OrderAnswer::NotSent);
  BOOST_TEST(m_ReachableCalls == 0);
  BOOST_TEST(!isReachable(200));
  BOOST_TEST(m_Orders.m_Probed.size() == 3U);
  BOOST_TEST(!isReachable(500));
  BOOST_TEST(m_Orders.m_Probed.size() == 6U);
}

BOOST_AUTO_TEST_CASE(IsConfirmedAfterTheReconnectTimeIfItWasLost) {
  (void)isReachable(0);
  (void)isReachable(500);
  answer(3, OrderAnswer::Fenced);
  BOOST_TEST(!isReachable(600));
  (void)isReachable(1550);
  answer(6, OrderAnswer::Fenced);
  BOOST_TEST(!isReachable(1900));
  BOOST_TEST(isReachable(2050));
}

BOOST_AUTO_TEST_CASE(IsProbedAgainWhenTheLastAnswerHasExpired) {
  (void)isReachable(0);
  answer(0, OrderAnswer::Accepted);
  BOOST_TEST(isReachable(900));
  BOOST_TEST(!isReachable(1100));
  BOOST_TEST(m_Orders.m_Probed.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
