#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>
#include <cmath>

/// \file
/// The part of JobLedger that counts the runs which end with their worker and
/// delays tasks that crash their workers.

namespace auburnhub {

LossCount JobLedger::countLosses(const LedgerJob &Job,
                                 std::uint32_t TaskIndex) {
  LossCount Result;
  for (const LostRun &Run : Job.m_Progress.m_Lost) {
    if (Run.m_Task != TaskIndex)
      continue;
    ++Result.m_Losses;
    Result.m_Crashes += Run.m_HasCrashed ? 1 : 0;
  }
  return Result;
}

LostRun *JobLedger::findLostRun(LedgerJob &Job, std::uint32_t TaskIndex,
                                std::uint32_t Number) {
  auto &Lost = Job.m_Progress.m_Lost;
  auto Found = std::find_if(Lost.begin(), Lost.end(), [&](const LostRun &Run) {
    return Run.m_Task == TaskIndex && Run.m_Number == Number;
  });
  return Found == Lost.end() ? nullptr : &*Found;
}

const LostRun *JobLedger::lastLostRun(const LedgerJob &Job,
                                      std::uint32_t TaskIndex) {
  const auto &Lost = Job.m_Progress.m_Lost;
  auto Found =
      std::find_if(Lost.rbegin(), Lost.rend(), [TaskIndex](const LostRun &Run) {
        return Run.m_Task == TaskIndex;
      });
  return Found == Lost.rend() ? nullptr : &*Found;
}

bool JobLedger::isEvidenceOfCrash(const LostRun &Run,
                                  const WorkerIncarnation &Seen) const {
  auto LatestStartMs = Run.m_ReportedAtMs +
                       static_cast<std::int64_t>(m_Parameters.m_MaxRestartMs);
  return Seen.isSuccessorOf(Run.m_On) && Seen.m_StartMs <= LatestStartMs;
}

double JobLedger::lossPauseMs(const LedgerJob &Job,
                              std::uint32_t TaskIndex) const {
  LossCount Count = countLosses(Job, TaskIndex);
  const LostRun *Last = lastLostRun(Job, TaskIndex);
  if (!Last)
    return 0;
  auto Growing = [this](double FirstMs, std::uint32_t Doublings) {
    return std::min(FirstMs * std::exp2(Doublings),
                    m_Parameters.m_MaxLossPauseMs);
  };
  if (Last->m_HasCrashed)
    return Count.m_Crashes < 2
               ? 0
               : Growing(m_Parameters.m_CrashPauseMs, Count.m_Crashes - 2);
  // If the incarnation is unknown, no evidence can follow. The wait then only
  // keeps a task from being lost in each wave of crashes.
  std::uint32_t MinLosses = Last->m_On.m_StartMs == 0 ? 3 : 2;
  return Count.m_Losses < MinLosses
             ? 0
             : Growing(m_Parameters.m_CrashVerdictMs, Count.m_Losses - 2);
}

void JobLedger::forgetLostRun(LedgerJob &Job,
                              std::vector<LostRun>::iterator Run) {
  m_UnconfirmedLosses.erase({Run->m_On.m_Address, Job.m_Record.m_Job.m_Id,
                             Run->m_Task, Run->m_Number});
  Job.m_Progress.m_Lost.erase(Run);
}

void JobLedger::addLostRun(LedgerJob &Job, const LostRun &Run) {
  auto &Lost = Job.m_Progress.m_Lost;
  auto ForgetOldest = [&](std::vector<LostRun>::iterator Oldest) {
    LedgerTask &Task = Job.m_Tasks[Oldest->m_Task];
    Task.m_Reached = std::max(Task.m_Reached, Oldest->m_Number + 1);
    recordReached(Job, Oldest->m_Task);
    forgetLostRun(Job, Oldest);
  };
  if (countLosses(Job, Run.m_Task).m_Losses >= m_Parameters.m_MaxLostRunsOfTask)
    ForgetOldest(
        std::find_if(Lost.begin(), Lost.end(), [&Run](const LostRun &Other) {
          return Other.m_Task == Run.m_Task;
        }));
  if (Lost.size() >= m_Parameters.m_MaxLostRunsOfJob)
    ForgetOldest(Lost.begin());
  Lost.push_back(Run);
  m_UnconfirmedLosses.emplace(Run.m_On.m_Address, Job.m_Record.m_Job.m_Id,
                              Run.m_Task, Run.m_Number);
}

void JobLedger::handleLost(TimePoint Now, std::int64_t WallMs, LedgerJob &Job,
                           std::uint32_t TaskIndex, const ReportedEnd &End,
                           const WorkerIncarnation &On) {
  ReportedEnd Lost = End;
  // The worker has nothing to retain of a run that was lost with it.
  Lost.m_Superseded = false;
  recordEnd(Job, Lost);
  m_NextBatch.m_Urgent = true;
  const auto &Done = Job.m_Progress.m_Done;
  bool IsDone = std::find(Done.begin(), Done.end(), TaskIndex) != Done.end();
  if (IsDone || findLostRun(Job, TaskIndex, End.m_Number))
    return;
  addLostRun(Job,
             {TaskIndex, End.m_Number, On, WallMs, /*m_HasCrashed=*/false});
  setHasRun(Job);
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  Task.m_AvoidedWorkers.push_back(On.m_Worker);
  if (mayBeAlive(Task) && Task.m_Number == End.m_Number)
    setState(Job, TaskIndex, TaskState::Ending);
  else
    extendWait(Now, Job, TaskIndex);
}

void JobLedger::extendWait(TimePoint Now, LedgerJob &Job,
                           std::uint32_t TaskIndex) {
  const LedgerTask &Task = Job.m_Tasks[TaskIndex];
  double WaitMs = lossPauseMs(Job, TaskIndex);
  bool IsInDoubt = Task.m_State == TaskState::InDoubt ||
                   (Task.m_State == TaskState::Reserving && WaitMs > 0);
  if (IsInDoubt)
    setState(Job, TaskIndex, TaskState::InDoubt,
             std::max(Task.m_Until, addMs(Now, WaitMs)));
  bool IsWaiting = Task.m_State == TaskState::Ready ||
                   Task.m_State == TaskState::Paused ||
                   Task.m_State == TaskState::AwaitingVerdict;
  if (IsWaiting && WaitMs > 0)
    retryAfterLoss(Now, Job, TaskIndex);
}

void JobLedger::retryAfterLoss(TimePoint Now, LedgerJob &Job,
                               std::uint32_t TaskIndex) {
  double WaitMs = lossPauseMs(Job, TaskIndex);
  if (WaitMs == 0) {
    startBackoff(Now, Job, TaskIndex);
    return;
  }
  bool IsKnown = lastLostRun(Job, TaskIndex)->m_HasCrashed;
  setState(Job, TaskIndex,
           IsKnown ? TaskState::Paused : TaskState::AwaitingVerdict,
           addMs(Now, WaitMs));
  m_Effects.emplace_back(LedgerTaskHeld{taskRefOf(Job, TaskIndex),
                                        countLosses(Job, TaskIndex), WaitMs});
}

void JobLedger::workerSeen(TimePoint Now, const WorkerIncarnation &Seen) {
  auto First = m_UnconfirmedLosses.lower_bound({Seen.m_Address, "", 0, 0});
  auto Last =
      std::find_if(First, m_UnconfirmedLosses.end(), [&](const auto &Loss) {
        return std::get<0>(Loss) != Seen.m_Address;
      });
  // Copied, because confirmed losses are removed.
  const std::vector Losses(First, Last);
  for (const auto &Loss : Losses) {
    const auto &[Address, Id, TaskIndex, Number] = Loss;
    LedgerJob &Job = *m_Jobs.at(Id);
    LostRun *Run = findLostRun(Job, TaskIndex, Number);
    if (!Run || Job.m_Progress.isFinished() || !isEvidenceOfCrash(*Run, Seen))
      continue;
    m_UnconfirmedLosses.erase(Loss);
    Run->m_HasCrashed = true;
    m_NextBatch.m_Progress.insert(Id);
    m_Effects.emplace_back(
        LedgerCrashConfirmed{taskRefOf(Job, TaskIndex), *Run, Seen});
    bool IsAwaited =
        Job.m_Tasks[TaskIndex].m_State == TaskState::AwaitingVerdict &&
        lastLostRun(Job, TaskIndex)->m_Number == Number;
    if (IsAwaited)
      retryAfterLoss(Now, Job, TaskIndex);
  }
}

void JobLedger::eraseLostRuns(LedgerJob &Job, std::uint32_t TaskIndex) {
  std::erase_if(Job.m_Progress.m_Lost, [&](const LostRun &Run) {
    if (Run.m_Task != TaskIndex)
      return false;
    m_UnconfirmedLosses.erase({Run.m_On.m_Address, Job.m_Record.m_Job.m_Id,
                               Run.m_Task, Run.m_Number});
    return true;
  });
}

void JobLedger::stopAwaitingVerdicts(const LedgerJob &Job) {
  for (const LostRun &Run : Job.m_Progress.m_Lost)
    m_UnconfirmedLosses.erase({Run.m_On.m_Address, Job.m_Record.m_Job.m_Id,
                               Run.m_Task, Run.m_Number});
}

void JobLedger::restoreLostRuns(TimePoint Now, LedgerJob &Job) {
  if (Job.m_Progress.isFinished())
    return;
  std::erase_if(Job.m_Progress.m_Lost, [&](const LostRun &Run) {
    return Run.m_Task >= Job.m_Tasks.size();
  });
  for (const LostRun &Run : Job.m_Progress.m_Lost) {
    if (!Run.m_HasCrashed)
      m_UnconfirmedLosses.emplace(Run.m_On.m_Address, Job.m_Record.m_Job.m_Id,
                                  Run.m_Task, Run.m_Number);
    extendWait(Now, Job, Run.m_Task);
  }
}

} // namespace auburnhub
