#include "auburnhub/Jobs/WorkerRegistry.h"

#include <algorithm>
#include <utility>
#include <vector>

/// \file
/// The part of WorkerRegistry that ejects workers and takes them back.

namespace auburnhub {
namespace {

/// Minimum time between two reviews of the workers that are ejected, in
/// milliseconds.
constexpr double ReviewIntervalMs = 100;

} // namespace

void WorkerRegistry::recordRunSuccess(TimePoint Now, WorkerRecord &Worker,
                                      const std::string &Queue) {
  m_Failures.runDone(Now, Queue, Worker.m_Spec.m_Id);
  Worker.m_Health.recordSuccess();
  update(Worker);
}

void WorkerRegistry::recordRunFailure(TimePoint Now, WorkerRecord &Worker,
                                      const std::string &Queue,
                                      bool IsRepeated) {
  m_Failures.runFailed(Now, Queue, Worker.m_Spec.m_Id, IsRepeated);
  reviewEjections(Now);
  if (!IsRepeated)
    judge(Now, Worker);
}

void WorkerRegistry::recordUnhealthy(TimePoint Now, WorkerRecord &Worker) {
  m_Failures.runRefused(Now, Worker.m_Spec.m_Id);
  judge(Now, Worker);
}

void WorkerRegistry::setPeerOutcomes(TimePoint Now, const std::string &Owner,
                                     QueueOutcomes Outcomes) {
  m_Failures.setPeer(Owner, std::move(Outcomes));
  reviewEjections(Now);
}

void WorkerRegistry::judge(TimePoint Now, WorkerRecord &Worker) {
  const std::string &Id = Worker.m_Spec.m_Id;
  std::uint32_t Failures = m_Failures.streakLength(Id);
  bool IsOnProbation = Worker.m_Health.state() == HealthState::Probation;
  bool IsStreak = IsOnProbation ||
                  Failures >= static_cast<std::uint32_t>(
                                  m_Parameters.m_Health.m_EjectAfterFailures);
  double Probability = IsStreak ? m_Failures.streakProbability(Now, Id) : 1;
  bool IsToBlame = Probability <= m_Parameters.m_MaxStreakProbability &&
                   hasAlternative(Worker);
  if (IsOnProbation && !IsToBlame) {
    takeBack(Now, Worker);
    return;
  }
  double MaxEjected = m_Parameters.m_Health.m_MaxEjectedShare *
                      static_cast<double>(m_Workers.size());
  auto NewState = Worker.m_Health.recordFailure(
      m_Parameters.m_Health,
      IsToBlame && static_cast<double>(m_Unhealthy.size()) < MaxEjected);
  if (NewState == HealthState::Ejected) {
    double EjectionMs = Worker.m_Health.ejectionMs(m_Parameters.m_Health);
    Worker.m_EjectedUntil = addMs(Now, EjectionMs);
    m_HealthDecisions.push_back({Id, true, Failures, Probability, EjectionMs});
  }
  update(Worker);
}

void WorkerRegistry::reviewEjections(TimePoint Now) {
  if (m_Unhealthy.empty() ||
      millisecondsBetween(m_ReviewedAt, Now) < ReviewIntervalMs)
    return;
  m_ReviewedAt = Now;
  // Copied, because workers that are taken back are removed.
  const std::vector Unhealthy(m_Unhealthy.begin(), m_Unhealthy.end());
  for (const std::string &Id : Unhealthy)
    if (m_Failures.streakProbability(Now, Id) >
        m_Parameters.m_MaxStreakProbability)
      takeBack(Now, m_Workers.at(Id));
}

void WorkerRegistry::takeBack(TimePoint Now, WorkerRecord &Worker) {
  const std::string &Id = Worker.m_Spec.m_Id;
  m_HealthDecisions.push_back({Id, false, m_Failures.streakLength(Id),
                               m_Failures.streakProbability(Now, Id), 0});
  Worker.m_Health = EndpointHealth();
  update(Worker);
}

bool WorkerRegistry::hasAlternative(const WorkerRecord &Worker) const {
  return m_Failures.hasPeers() ||
         std::any_of(m_Workers.begin(), m_Workers.end(), [&](const auto &E) {
           const WorkerRecord &Other = E.second;
           return &Other != &Worker && Other.m_Reachable &&
                  !Other.m_Spec.m_Leaving &&
                  Other.m_Spec.m_Service == Worker.m_Spec.m_Service &&
                  Other.m_Health.state() != HealthState::Ejected;
         });
}

bool WorkerRegistry::fitsUnhealthyWorker(std::string_view Service,
                                         const JobStep &Step) const {
  return std::any_of(
      m_Unhealthy.begin(), m_Unhealthy.end(), [&](const std::string &Id) {
        const WorkerRecord &Worker = m_Workers.at(Id);
        return Worker.m_Spec.m_Service == Service && Worker.isUsable(m_Now) &&
               Step.m_TaskResources.fitsInto(Worker.m_Free) &&
               (Step.m_RequiredLabel.empty() ||
                Worker.m_Spec.hasLabel(Step.m_RequiredLabel));
      });
}

} // namespace auburnhub
