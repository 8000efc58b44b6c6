#ifndef AUBURNHUB_NODE_JOBKEEPERIMPL_H
#define AUBURNHUB_NODE_JOBKEEPERIMPL_H

#include "auburnhub/Node/JobKeeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {

template <JobLog Log>
JobKeeper<Log>::JobKeeper(EventLoop &Loop, Log &StoredJobLog, StateChart Chart,
                          const JobKeeperSettings &Settings, OwnerTable &Owners,
                          LedgerPartitionEffects Effects)
    : m_Loop(Loop), m_StoredJobLog(StoredJobLog), m_Chart(std::move(Chart)),
      m_Settings(Settings), m_Owners(Owners), m_Effects(std::move(Effects)) {
  m_Effects.m_MayStart = [this] {
    return isMembershipCurrent(EventLoop::now());
  };
  m_Effects.m_ConfirmedAt = [this] { return m_ConfirmedAt; };
}

template <JobLog Log> void JobKeeper<Log>::activate(bool IsPublished) {
  m_IsPublished = m_IsPublished || IsPublished;
  if (std::exchange(m_Active, true))
    return;
  m_Log.info("jobs_are_stored", {{"noted", IsPublished}});
  m_TickTimer = m_Loop.every(
      EventLoop::Duration(static_cast<int>(m_Settings.m_TickIntervalMs)),
      [this] { tick(); });
  if (m_IsPublished)
    join();
  else
    recordInUse();
}

template <JobLog Log> void JobKeeper<Log>::recordInUse() {
  m_StoredJobLog.markInUse([this](const absl::Status &Status) {
    if (Status.ok()) {
      m_IsPublished = true;
      m_Effects.m_OnPhaseChanged();
      join();
      return;
    }
    m_Log.warning("note_failed", {{"detail", failureDetail(Status)}});
    m_RecordTimer = m_Loop.once(
        EventLoop::Duration(static_cast<int>(m_Settings.m_JoinIntervalMs)),
        [this] { recordInUse(); });
  });
}

// Membership.

template <JobLog Log> void JobKeeper<Log>::join() {
  if (m_Draining)
    return;
  m_JoinTimer.reset();
  TimePoint SentAt = EventLoop::now();
  m_StoredJobLog.join(
      m_Generation,
      [this, SentAt](const absl::StatusOr<JobLogMembership> &Membership) {
        onJoined(SentAt, Membership);
      });
}

template <JobLog Log>
void JobKeeper<Log>::onJoined(
    TimePoint SentAt, const absl::StatusOr<JobLogMembership> &Membership) {
  if (m_Draining)
    return;
  // Counted from the call, so that a late answer does not delay the next one.
  double TookMs = millisecondsBetween(SentAt, EventLoop::now());
  double DelayMs = std::max(0.0, m_Settings.m_JoinIntervalMs - TookMs);
  if (Membership.ok() && TookMs >= m_Settings.m_MembershipTimeoutMs) {
    // The membership may be over again.
    m_Log.info("membership_answer_late",
               {{"generation", Membership->m_Generation},
                {"took_ms", std::round(TookMs)}});
  } else if (Membership.ok()) {
    if (std::exchange(m_JoinFailed, false))
      m_Log.info("membership_regained",
                 {{"generation", Membership->m_Generation}});
    m_ConfirmedAt = SentAt;
    if (m_ReleasedGeneration == Membership->m_Generation) {
      rejoin();
      return;
    }
    m_ReleasedGeneration.reset();
    bool HasRevoked = std::any_of(
        m_Partitions.begin(), m_Partitions.end(), [&](const auto &Entry) {
          return std::find(Membership->m_PartitionIds.begin(),
                           Membership->m_PartitionIds.end(),
                           Entry.first) == Membership->m_PartitionIds.end();
        });
    applyMembership(*Membership);
    for (const auto &[PartitionId, KeptPartition] : m_Partitions)
      KeptPartition->confirmRuns();
    // This member's next join confirms that it has released the revoked
    // partitions; only then are they assigned to others. Joins again at once.
    if (HasRevoked)
      DelayMs = 0;
  } else if (!std::exchange(m_JoinFailed, true)) {
    m_Log.warning("membership_not_confirmed",
                  {{"generation", m_Generation},
                   {"detail", failureDetail(Membership.status())}});
  }
  m_JoinTimer = m_Loop.once(EventLoop::Duration(static_cast<int>(DelayMs)),
                            [this] { join(); });
}

template <JobLog Log> void JobKeeper<Log>::rejoin() {
  m_Log.info("joining_anew", {{"generation", m_Generation}});
  m_Generation = 0;
  m_StoredJobLog.leave([this](const absl::Status &Status) {
    if (!Status.ok())
      m_Log.warning("leave_failed", {{"detail", failureDetail(Status)}});
    m_JoinTimer = m_Loop.once(
        EventLoop::Duration(static_cast<int>(m_Settings.m_JoinIntervalMs)),
        [this] { join(); });
  });
}

