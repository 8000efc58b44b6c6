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
constexpr double UnseenLifeMs = 3000;

/// Drives a ledger, its log, its owners and their workers with random events,
/// including takeovers, and checks the invariants after each.
class RandomLedger : public LedgerFixture {
public:
  void step() {
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
      submitSome();
      break;
    case 2:
      if (!m_Ids.empty())
        cancel(*rc::gen::elementOf(m_Ids));
      break;
    case 3:
      pass(*rc::gen::inRange(1, 1500));
      expire();
      break;
    case 4:
    case 5:
      startOne();
      break;
    case 6:
    case 7:
      endOne();
      break;
    case 8:
      report();
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
    noteSettled();
    check();
  }

private:
  using RunKey = std::pair<TaskRef, std::uint32_t>;
  struct Run {
    StoredTask m_Task;
    TimePoint m_DiesAt = TimePoint::max();
  };
  struct Ended {
    StoredTask m_Task;
    StoredRunEnd m_How = StoredRunEnd::Done;
  };

  void submitSome() {
    std::string Id = "job" + std::to_string(m_Ids.size());
    m_Ids.push_back(Id);
    m_Submits[submit(*rc::gen::arbitrary<bool>()
                         ? twoSteps(Id)
                         : job(Id, *rc::gen::inRange(1U, 4U)))] = Id;
  }

  void startOne() {
    auto Task = start();
    if (!Task)
      return;
    // A job whose keeper crashed may be stored although its call was not
    // answered.
    RC_ASSERT(!m_Refused.contains(Task->m_Job));
    RC_ASSERT(!m_DoneAcknowledged.contains(Task->task()));
    RC_ASSERT(m_FailuresAcknowledged[Task->task()] <
              Task->m_Policy.m_MaxAttempts);
    for (const auto &[Key, Alive] : m_Alive)
      RC_ASSERT(!(Key.first == Task->task()));
    RC_ASSERT(Task->m_Number > m_Highest[Task->task()]);
    m_Highest[Task->task()] = Task->m_Number;
    m_Alive[{Task->task(), Task->m_Number}] = {*Task, TimePoint::max()};
  }

  /// A worker's run ends; its owner has not reported the end yet.
  void endOne() {
    if (m_Alive.empty())
      return;
    auto It = m_Alive.begin();
    std::advance(It, *rc::gen::inRange<std::size_t>(0, m_Alive.size()));
    auto How = *rc::gen::element(StoredRunEnd::Done, StoredRunEnd::Done,
                                 StoredRunEnd::Failed, StoredRunEnd::Over);
    m_Ended.push_back({It->second.m_Task, How});
    m_Alive.erase(It);
  }

  /// An owner reports an end; it may repeat the report until the end is
  /// acknowledged.
  void report() {
    if (m_Ended.empty())
      return;
    Ended Told = *rc::gen::elementOf(m_Ended);
    over(Told.m_Task, Told.m_How);
    if (Told.m_How == StoredRunEnd::Over)
      std::erase_if(m_Ended, [&](const Ended &E) {
        return E.m_Task.task() == Told.m_Task.task() &&
               E.m_Task.m_Number == Told.m_Task.m_Number;
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
      m_Ledger->refused();
    } else {
      write();
      m_Ledger->appended(m_Now);
    }
    collect();
    noteAnswers();
  }

  /// The keeper crashes; an append in flight may or may not take effect.
  void crash() {
    if (m_Ledger->isAppending() && *rc::gen::arbitrary<bool>())
      write();
    for (auto &[Key, Alive] : m_Alive)
      Alive.m_DiesAt = std::min(Alive.m_DiesAt, addMs(m_Now, UnseenLifeMs));
    takeOver();
    RC_ASSERT(m_Loaded);
    // The new keeper reaches some owners, which report their runs.
    for (auto &[Key, Alive] : m_Alive)
      if (*rc::gen::arbitrary<bool>()) {
        m_Stopped.clear();
        m_Ledger->runFound(m_Now, "owner", Key.first, Key.second);
        collect();
        if (m_Stopped.empty())
          Alive.m_DiesAt = TimePoint::max();
      }
  }

  /// Runs whose lease is no longer renewed lapse.
  void expire() {
    for (auto It = m_Alive.begin(); It != m_Alive.end();)
      It = It->second.m_DiesAt <= m_Now ? m_Alive.erase(It) : std::next(It);
  }

  void noteAnswers() {
    for (const auto &[Call, Done] : m_Answers)
      if (auto Found = m_Submits.find(Call); Found != m_Submits.end())
        (Done ? m_Accepted : m_Refused).insert(Found->second);
  }

  /// A worker discards an acknowledged end; the ledger must not lose it.
  void noteSettled() {
    for (const LedgerEndSettled &End : std::exchange(m_Settled, {}))
      for (const Ended &Told : m_Ended) {
        if (Told.m_Task.task() != End.m_Task ||
            Told.m_Task.m_Number != End.m_Number)
          continue;
        if (Told.m_How == StoredRunEnd::Done)
          m_DoneAcknowledged.insert(End.m_Task);
        if (Told.m_How == StoredRunEnd::Failed &&
            m_CountedFailures.insert({End.m_Task, End.m_Number}).second)
          ++m_FailuresAcknowledged[End.m_Task];
      }
  }

  void check() {
    noteAnswers();
    // Accepted jobs stay known; the simulated time is shorter than their
    // retention.
    for (const std::string &Id : m_Accepted)
      RC_ASSERT(m_Ledger->state(Id).has_value());
    for (const std::string &Id : m_Ids)
      if (m_Ledger->state(Id) == StoredJobState::Completed)
        for (const auto &[Key, Alive] : m_Alive)
          RC_ASSERT(Key.first.m_Job != Id);
  }

  std::vector<std::string> m_Ids;
  std::map<std::uint64_t, std::string> m_Submits;
  std::set<std::string> m_Accepted;
  std::set<std::string> m_Refused;
  std::map<RunKey, Run> m_Alive;
  std::vector<Ended> m_Ended;
  std::set<TaskRef> m_DoneAcknowledged;
  std::set<RunKey> m_CountedFailures;
  std::map<TaskRef, std::uint32_t> m_FailuresAcknowledged;
  std::map<TaskRef, std::uint32_t> m_Highest;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AJobLedgerUnderRandomEvents)

BOOST_AUTO_TEST_CASE(KeepsItsPromises) {
  bool Held = rc::check([] {
    RandomLedger Run;
    int Steps = *rc::gen::inRange(1, 150);
    for (int I = 0; I < Steps; ++I)
      Run.step();
  });
  BOOST_TEST(Held);
}

BOOST_AUTO_TEST_SUITE_END()
