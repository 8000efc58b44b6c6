#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>

/// \file
/// The part of JobScheduler that handles tasks which were lost with a worker.

namespace auburnhub {

bool JobScheduler::hasWorkerSetAside(const ActiveJob &Job,
                                     std::size_t Task) const {
  auto Found = m_Isolations.find(Job.m_Request.m_Policy.m_Service);
  return Found != m_Isolations.end() && !Found->second.m_Worker.empty() &&
         Found->second.m_Job == Job.m_Request.m_Id &&
         Found->second.m_Task == Task;
}

void JobScheduler::setWorkerAside(TimePoint Now, const ActiveJob &Job,
                                  std::size_t Task,
                                  TaskRequirements Requirements) {
  Isolation &Isolated = m_Isolations[Job.m_Request.m_Policy.m_Service];
  if (!Isolated.m_Worker.empty())
    return;
  Requirements.m_AvoidedWorkers = &Job.m_Tasks[Task].m_AvoidedWorkers;
  WorkerRecord *Worker = m_Workers.chooseToSetAside(Now, Requirements);
  Requirements.m_AvoidedWorkers = nullptr;
  if (!Worker)
    Worker = m_Workers.chooseToSetAside(Now, Requirements);
  if (!Worker)
    return;
  Worker->m_SetAside = true;
  m_Workers.update(*Worker);
  Isolated.m_Worker = Worker->m_Spec.m_Id;
  Isolated.m_Job = Job.m_Request.m_Id;
  Isolated.m_Task = Task;
  m_Effects.emplace_back(WorkerSetAside{
      Isolated.m_Worker, Job.m_Tasks[Task].m_Ref, Worker->m_Running});
}

void JobScheduler::beginIsolatedRun(const ActiveJob &Job, std::size_t Task,
                                    WorkerRecord &Worker) {
  Isolation &Isolated = m_Isolations[Job.m_Request.m_Policy.m_Service];
  if (hasWorkerSetAside(Job, Task))
    releaseWorkerSetAside(Isolated);
  Isolated.m_Runs.insert(Job.m_Tasks[Task].m_Run);
  Worker.m_SetAside = true;
  m_Workers.update(Worker);
}

bool JobScheduler::mayIsolate(const std::string &Service) const {
  auto Found = m_Isolations.find(Service);
  if (Found == m_Isolations.end() || Found->second.m_Runs.empty())
    return true;
  const auto &Workers = m_Workers.all();
  auto Usable = static_cast<double>(
      std::count_if(Workers.begin(), Workers.end(), [&](const auto &Entry) {
        return Entry.second.m_Spec.m_Service == Service &&
               Entry.second.m_Reachable;
      }));
  return static_cast<double>(Found->second.m_Runs.size()) <
         m_Parameters.m_MaxIsolatedShare * Usable;
}

JobScheduler::Isolation *JobScheduler::findIsolation(RunId Id) {
  auto Found = std::find_if(
      m_Isolations.begin(), m_Isolations.end(),
      [Id](const auto &Entry) { return Entry.second.m_Runs.contains(Id); });
  return Found == m_Isolations.end() ? nullptr : &Found->second;
}

void JobScheduler::endIsolatedRun(RunId Id) {
  Isolation *Isolated = findIsolation(Id);
  if (!Isolated)
    return;
  Isolated->m_Runs.erase(Id);
  if (WorkerRecord *Worker = m_Workers.find(m_Runs.at(Id).m_Worker)) {
    Worker->m_SetAside = false;
    m_Workers.update(*Worker);
  }
}

void JobScheduler::eraseUnusedIsolations() {
  std::erase_if(m_Isolations, [](const auto &Entry) {
    return Entry.second.m_Runs.empty() && Entry.second.m_Worker.empty();
  });
}

void JobScheduler::releaseWorkerSetAside(Isolation &Isolated) {
  if (WorkerRecord *Worker = m_Workers.find(Isolated.m_Worker)) {
    Worker->m_SetAside = false;
    m_Workers.update(*Worker);
  }
  Isolated.m_Worker.clear();
}

bool JobScheduler::releaseWorkersSetAside() {
  bool HasReleased = false;
  for (auto &[Service, Isolated] : m_Isolations) {
    auto Job = m_Jobs.find(Isolated.m_Job);
    const WorkerRecord *Worker = m_Workers.find(Isolated.m_Worker);
    bool IsWaiting =
        Job != m_Jobs.end() && Isolated.m_Task < Job->second->m_Tasks.size() &&
        Job->second->m_Tasks[Isolated.m_Task].m_State == TaskState::Waiting;
    bool IsNeeded =
        IsWaiting && Worker && Worker->m_SetAside &&
        WorkerRegistry::meetsWhenIdle(
            *Worker, Service,
            Job->second->m_Request
                .m_Steps[Job->second->m_Tasks[Isolated.m_Task].m_Step]);
    if (!Isolated.m_Worker.empty() && !IsNeeded) {
      releaseWorkerSetAside(Isolated);
      HasReleased = true;
    }
  }
  return HasReleased;
}

bool JobScheduler::mustGiveUp(ActiveTask &Task) const {
  Task.m_Losses.m_Crashes += static_cast<std::uint32_t>(
      std::erase_if(Task.m_LostWith, [this](const WorkerIncarnation &Lost) {
        return m_Workers.hasSuccessor(Lost);
      }));
  return TaskLossLimits.areReached(Task.m_Losses);
}

void JobScheduler::onTaskLost(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                              const WorkerIncarnation &With) {
  Job.m_HasLostTasks = true;
  m_LostJobs.insert(Job.m_Request.m_Id);
  ++Task.m_Losses.m_Losses;
  Task.m_LostWith.push_back(With);
  if (mustGiveUp(Task))
    finish(Now, Job, JobOutcome::Failed, JobReason::AttemptsSpent);
  else
    requeue(Now, Job, Task);
}

void JobScheduler::giveUpLostTasks(TimePoint Now) {
  std::vector<ActiveJob *> GivenUp;
  for (const std::string &Id : m_LostJobs) {
    ActiveJob *Job = m_Jobs.at(Id).get();
    auto IsGivenUp = [this](ActiveTask &Task) {
      return Task.m_State == TaskState::Waiting && !Task.m_LostWith.empty() &&
             mustGiveUp(Task);
    };
    auto &Tasks = Job->m_Tasks;
    if (std::any_of(Tasks.begin(), Tasks.end(), IsGivenUp))
      GivenUp.push_back(Job);
  }
  for (ActiveJob *Job : GivenUp)
    finish(Now, *Job, JobOutcome::Failed, JobReason::AttemptsSpent);
}

} // namespace auburnhub
