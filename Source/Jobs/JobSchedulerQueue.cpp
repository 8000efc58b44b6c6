#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

/// \file
/// The part of JobScheduler that keeps waiting jobs and time limits in order.

namespace auburnhub {

void JobScheduler::addJob(ActiveJob &Job, std::unique_ptr<ActiveJob> Owned) {
  Job.m_Serial = ++m_LastSerial;
  m_Jobs[Job.m_Request.m_Id] = std::move(Owned);
  if (Job.m_HasLostTasks)
    m_LostJobs.insert(Job.m_Request.m_Id);
}

void JobScheduler::eraseJob(ActiveJob &Job) {
  dequeue(Job);
  m_WaitingTasks -= Job.m_Waiting;
  if (Job.m_DueAt)
    m_DueJobs.erase({*Job.m_DueAt, Job.m_Serial});
  if (Job.m_NearbyDecideAt)
    m_NearbyWaits.erase({*Job.m_NearbyDecideAt, Job.m_Serial});
  m_NearbyTasks -= Job.m_NearbyTasks;
  m_HeldJobs.erase(Job.m_Request.m_Id);
  m_LostJobs.erase(Job.m_Request.m_Id);
  m_Jobs.erase(Job.m_Request.m_Id);
}

void JobScheduler::updateEntry(WaitingQueue::Entry &Waiting) {
  const ActiveJob &Job = *Waiting.m_Job;
  Waiting.m_MinCpu = std::numeric_limits<std::int64_t>::max();
  Waiting.m_WaitingCpu = 0;
  for (const ActiveTask &Task : Job.m_Tasks) {
    if (Task.m_State != TaskState::Waiting)
      continue;
    std::int64_t Cpu =
        Job.m_Request.m_Steps[Task.m_Step].m_TaskResources.m_CpuMillis;
    Waiting.m_MinCpu = std::min(Waiting.m_MinCpu, Cpu);
    Waiting.m_WaitingCpu += Cpu;
  }
  Waiting.m_HasStarted = Job.m_FirstStart.has_value();
}

void JobScheduler::enqueue(TimePoint Now, ActiveJob &Job) {
  const std::string &Service = Job.m_Request.m_Policy.m_Service;
  WaitingQueue &Queue = m_WaitingJobs[Service];
  if (Job.m_LatestStart) {
    WaitingQueue::Entry *Waiting =
        Queue.find(*Job.m_LatestStart, Job.m_Request.m_Id);
    updateEntry(*Waiting);
    Waiting->m_IsNew = true;
    return;
  }
  double NeededMs = Job.m_ExpectedMs / m_Workers.bestSpeed(Service);
  TimePoint UsefulUntil = std::min(
      addMs(Job.m_Submitted, m_Parameters.m_LateFactor * Job.m_ObjectiveMs),
      Job.m_Deadline);
  WaitingQueue::Entry Added;
  Added.m_LatestStart = addMs(Job.m_Submitted, Job.m_ObjectiveMs - NeededMs);
  Added.m_LatestUseful = addMs(UsefulUntil, -NeededMs);
  Added.m_Id = Job.m_Request.m_Id;
  Added.m_Job = &Job;
  updateEntry(Added);
  Job.m_LatestStart = Added.m_LatestStart;
  Queue.insert(Now, Added);
  addRunLimit(Job);
}

void JobScheduler::dequeue(ActiveJob &Job) {
  if (!Job.m_LatestStart)
    return;
  m_WaitingJobs[Job.m_Request.m_Policy.m_Service].erase(*Job.m_LatestStart,
                                                        Job.m_Request.m_Id);
  Job.m_LatestStart.reset();
  eraseRunLimit(Job);
}

void JobScheduler::addRunLimit(ActiveJob &Job) {
  if (!Job.m_RunUntil)
    return;
  Job.m_QueuedRunLimit = *Job.m_RunUntil;
  m_WaitingRunLimits[{*Job.m_QueuedRunLimit, Job.m_Serial}] = &Job;
}

void JobScheduler::eraseRunLimit(ActiveJob &Job) {
  if (Job.m_QueuedRunLimit)
    m_WaitingRunLimits.erase({*Job.m_QueuedRunLimit, Job.m_Serial});
  Job.m_QueuedRunLimit.reset();
}

TimePoint JobScheduler::waitingRunLimit() {
  while (!m_WaitingRunLimits.empty()) {
    const auto &[Key, First] = *m_WaitingRunLimits.begin();
    if (Key.first == *First->m_RunUntil)
      return Key.first;
    ActiveJob &Job = *First;
    eraseRunLimit(Job);
    addRunLimit(Job);
  }
  return TimePoint::max();
}

bool JobScheduler::mayStart(const WaitingQueue::Entry &Waiting,
                            std::int64_t Room) {
  if (Waiting.m_IsNew || Waiting.m_MinCpu <= Room)
    return true;
  if (!Waiting.m_IsLimitedByLease)
    return false;
  const ActiveJob &Job = *Waiting.m_Job;
  return *Job.m_RunUntil > *Job.m_LeaseLimitedAt;
}

void JobScheduler::startWaitingTasks(TimePoint Now) {
  if (areWorkersOutdated(Now) || m_EvacuationAge.isOutdated(Now))
    return;
  releaseWorkersSetAside();
  if (m_WaitingTasks == 0)
    return;
  m_Workers.wake(Now);
  endNearbyWaits(Now);
  for (auto &[Service, Queue] : m_WaitingJobs) {
    if (Queue.empty())
      continue;
    std::int64_t Room = m_Workers.takeGainedCpu(Service);
    Queue.visit(Now, [&, &Service = Service](WaitingQueue::Entry &Waiting) {
      if (!mayStart(Waiting, Room))
        return true;
      ActiveJob &Job = *Waiting.m_Job;
      std::size_t RunsBefore = Job.m_Runs;
      Job.m_LeaseLimitedAt.reset();
      startTasks(Now, Job);
      if (Job.m_Runs != RunsBefore)
        Room = std::min(Room, m_Workers.maxFreeCpu(Service));
      if (Job.m_Waiting == 0) {
        Job.m_LatestStart.reset();
        eraseRunLimit(Job);
        return false;
      }
      // Whether a task may run alone does not only depend on free CPU.
      Waiting.m_IsNew = Job.m_HasLostTasks;
      Waiting.m_IsLimitedByLease = Job.m_LeaseLimitedAt.has_value();
      updateEntry(Waiting);
      return true;
    });
  }
}

void JobScheduler::updateDue(ActiveJob &Job) {
  if (Job.m_DueAt)
    m_DueJobs.erase({*Job.m_DueAt, Job.m_Serial});
  Job.m_DueAt.reset();
  if (!Job.m_Stored)
    Job.m_DueAt = Job.m_Deadline;
  if (!Job.m_FirstStart)
    Job.m_DueAt =
        std::min(Job.m_DueAt.value_or(TimePoint::max()), Job.m_WaitUntil);
  if (Job.m_DueAt)
    m_DueJobs[{*Job.m_DueAt, Job.m_Serial}] = &Job;
}

JobReason JobScheduler::reasonNotStarted(const ActiveJob &Job) const {
  const JobStep &Step = Job.m_Request.m_Steps[Job.m_Tasks.front().m_Step];
  bool IsWorkerEjected =
      m_Workers.fitsUnhealthyWorker(Job.m_Request.m_Policy.m_Service, Step);
  return IsWorkerEjected ? JobReason::NoHealthyWorker : JobReason::NoRoom;
}

void JobScheduler::checkDeadlines(TimePoint Now) {
  std::vector<std::pair<ActiveJob *, JobReason>> Expired;
  for (const auto &[Key, Job] : m_DueJobs) {
    if (Key.first > Now)
      break;
    if (Now >= Job->m_Deadline && !Job->m_Stored)
      Expired.emplace_back(Job, JobReason::TimedOut);
    else if (!Job->m_FirstStart && Now >= Job->m_WaitUntil &&
             !hasWorkerSetAside(*Job, 0))
      Expired.emplace_back(Job, reasonNotStarted(*Job));
  }
  for (auto [Job, Reason] : Expired)
    if (Job->m_Stored) {
      finishStoredTask(*Job, StoredRunEnd::NotRun, Reason, "");
    } else {
      if (!Job->m_FirstStart)
        observeWait(Now, *Job);
      finish(Now, *Job,
             Job->m_PossibleStarts > 0 ? JobOutcome::Abandoned
                                       : JobOutcome::NotRun,
             Reason);
    }
}

std::optional<TimePoint> JobScheduler::nextDeadline(TimePoint Now) const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  auto Due =
      m_DueJobs.upper_bound({Now, std::numeric_limits<std::uint64_t>::max()});
  if (Due != m_DueJobs.end())
    Consider(Due->first.first);
  // Those whose wait is prolonged may still reach the caller's deadline.
  for (auto Overdue = m_DueJobs.begin(); Overdue != Due; ++Overdue)
    if (!Overdue->second->m_Stored)
      Consider(Overdue->second->m_Deadline);
  auto Nearby = m_NearbyWaits.upper_bound(
      {Now, std::numeric_limits<std::uint64_t>::max()});
  if (Nearby != m_NearbyWaits.end())
    Consider(Nearby->first.first);
  for (const std::string &Id : m_HeldJobs)
    Consider(nextRelease(Now, *m_Jobs.at(Id)));
  if (m_WaitingTasks > 0)
    if (std::optional<TimePoint> Wake = m_Workers.nextWake(Now))
      Consider(*Wake);
  return Next;
}

std::size_t JobScheduler::waitingTasks() const {
  std::size_t Total = m_WaitingTasks;
  for (const std::string &Id : m_LostJobs) {
    const ActiveJob &Job = *m_Jobs.at(Id);
    auto IsForIdleWorker = [](const ActiveTask &Task) {
      return Task.m_State == TaskState::Waiting && mustRunAlone(Task);
    };
    Total -= static_cast<std::size_t>(
        std::count_if(Job.m_Tasks.begin(), Job.m_Tasks.end(), IsForIdleWorker));
  }
  return Total;
}

} // namespace auburnhub
