#define BOOST_TEST_MODULE SoakChecker
#include "SoakChecker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnhub;
using namespace auburnhub::soak;

// The checker finds a breach of each promise, and none in a history that keeps
// them.

namespace {

const std::string JobId = "00000000000000aa";

TimePoint at(double Ms) { return addMs(TimePoint(std::chrono::hours(1)), Ms); }

/// A history of one stored job of one task that was done at 100 ms.
struct KeptHistory {
  KeptHistory() {
    SoakJob &Job = m_Seen.m_Jobs.emplace_back();
    Job.m_Id = JobId;
    Job.m_Stored = true;
    Job.m_HandedIn = 1;
    Job.m_AcceptedAt = at(10);
    Job.m_State = "completed";
    call("POST", 0, 10, 200, "queued");
    call("GET", 200, 210, 200, "completed");
    m_Seen.m_Executors.push_back({"i-0", {}, 6000, {}, {}});
    event(1, "start", 20);
    event(1, "done", 100);
    event(1, "acknowledged", 120);
  }

  SoakJob &job() { return m_Seen.m_Jobs.front(); }
  std::vector<platform::FakeExecutor::Event> &journal() {
    return m_Seen.m_Executors.front().m_Journal;
  }
  void event(std::uint32_t Run, const std::string &What, double Ms) {
    journal().push_back({JobId + ".0.0.0", Run, What, at(Ms)});
  }
  void call(const std::string &Method, double Sent, double Ended, int Status,
            const std::string &State) {
    job().m_Calls.push_back({Method, 0, at(Sent), at(Ended), Status, State});
  }
  void disturb(const std::string &Kind, double Begin, double End,
               bool Planned) {
    m_Seen.m_Disturbances.push_back(
        {Kind, at(Begin), at(End), Planned, 0, std::nullopt});
  }

  bool finds(Breach What) const {
    auto Found = checkSoak(m_Seen);
    return std::any_of(Found.begin(), Found.end(),
                       [&](const Finding &F) { return F.m_What == What; });
  }

  SoakHistory m_Seen;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheCheckerOfASoak, KeptHistory)

BOOST_AUTO_TEST_CASE(FindsNothingWherePromisesWereKept) {
  BOOST_TEST(checkSoak(m_Seen).empty());
}

BOOST_AUTO_TEST_SUITE(FindsARun)

BOOST_AUTO_TEST_CASE(BesideAnotherOfTheTask) {
  event(2, "start", 50);
  BOOST_TEST(finds(Breach::RanTwiceAtOnce));
}

BOOST_AUTO_TEST_CASE(AfterAnEndThatWasAcknowledged) {
  event(2, "start", 130);
  BOOST_TEST(finds(Breach::RanAgainAfterDone));
  job().m_Stored = false;
  BOOST_TEST(!finds(Breach::RanAgainAfterDone));
}

BOOST_AUTO_TEST_CASE(AfterTheLastAttempt) {
  journal().clear();
  for (std::uint32_t Run : {1U, 2U, 3U}) {
    event(Run, "start", 100 * Run);
    event(Run, "failed", 100 * Run + 10);
    event(Run, "acknowledged", 100 * Run + 20);
  }
  BOOST_TEST(finds(Breach::TriedTooOften));
}

BOOST_AUTO_TEST_CASE(ThatNobodyAskedFor) {
  journal().push_back({"00000000000000bb.0.0.0", 1, "start", at(1)});
  BOOST_TEST(finds(Breach::Unasked));
}

BOOST_AUTO_TEST_CASE(OfAJobThatWasRefused) {
  job().m_Calls.clear();
  job().m_AcceptedAt.reset();
  call("POST", 0, 10, 503, "");
  BOOST_TEST(finds(Breach::RanThoughRefused));
  call("POST", 20, 30, 504, "");
  BOOST_TEST(!finds(Breach::RanThoughRefused));
}

BOOST_AUTO_TEST_CASE(LongAfterItsCancelling) {
  job().m_CancelSentAt = at(130);
  job().m_CancelledAt = at(140);
  event(2, "start", 3200);
  BOOST_TEST(finds(Breach::RanAfterCancel));
  disturb("kill", 1000, 1500, /*Planned=*/false);
  BOOST_TEST(!finds(Breach::RanAfterCancel));
}

BOOST_AUTO_TEST_CASE(OnAWorkerThatLeaves) {
  m_Seen.m_Executors.front().m_DrainingSince = at(-2200);
  BOOST_TEST(finds(Breach::RanWhileDraining));
}

BOOST_AUTO_TEST_CASE(OnAWorkerThatIsFull) {
  m_Seen.m_Executors.front().m_PeakCpuMillis = 18000;
  BOOST_TEST(finds(Breach::OverCapacity));
}

BOOST_AUTO_TEST_CASE(OnAWorkerThatHasShrunk) {
  m_Seen.m_Executors.front().m_StartsOverCapacity = {at(5000)};
  BOOST_TEST(finds(Breach::OverCapacity));
  disturb("store-down", 500, 1500, /*Planned=*/false);
  BOOST_TEST(!finds(Breach::OverCapacity));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FindsAnAnswer)

BOOST_AUTO_TEST_CASE(ThatCallsAJobCompletedTooEarly) {
  call("GET", 50, 60, 200, "completed");
  BOOST_TEST(finds(Breach::SaidDoneTooEarly));
}

BOOST_AUTO_TEST_CASE(ThatCallsAJobFailedWithAttemptsLeft) {
  call("GET", 50, 60, 200, "failed");
  BOOST_TEST(finds(Breach::FailedWithoutCause));
}

BOOST_AUTO_TEST_CASE(ThatCallsAJobCancelledUnasked) {
  call("GET", 50, 60, 200, "canceled");
  BOOST_TEST(finds(Breach::CancelledUnasked));
}

BOOST_AUTO_TEST_CASE(ThatCallsAnAcceptedJobUnknown) {
  call("GET", 50, 60, 410, "");
  BOOST_TEST(finds(Breach::Forgotten));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(FindsAJobThatNeverEnds) {
  job().m_State = "running";
  BOOST_TEST(finds(Breach::NeverEnded));
}

BOOST_AUTO_TEST_CASE(FindsACallThatAPlannedStopCuts) {
  call("GET", 500, 510, ConnectionBroke, "");
  BOOST_TEST(!finds(Breach::CutByAStop));
  disturb("stop", 400, 600, /*Planned=*/true);
  BOOST_TEST(finds(Breach::CutByAStop));
  disturb("pause", 450, 460, /*Planned=*/false);
  BOOST_TEST(!finds(Breach::CutByAStop));
}

BOOST_AUTO_TEST_SUITE_END()
