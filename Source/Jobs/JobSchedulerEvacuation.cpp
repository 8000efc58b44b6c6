#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

/// \file
/// The part of JobScheduler that handles the evacuation of data centres.

namespace auburnhub {

void JobScheduler::setEvacuated(TimePoint Now,
                                const std::set<std::string> &DataCentres) {
  m_Workers.setEvacuated(Now, DataCentres);
  m_HasLostWorkers = true;
  m_MustCheckEvacuated = true;
  advance(Now);
}

void JobScheduler::refreshEvacuations(TimePoint Now, TimePoint ReadAt) {
  bool WasOutdated = m_EvacuationAge.isOutdated(Now);
  m_EvacuationAge.readEnded(ReadAt);
  if (WasOutdated)
    advance(Now);
}

bool JobScheduler::waitsForEvacuatedWorkers(const ActiveJob &Job) const {
  auto HasNoWorker = [&](const ActiveTask &Task) {
    const std::string &Service = Job.m_Request.m_Policy.m_Service;
    const JobStep &Step = Job.m_Request.m_Steps[Task.m_Step];
    return Task.m_State == TaskState::Waiting &&
           m_Workers.fitsAnyIdleWorker(Service, Step) &&
           !m_Workers.fitsAnyWorkerInUse(Service, Step);
  };
  return !Job.m_FirstStart && Job.m_Waiting > 0 &&
         std::any_of(Job.m_Tasks.begin(), Job.m_Tasks.end(), HasNoWorker);
}

void JobScheduler::refuseEvacuatedJobs(TimePoint Now) {
  if (!std::exchange(m_MustCheckEvacuated, false) ||
      m_Workers.evacuated().empty())
    return;
  std::vector<ActiveJob *> Refused;
  for (auto &[Id, Job] : m_Jobs)
    if (waitsForEvacuatedWorkers(*Job))
      Refused.push_back(Job.get());
  for (ActiveJob *Job : Refused)
    refuseEvacuatedJob(Now, *Job);
}

void JobScheduler::refuseIfEvacuated(TimePoint Now, const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found != m_Jobs.end() && !m_Workers.evacuated().empty() &&
      waitsForEvacuatedWorkers(*Found->second))
    refuseEvacuatedJob(Now, *Found->second);
}

void JobScheduler::refuseEvacuatedJob(TimePoint Now, ActiveJob &Job) {
  if (Job.m_Stored)
    finishStoredTask(Job, StoredRunEnd::NotRun, JobReason::NoRoom, "");
  else
    finish(Now, Job, JobOutcome::NotRun, JobReason::NoRoom);
}

bool JobScheduler::isOnColdWorker(const ActiveRun &Run) const {
  auto Found = m_Workers.all().find(Run.m_Worker);
  return Found != m_Workers.all().end() &&
         Found->second.m_ColdUntil > Run.m_Started;
}

std::size_t JobScheduler::evacuatedRuns() const {
  std::size_t Total = 0;
  for (const auto &[Id, Worker] : m_Workers.all())
    if (Worker.m_Evacuated)
      Total += Worker.m_Running;
  return Total;
}

} // namespace auburnhub
