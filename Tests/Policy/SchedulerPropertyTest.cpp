#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace auburnhub;

namespace {

/// Applies random steps to a scheduler, mirrors the expected state and checks
/// the scheduler's invariants after every step.
class SchedulerChecker {
public:
  explicit SchedulerChecker(std::vector<int> Slots)
      : m_Slots(std::move(Slots)) {
    m_Fixture.setSlots(m_Slots);
  }

  void step(int Choice, unsigned Value) {
    switch (Choice) {
    case 0:
    case 1:
    case 2:
      admit(Value);
      break;
    case 3:
    case 4:
    case 5:
      place();
      break;
    case 6:
    case 7:
      finish(Value);
      break;
    case 8:
      cancel(Value);
      break;
    case 9:
      m_Fixture.advance(Value % 400);
      break;
    case 10:
      expire();
      break;
    default:
      resize(Value);
    }
    check();
  }

  /// Runs until all queues are empty and checks that no task is left.
  void drain() {
    for (int Round = 0; Round < 3000 && !m_Queued.empty(); ++Round) {
      place();
      while (!m_Running.empty())
        finish(0);
      m_Fixture.advance(100);
      expire();
    }
    RC_ASSERT(m_Queued.empty());
    RC_ASSERT(m_Fixture.m_Scheduler.queuedTasks() == 0u);
  }

private:
  void admit(unsigned Value) {
    const char *Kinds[] = {"check", "certify", "proof"};
    const char *Teams[] = {"club-desk", "collectors"};
    TaskKey Key = ++m_LastKey;
    if (m_Fixture.admit(Key, Kinds[Value % 3], Teams[Value % 2], Value % 3000)
            .ok())
      m_Queued.insert(Key);
  }

  void place() {
    for (const PlacementDecision &D : m_Fixture.place()) {
      RC_ASSERT(m_Queued.erase(D.m_Task) == 1u);
      m_Running.emplace(D.m_Task, D.m_Endpoint);
    }
  }

  void finish(unsigned Value) {
    if (m_Running.empty())
      return;
    auto Position = static_cast<std::ptrdiff_t>(Value % m_Running.size());
    auto It = std::next(m_Running.begin(), Position);
    TaskKey Key = It->first;
    m_Running.erase(It);
    auto Result = static_cast<TaskResult>(Value % 5);
    RC_ASSERT(m_Fixture.m_Scheduler.finishTask(m_Fixture.m_Now, Key, Result));
    if (m_Fixture.m_Scheduler.requeue(m_Fixture.m_Now, Key).ok())
      m_Queued.insert(Key);
  }

  void cancel(unsigned Value) {
    TaskKey Key = Value % (m_LastKey + 10);
    CancelResult Result = m_Fixture.m_Scheduler.cancel(Key);
    RC_ASSERT((Result == CancelResult::Removed) == (m_Queued.erase(Key) == 1));
    RC_ASSERT((Result == CancelResult::Running) == m_Running.contains(Key));
  }

  void expire() {
    for (TaskKey Key : m_Fixture.m_Scheduler.expire(m_Fixture.m_Now))
      RC_ASSERT(m_Queued.erase(Key) == 1u);
  }

  /// Changes the slots of an endpoint. Tasks that already run may exceed the
  /// new number of slots until they end.
  void resize(unsigned Value) {
    m_Slots[Value % m_Slots.size()] = static_cast<int>(Value % 5);
    m_Fixture.setSlots(m_Slots);
    for (const EndpointSnapshot &S : m_Fixture.m_Scheduler.snapshot())
      m_AllowedRunning[S.m_Address] = std::max(S.m_Running, S.m_OwnedSlots);
  }

  void check() {
    std::map<std::string, int> Running;
    for (const auto &[Key, Endpoint] : m_Running)
      ++Running[Endpoint];
    for (const EndpointSnapshot &S : m_Fixture.m_Scheduler.snapshot()) {
      int &Allowed = m_AllowedRunning[S.m_Address];
      Allowed = std::max(S.m_OwnedSlots, std::min(Allowed, S.m_Running));
      if (Allowed == 0)
        Allowed = S.m_OwnedSlots;
      RC_ASSERT(S.m_Running == Running[S.m_Address]);
      RC_ASSERT(S.m_RunningLong <= S.m_Running);
      RC_ASSERT(S.m_RunningLong >= 0);
      RC_ASSERT(S.m_Running <= Allowed);
    }
    RC_ASSERT(m_Fixture.m_Scheduler.runningTasks() == m_Running.size());
  }

  SchedulerFixture m_Fixture;
  std::vector<int> m_Slots;
  std::map<std::string, int> m_AllowedRunning;
  std::set<TaskKey> m_Queued;
  std::map<TaskKey, std::string> m_Running;
  TaskKey m_LastKey = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AScheduler)

BOOST_AUTO_TEST_SUITE(UnderRandomSteps)

BOOST_AUTO_TEST_CASE(PlacesEachTaskOnceWithinTheSlotsOrReturnsIt) {
  bool Holds = rc::check([] {
    auto Slots = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5)));
    auto Steps = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0u, 100000u)));
    SchedulerChecker Checker(Slots);
    for (int Repeat = 0; Repeat < 5; ++Repeat)
      for (const auto &[Choice, Value] : Steps)
        Checker.step(Choice, Value);
    Checker.drain();
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
