#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

/// \file
/// The part of JobScheduler that lets tasks wait for workers near their data.

namespace auburnhub {
namespace {

/// A run that has taken longer than expected is expected to take this share of
/// its expected time more.
constexpr double MinRemainingShare = 0.25;

/// Shorter waits are below the resolution of the timers, in milliseconds.
constexpr double MinWaitMs = 1;

} // namespace

std::vector<double>
JobScheduler::remainingTimesOn(TimePoint Now, std::string_view Service,
                               std::string_view Label) const {
  std::vector<double> Result;
  m_Workers.visit(Service, Label, [&](const WorkerRecord &Worker) {
    auto Runs = m_RunsOnWorker.find(Worker.m_Spec.m_Id);
    if (Runs == m_RunsOnWorker.end())
      return;
    for (RunId Id : Runs->second) {
      const ActiveRun &Run = m_Runs.at(Id);
      double ElapsedMs = millisecondsBetween(Run.m_Started, Now);
      Result.push_back(std::max(Run.m_ExpectedMs - ElapsedMs,
                                MinRemainingShare * Run.m_ExpectedMs));
    }
  });
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::size_t JobScheduler::tasksWaitingNearby(const ActiveTask &For,
                                             const std::string &Label) const {
  std::size_t Count = 0;
  auto IsAhead = [&](const ActiveTask &Other) {
    return &Other != &For && Other.m_State == TaskState::Waiting &&
           Other.m_NearbyWaitSince &&
           (!For.m_NearbyWaitSince ||
            std::tie(*Other.m_NearbyWaitSince, Other.m_Ref) <
                std::tie(*For.m_NearbyWaitSince, For.m_Ref));
  };
  for (const auto &[Key, Job] : m_NearbyWaits)
    for (const ActiveTask &Other : Job->m_Tasks)
      if (IsAhead(Other) &&
          Job->m_Request.m_Steps[Other.m_Step].m_PreferredLabel == Label)
        ++Count;
  return Count;
}

bool JobScheduler::waitsNearby(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                               const WorkerChoice &Choice, double ExpectedMs) {
  const std::string &Label =
      Job.m_Request.m_Steps[Task.m_Step].m_PreferredLabel;
  const std::string &Service = Job.m_Request.m_Policy.m_Service;
  bool IsNear = Label.empty() || Choice.m_Worker->m_Spec.hasLabel(Label);
  if (IsNear || mustRunAlone(Task)) {
    Task.m_NearbyWaitSince.reset();
    return false;
  }
  bool HasNearby = m_Workers.hasAvailable(Service, Label);
  if (Task.m_NearbyWaitSince && Now < Task.m_NearbyDecideAt && HasNearby)
    return true;
  std::size_t Ahead = tasksWaitingNearby(Task, Label);
  NearbyWaitInput Input;
  Input.m_NearRunMs = ExpectedMs / m_Workers.bestSpeed(Service, Label);
  Input.m_FarRunMs = Choice.m_ExpectedMs;
  Input.m_ExpectedWaitMs =
      HasNearby
          ? expectedNearbyWaitMs(remainingTimesOn(Now, Service, Label), Ahead)
          : NoNearbyWorker;
  if (Task.m_NearbyWaitSince)
    Input.m_WaitedMs = millisecondsBetween(*Task.m_NearbyWaitSince, Now);
  Input.m_LeftMs =
      Job.m_ObjectiveMs - millisecondsBetween(Job.m_Submitted, Now);
  Input.m_IsContended = m_WaitingTasks > m_NearbyTasks + Job.m_Waiting;
  NearbyWaitDecision Decision = decideNearbyWait(Input);
  // A job of which nothing has started is refused at m_WaitUntil.
  if (!Job.m_FirstStart)
    Decision.m_AtMostMs = std::min(Decision.m_AtMostMs,
                                   millisecondsBetween(Now, Job.m_WaitUntil));
  Decision.m_Waits = Decision.m_Waits && Decision.m_AtMostMs >= MinWaitMs;
  m_Effects.emplace_back(NearbyWaitDecided{Task.m_Ref, Label, Ahead,
                                           Input.m_WaitedMs,
                                           Input.m_ExpectedWaitMs, Decision});
  if (!Decision.m_Waits) {
    Task.m_NearbyWaitSince.reset();
    return false;
  }
  if (!Task.m_NearbyWaitSince)
    Task.m_NearbyWaitSince = Now;
  Task.m_NearbyDecideAt = addMs(Now, Decision.m_AtMostMs);
  updateNearbyWait(Job);
  return true;
}

void JobScheduler::updateNearbyWait(ActiveJob &Job) {
  if (Job.m_NearbyDecideAt)
    m_NearbyWaits.erase({*Job.m_NearbyDecideAt, Job.m_Serial});
  Job.m_NearbyDecideAt.reset();
  m_NearbyTasks -= Job.m_NearbyTasks;
  Job.m_NearbyTasks = 0;
  for (const ActiveTask &Task : Job.m_Tasks) {
    if (Task.m_State != TaskState::Waiting || !Task.m_NearbyWaitSince)
      continue;
    ++Job.m_NearbyTasks;
    if (Task.m_NearbyDecideAt <= m_AdvancedAt)
      continue; // Waits for any worker now.
    Job.m_NearbyDecideAt = std::min(
        Job.m_NearbyDecideAt.value_or(TimePoint::max()), Task.m_NearbyDecideAt);
  }
  m_NearbyTasks += Job.m_NearbyTasks;
  if (Job.m_NearbyDecideAt)
    m_NearbyWaits[{*Job.m_NearbyDecideAt, Job.m_Serial}] = &Job;
}

void JobScheduler::endNearbyWaits(TimePoint Now) {
  // A worker that is lost may have been the last one near the data of a task.
  bool TryAll = std::exchange(m_HasLostWorkers, false);
  while (!m_NearbyWaits.empty() &&
         (TryAll || m_NearbyWaits.begin()->first.first <= Now)) {
    ActiveJob &Job = *m_NearbyWaits.begin()->second;
    m_NearbyWaits.erase(m_NearbyWaits.begin());
    Job.m_NearbyDecideAt.reset();
    if (Job.m_LatestStart)
      m_WaitingJobs[Job.m_Request.m_Policy.m_Service]
          .find(*Job.m_LatestStart, Job.m_Request.m_Id)
          ->m_IsNew = true;
  }
}

} // namespace auburnhub
