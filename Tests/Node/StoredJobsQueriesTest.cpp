#include "auburnhub/Node/StoredJobsQueries.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace auburnhub;

namespace {

constexpr double CallerTimeoutMs = 60000;

/// A node that knows of no stored jobs.
struct UninformedFixture {
  void ask(double TimeLeftMs = CallerTimeoutMs) {
    m_Queries.ask(TimeLeftMs, [this](std::optional<bool> JobsAreStored) {
      m_Answers.push_back(JobsAreStored);
    });
  }

  EventLoop m_Loop;
  int m_Reads = 0; ///< Requested, of the log.
  StoredJobsQueries m_Queries{m_Loop, [this] { ++m_Reads; }};
  std::vector<std::optional<bool>> m_Answers;
};

const std::vector<std::optional<bool>> No = {false};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AQuestionWhetherJobsAreStored, UninformedFixture)

// Guards against "no such job" for the first stored job, which was accepted
// after this node last read the log.
BOOST_AUTO_TEST_CASE(IsNotAnsweredByAReadThatWasSentBefore) {
  TimePoint ReadAt = EventLoop::now();
  ask();
  BOOST_TEST(m_Reads == 1);
  m_Queries.setNoJobsStored(ReadAt);
  BOOST_TEST(m_Answers.empty());
  BOOST_TEST(m_Reads == 2);
  m_Queries.setNoJobsStored(EventLoop::now());
  BOOST_TEST((m_Answers == No));
}

BOOST_AUTO_TEST_CASE(IsAnsweredAloneByAReadThatWasSentBeforeTheNextOne) {
  ask();
  TimePoint ReadAt = EventLoop::now();
  ask();
  m_Queries.setNoJobsStored(ReadAt);
  BOOST_TEST((m_Answers == No));
  BOOST_TEST(m_Queries.open() == 1U);
}

BOOST_AUTO_TEST_CASE(IsAnsweredOnceJobsAreKnownToBeStored) {
  ask();
  m_Queries.setJobsAreStored();
  BOOST_REQUIRE(m_Answers.size() == 1U);
  BOOST_TEST((m_Answers.front() == std::optional(true)));
}

BOOST_AUTO_TEST_CASE(StaysOpenNoLongerThanItsCallerWaits) {
  ask(/*TimeLeftMs=*/50);
  ask();
  m_Loop.io().run_for(std::chrono::milliseconds(200));
  BOOST_REQUIRE(m_Answers.size() == 1U);
  BOOST_TEST(!m_Answers.front().has_value());
  m_Queries.abandonAll();
  BOOST_REQUIRE(m_Answers.size() == 2U);
  BOOST_TEST(!m_Answers.back().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
