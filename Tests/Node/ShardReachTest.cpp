#include "auburnhub/Node/ShardReach.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace auburnhub;

namespace {

/// Keeps what workers are asked, until a test answers it.
struct ScriptedOrders {
  void start(const WorkerSpec &, const StartOrder &, std::chrono::milliseconds,
             const std::function<void(OrderReply)> &) {}
  void stop(const WorkerSpec &, const StopOrder &, std::chrono::milliseconds,
            const std::function<void(OrderReply)> &) {}
  void renew(const WorkerSpec &To, const RenewOrder &Order,
             std::chrono::milliseconds,
             const std::function<void(RenewReply)> &Done) {
    m_Asked.push_back(To.m_Id);
    m_Orders.push_back(Order);
    m_Done.push_back(Done);
  }

  std::vector<std::string> m_Asked;
  std::vector<RenewOrder> m_Orders;
  std::vector<std::function<void(RenewReply)>> m_Done;
};

struct Fixture {
  Fixture() {
    for (const char *Id : {"w1", "w2", "w3", "w4"})
      m_Workers.emplace_back().m_Id = Id;
  }
  bool reaches(double AtMs) {
    return m_Reach.reaches(addMs(m_Begin, AtMs), {"b", 0}, m_Workers);
  }
  void answer(std::size_t Call, OrderAnswer Answer) {
    RenewReply Reply;
    Reply.m_Answer = Answer;
    m_Orders.m_Done[Call](Reply);
  }

  TimePoint m_Begin = TimePoint(std::chrono::hours(1));
  std::vector<WorkerSpec> m_Workers;
  ScriptedOrders m_Orders;
  int m_Found = 0;
  ShardReach<ScriptedOrders> m_Reach{m_Orders, [this] { ++m_Found; }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheReachOfAShard, Fixture)

BOOST_AUTO_TEST_CASE(IsAskedForWithoutFencingAnybody) {
  BOOST_TEST(!reaches(0));
  BOOST_TEST(m_Orders.m_Asked.size() == 3U);
  BOOST_TEST(m_Orders.m_Orders[0].m_Token == 0U);
  BOOST_TEST(!m_Orders.m_Orders[0].m_LeaseUntilMs.has_value());
}

BOOST_AUTO_TEST_CASE(IsThereOnceAWorkerHasAnsweredAnything) {
  (void)reaches(0);
  answer(1, OrderAnswer::Fenced);
  BOOST_TEST(m_Found == 1);
  BOOST_TEST(reaches(1));
}

BOOST_AUTO_TEST_CASE(IsNotThereWhileNoneAnswers) {
  (void)reaches(0);
  answer(0, OrderAnswer::NoAnswer);
  answer(1, OrderAnswer::NotSent);
  BOOST_TEST(m_Found == 0);
  BOOST_TEST(!reaches(200));
  BOOST_TEST(m_Orders.m_Asked.size() == 3U);
  BOOST_TEST(!reaches(500));
  BOOST_TEST(m_Orders.m_Asked.size() == 6U);
}

BOOST_AUTO_TEST_CASE(CountsOnlyAfterAWhileIfThereWasNoneBefore) {
  (void)reaches(0);
  (void)reaches(500);
  answer(3, OrderAnswer::Fenced);
  BOOST_TEST(!reaches(600));
  (void)reaches(1550);
  answer(6, OrderAnswer::Fenced);
  BOOST_TEST(!reaches(1900));
  BOOST_TEST(reaches(2050));
}

BOOST_AUTO_TEST_CASE(IsAskedForAgainAfterAWhile) {
  (void)reaches(0);
  answer(0, OrderAnswer::Accepted);
  BOOST_TEST(reaches(900));
  BOOST_TEST(!reaches(1100));
  BOOST_TEST(m_Orders.m_Asked.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
