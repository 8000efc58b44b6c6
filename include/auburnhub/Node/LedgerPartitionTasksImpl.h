#ifndef AUBURNHUB_NODE_LEDGERPARTITIONTASKSIMPL_H
#define AUBURNHUB_NODE_LEDGERPARTITIONTASKSIMPL_H

#include "auburnhub/Node/LedgerPartitionImpl.h"

#include <algorithm>
#include <cmath>
#include <utility>

/// \file
/// The part of LedgerPartition that gives tasks to owners.

namespace auburnhub {

template <JobLog Log>
std::optional<std::string>
LedgerPartition<Log>::chooseOwner(const TaskRef &Task,
                                  std::int64_t CpuMillis) const {
  return m_Owners.chooseForTask(CpuMillis, m_RefusedOwners.of(Task));
}

template <JobLog Log>
bool LedgerPartition<Log>::noteRefusal(TimePoint Now, const std::string &From,
                                       const StoredTaskReport &Msg) {
  const TaskRef &Task = Msg.m_Run.m_Task;
  if (Msg.m_EndKind != StoredRunEnd::NotRun) {
    m_RefusedOwners.erase(Task);
    return false;
  }
  if (!isOwnersRefusal(Msg.m_Reason))
    return false;
  m_RefusedOwners.add(Now, Task, From, Msg.m_Reason);
  if (chooseOwner(Task, m_Ledger.cpuMillisOf(Task)) ||
      m_RefusedOwners.planLastResort(Task))
    return true;
  // The next round begins after the task's backoff.
  m_Log.info("stored_task_refused",
             {{"task", Task.str()},
              {"owners", m_RefusedOwners.of(Task).size()},
              {"reason", jobReasonName(Msg.m_Reason)},
              {"epoch", m_Claim.m_Epoch}});
  m_RefusedOwners.erase(Task);
  return false;
}

template <JobLog Log> void LedgerPartition<Log>::assignTasks(TimePoint Now) {
  m_RefusedOwners.eraseOld(Now);
  std::int64_t MaxCpuMillis = JobLedger::AnyCpu;
  while (auto Task = m_Ledger.nextTask(Now, MaxCpuMillis)) {
    std::int64_t CpuMillis = Task->m_Step.m_TaskResources.m_CpuMillis;
    std::string LastResort = m_RefusedOwners.takeLastResort(Task->task());
    Task->m_MayBeEjected = m_Owners.contains(LastResort);
    auto Owner = Task->m_MayBeEjected ? std::optional(LastResort)
                                      : chooseOwner(Task->task(), CpuMillis);
    if (!Owner && !m_RefusedOwners.of(Task->task()).empty()) {
      // The other owners have no room any more: a new round begins.
      m_RefusedOwners.erase(Task->task());
      Owner = chooseOwner(Task->task(), CpuMillis);
    }
    if (Owner) {
      giveTask(Now, *Owner, *std::move(Task));
      continue;
    }
    logWaiting(Now, *Task);
    // Smaller tasks may still have room.
    MaxCpuMillis = std::min(CpuMillis - 1, m_Owners.largestFreeCpu());
  }
}

template <JobLog Log>
void LedgerPartition<Log>::giveTask(TimePoint Now, const std::string &Owner,
                                    StoredTask Task) {
  m_Log.info("stored_task_given",
             {{"task", Task.task().str()},
              {"run", Task.m_Number},
              {"owner", Owner},
              {"room", m_Owners.at(Owner).freeCapacity()},
              {"free_cpu", m_Owners.at(Owner).m_LargestFreeCpu},
              {"epoch", m_Claim.m_Epoch},
              {"lost_runs", Task.m_LostRuns},
              {"any_health", Task.m_MayBeEjected},
              {"age_ms", std::round(Task.m_AgeMs)}});
  m_Owners.addSentTask(Owner, Task.m_Step.m_TaskResources.m_CpuMillis);
  m_Ledger.taskStarted(Now, Task.task(), Owner);
  double ConfirmedAtMs = m_Effects.m_ClockOf(Owner, m_Effects.m_ConfirmedAt());
  m_Effects.m_Send(Owner,
                   RunStoredTask{m_Claim, std::move(Task), ConfirmedAtMs});
}

template <JobLog Log>
void LedgerPartition<Log>::logWaiting(TimePoint Now, const StoredTask &Next) {
  if (millisecondsBetween(m_WaitingLoggedAt, Now) <
      m_Settings.m_WaitingLogIntervalMs)
    return;
  m_WaitingLoggedAt = Now;
  m_Log.info("stored_tasks_wait",
             {{"part", m_Claim.m_PartitionId},
              {"ready", m_Ledger.readyTasks()},
              {"task", Next.task().str()},
              {"cpu", Next.m_Step.m_TaskResources.m_CpuMillis},
              {"age_ms", std::round(Next.m_AgeMs)},
              {"owners", m_Owners.size()},
              {"largest_free_cpu", m_Owners.largestFreeCpu()},
              {"epoch", m_Claim.m_Epoch}});
}

} // namespace auburnhub

#endif
