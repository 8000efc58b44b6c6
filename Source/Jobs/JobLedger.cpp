#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>

namespace auburnhub {
JobLedger::LedgerJob *JobLedger::find(const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : Found->second.get();
}

JobLedger::LedgerJob &JobLedger::add(JobRequest Request, LedgerEpoch Epoch) {
  auto &Owned = m_Jobs[Request.m_Id];
  Owned = std::make_unique<LedgerJob>();
  LedgerJob &Job = *Owned;
  Job.m_Record.m_Job = std::move(Request);
  Job.m_Record.m_Epoch = Epoch;
  Job.m_Progress.m_Version = StoredProgressVersion;
  Job.m_Order = ++m_LastOrder;
  for (const JobStep &Step : Job.m_Record.m_Job.m_Steps) {
    Job.m_FirstOfStep.push_back(static_cast<std::uint32_t>(Job.m_Tasks.size()));
    Job.m_UnfinishedOfStep.push_back(Step.m_Count);
    Job.m_Tasks.resize(Job.m_Tasks.size() + Step.m_Count);
  }
  return Job;
}

std::optional<std::uint32_t> JobLedger::taskIndexOf(const LedgerJob &Job,
                                                    const TaskRef &Ref) {
  const auto &Steps = Job.m_Record.m_Job.m_Steps;
  if (Ref.m_Step >= Steps.size() || Ref.m_Index >= Steps[Ref.m_Step].m_Count)
    return std::nullopt;
  return Job.m_FirstOfStep[Ref.m_Step] + Ref.m_Index;
}

TaskRef JobLedger::taskRefOf(const LedgerJob &Job, std::uint32_t TaskIndex) {
  auto After = std::upper_bound(Job.m_FirstOfStep.begin(),
                                Job.m_FirstOfStep.end(), TaskIndex);
  // An empty step has the same first index as the next step; upper_bound()
  // skips it.
  auto Step = static_cast<std::uint32_t>(After - Job.m_FirstOfStep.begin() - 1);
  return {Job.m_Record.m_Job.m_Id, Step, TaskIndex - Job.m_FirstOfStep[Step]};
}

JobLedger::ReadyKey JobLedger::readyKey(const LedgerJob &Job,
                                        std::uint32_t TaskIndex) const {
  return {Job.m_Record.m_Job.m_Policy.m_Priority, Job.m_Order,
          Job.m_Record.m_Job.m_Id, TaskIndex};
}

std::int64_t JobLedger::cpuMillisOf(const LedgerJob &Job,
                                    std::uint32_t TaskIndex) {
  const auto &Steps = Job.m_Record.m_Job.m_Steps;
  return Steps[taskRefOf(Job, TaskIndex).m_Step].m_TaskResources.m_CpuMillis;
}

void JobLedger::setState(LedgerJob &Job, std::uint32_t TaskIndex,
                         TaskState State, TimePoint Until) {
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  ReadyKey Key = readyKey(Job, TaskIndex);
  m_Ready.erase(cpuMillisOf(Job, TaskIndex), Key);
  m_TimedTasks.erase({Task.m_Until, Key});
  Task.m_State = State;
  Task.m_Until = Until;
  if (State == TaskState::Ready)
    m_Ready.insert(cpuMillisOf(Job, TaskIndex), Key);
  if (State == TaskState::Paused || State == TaskState::InDoubt ||
      State == TaskState::AwaitingVerdict)
    m_TimedTasks.insert({Until, Key});
}

bool JobLedger::mayRun(const LedgerJob &Job, std::uint32_t TaskIndex) {
  if (!Job.m_IsStored || Job.m_Progress.isFinished())
    return false;
  const auto &After =
      Job.m_Record.m_Job.m_Steps[taskRefOf(Job, TaskIndex).m_Step].m_DependsOn;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Step) {
    return Job.m_UnfinishedOfStep[Step] == 0;
  });
}

void JobLedger::unblockTasks(LedgerJob &Job, TaskState NewState,
                             TimePoint Until) {
  for (std::uint32_t TaskIndex = 0; TaskIndex < Job.m_Tasks.size(); ++TaskIndex)
    if (Job.m_Tasks[TaskIndex].m_State == TaskState::Blocked &&
        mayRun(Job, TaskIndex))
      setState(Job, TaskIndex, NewState, Until);
}

void JobLedger::begin(TimePoint Now) {
  TimePoint Until = addMs(Now, m_Parameters.m_TakeoverDoubtMs);
  for (auto &Entry : m_Jobs) {
    LedgerJob &Job = *Entry.second;
    auto Loaded = m_LoadedProgress.find(Entry.first);
    if (Loaded != m_LoadedProgress.end())
      Job.m_Progress = std::move(Loaded->second);
    restoreJob(Now, Job);
    unblockTasks(Job, TaskState::InDoubt, Until);
    restoreLostRuns(Now, Job);
  }
  m_LoadedProgress.clear();
}

