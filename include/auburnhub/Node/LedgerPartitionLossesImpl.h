#ifndef AUBURNHUB_NODE_LEDGERPARTITIONLOSSESIMPL_H
#define AUBURNHUB_NODE_LEDGERPARTITIONLOSSESIMPL_H

#include "auburnhub/Node/LedgerPartitionImpl.h"

#include <cmath>
#include <utility>

/// \file
/// The part of LedgerPartition that handles runs which are lost together with
/// their worker.

namespace auburnhub {

template <JobLog Log>
void LedgerPartition<Log>::workerSeen(const WorkerIncarnation &Seen) {
  if (!isServing())
    return;
  m_Ledger.workerSeen(EventLoop::now(), Seen);
  applyEffects();
  append();
}

template <JobLog Log>
void LedgerPartition<Log>::passRegisteredWorkers(
    std::optional<std::string_view> Address) {
  for (const WorkerIncarnation &Seen : m_Effects.m_Workers())
    if (!Address || Seen.m_Address == *Address)
      m_Ledger.workerSeen(EventLoop::now(), Seen);
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerCrashConfirmed &Effect) {
  m_Log.warning("worker_crashed_under_task",
                {{"task", Effect.m_Task.str()},
                 {"run", Effect.m_Run.m_Number},
                 {"worker", Effect.m_Run.m_On.m_Worker},
                 {"address", Effect.m_Run.m_On.m_Address},
                 {"incarnation", Effect.m_Run.m_On.m_StartMs},
                 {"next_worker", Effect.m_Successor.m_Worker},
                 {"next_incarnation", Effect.m_Successor.m_StartMs},
                 {"epoch", m_Claim.m_Epoch}});
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerTaskHeld &Effect) {
  m_Log.warning("stored_task_held", {{"task", Effect.m_Task.str()},
                                     {"reason", "workers were lost under it"},
                                     {"lost_runs", Effect.m_Count.m_Losses},
                                     {"crashes", Effect.m_Count.m_Crashes},
                                     {"for_ms", std::round(Effect.m_HeldForMs)},
                                     {"epoch", m_Claim.m_Epoch}});
}

} // namespace auburnhub

#endif
