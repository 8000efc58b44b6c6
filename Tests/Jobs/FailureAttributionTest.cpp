#include "auburnhub/Jobs/FailureAttribution.h"
#include "auburnhub/Jobs/JobParameters.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace auburnhub;

namespace {

const std::string Queue = "certify";

struct AttributionFixture {
  void fail(const std::string &Worker, int Count = 1, bool IsRepeated = false) {
    for (int I = 0; I < Count; ++I)
      m_Failures.runFailed(m_Now, Queue, Worker, IsRepeated);
  }
  void succeed(const std::string &Worker, int Count = 1) {
    for (int I = 0; I < Count; ++I)
      m_Failures.runDone(m_Now, Queue, Worker);
  }
  bool isToBlame(const std::string &Worker) const {
    return m_Failures.streakProbability(m_Now, Worker) <=
           JobParameters().m_MaxStreakProbability;
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  FailureAttribution m_Failures;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AWorkerWhoseRunsFail)

BOOST_FIXTURE_TEST_SUITE(IsToBlame, AttributionFixture)

BOOST_AUTO_TEST_CASE(AfterThreeFailuresWithoutOtherEvidence) {
  fail("w", 2);
  BOOST_TEST(!isToBlame("w"));
  fail("w");
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(IfTheQueueSucceedsOnOthers) {
  succeed("other", 50);
  fail("w", 3);
  BOOST_TEST(isToBlame("w"));
  BOOST_TEST(!isToBlame("other"));
}

BOOST_AUTO_TEST_CASE(IfItHasSucceededBefore) {
  succeed("w", 40);
  fail("other", 3, /*IsRepeated=*/true);
  fail("w", 3);
  BOOST_TEST(isToBlame("w"));
}

// Workers that fail all that they start fail fast and get the more runs.
BOOST_AUTO_TEST_CASE(BesideOthersThatFailAllTheyStart) {
  succeed("sound", 3);
  for (int I = 0; I < 5; ++I)
    fail("failing-" + std::to_string(I), 20);
  fail("w", 3);
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(IfTheQueueSucceedsAtOtherOwnersOnly) {
  fail("other", 20);
  m_Failures.setPeer("owner", {{Queue, {40, 4}}});
  fail("w", 3);
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(ByRefusalsThatSayItIsUnhealthy) {
  for (int I = 0; I < 3; ++I)
    m_Failures.runRefused(m_Now, "w");
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsNotToBlame, AttributionFixture)

BOOST_AUTO_TEST_CASE(IfAllWorkersFail) {
  for (const char *Worker : {"a", "b", "c"})
    fail(Worker, 10);
  for (const char *Worker : {"a", "b", "c"})
    BOOST_TEST(!isToBlame(Worker));
}

BOOST_AUTO_TEST_CASE(IfItIsAloneAndTheWorkersOfOthersFailToo) {
  fail("w", 6);
  BOOST_TEST(isToBlame("w"));
  m_Failures.setPeer("owner", {{Queue, {0, 6}}});
  BOOST_TEST(!isToBlame("w"));
  m_Failures.erasePeer("owner");
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(IfTwoThirdsOfTheRunsFailEverywhere) {
  for (int I = 0; I < 10; ++I) {
    fail("other", 2);
    succeed("other");
  }
  fail("w", 8);
  BOOST_TEST(!isToBlame("w"));
  fail("w", 10);
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(ByTasksThatHaveFailedBefore) {
  succeed("other", 50);
  fail("w", 10, /*IsRepeated=*/true);
  BOOST_TEST(m_Failures.streakLength("w") == 0U);
  BOOST_TEST(!isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(AfterASuccess) {
  fail("w", 10);
  succeed("w");
  BOOST_TEST(m_Failures.streakLength("w") == 0U);
  BOOST_TEST(!isToBlame("w"));
}

BOOST_AUTO_TEST_CASE(ByFailuresOfLongAgo) {
  fail("w", 2);
  m_Now = addMs(m_Now, 2 * FailureAttribution::HalfLifeMs);
  fail("w");
  BOOST_TEST(m_Failures.streakLength("w") == 1U);
}

// Each queue is judged by its own runs.
BOOST_AUTO_TEST_CASE(ByAQueueThatFailsBesideOneThatSucceeds) {
  for (int I = 0; I < 20; ++I) {
    m_Failures.runDone(m_Now, "sound", "other");
    fail("other");
  }
  fail("w", 10);
  BOOST_TEST(!isToBlame("w"));
  for (int I = 0; I < 3; ++I)
    m_Failures.runFailed(m_Now, "sound", "w", /*IsRepeated=*/false);
  BOOST_TEST(isToBlame("w"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnOwnerStates, AttributionFixture)

BOOST_AUTO_TEST_CASE(NoQueueOfWhichFewRunsFail) {
  succeed("w", 50);
  fail("w");
  BOOST_TEST(m_Failures.failingQueues(m_Now).empty());
}

BOOST_AUTO_TEST_CASE(TheRunsOfWorkersThatDoNotFailAllTheyStart) {
  fail("failing", 20);
  succeed("sound", 8);
  fail("sound", 2);
  auto Stated = m_Failures.failingQueues(m_Now);
  BOOST_REQUIRE(Stated.contains(Queue));
  BOOST_TEST(Stated.at(Queue).m_Done == 8);
  BOOST_TEST(Stated.at(Queue).m_Failed == 2);
}

BOOST_AUTO_TEST_CASE(AllRunsIfNoneSucceeds) {
  fail("a", 4);
  fail("b", 5);
  auto Stated = m_Failures.failingQueues(m_Now);
  BOOST_REQUIRE(Stated.contains(Queue));
  BOOST_TEST(Stated.at(Queue).m_Failed == 9);
  m_Now = addMs(m_Now, FailureAttribution::HalfLifeMs);
  BOOST_TEST(m_Failures.failingQueues(m_Now).at(Queue).m_Failed == 4.5,
             boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_SUITE_END()
