#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

/// Longest time in milliseconds that a run continues unobserved by its keeper:
/// until its owner abandons it and its lease expires. Below the doubt periods
/// of the ledger.
constexpr double MaxUnobservedRunMs = 3000;

/// Drives a ledger, its log, its owners and their workers with random events,
/// including takeovers, and checks the invariants after each.
class RandomLedger : public LedgerFixture {
public:
  void step() {
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      submitJob();
      break;
    case 2:
      if (!m_Ids.empty())
        cancel(*rc::gen::elementOf(m_Ids));
      break;
    case 3:
      advanceTime(*rc::gen::inRange(1, 1500));
      expireRuns();
      break;
    case 4:
    case 5:
      startTask();
      break;
    case 6:
    case 7:
      endLiveRun();
      break;
    case 8:
      reportEnd();
      break;
    case 9:
      beginAppend();
      break;
    case 10:
      endAppend();
      break;
    default:
      if (*rc::gen::inRange(0, 4) == 0)
        crash();
    }
    recordAcknowledgedEnds();
    checkInvariants();
  }

private:
  using RunKey = std::pair<TaskRef, std::uint32_t>;
  struct Run {
    StoredTask m_Task;
    TimePoint m_LapsesAt = TimePoint::max();
  };
  struct EndedRun {
    StoredTask m_Task;
    StoredRunEnd m_EndKind = StoredRunEnd::Done;
  };

  void submitJob() {
    std::string Id = "job" + std::to_string(m_Ids.size());
    m_Ids.push_back(Id);
    m_SubmittedJobs[submit(*rc::gen::arbitrary<bool>()
                               ? twoSteps(Id)
                               : job(Id, *rc::gen::inRange(1U, 4U)))] = Id;
  }

  void startTask() {
    auto Task = start();
    if (!Task)
      return;
    // A job whose keeper crashed may be stored although its call was not
    // answered.
    RC_ASSERT(!m_RefusedJobs.contains(Task->m_Job));
    RC_ASSERT(!m_DoneAcknowledged.contains(Task->task()));
    RC_ASSERT(m_FailuresAcknowledged[Task->task()] <
              Task->m_Policy.m_MaxAttempts);
    for (const auto &[Key, LiveRun] : m_LiveRuns)
      RC_ASSERT(!(Key.first == Task->task()));
    RC_ASSERT(Task->m_Number > m_HighestNumber[Task->task()]);
    m_HighestNumber[Task->task()] = Task->m_Number;
    m_LiveRuns[{Task->task(), Task->m_Number}] = {*Task, TimePoint::max()};
  }

  /// Ends a run at its worker; its owner has not reported the end yet.
  void endLiveRun() {
    if (m_LiveRuns.empty())
      return;
    auto It = m_LiveRuns.begin();
    std::advance(It, *rc::gen::inRange<std::size_t>(0, m_LiveRuns.size()));
    auto Outcome = *rc::gen::element(StoredRunEnd::Done, StoredRunEnd::Done,
                                     StoredRunEnd::Failed, StoredRunEnd::Over);
    m_EndedRuns.push_back({It->second.m_Task, Outcome});
    m_LiveRuns.erase(It);
  }

  /// Reports an end at an owner. The owner may repeat the report until the end
  /// is acknowledged.
  void reportEnd() {
    if (m_EndedRuns.empty())
      return;
    EndedRun Report = *rc::gen::elementOf(m_EndedRuns);
    endRun(Report.m_Task, Report.m_EndKind);
    if (Report.m_EndKind == StoredRunEnd::Over)
      std::erase_if(m_EndedRuns, [&](const EndedRun &E) {
        return E.m_Task.task() == Report.m_Task.task() &&
               E.m_Task.m_Number == Report.m_Task.m_Number;
      });
  }

  void beginAppend() {
    if (m_Ledger->isAppending() || !m_Ledger->hasRecords())
      return;
    m_InFlight = m_Ledger->takeBatch();
  }

  void endAppend() {
    if (!m_Ledger->isAppending())
      return;
    if (*rc::gen::inRange(0, 4) == 0) {
      m_Ledger->appendRefused();
    } else {
      write();
      m_Ledger->appendSucceeded(m_Now);
    }
    collect();
    recordAnswers();
  }

  /// Crashes the keeper and takes over its partition. An append in flight may
  /// or may not take effect.
  void crash() {
    if (m_Ledger->isAppending() && *rc::gen::arbitrary<bool>())
      write();
    for (auto &[Key, LiveRun] : m_LiveRuns)
      LiveRun.m_LapsesAt =
          std::min(LiveRun.m_LapsesAt, addMs(m_Now, MaxUnobservedRunMs));
    takeOver();
    RC_ASSERT(m_LoadOk);
    // The new keeper reaches some owners, which report their runs.
    for (auto &[Key, LiveRun] : m_LiveRuns)
      if (*rc::gen::arbitrary<bool>()) {
        m_StoppedRuns.clear();
        m_Ledger->runReported(m_Now, "owner", Key.first, Key.second);
        collect();
        if (m_StoppedRuns.empty())
          LiveRun.m_LapsesAt = TimePoint::max();
      }
  }

  /// Ends the runs whose lease has expired.
  void expireRuns() {
    for (auto It = m_LiveRuns.begin(); It != m_LiveRuns.end();)
      It =
          It->second.m_LapsesAt <= m_Now ? m_LiveRuns.erase(It) : std::next(It);
  }

  void recordAnswers() {
    for (const auto &[Call, Done] : m_Answers)
      if (auto Found = m_SubmittedJobs.find(Call);
          Found != m_SubmittedJobs.end())
        (Done ? m_AcceptedJobs : m_RefusedJobs).insert(Found->second);
  }

  /// Records acknowledged ends. A worker discards them, so the ledger must not
  /// lose them.
  void recordAcknowledgedEnds() {
    for (const LedgerEndStored &End : std::exchange(m_AcknowledgedEnds, {}))
      for (const EndedRun &Report : m_EndedRuns) {
        if (Report.m_Task.task() != End.m_Task ||
            Report.m_Task.m_Number != End.m_Number)
          continue;
        if (Report.m_EndKind == StoredRunEnd::Done)
          m_DoneAcknowledged.insert(End.m_Task);
        if (Report.m_EndKind == StoredRunEnd::Failed &&
            m_CountedFailures.insert({End.m_Task, End.m_Number}).second)
          ++m_FailuresAcknowledged[End.m_Task];
      }
  }

  void checkInvariants() {
    recordAnswers();
    // Accepted jobs stay known because the simulated time is shorter than their
    // retention time.
    for (const std::string &Id : m_AcceptedJobs)
      RC_ASSERT(m_Ledger->state(Id).has_value());
    for (const std::string &Id : m_Ids)
      if (m_Ledger->state(Id) == StoredJobState::Completed)
        for (const auto &[Key, LiveRun] : m_LiveRuns)
          RC_ASSERT(Key.first.m_Job != Id);
  }

  std::vector<std::string> m_Ids;
  std::map<std::uint64_t, std::string> m_SubmittedJobs;
  std::set<std::string> m_AcceptedJobs;
  std::set<std::string> m_RefusedJobs;
  std::map<RunKey, Run> m_LiveRuns;
  std::vector<EndedRun> m_EndedRuns;
  std::set<TaskRef> m_DoneAcknowledged;
  std::set<RunKey> m_CountedFailures;
  std::map<TaskRef, std::uint32_t> m_FailuresAcknowledged;
  std::map<TaskRef, std::uint32_t> m_HighestNumber;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AJobLedgerUnderRandomEvents)

BOOST_AUTO_TEST_CASE(PreservesItsInvariants) {
  bool Passed = rc::check([] {
    RandomLedger Run;
    int Steps = *rc::gen::inRange(1, 150);
    for (int I = 0; I < Steps; ++I)
      Run.step();
  });
  BOOST_TEST(Passed);
}

BOOST_AUTO_TEST_SUITE_END()
