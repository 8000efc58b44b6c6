#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <utility>

/// \file
/// The part of JobScheduler that handles events of runs.

namespace auburnhub {
namespace {

/// Run numbers skipped when a worker knows a higher one; more than the starts
/// of a task within one submission.
constexpr std::uint32_t NumberStep = 16;

/// A job whose task must run again is abandoned if less than this share of its
/// expected time remains until the caller's deadline.
constexpr double HopelessShare = 0.4;

} // namespace

void JobScheduler::freeRun(RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  if (WorkerRecord *Worker = m_Workers.find(Found->second.m_Worker)) {
    Worker->m_Free += Found->second.m_Used;
    --Worker->m_Running;
  }
  m_Runs.erase(Found);
}

void JobScheduler::requeue(TimePoint Now, Job &Item, Task &Which) {
  Which.m_State = TaskState::Waiting;
  Which.m_Run = 0;
  ++Item.m_Waiting;
  double LeftMs = millisecondsBetween(Now, Item.m_Deadline);
  if (LeftMs < HopelessShare * Item.m_ExpectedMs)
    finish(Now, Item, JobOutcome::GivenUp, JobReason::TimedOut);
}

void JobScheduler::runAccepted(TimePoint Now, RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Found->second.m_Accepted = true;
  Found->second.m_Started = Now;
  Found->second.m_RoseAt = Now;
}

void JobScheduler::runRefused(TimePoint Now, RunId Id, RefusalReason Why) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Run Item = Found->second;
  freeRun(Id);
  WorkerRecord *Worker = m_Workers.find(Item.m_Worker);
  if (Worker && Why != RefusalReason::NumberUsed)
    Worker->m_PausedUntil = addMs(Now, m_Parameters.m_RefusalPauseMs);
  if (Worker && Why == RefusalReason::Unhealthy)
    m_Workers.noteFailure(Now, *Worker);
  auto Owner = m_Jobs.find(Item.m_Job);
  if (!Item.m_Detached && Owner != m_Jobs.end()) {
    Job &Of = *Owner->second;
    Task &Which = Of.m_Tasks[Item.m_Task];
    --Of.m_PossibleStarts;
    if (Why == RefusalReason::NumberUsed)
      Which.m_LastNumber += NumberStep;
    if (Of.m_Stored)
      finishStored(Of, StoredRunEnd::NotRun, JobReason::NoRoom, Item.m_Worker);
    else if (Why == RefusalReason::Invalid)
      taskFailed(Now, Of, Which, Item.m_Worker);
    else
      requeue(Now, Of, Which);
  }
  advance(Now);
}

void JobScheduler::learn(const Run &Item, TimePoint Now) {
  double Took = millisecondsBetween(Item.m_Started, Now);
  WorkerRecord *Worker = m_Workers.find(Item.m_Worker);
  double Speed = Worker ? Worker->m_Speed : 1;
  QueueModel &Model = m_Queues[Item.m_Queue];
  ++Model.m_Samples;
  double Weight = std::max(m_Parameters.m_RunTimeWeight,
                           1 / static_cast<double>(Model.m_Samples));
  Model.m_MeanMs += Weight * (Took * Speed - Model.m_MeanMs);
  if (Worker) {
    m_Workers.noteRunTime(*Worker, Took, Item.m_BaseMs);
    m_Workers.noteSuccess(*Worker);
  }
}

void JobScheduler::runEnded(TimePoint Now, RunId Id, RunEnd How) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Run Item = Found->second;
  if (How == RunEnd::Done)
    learn(Item, Now);
  freeRun(Id);
  auto Owner = m_Jobs.find(Item.m_Job);
  if (!Item.m_Detached && Owner != m_Jobs.end()) {
    Job &Of = *Owner->second;
    Task &Which = Of.m_Tasks[Item.m_Task];
    if (Of.m_Stored)
      storedRunEnded(Now, Of, Item.m_Worker, How);
    else if (How == RunEnd::Done)
      taskDone(Now, Of, Which);
    else if (How == RunEnd::Failed)
      taskFailed(Now, Of, Which, Item.m_Worker);
    else
      requeue(Now, Of, Which);
  }
  advance(Now);
}

void JobScheduler::runAbandoned(TimePoint Now, RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  auto Owner = m_Jobs.find(Found->second.m_Job);
  bool Known = !Found->second.m_Detached && Owner != m_Jobs.end();
  if (Known && Owner->second->m_Stored)
    finishStored(*Owner->second, StoredRunEnd::InDoubt, JobReason::OwnerLost,
                 Found->second.m_Worker);
  else if (Known)
    finish(Now, *Owner->second, JobOutcome::GivenUp, JobReason::OwnerLost);
  freeRun(Id);
}

