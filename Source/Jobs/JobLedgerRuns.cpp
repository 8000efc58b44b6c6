#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>
#include <cmath>

/// \file
/// The part of JobLedger that assigns tasks to owners and handles the reported
/// ends of their runs.

namespace auburnhub {
std::optional<StoredTask> JobLedger::nextTask(TimePoint Now,
                                              std::int64_t MaxCpuMillis) const {
  const ReadyKey *First = m_Ready.first(MaxCpuMillis);
  if (!First)
    return std::nullopt;
  const auto &[Priority, Order, Id, TaskIndex] = *First;
  const LedgerJob &Job = *m_Jobs.at(Id);
  const JobRequest &Request = Job.m_Record.m_Job;
  TaskRef Ref = taskRefOf(Job, TaskIndex);
  StoredTask Result;
  Result.m_Job = Id;
  Result.m_StepNumber = Ref.m_Step;
  Result.m_Index = Ref.m_Index;
  Result.m_Number = nextNumber(Job, Job.m_Tasks[TaskIndex]);
  Result.m_Policy = Request.m_Policy;
  Result.m_Spec = Request.m_Spec;
  Result.m_Step = Request.m_Steps[Ref.m_Step];
  Result.m_AgeMs = millisecondsBetween(Job.m_Received, Now);
  Result.m_AvoidedWorkers = Job.m_Tasks[TaskIndex].m_AvoidedWorkers;
  Result.m_LostRuns = countLosses(Job, TaskIndex).m_Losses;
  return Result;
}

std::int64_t JobLedger::cpuMillisOf(const TaskRef &Ref) const {
  auto Found = m_Jobs.find(Ref.m_Job);
  if (Found == m_Jobs.end())
    return 0;
  auto TaskIndex = taskIndexOf(*Found->second, Ref);
  return TaskIndex ? cpuMillisOf(*Found->second, *TaskIndex) : 0;
}

void JobLedger::taskStarted(TimePoint Now, const TaskRef &Ref,
                            const std::string &Owner) {
  LedgerJob *Found = find(Ref.m_Job);
  auto TaskIndex = Found ? taskIndexOf(*Found, Ref) : std::nullopt;
  if (!TaskIndex)
    return;
  LedgerJob &Job = *Found;
  LedgerTask &Task = Job.m_Tasks[*TaskIndex];
  Task.m_Number = nextNumber(Job, Task);
  Task.m_Reached = std::max(Task.m_Reached, Task.m_Number);
  Task.m_Reserved = 0;
  ++Task.m_Runs;
  Task.m_ReportedAt = Now;
  Task.m_Owner = Owner;
  Job.m_HasStarted = true;
  setState(Job, *TaskIndex, TaskState::Running);
}

void JobLedger::acknowledge(const ReportedEnd &End) {
  m_Effects.emplace_back(LedgerEndStored{End.m_Owner, End.m_Task, End.m_Number,
                                         End.m_Superseded, End.m_IsLoss});
}

void JobLedger::recordEnd(LedgerJob &Job, const ReportedEnd &End) {
  // An owner reports an end again until it is confirmed, which is not possible
  // while the progress of the job cannot be stored.
  auto Kept = m_EndsOfUnstorable.find(Job.m_Record.m_Job.m_Id);
  if (Kept != m_EndsOfUnstorable.end() &&
      std::any_of(Kept->second.begin(), Kept->second.end(),
                  [&](const ReportedEnd &Other) {
                    return Other.m_Owner == End.m_Owner &&
                           Other.m_Task == End.m_Task &&
                           Other.m_Number == End.m_Number &&
                           Other.m_IsLoss == End.m_IsLoss;
                  }))
    return;
  m_NextBatch.m_Progress.insert(Job.m_Record.m_Job.m_Id);
  m_NextBatch.m_Ends.push_back(End);
}

void JobLedger::recordEndOfUnknownJob(const ReportedEnd &End) {
  auto &Deleted = m_NextBatch.m_DeletedJobs;
  if (std::find(Deleted.begin(), Deleted.end(), End.m_Task.m_Job) ==
      Deleted.end())
    Deleted.push_back(End.m_Task.m_Job);
  m_NextBatch.m_Ends.push_back(End);
}

void JobLedger::handleDone(std::int64_t WallMs, LedgerJob &Job,
                           std::uint32_t TaskIndex, const ReportedEnd &End) {
  recordEnd(Job, End);
  auto &Done = Job.m_Progress.m_Done;
  if (std::find(Done.begin(), Done.end(), TaskIndex) != Done.end())
    return;
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  if (Task.m_Number != End.m_Number)
    stopRun(Job, TaskIndex);
  Task.m_Reached = std::max({Task.m_Reached, Task.m_Number, End.m_Number});
  recordReached(Job, TaskIndex);
  Task.m_Number = End.m_Number;
  setHasRun(Job);
  Done.push_back(TaskIndex);
  eraseLostRuns(Job, TaskIndex);
  setState(Job, TaskIndex, TaskState::Ending);
  auto Step = taskRefOf(Job, TaskIndex).m_Step;
  auto First = Job.m_FirstOfStep[Step];
  auto Count = Job.m_Record.m_Job.m_Steps[Step].m_Count;
  auto DoneOfStep =
      std::count_if(Done.begin(), Done.end(), [&](std::uint32_t Index) {
        return Index >= First && Index < First + Count;
      });
  // The last end of a step is urgent because the next step or the caller waits
  // for it.
  m_NextBatch.m_Urgent = m_NextBatch.m_Urgent || DoneOfStep == Count;
  if (Done.size() == Job.m_Tasks.size())
    finish(Job, StoredJobState::Completed, WallMs);
}

void JobLedger::handleFailed(std::int64_t WallMs, LedgerJob &Job,
                             std::uint32_t TaskIndex, const ReportedEnd &End,
                             const std::string &Worker) {
  recordEnd(Job, End);
  auto &Failed = Job.m_Progress.m_Failed;
  FailedRun Added{TaskIndex, End.m_Number};
  if (std::find(Failed.begin(), Failed.end(), Added) == Failed.end())
    Failed.push_back(Added);
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  setHasRun(Job);
  if (!Worker.empty())
    Task.m_AvoidedWorkers.push_back(Worker);
  // A task in doubt after a takeover may have a later run than the reported
  // one.
  if (Task.m_Number == End.m_Number && mayBeAlive(Task))
    setState(Job, TaskIndex, TaskState::Ending);
  m_NextBatch.m_Urgent = true;
  auto Failures = std::count_if(
      Failed.begin(), Failed.end(),
      [TaskIndex](const FailedRun &Run) { return Run.m_Task == TaskIndex; });
  if (Failures >= Job.m_Record.m_Job.m_Policy.m_MaxAttempts)
    finish(Job, StoredJobState::Failed, WallMs);
}

void JobLedger::runEndReported(TimePoint Now, std::int64_t WallMs,
                               const LedgerRunEnd &Report) {
  ReportedEnd End{Report.m_Owner, Report.m_Task, Report.m_Number};
  End.m_IsLoss = !Report.m_LostWith.m_Worker.empty();
  LedgerJob *Job = find(Report.m_Task.m_Job);
  if (Job && Job->m_VisibleState >= StoredJobState::Completed) {
    // The runs of the job's tasks are forgotten: this one may have been
    // presumed to have ended, and its task started again.
    End.m_Superseded = Job->m_VisibleState == StoredJobState::Completed ||
                       Report.m_Outcome == StoredRunEnd::Done ||
                       Report.m_Outcome == StoredRunEnd::Failed;
    acknowledge(End);
    return;
  }
  auto TaskIndex = Job ? taskIndexOf(*Job, Report.m_Task) : std::nullopt;
  if (!Job && (End.m_IsLoss || Report.m_Outcome == StoredRunEnd::Done ||
               Report.m_Outcome == StoredRunEnd::Failed)) {
    recordEndOfUnknownJob(End);
    return;
  }
  if (!TaskIndex) {
    acknowledge(End);
    return;
  }
  const LedgerTask &Ended = Job->m_Tasks[*TaskIndex];
  End.m_Superseded =
      Report.m_Number < std::max(Ended.m_Number, Ended.m_Reached);
  if (Ended.m_State == TaskState::Done) {
    acknowledge(End);
    return;
  }
  if (Job->m_Progress.isFinished()) {
    // The end is acknowledged only after the final state of the job is stored;
    // before, a new keeper would run the task again.
    recordEnd(*Job, End);
    return;
  }
  if (Report.m_Outcome == StoredRunEnd::Done) {
    handleDone(WallMs, *Job, *TaskIndex, End);
    return;
  }
  if (Report.m_Outcome == StoredRunEnd::Failed) {
    handleFailed(WallMs, *Job, *TaskIndex, End, Report.m_Worker);
    return;
  }
  if (Report.m_Outcome == StoredRunEnd::Over && End.m_IsLoss) {
    handleLost(Now, WallMs, *Job, *TaskIndex, End, Report.m_LostWith);
    return;
  }
  acknowledge(End);
  auto &Task = Job->m_Tasks[*TaskIndex];
  if (!mayBeAlive(Task) || Task.m_Number != Report.m_Number)
    return;
  if (Report.m_Outcome == StoredRunEnd::InDoubt) {
    setState(*Job, *TaskIndex, TaskState::InDoubt,
             addMs(Now, m_Parameters.m_WorkerDoubtMs));
    return;
  }
  // The run may have been stopped because it stalled; another worker may be
  // faster.
  if (Report.m_Outcome == StoredRunEnd::Over && !Report.m_Worker.empty())
    Task.m_AvoidedWorkers.push_back(Report.m_Worker);
  if (Report.m_Outcome == StoredRunEnd::Over) {
    Task.m_Refusals = 0;
    setHasRun(*Job);
  }
  if (Report.m_Outcome == StoredRunEnd::NotRun && Report.m_MayRunElsewhere)
    // advance() stores the next number first if it must.
    setState(*Job, *TaskIndex, TaskState::Paused, Now);
  else
    startBackoff(Now, *Job, *TaskIndex);
  if (Report.m_Outcome == StoredRunEnd::NotRun)
    revokeStart(*Job);
}

void JobLedger::revokeStart(LedgerJob &Job) {
  bool MayRun = std::any_of(Job.m_Tasks.begin(), Job.m_Tasks.end(),
                            [](const LedgerTask &Task) {
                              return Task.m_State == TaskState::Running ||
                                     (mayBeAlive(Task) && Task.m_Runs > 0);
                            });
  Job.m_HasStarted = Job.m_HasRun || MayRun;
}

void JobLedger::startBackoff(TimePoint Now, LedgerJob &Job,
                             std::uint32_t TaskIndex) {
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  double BackoffMs =
      std::min(m_Parameters.m_RefusalPauseMs * std::exp2(Task.m_Refusals),
               m_Parameters.m_MaxRefusalPauseMs);
  ++Task.m_Refusals;
  setState(Job, TaskIndex, TaskState::Paused, addMs(Now, BackoffMs));
}

void JobLedger::runReported(TimePoint Now, const std::string &Owner,
                            const TaskRef &Ref, std::uint32_t Number) {
  LedgerJob *Job = find(Ref.m_Job);
  auto TaskIndex = Job ? taskIndexOf(*Job, Ref) : std::nullopt;
  auto Refuse = [&] {
    m_Effects.emplace_back(LedgerStopRun{Owner, Ref, Number});
  };
  if (!TaskIndex || !mayRun(*Job, *TaskIndex)) {
    Refuse();
    return;
  }
  auto &Task = Job->m_Tasks[*TaskIndex];
  if (Task.m_State == TaskState::Running && Task.m_Number == Number) {
    if (Task.m_Owner == Owner)
      Task.m_ReportedAt = Now;
    return;
  }
  bool IsAwaited = Task.m_State == TaskState::InDoubt ||
                   Task.m_State == TaskState::Reserving;
  if (!IsAwaited || Task.m_Number > Number) {
    Refuse();
    return;
  }
  Task.m_Owner = Owner;
  Task.m_Number = Number;
  Task.m_Reached = std::max(Task.m_Reached, Number);
  Task.m_ReportedAt = Now;
  setHasRun(*Job);
  setState(*Job, *TaskIndex, TaskState::Running);
}

std::map<std::string, std::vector<StoredRun>> JobLedger::runsByOwner() const {
  std::map<std::string, std::vector<StoredRun>> Result;
  for (const auto &[Id, Job] : m_Jobs)
    for (std::uint32_t TaskIndex = 0; TaskIndex < Job->m_Tasks.size();
         ++TaskIndex)
      if (const LedgerTask &Task = Job->m_Tasks[TaskIndex];
          Task.m_State == TaskState::Running)
        Result[Task.m_Owner].push_back(
            {taskRefOf(*Job, TaskIndex), Task.m_Number});
  return Result;
}

std::set<std::string> JobLedger::ownersToQuery(TimePoint Now) const {
  TimePoint Before = addMs(Now, -m_Parameters.m_UnreportedRunMs);
  std::set<std::string> Owners;
  for (const auto &[Id, Job] : m_Jobs)
    for (const LedgerTask &Task : Job->m_Tasks)
      if (Task.m_State == TaskState::Running && Task.m_ReportedAt <= Before)
        Owners.insert(Task.m_Owner);
  return Owners;
}

void JobLedger::runsReported(TimePoint Now, TimePoint QueriedAt,
                             const std::string &Owner) {
  TimePoint Until = addMs(Now, m_Parameters.m_OwnerDoubtMs);
  for (auto &[Id, Job] : m_Jobs)
    for (std::uint32_t TaskIndex = 0; TaskIndex < Job->m_Tasks.size();
         ++TaskIndex) {
      const LedgerTask &Task = Job->m_Tasks[TaskIndex];
      if (Task.m_State == TaskState::Running && Task.m_Owner == Owner &&
          Task.m_ReportedAt < QueriedAt)
        setState(*Job, TaskIndex, TaskState::InDoubt, Until);
    }
}

void JobLedger::ownerLost(TimePoint Now, const std::string &Owner) {
  runsReported(Now, TimePoint::max(), Owner);
}

} // namespace auburnhub
