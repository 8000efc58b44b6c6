#include "auburnhub/Node/PeerClock.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

struct Fixture {
  TimePoint at(double Ms) const { return addMs(m_Start, Ms); }
  /// A message sent at SentMs arrives after DelayMs.
  void message(double SentMs, double DelayMs) {
    m_Clock.observe(at(SentMs + DelayMs), peerTime(SentMs));
  }
  static TimePoint peerTime(double Ms) { return addMs(TimePoint(), Ms); }
  /// Returns how far the bound is behind the peer's clock, in milliseconds.
  double behindMs(double NowMs) const {
    return millisecondsBetween(*m_Clock.reached(at(NowMs)), peerTime(NowMs));
  }

  TimePoint m_Start = TimePoint(std::chrono::hours(5));
  PeerClock m_Clock;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheClockOfAPeer, Fixture)

BOOST_AUTO_TEST_CASE(IsUnknownAtFirst) { BOOST_TEST(!m_Clock.reached(at(0))); }

BOOST_AUTO_TEST_CASE(IsNeverOverestimated) {
  for (double SentMs = 0; SentMs < 10000; SentMs += 200) {
    message(SentMs, SentMs < 3000 ? 2 : 400);
    BOOST_TEST(behindMs(SentMs + 400) >= 0);
  }
}

BOOST_AUTO_TEST_CASE(IsFollowedByItsFastestMessage) {
  message(0, 300);
  message(200, 2);
  message(400, 500);
  BOOST_TEST(behindMs(1000) < 5);
}

BOOST_AUTO_TEST_CASE(IsNotOverestimatedForThePast) {
  message(3000, 1);
  BOOST_TEST(behindMs(1000) >= 1);
}

BOOST_AUTO_TEST_CASE(MayRunSlowerThanTheLocalOne) {
  message(0, 0);
  BOOST_TEST(behindMs(100000) >= 50);
}

BOOST_AUTO_TEST_SUITE_END()
