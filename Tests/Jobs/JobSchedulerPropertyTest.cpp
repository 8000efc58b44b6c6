#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace auburnhub;

namespace {

constexpr std::int64_t Capacity = 16000;

/// Drives a scheduler with random events and checks its invariants after each.
class RandomScheduler : public SchedulerFixture {
public:
  RandomScheduler() {
    for (int I = 0; I < 3; ++I)
      addWorker("w" + std::to_string(I), Capacity);
  }

  void step() {
    std::size_t OldStarts = m_Starts.size();
    applyEvent(*rc::gen::inRange(0, 9));
    for (std::size_t I = OldStarts; I < m_Starts.size(); ++I)
      recordStart(m_Starts[I]);
    checkInvariants();
  }

  void finish() {
    advanceTime(6000);
    for (const std::string &Job : m_Submitted) {
      RC_ASSERT(m_FinishedJobs.contains(Job));
      RC_ASSERT(m_FinishedJobs.at(Job).size() == 1U);
    }
  }

private:
  struct LiveRun {
    TaskRef m_Task;
    std::string m_Worker;
    std::int64_t m_Cpu = 0;
  };

  void recordStart(const StartRun &Order) {
    m_LiveRuns[Order.m_Run] = {Order.m_Task, Order.m_Worker, 5000};
    m_PossibleStarts[Order.m_Task.m_Job].insert(Order.m_Run);
  }

  RunId anyLiveRun() const {
    auto It = m_LiveRuns.begin();
    std::advance(It, *rc::gen::inRange<std::size_t>(0, m_LiveRuns.size()));
    return It->first;
  }

  void applyEvent(int Choice) {
    if (Choice <= 2) {
      std::string Id = "job" + std::to_string(m_Submitted.size());
      m_Submitted.push_back(Id);
      submit(
          job(Id, *rc::gen::inRange(1U, 5U), 5000, *rc::gen::inRange(20, 900)));
      return;
    }
    if (Choice == 3) {
      advanceTime(*rc::gen::inRange(1, 400));
      return;
    }
    if (Choice == 4 && !m_Submitted.empty()) {
      m_Scheduler.cancel(m_Now, *rc::gen::elementOf(m_Submitted));
      collect();
      return;
    }
    if (Choice == 5) {
      std::string Worker = "w" + std::to_string(*rc::gen::inRange(0, 3));
      m_Scheduler.setReachable(m_Now, Worker, *rc::gen::arbitrary<bool>());
      collect();
      return;
    }
    if (m_LiveRuns.empty())
      return;
    RunId Run = anyLiveRun();
    if (Choice == 6) {
      accept(Run);
      return;
    }
    LiveRun Ended = m_LiveRuns.at(Run);
    m_LiveRuns.erase(Run);
    if (Choice == 7) {
      m_PossibleStarts[Ended.m_Task.m_Job].erase(Run);
      refuse(Run,
             *rc::gen::element(RefusalReason::NoRoom, RefusalReason::NumberUsed,
                               RefusalReason::Unhealthy));
      return;
    }
    end(Run, *rc::gen::element(RunEnd::Done, RunEnd::Done, RunEnd::Failed,
                               RunEnd::Stopped, RunEnd::Lapsed));
  }

  void checkInvariants() const {
    std::set<TaskRef> Tasks;
    std::map<std::string, std::int64_t> Used;
    for (const auto &[Run, Live] : m_LiveRuns) {
      // No task has two runs that may be alive.
      RC_ASSERT(Tasks.insert(Live.m_Task).second);
      Used[Live.m_Worker] += Live.m_Cpu;
    }
    for (const auto &[Worker, Cpu] : Used)
      RC_ASSERT(Cpu <= Capacity);
    for (const auto &[Job, Results] : m_FinishedJobs) {
      RC_ASSERT(Results.size() == 1U);
      auto PossibleStarts = m_PossibleStarts.find(Job);
      // NotRun is reported only for jobs of which every order was refused.
      bool AllRefused = PossibleStarts == m_PossibleStarts.end() ||
                        PossibleStarts->second.empty();
      if (Results[0].m_Outcome == JobOutcome::NotRun)
        RC_ASSERT(AllRefused);
    }
  }

  std::map<RunId, LiveRun> m_LiveRuns;
  std::map<std::string, std::set<RunId>> m_PossibleStarts;
  std::vector<std::string> m_Submitted;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AJobSchedulerUnderRandomEvents)

BOOST_AUTO_TEST_CASE(PreservesItsInvariants) {
  bool Passed = rc::check([] {
    RandomScheduler Run;
    int Steps = *rc::gen::inRange(1, 120);
    for (int I = 0; I < Steps; ++I)
      Run.step();
    Run.finish();
  });
  BOOST_TEST(Passed);
}

BOOST_AUTO_TEST_SUITE_END()