void JobScheduler::storedRunEnded(TimePoint Now, Job &Item,
                                  const std::string &Worker, RunEnd How) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (How == RunEnd::Failed && Record && Item.m_Tasks.front().m_Avoid.empty())
    m_Workers.noteFailure(Now, *Record);
  StoredRunEnd End = StoredRunEnd::Over;
  if (How == RunEnd::Done)
    End = StoredRunEnd::Done;
  if (How == RunEnd::Failed)
    End = StoredRunEnd::Failed;
  finishStored(Item, End, JobReason::None, Worker);
}

void JobScheduler::taskDone(TimePoint Now, Job &Item, Task &Which) {
  Which.m_State = TaskState::Done;
  Which.m_Run = 0;
  --Item.m_Left;
  if (Item.m_Left == 0)
    finish(Now, Item, JobOutcome::Completed, JobReason::None);
  else
    unblock(Item);
}

void JobScheduler::taskFailed(TimePoint Now, Job &Item, Task &Which,
                              const std::string &Worker) {
  // A task that has failed before is weak evidence against this worker.
  WorkerRecord *Record = m_Workers.find(Worker);
  if (Record && Which.m_Failures == 0)
    m_Workers.noteFailure(Now, *Record);
  ++Which.m_Failures;
  Which.m_Avoid.insert(Worker);
  if (Which.m_Failures >= Item.m_Request.m_Policy.m_MaxAttempts) {
    finish(Now, Item, JobOutcome::Failed, JobReason::AttemptsSpent);
    return;
  }
  requeue(Now, Item, Which);
}

void JobScheduler::runProgress(TimePoint Now, RunId Id, double Percent) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  Run &Item = Found->second;
  if (Percent > Item.m_Percent)
    Item.m_RoseAt = Now;
  Item.m_Percent = Percent;
  Item.m_ProgressAt = Now;
}

bool JobScheduler::isStalled(const Run &Item) const {
  if (hasMovedOften(Item))
    return standsStill(Item, m_Parameters.m_PatientStalledMs);
  double Limit = std::max(m_Parameters.m_MinStalledMs,
                          m_Parameters.m_StalledFactor * Item.m_ExpectedMs);
  // The progress must have been reported after the limit had passed.
  bool IsSlow =
      millisecondsBetween(Item.m_Started, Item.m_ProgressAt) >= Limit &&
      Item.m_Percent < m_Parameters.m_StalledPercent;
  if (IsSlow || Item.m_Percent <= 0)
    return IsSlow;
  return standsStill(
      Item, std::max(m_Parameters.m_MinStalledMs,
                     m_Parameters.m_StandstillFactor * Item.m_ExpectedMs));
}

bool JobScheduler::standsStill(const Run &Item, double LeastMs) const {
  double PercentMs = millisecondsBetween(Item.m_Started, Item.m_RoseAt) /
                     std::max(1.0, Item.m_Percent);
  double Limit =
      std::max(LeastMs, m_Parameters.m_StandstillPercents * PercentMs);
  return millisecondsBetween(Item.m_RoseAt, Item.m_ProgressAt) >= Limit;
}

bool JobScheduler::hasMovedOften(const Run &Item) const {
  auto Owner = m_Jobs.find(Item.m_Job);
  return Owner != m_Jobs.end() &&
         Owner->second->m_Tasks[Item.m_Task].m_Avoid.size() >=
             m_Parameters.m_MaxMoves;
}

void JobScheduler::checkStalled(TimePoint Now) {
  std::vector<RunId> Stalled;
  for (auto &[Id, Item] : m_Runs) {
    if (!Item.m_Accepted || Item.m_Stopping || Item.m_Stalled)
      continue;
    if (isStalled(Item))
      Stalled.push_back(Id);
  }
  for (RunId Id : Stalled) {
    Run &Item = m_Runs.at(Id);
    Item.m_Stalled = true;
    if (WorkerRecord *Worker = m_Workers.find(Item.m_Worker))
      m_Workers.noteFailure(Now, *Worker);
    auto Owner = m_Jobs.find(Item.m_Job);
    if (Owner != m_Jobs.end())
      Owner->second->m_Tasks[Item.m_Task].m_Avoid.insert(Item.m_Worker);
    stopRun(Item, Id, JobReason::None);
  }
}

} // namespace auburnhub
