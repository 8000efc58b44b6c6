#include "auburnhub/Policy/Scheduler.h"
#include "auburnhub/Policy/SelectablePlacement.h"

#include <benchmark/benchmark.h>

#include <random>

// The cost of one decision: a task is admitted, placed and ends, with 70 % of
// the slots taken. Nothing reads a clock but the benchmark itself.

using namespace auburnhub;

namespace {

constexpr int Slots = 8;
constexpr double Load = 0.7;
constexpr double StepMs = 0.01;
constexpr double TimeoutMs = 1e6;

/// A scheduler with endpoints that are taken in part.
class LoadedScheduler {
public:
  LoadedScheduler(int Endpoints, const char *Placement) {
    PolicyParameters Parameters;
    Parameters.m_Placement = Placement;
    m_Scheduler.setParameters(m_Now, Parameters);
    const TeamSpec Teams[] = {{"club-desk", 1, 100000}};
    m_Scheduler.setTeams(Teams);
    std::vector<EndpointSpec> Specs;
    Specs.reserve(static_cast<std::size_t>(Endpoints));
    for (int I = 0; I < Endpoints; ++I)
      Specs.push_back({"127.0.0.1:" + std::to_string(I + 1), "tiles", Slots});
    m_Scheduler.setEndpoints(m_Now, Specs);
    const auto Taken = static_cast<TaskKey>(Load * Endpoints * Slots);
    while (m_Last < Taken)
      start();
  }

  /// Ends the oldest task and starts a new one.
  void step() {
    m_Now = addMs(m_Now, StepMs);
    m_Scheduler.finishTask(m_Now, ++m_Ended, TaskResult::Ok);
    m_Scheduler.forget(m_Ended);
    start();
  }

private:
  void start() {
    const TaskRequest Task{
        ++m_Last, "club-desk", "tiles", "tile", addMs(m_Now, TimeoutMs), {}};
    benchmark::DoNotOptimize(m_Scheduler.admit(m_Now, Task, m_Random));
    m_Out.clear();
    m_Scheduler.nextPlacements(m_Now, m_Random, m_Out);
  }

  std::mt19937_64 m_Random{42};
  TimePoint m_Now{std::chrono::hours(1)};
  Scheduler<SelectablePlacement> m_Scheduler;
  std::vector<PlacementDecision> m_Out;
  TaskKey m_Last = 0;
  TaskKey m_Ended = 0;
};

void decide(benchmark::State &State, const char *Placement) {
  LoadedScheduler Loaded(static_cast<int>(State.range(0)), Placement);
  for (auto _ : State)
    Loaded.step();
}

} // namespace

BENCHMARK_CAPTURE(decide, least_expected_completion,
                  "least-expected-completion")
    ->Arg(17)
    ->Arg(300)
    ->Arg(1800);
BENCHMARK_CAPTURE(decide, random, "random-endpoint")
    ->Arg(17)
    ->Arg(300)
    ->Arg(1800);
BENCHMARK_CAPTURE(decide, two_choices, "two-random-choices")
    ->Arg(17)
    ->Arg(300)
    ->Arg(1800);

BENCHMARK_MAIN();