void JobLedger::restoreJob(TimePoint Now, LedgerJob &Job) {
  Job.m_Received = Now;
  Job.m_VisibleState = Job.m_Progress.m_State;
  if (Job.m_Progress.isFinished()) {
    m_FinishedJobs.insert(
        {Job.m_Progress.m_FinishedAtMs, Job.m_Record.m_Job.m_Id});
    freeDetails(Job);
    return;
  }
  restoreReached(Job);
  for (std::uint32_t TaskIndex : Job.m_Progress.m_Done) {
    if (TaskIndex >= Job.m_Tasks.size())
      continue;
    setState(Job, TaskIndex, TaskState::Done);
    --Job.m_UnfinishedOfStep[taskRefOf(Job, TaskIndex).m_Step];
    setHasRun(Job);
  }
}

void JobLedger::submit(TimePoint Now, std::uint64_t Call, JobRequest Request) {
  std::string Id = Request.m_Id;
  LedgerJob *Known = find(Id);
  if (Known && Known->m_IsStored) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
    return;
  }
  if (Known) {
    Known->m_SubmitCalls.push_back(Call);
    return;
  }
  if (m_Jobs.size() >= m_Parameters.m_MaxJobs) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, false});
    return;
  }
  LedgerJob &Job = add(std::move(Request), m_Epoch);
  Job.m_Encoded = encodeJob(Job);
  if (recordBytes(Id, Job.m_Encoded) > m_Parameters.m_MaxRecordBytes) {
    eraseJob(Id);
    m_Effects.emplace_back(LedgerCallAnswered{Call, false});
    return;
  }
  Job.m_Received = Now;
  Job.m_SubmitCalls.push_back(Call);
  m_NextBatch.m_NewJobs.push_back(Id);
  m_NextBatch.m_Urgent = true;
}

void JobLedger::cancel(TimePoint Now, std::int64_t WallMs, std::uint64_t Call,
                       const std::string &Id) {
  LedgerJob *Job = find(Id);
  if (!Job || Job->m_VisibleState >= StoredJobState::Completed) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, Job != nullptr});
    return;
  }
  // A finished job keeps its final state; the call is answered once that state
  // is stored.
  if (!Job->m_Progress.isFinished())
    finish(*Job, StoredJobState::Cancelled, WallMs);
  m_NextBatch.m_Progress.insert(Id);
  m_NextBatch.m_CancelCalls.push_back(Call);
  m_NextBatch.m_Urgent = true;
  advance(Now, WallMs);
}

std::optional<StoredJobState> JobLedger::state(const std::string &Id) const {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end() || !Found->second->m_IsStored)
    return std::nullopt;
  const LedgerJob &Job = *Found->second;
  if (Job.m_VisibleState == StoredJobState::Queued && Job.m_HasStarted)
    return StoredJobState::Running;
  return Job.m_VisibleState;
}

std::map<std::string, std::uint64_t> JobLedger::pending() const {
  std::map<std::string, std::uint64_t> Result;
  for (const auto &[Id, Job] : m_Jobs)
    if (Job->m_IsStored && !Job->m_HasStarted && !Job->m_Progress.isFinished())
      ++Result[Job->m_Record.m_Job.m_Policy.m_Queue];
  return Result;
}

void JobLedger::stopRun(LedgerJob &Job, std::uint32_t TaskIndex) {
  const LedgerTask &Task = Job.m_Tasks[TaskIndex];
  if (Task.m_State == TaskState::Running)
    m_Effects.emplace_back(
        LedgerStopRun{Task.m_Owner, taskRefOf(Job, TaskIndex), Task.m_Number});
}

void JobLedger::finish(LedgerJob &Job, StoredJobState State,
                       std::int64_t WallMs) {
  Job.m_Progress.m_State = State;
  Job.m_Progress.m_FinishedAtMs = WallMs;
  stopAwaitingVerdicts(Job);
  m_FinishedJobs.insert({WallMs, Job.m_Record.m_Job.m_Id});
  for (std::uint32_t TaskIndex = 0; TaskIndex < Job.m_Tasks.size();
       ++TaskIndex) {
    TaskState OldState = Job.m_Tasks[TaskIndex].m_State;
    if (OldState == TaskState::Done || OldState == TaskState::Ending)
      continue;
    stopRun(Job, TaskIndex);
    setState(Job, TaskIndex, TaskState::Blocked);
  }
  m_NextBatch.m_Progress.insert(Job.m_Record.m_Job.m_Id);
  m_NextBatch.m_Urgent = true;
}

