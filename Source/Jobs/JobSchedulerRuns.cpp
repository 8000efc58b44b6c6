#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

/// \file
/// The part of JobScheduler that handles events of runs.

namespace auburnhub {
namespace {

/// Run numbers skipped when a worker already knows a run number of the task or
/// a higher one. More than the number of starts of a task within one
/// submission.
constexpr std::uint32_t RunNumberGap = 16;

/// A job whose task must run again is abandoned if less than this share of its
/// expected time remains until the caller's deadline.
constexpr double MinTimeLeftShare = 0.4;

} // namespace

void JobScheduler::releaseRun(RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  auto Released = m_ReleasedPerMs.find(Found->second.m_Service);
  if (--Released->second.m_Runs == 0)
    m_ReleasedPerMs.erase(Released);
  else
    Released->second.m_CpuPerMs -= releasedPerMs(Found->second);
  const std::string &WorkerId = Found->second.m_Worker;
  if (WorkerRecord *Worker = m_Workers.find(WorkerId))
    m_Workers.endRun(*Worker, Found->second.m_Used);
  auto RunsOnWorker = m_RunsOnWorker.find(WorkerId);
  if (RunsOnWorker != m_RunsOnWorker.end()) {
    std::erase(RunsOnWorker->second, Id);
    if (RunsOnWorker->second.empty())
      m_RunsOnWorker.erase(RunsOnWorker);
  }
  endIsolatedRun(Id);
  m_Runs.erase(Found);
}

void JobScheduler::requeue(TimePoint Now, ActiveJob &Job, ActiveTask &Task) {
  Task.m_State = TaskState::Waiting;
  Task.m_Run = 0;
  ++Job.m_Waiting;
  ++m_WaitingTasks;
  enqueue(Now, Job);
  double LeftMs = millisecondsBetween(Now, Job.m_Deadline);
  if (LeftMs < MinTimeLeftShare * Job.m_ExpectedMs)
    finish(Now, Job, JobOutcome::Abandoned, JobReason::TimedOut);
}

void JobScheduler::runAccepted(TimePoint Now, RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Found->second.m_Accepted = true;
  Found->second.m_Started = Now;
  Found->second.m_ProgressRoseAt = Now;
  m_ReportedRuns.push_back(Id);
}

void JobScheduler::runRefused(TimePoint Now, RunId Id, RefusalReason Reason) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  ActiveRun Run = Found->second;
  releaseRun(Id);
  if (Run.m_Detached)
    m_EarlierRuns.end(Now, Run.m_Ref);
  WorkerRecord *Worker = m_Workers.find(Run.m_Worker);
  if (Worker && Reason != RefusalReason::NumberUsed) {
    Worker->m_PausedUntil = addMs(Now, m_Parameters.m_RefusalPauseMs);
    m_Workers.update(*Worker);
  }
  if (Worker && Reason == RefusalReason::Unhealthy)
    m_Workers.recordUnhealthy(Now, *Worker);
  auto Owner = m_Jobs.find(Run.m_Job);
  if (!Run.m_Detached && Owner != m_Jobs.end()) {
    ActiveJob &Job = *Owner->second;
    ActiveTask &Task = Job.m_Tasks[Run.m_Task];
    --Job.m_PossibleStarts;
    if (Reason == RefusalReason::NumberUsed)
      Task.m_LastNumber += RunNumberGap;
    if (Job.m_Stored)
      finishStoredTask(Job, StoredRunEnd::NotRun, JobReason::NoRoom,
                       Run.m_Worker);
    else if (Reason == RefusalReason::Invalid)
      onTaskFailed(Now, Job, Task, Run.m_Worker);
    else
      requeue(Now, Job, Task);
  }
  advance(Now);
}

void JobScheduler::learnRunTime(const ActiveRun &Run, TimePoint Now) {
  double TookMs = millisecondsBetween(Run.m_Started, Now);
  WorkerRecord *Worker = m_Workers.find(Run.m_Worker);
  if (Worker && isOnColdWorker(Run)) {
    m_Workers.recordColdRunTime(*Worker, TookMs, Run.m_BaseMs);
    m_Workers.recordRunSuccess(Now, *Worker, Run.m_Queue);
    return;
  }
  double Speed = Worker ? Worker->m_Speed : 1;
  QueueModel &Model = m_Queues[Run.m_Queue];
  ++Model.m_Samples;
  double Weight = std::max(m_Parameters.m_RunTimeWeight,
                           1 / static_cast<double>(Model.m_Samples));
  Model.m_MeanMs += Weight * (TookMs * Speed - Model.m_MeanMs);
  if (Worker) {
    m_Workers.recordRunTime(*Worker, TookMs, Run.m_BaseMs);
    m_Workers.recordRunSuccess(Now, *Worker, Run.m_Queue);
  }
}

void JobScheduler::runEnded(TimePoint Now, RunId Id, RunEnd End,
                            const WorkerIncarnation &LostWith) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  ActiveRun Run = Found->second;
  if (End == RunEnd::Done)
    learnRunTime(Run, Now);
  releaseRun(Id);
  if (Run.m_Detached)
    m_EarlierRuns.end(Now, Run.m_Ref);
  auto Owner = m_Jobs.find(Run.m_Job);
  if (!Run.m_Detached && Owner != m_Jobs.end()) {
    ActiveJob &Job = *Owner->second;
    ActiveTask &Task = Job.m_Tasks[Run.m_Task];
    if (Job.m_Stored)
      onStoredRunEnded(Now, Job, Run.m_Worker, End, LostWith);
    else if (End == RunEnd::Done)
      onTaskDone(Now, Job, Task);
    else if (End == RunEnd::Failed)
      onTaskFailed(Now, Job, Task, Run.m_Worker);
    else if (End == RunEnd::Lost)
      onTaskLost(Now, Job, Task, LostWith);
    else
      requeue(Now, Job, Task);
  }
  advance(Now);
}