template <JobLog Log>
void JobKeeper<Log>::applyMembership(const JobLogMembership &Membership) {
  if (Membership.m_Generation != m_Generation)
    m_Log.info("partitions_given", {{"generation", Membership.m_Generation},
                                    {"parts", Membership.m_PartitionIds}});
  m_Generation = Membership.m_Generation;
  std::vector<std::uint32_t> Revoked;
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    if (std::find(Membership.m_PartitionIds.begin(),
                  Membership.m_PartitionIds.end(),
                  PartitionId) == Membership.m_PartitionIds.end())
      Revoked.push_back(PartitionId);
  for (std::uint32_t PartitionId : Revoked)
    closePartition(PartitionId);
  for (std::uint32_t PartitionId : Membership.m_PartitionIds)
    if (!m_Partitions.contains(PartitionId))
      open(PartitionId, Membership.m_Generation);
}

template <JobLog Log>
bool JobKeeper<Log>::isMembershipCurrent(TimePoint Now) const {
  return millisecondsBetween(m_ConfirmedAt, Now) <
         m_Settings.m_MembershipTimeoutMs;
}

// Partitions.

template <JobLog Log>
void JobKeeper<Log>::open(std::uint32_t PartitionId, LedgerEpoch Epoch) {
  auto &NewPartition = m_Partitions[PartitionId];
  NewPartition = std::make_unique<Partition>(
      m_Loop, m_StoredJobLog, m_Chart, m_Settings.m_Partition,
      LedgerClaim{PartitionId, Epoch}, m_Owners, m_Effects);
  NewPartition->begin();
}

template <JobLog Log>
void JobKeeper<Log>::closePartition(std::uint32_t PartitionId) {
  auto Entry = m_Partitions.extract(PartitionId);
  if (Entry.empty())
    return;
  Entry.mapped()->close();
  m_ClosingPartitions.push_back(std::move(Entry.mapped()));
}

template <JobLog Log> void JobKeeper<Log>::closeAll() {
  while (!m_Partitions.empty())
    closePartition(m_Partitions.begin()->first);
}

template <JobLog Log> void JobKeeper<Log>::removeClosed() {
  std::erase_if(m_ClosingPartitions, [](const auto &ClosedPartition) {
    return ClosedPartition->isDrained();
  });
  // A partition that another node has fenced off is opened again if the group
  // assigns it to this node under a higher generation.
  std::erase_if(m_Partitions,
                [](const auto &Entry) { return Entry.second->isDrained(); });
}

template <JobLog Log> void JobKeeper<Log>::tick() {
  if (!isMembershipCurrent(EventLoop::now()) && !m_Partitions.empty()) {
    m_Log.warning("partitions_given_up", {{"generation", m_Generation},
                                          {"parts", m_Partitions.size()}});
    closeAll();
    m_ReleasedGeneration = m_Generation;
  }
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    KeptPartition->advance();
  removeClosed();
}

template <JobLog Log> void JobKeeper<Log>::startReadyTasks() {
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    if (KeptPartition->ledger().readyTasks() > 0)
      KeptPartition->advance();
}

template <JobLog Log> void JobKeeper<Log>::drain() {
  if (std::exchange(m_Draining, true) || !m_Active)
    return;
  m_JoinTimer.reset();
  m_RecordTimer.reset();
  closeAll();
  m_StoredJobLog.leave([this](const absl::Status &Status) {
    if (!Status.ok())
      m_Log.warning("leave_failed", {{"detail", failureDetail(Status)}});
  });
}

// Messages.

template <JobLog Log>
void JobKeeper<Log>::onCall(const std::string &From, const LedgerCall &Msg) {
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    if (PartitionId == Msg.m_PartitionId) {
      KeptPartition->onCall(From, Msg);
      return;
    }
  m_Effects.m_Send(From, LedgerCallAnswer{Msg.m_Call, Msg.m_Id,
                                          LedgerCallOutcome::NotKeeper,
                                          StoredJobState::Queued});
}

template <JobLog Log>
void JobKeeper<Log>::onReport(const std::string &From,
                              const StoredTaskReport &Msg) {
  auto Found = m_Partitions.find(Msg.m_PartitionId);
  if (Found != m_Partitions.end())
    Found->second->onReport(From, Msg);
}

template <JobLog Log>
void JobKeeper<Log>::onRuns(const std::string &From, const LedgerRuns &Msg) {
  auto Found = m_Partitions.find(Msg.m_Claim.m_PartitionId);
  if (Found != m_Partitions.end())
    Found->second->onRuns(From, Msg);
}

template <JobLog Log> void JobKeeper<Log>::nodeUp(const std::string &Node) {
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    if (KeptPartition->isServing())
      m_Effects.m_Send(Node, LedgerOpened{KeptPartition->claim()});
}

template <JobLog Log> void JobKeeper<Log>::nodeLost(const std::string &Node) {
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    KeptPartition->ownerLost(Node);
}

template <JobLog Log>
void JobKeeper<Log>::workerSeen(const WorkerIncarnation &Seen) {
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    KeptPartition->workerSeen(Seen);
}

template <JobLog Log>
std::vector<LedgerStatus> JobKeeper<Log>::statuses() const {
  std::vector<LedgerStatus> Result;
  for (const auto &[PartitionId, KeptPartition] : m_Partitions)
    if (KeptPartition->isServing())
      Result.push_back({KeptPartition->claim(), KeptPartition->pending()});
  return Result;
}

} // namespace auburnhub

#endif
