#ifndef AUBURNHUB_TESTS_POLICY_SCHEDULERFIXTURE_H
#define AUBURNHUB_TESTS_POLICY_SCHEDULERFIXTURE_H

#include "auburnhub/Policy/Scheduler.h"
#include "auburnhub/Policy/SelectablePlacement.h"

#include <map>
#include <random>

namespace auburnhub {

/// A scheduler with a simulated clock, one service and two teams.
struct SchedulerFixture {
  explicit SchedulerFixture(const PolicyParameters &Parameters = {})
      : m_Scheduler(Parameters, m_Now) {
    const TeamSpec Teams[] = {{"club-desk", 1, 5000}, {"collectors", 3, 5000}};
    m_Scheduler.setTeams(Teams);
  }

  void advance(double Ms) { m_Now = addMs(m_Now, Ms); }

  /// Sets the endpoints of the service to e1, e2, ... with the given slots.
  void setSlots(std::vector<int> Slots) {
    std::vector<EndpointSpec> Specs;
    for (std::size_t I = 0; I < Slots.size(); ++I)
      Specs.push_back({"e" + std::to_string(I + 1), "tiles", Slots[I]});
    m_Scheduler.setEndpoints(m_Now, Specs);
  }

  Admission admit(TaskKey Key, std::string Kind = "check",
                  std::string Team = "club-desk", double TimeoutMs = 10000) {
    TaskRequest Task{
        Key, std::move(Team), "tiles", std::move(Kind), addMs(m_Now, TimeoutMs),
        {}};
    return m_Scheduler.admit(m_Now, Task, m_Random);
  }

  std::vector<PlacementDecision> place() {
    std::vector<PlacementDecision> Out;
    m_Scheduler.nextPlacements(m_Now, m_Random, Out);
    return Out;
  }

  /// Admits a task, places it and ends it after RunMs milliseconds. Returns the
  /// decision, or a default one if the task was not placed.
  PlacementDecision runOne(TaskKey Key, std::string Kind, double RunMs,
                           TaskResult Result = TaskResult::Ok) {
    (void)admit(Key, std::move(Kind));
    std::vector<PlacementDecision> Placed = place();
    advance(RunMs);
    m_Scheduler.finishTask(m_Now, Key, Result);
    return Placed.empty() ? PlacementDecision() : Placed.front();
  }

  EndpointSnapshot endpoint(std::string_view Address) const {
    for (const EndpointSnapshot &S : m_Scheduler.snapshot())
      if (S.m_Address == Address)
        return S;
    return {};
  }

  std::mt19937_64 m_Random{42};
  TimePoint m_Now{std::chrono::hours(1)};
  Scheduler<SelectablePlacement> m_Scheduler;
};

} // namespace auburnhub

#endif