void JobScheduler::runAbandoned(TimePoint Now, RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  ActiveRun &Run = Found->second;
  auto Owner = m_Jobs.find(Run.m_Job);
  bool HasUnfinishedJob = !Run.m_Detached && Owner != m_Jobs.end();
  if (HasUnfinishedJob && Owner->second->m_Stored) {
    m_EarlierRuns.add(Run.m_Ref, Owner->second->m_StoredNumber);
    finishStoredTask(*Owner->second, StoredRunEnd::InDoubt,
                     JobReason::OwnerLost, Run.m_Worker);
  } else if (HasUnfinishedJob) {
    finish(Now, *Owner->second, JobOutcome::Abandoned, JobReason::OwnerLost);
  }
  m_EarlierRuns.abandon(Run.m_Ref, addMs(Now, m_Parameters.m_AbandonedRunMs));
  releaseRun(Id);
}

void JobScheduler::onTaskDone(TimePoint Now, ActiveJob &Job, ActiveTask &Task) {
  Task.m_State = TaskState::Done;
  Task.m_Run = 0;
  --Job.m_UnfinishedTasks;
  if (Job.m_UnfinishedTasks == 0)
    finish(Now, Job, JobOutcome::Completed, JobReason::None);
  else
    unblockTasks(Now, Job);
}

void JobScheduler::onTaskFailed(TimePoint Now, ActiveJob &Job, ActiveTask &Task,
                                const std::string &Worker) {
  if (WorkerRecord *Record = m_Workers.find(Worker))
    m_Workers.recordRunFailure(Now, *Record, Job.m_Request.m_Policy.m_Queue,
                               /*IsRepeated=*/Task.m_Failures > 0);
  ++Task.m_Failures;
  Task.m_AvoidedWorkers.insert(Worker);
  if (Task.m_Failures >= Job.m_Request.m_Policy.m_MaxAttempts) {
    finish(Now, Job, JobOutcome::Failed, JobReason::AttemptsSpent);
    return;
  }
  requeue(Now, Job, Task);
}

void JobScheduler::runProgress(TimePoint Now, RunId Id, double Percent) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  ActiveRun &Run = Found->second;
  if (Percent > Run.m_Percent)
    Run.m_ProgressRoseAt = Now;
  Run.m_Percent = Percent;
  Run.m_ProgressReportedAt = Now;
  m_ReportedRuns.push_back(Id);
}

bool JobScheduler::isStalled(const ActiveRun &Run) const {
  if (hasReachedMaxMoves(Run))
    return hasNoProgress(Run, m_Parameters.m_MovedTaskStalledMs);
  double LimitMs = std::max(m_Parameters.m_MinStalledMs,
                            m_Parameters.m_StalledFactor * Run.m_ExpectedMs);
  // Progress that was reported before the time limit does not count.
  bool IsTooSlow =
      millisecondsBetween(Run.m_Started, Run.m_ProgressReportedAt) >= LimitMs &&
      Run.m_Percent < m_Parameters.m_StalledPercent;
  if (IsTooSlow || Run.m_Percent <= 0)
    return IsTooSlow;
  return hasNoProgress(
      Run, std::max(m_Parameters.m_MinStalledMs,
                    m_Parameters.m_NoProgressFactor * Run.m_ExpectedMs));
}

bool JobScheduler::hasNoProgress(const ActiveRun &Run, double MinMs) const {
  double PercentMs = millisecondsBetween(Run.m_Started, Run.m_ProgressRoseAt) /
                     std::max(1.0, Run.m_Percent);
  double LimitMs =
      std::max(MinMs, m_Parameters.m_NoProgressPercents * PercentMs);
  return millisecondsBetween(Run.m_ProgressRoseAt, Run.m_ProgressReportedAt) >=
         LimitMs;
}

bool JobScheduler::hasReachedMaxMoves(const ActiveRun &Run) const {
  auto Owner = m_Jobs.find(Run.m_Job);
  return Owner != m_Jobs.end() &&
         Owner->second->m_Tasks[Run.m_Task].m_AvoidedWorkers.size() >=
             m_Parameters.m_MaxMoves;
}

void JobScheduler::checkStalled(TimePoint Now) {
  for (RunId Id : std::exchange(m_ReportedRuns, {})) {
    auto Found = m_Runs.find(Id);
    if (Found == m_Runs.end())
      continue;
    ActiveRun &Run = Found->second;
    if (!Run.m_Accepted || Run.m_Stopping || Run.m_Stalled || !isStalled(Run))
      continue;
    Run.m_Stalled = true;
    WorkerRecord *Worker = m_Workers.find(Run.m_Worker);
    if (Worker && !isOnColdWorker(Run))
      m_Workers.recordRunFailure(Now, *Worker, Run.m_Queue,
                                 /*IsRepeated=*/false);
    auto Owner = m_Jobs.find(Run.m_Job);
    if (Owner != m_Jobs.end())
      Owner->second->m_Tasks[Run.m_Task].m_AvoidedWorkers.insert(Run.m_Worker);
    stopRun(Run, Id, JobReason::None);
  }
}

} // namespace auburnhub