void JobLedger::onJobStored(const std::string &Id) {
  LedgerJob *Job = find(Id);
  if (!Job)
    return;
  Job->m_IsStored = true;
  Job->m_Encoded = std::string();
  for (std::uint64_t Call : std::exchange(Job->m_SubmitCalls, {}))
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
  unblockTasks(*Job, TaskState::Ready);
}

void JobLedger::onProgressStored(TimePoint Now, const std::string &Id,
                                 StoredJobState State) {
  LedgerJob *Job = find(Id);
  if (!Job || Job->m_VisibleState >= StoredJobState::Completed)
    return;
  Job->m_VisibleState = State;
  if (State < StoredJobState::Completed)
    return;
  m_Effects.emplace_back(
      LedgerJobFinished{Id, State, millisecondsBetween(Job->m_Received, Now)});
  freeDetails(*Job);
}

void JobLedger::freeDetails(LedgerJob &Job) {
  JobRequest &Request = Job.m_Record.m_Job;
  Request.m_Spec = std::string();
  Request.m_Steps = {};
  Job.m_Tasks = {};
  Job.m_FirstOfStep = {};
  Job.m_UnfinishedOfStep = {};
  Job.m_Progress.m_Done = {};
  Job.m_Progress.m_Failed = {};
  Job.m_Progress.m_Lost = {};
  Job.m_Progress.m_Reached = {};
}

void JobLedger::onEndStored(TimePoint Now, const ReportedEnd &End) {
  acknowledge(End);
  LedgerJob *Job = find(End.m_Task.m_Job);
  auto TaskIndex = Job ? taskIndexOf(*Job, End.m_Task) : std::nullopt;
  if (!TaskIndex)
    return;
  LedgerTask &Task = Job->m_Tasks[*TaskIndex];
  if (Task.m_State != TaskState::Ending || Task.m_Number != End.m_Number)
    return;
  if (Job->m_Progress.isFinished()) {
    setState(*Job, *TaskIndex, TaskState::Blocked);
    return;
  }
  const auto &Done = Job->m_Progress.m_Done;
  bool IsDone = std::find(Done.begin(), Done.end(), *TaskIndex) != Done.end();
  // The run was reported as lost first and as succeeded later; only the loss is
  // stored yet.
  if (IsDone && End.m_IsLoss)
    return;
  if (!IsDone) {
    Task.m_Refusals = 0;
    if (findLostRun(*Job, *TaskIndex, End.m_Number))
      retryAfterLoss(Now, *Job, *TaskIndex);
    else
      startBackoff(Now, *Job, *TaskIndex);
    return;
  }
  setState(*Job, *TaskIndex, TaskState::Done);
  if (--Job->m_UnfinishedOfStep[End.m_Task.m_Step] == 0)
    unblockTasks(*Job, TaskState::Ready);
}

void JobLedger::eraseJob(const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  LedgerJob &Job = *Found->second;
  for (std::uint32_t TaskIndex = 0; TaskIndex < Job.m_Tasks.size(); ++TaskIndex)
    setState(Job, TaskIndex, TaskState::Blocked);
  stopAwaitingVerdicts(Job);
  m_FinishedJobs.erase({Job.m_Progress.m_FinishedAtMs, Id});
  m_NextBatch.m_Progress.erase(Id);
  m_CurrentBatch.m_Progress.erase(Id);
  m_EndsOfUnstorable.erase(Id);
  m_Jobs.erase(Found);
}

void JobLedger::deleteExpiredJobs(std::int64_t WallMs) {
  while (!m_FinishedJobs.empty()) {
    auto [At, Id] = *m_FinishedJobs.begin();
    if (static_cast<double>(WallMs - At) < m_Parameters.m_RetentionMs)
      return;
    LedgerJob *Job = find(Id);
    // The final state of the job is not stored yet; the job is deleted later.
    if (Job && Job->m_VisibleState < StoredJobState::Completed)
      return;
    m_FinishedJobs.erase(m_FinishedJobs.begin());
    m_NextBatch.m_DeletedJobs.push_back(Id);
    eraseJob(Id);
  }
}

void JobLedger::advance(TimePoint Now, std::int64_t WallMs) {
  while (!m_TimedTasks.empty() && m_TimedTasks.begin()->first <= Now) {
    auto [Until, Key] = *m_TimedTasks.begin();
    const auto &[Priority, Order, Id, TaskIndex] = Key;
    LedgerJob &Job = *m_Jobs.at(Id);
    if (mustReserve(Job, Job.m_Tasks[TaskIndex]))
      reserve(Job, TaskIndex);
    else
      setState(Job, TaskIndex, TaskState::Ready);
  }
  deleteExpiredJobs(WallMs);
}

std::vector<LedgerEffect> JobLedger::takeEffects() {
  return std::exchange(m_Effects, {});
}

} // namespace auburnhub
