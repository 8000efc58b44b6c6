#include "auburnhub/Node/LedgerCalls.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

/// LedgerCalls with one partition; records the messages that are sent.
struct LedgerCallsFixture {
  void reportKeeper(const std::string &Node, LedgerEpoch Epoch,
                    std::uint64_t Pending = 0) {
    LedgerStatus Status{{0, Epoch}, {{"certify", Pending}}};
    m_Calls.updateLedgers(Node, std::vector{Status});
  }
  void submit(double TimeLeftMs = 5000) {
    m_Calls.call(LedgerCallKind::Submit, "a", {}, TimeLeftMs,
                 [this](LedgerCallOutcome Outcome, StoredJobState) {
                   m_Outcome = Outcome;
                 });
    run();
  }
  void run() {
    m_Loop.io().restart();
    m_Loop.io().poll();
  }
  void answer(LedgerCallOutcome Outcome) {
    answer(m_Sent.back().first, Outcome);
  }
  void answer(const std::string &Node, LedgerCallOutcome Outcome,
              const std::string &Job = "a") {
    m_Calls.answered(
        Node, {m_Sent.back().second, Job, Outcome, StoredJobState::Queued});
    run();
  }
  bool waitForOutcome(LedgerCallOutcome Outcome) {
    TimePoint Begin = EventLoop::now();
    while (!m_Outcome && millisecondsBetween(Begin, EventLoop::now()) < 10000) {
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(20));
    }
    return m_Outcome == Outcome;
  }

  EventLoop m_Loop;
  MetricsRegistry m_Metrics;
  std::vector<std::pair<std::string, std::uint64_t>> m_Sent;
  LedgerCalls m_Calls{m_Loop, 1, CallNumbers::ofNewProcess(), m_Metrics,
                      [this](const std::string &Node, const LedgerCall &Msg) {
                        m_Sent.emplace_back(Node, Msg.m_Call);
                      }};
  std::optional<LedgerCallOutcome> m_Outcome;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACallAboutAStoredJob, LedgerCallsFixture)

BOOST_AUTO_TEST_CASE(GoesToTheKeeperOfTheHighestEpoch) {
  reportKeeper("old", 3);
  reportKeeper("new", 5);
  reportKeeper("old", 3);
  submit();
  BOOST_REQUIRE(m_Sent.size() == 1U);
  BOOST_TEST(m_Sent[0].first == "new");
  answer(LedgerCallOutcome::Done);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(WaitsForAKeeper) {
  submit();
  BOOST_TEST(m_Sent.empty());
  reportKeeper("n", 1);
  BOOST_TEST(m_Sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(GoesToTheNextKeeperIfOneIsLost) {
  reportKeeper("a", 1);
  submit();
  m_Calls.nodeLost("a");
  reportKeeper("b", 2);
  BOOST_REQUIRE(m_Sent.size() == 2U);
  BOOST_TEST(m_Sent[1].first == "b");
}

BOOST_AUTO_TEST_CASE(WasNotAppliedIfNoKeeperWasKnown) {
  submit(60);
  BOOST_TEST(waitForOutcome(LedgerCallOutcome::NoKeeper));
}

BOOST_AUTO_TEST_CASE(WasNotAppliedIfTheNodeIsNotTheKeeper) {
  reportKeeper("a", 1);
  submit(60);
  answer(LedgerCallOutcome::NotKeeper);
  BOOST_TEST(waitForOutcome(LedgerCallOutcome::NoKeeper));
}

BOOST_AUTO_TEST_CASE(MayHaveBeenAppliedByAKeeperThatWasLost) {
  reportKeeper("a", 1);
  submit(60);
  m_Calls.nodeLost("a");
  BOOST_TEST(waitForOutcome(LedgerCallOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(IsNotRefusedIfAnEarlierCopyMayBeStored) {
  // The link to the keeper is lost and made again; the keeper still has the
  // first copy when it refuses the second one.
  reportKeeper("a", 1);
  submit();
  m_Calls.nodeLost("a");
  reportKeeper("a", 1);
  BOOST_REQUIRE(m_Sent.size() == 2U);
  answer("a", LedgerCallOutcome::Refused);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Unknown));
}

// Guards against the answer to a call of an earlier process with this name.
BOOST_AUTO_TEST_CASE(IsNotAnsweredByTheAnswerForAnotherJob) {
  reportKeeper("a", 1);
  submit();
  answer("a", LedgerCallOutcome::Done, "b");
  BOOST_TEST(!m_Outcome);
  answer("a", LedgerCallOutcome::Done);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(HasAnotherNumberThanThoseOfAnotherProcess) {
  LedgerCallsFixture Other;
  reportKeeper("a", 1);
  submit();
  Other.reportKeeper("a", 1);
  Other.submit();
  BOOST_TEST(m_Sent.back().second != Other.m_Sent.back().second);
}

BOOST_AUTO_TEST_SUITE(ThatWasSentToASecondKeeper)

BOOST_AUTO_TEST_CASE(IsNotRefusedByTheFirstOne) {
  reportKeeper("a", 1);
  submit();
  reportKeeper("b", 2);
  BOOST_REQUIRE(m_Sent.size() == 2U);
  answer("a", LedgerCallOutcome::Refused);
  BOOST_TEST(!m_Outcome);
  answer("b", LedgerCallOutcome::Done);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(StaysThereWhenTheFirstOneIsNoLongerTheKeeper) {
  reportKeeper("a", 1);
  submit();
  reportKeeper("b", 2);
  answer("a", LedgerCallOutcome::NotKeeper);
  BOOST_TEST(m_Sent.size() == 2U);
  BOOST_TEST(!m_Outcome);
  answer("b", LedgerCallOutcome::Done);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(IsDoneIfTheFirstOneHasStoredIt) {
  reportKeeper("a", 1);
  submit();
  reportKeeper("b", 2);
  answer("a", LedgerCallOutcome::Done);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TheNumberOfWaitingJobs, LedgerCallsFixture)

BOOST_AUTO_TEST_CASE(IsTheLastOneKnownWhileTheKeeperChanges) {
  reportKeeper("a", 1, 7);
  m_Calls.nodeLost("a");
  BOOST_TEST(m_Calls.pending("certify") == 7U);
  m_Calls.updateLedgers("a", {});
  BOOST_TEST(m_Calls.pending("certify") == 7U);
  reportKeeper("b", 2, 4);
  BOOST_TEST(m_Calls.pending("certify") == 4U);
  reportKeeper("a", 1, 9);
  BOOST_TEST(m_Calls.pending("certify") == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
