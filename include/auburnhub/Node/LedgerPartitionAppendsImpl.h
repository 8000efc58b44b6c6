#ifndef AUBURNHUB_NODE_LEDGERPARTITIONAPPENDSIMPL_H
#define AUBURNHUB_NODE_LEDGERPARTITIONAPPENDSIMPL_H

#include "auburnhub/Node/LedgerPartitionImpl.h"

#include <cmath>
#include <utility>

/// \file
/// The part of LedgerPartition that appends records to the log.

namespace auburnhub {

template <JobLog Log> bool LedgerPartition<Log>::isAppendDue(TimePoint Now) {
  if (!isServing() || m_AppendInFlight || !m_Ledger.hasRecords() ||
      Now < m_AppendNotBefore)
    return false;
  if (m_Ledger.hasUrgentRecords())
    return true;
  if (!m_OldestUnsentAt)
    m_OldestUnsentAt = Now;
  double RemainingMs =
      m_Settings.m_LingerMs - millisecondsBetween(*m_OldestUnsentAt, Now);
  if (RemainingMs <= 0)
    return true;
  m_LingerTimer =
      m_Loop.once(EventLoop::Duration(static_cast<int>(RemainingMs) + 1),
                  [this] { append(); });
  return false;
}

template <JobLog Log> void LedgerPartition<Log>::append() {
  TimePoint Now = EventLoop::now();
  if (!isAppendDue(Now))
    return;
  m_LingerTimer.reset();
  m_OldestUnsentAt.reset();
  m_Batch = m_Ledger.takeBatch();
  ++m_Sequence;
  m_BatchTakenAt = Now;
  m_MayBeApplied = false;
  m_AppendInFlight = true;
  sendBatch();
}

template <JobLog Log> void LedgerPartition<Log>::sendBatch() {
  std::weak_ptr<LedgerPartition *> Weak = m_Self;
  m_StoredJobLog.append(m_Claim.m_PartitionId, m_Claim.m_Epoch, m_Sequence,
                        m_Batch, [Weak](const absl::Status &Status) {
                          if (auto Self = Weak.lock())
                            (*Self)->onAppended(Status);
                        });
}

template <JobLog Log>
void LedgerPartition<Log>::onAppended(const absl::Status &Status) {
  TimePoint Now = EventLoop::now();
  if (Status.ok()) {
    m_AppendInFlight = false;
    m_Ledger.appendSucceeded(Now);
    if (isServing())
      advance();
    else
      applyEffects();
    return;
  }
  if (absl::IsFailedPrecondition(Status)) {
    // Earlier attempts to append the batch may have been applied before another
    // writer fenced off this partition.
    auto Outcome = m_MayBeApplied ? LedgerCallOutcome::Unknown
                                  : LedgerCallOutcome::NotKeeper;
    m_AppendInFlight = false;
    for (const auto &[Id, To] : std::exchange(m_Callers, {}))
      answer(To, Outcome);
    onLogFailure(Status);
    return;
  }
  if (absl::IsInvalidArgument(Status)) {
    onRejected(Status);
    return;
  }
  m_MayBeApplied = m_MayBeApplied || !absl::IsUnavailable(Status);
  double WaitedMs = millisecondsBetween(m_BatchTakenAt, Now);
  if (!m_MayBeApplied &&
      (WaitedMs > m_Settings.m_RefuseAfterMs || !isServing())) {
    m_Log.warning("ledger_append_refused", {{"part", m_Claim.m_PartitionId},
                                            {"records", m_Batch.size()},
                                            {"waited_ms", std::round(WaitedMs)},
                                            {"detail", failureDetail(Status)}});
    m_AppendInFlight = false;
    --m_Sequence;
    m_AppendNotBefore = addMs(Now, m_Settings.m_RetryDelayMs);
    m_Ledger.appendRefused();
    applyEffects();
    return;
  }
  if (WaitedMs > m_Settings.m_RefuseAfterMs) {
    m_Ledger.refuseUnappendedJobs();
    applyEffects();
  }
  m_RetryTimer = m_Loop.once(
      EventLoop::Duration(static_cast<int>(m_Settings.m_RetryDelayMs)),
      [this] { sendBatch(); });
}

template <JobLog Log>
void LedgerPartition<Log>::onRejected(const absl::Status &Status) {
  m_Log.error("ledger_append_rejected",
              {{"part", m_Claim.m_PartitionId},
               {"records", m_Batch.size()},
               {"key", m_Batch.empty() ? "" : m_Batch.front().m_Key},
               {"detail", failureDetail(Status)}});
  m_AppendInFlight = false;
  --m_Sequence;
  if (!isServing()) {
    m_Ledger.appendRefused();
    applyEffects();
    return;
  }
  m_Ledger.appendRejected(EventLoop::now());
  advance();
}

} // namespace auburnhub

#endif
