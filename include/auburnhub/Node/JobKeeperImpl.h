#ifndef AUBURNHUB_NODE_JOBKEEPERIMPL_H
#define AUBURNHUB_NODE_JOBKEEPERIMPL_H

#include "auburnhub/Node/JobKeeper.h"

#include <algorithm>
#include <utility>

namespace auburnhub {

template <JobLog Log>
JobKeeper<Log>::JobKeeper(EventLoop &Loop, Log &Records, StateChart Chart,
                          const JobKeeperSettings &Settings, OwnerTable &Owners,
                          LedgerPartitionEffects Effects)
    : m_Loop(Loop), m_Records(Records), m_Chart(std::move(Chart)),
      m_Settings(Settings), m_Owners(Owners), m_Effects(std::move(Effects)) {}

template <JobLog Log> void JobKeeper<Log>::activate(bool IsPublished) {
  if (m_Active || m_Draining)
    return;
  m_Active = true;
  m_Log.info("jobs_are_stored", {{"noted", IsPublished}});
  m_TickTimer = m_Loop.every(
      EventLoop::Duration(static_cast<int>(m_Settings.m_TickIntervalMs)),
      [this] { tick(); });
  if (IsPublished)
    join();
  else
    recordInUse();
}

template <JobLog Log> void JobKeeper<Log>::recordInUse() {
  m_Records.markInUse([this](const absl::Status &Status) {
    if (Status.ok()) {
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
  m_Records.join(
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
  double DelayMs = m_Settings.m_JoinIntervalMs;
  if (Membership.ok()) {
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
          return std::find(Membership->m_Parts.begin(),
                           Membership->m_Parts.end(),
                           Entry.first) == Membership->m_Parts.end();
        });
    applyMembership(*Membership);
    // The group assigns revoked partitions to another member only after this
    // member's next join, so join again at once.
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
  m_Records.leave([this](const absl::Status &Status) {
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
                                    {"parts", Membership.m_Parts}});
  m_Generation = Membership.m_Generation;
  std::vector<std::uint32_t> Revoked;
  for (const auto &[Part, Ledger] : m_Partitions)
    if (std::find(Membership.m_Parts.begin(), Membership.m_Parts.end(), Part) ==
        Membership.m_Parts.end())
      Revoked.push_back(Part);
  for (std::uint32_t Part : Revoked)
    closePartition(Part);
  for (std::uint32_t Part : Membership.m_Parts)
    if (!m_Partitions.contains(Part))
      open(Part, Membership.m_Generation);
}

template <JobLog Log>
bool JobKeeper<Log>::isMembershipCurrent(TimePoint Now) const {
  return millisecondsBetween(m_ConfirmedAt, Now) <
         m_Settings.m_MembershipTimeoutMs;
}

// Partitions.

template <JobLog Log>
void JobKeeper<Log>::open(std::uint32_t Part, LedgerEpoch Epoch) {
  auto &Added = m_Partitions[Part];
  Added = std::make_unique<Partition>(
      m_Loop, m_Records, m_Chart, m_Settings.m_Partition,
      LedgerClaim{Part, Epoch}, m_Owners, m_Effects);
  Added->begin();
}

template <JobLog Log> void JobKeeper<Log>::closePartition(std::uint32_t Part) {
  auto Extracted = m_Partitions.extract(Part);
  if (Extracted.empty())
    return;
  Extracted.mapped()->close();
  m_Closing.push_back(std::move(Extracted.mapped()));
}

template <JobLog Log> void JobKeeper<Log>::closeAll() {
  while (!m_Partitions.empty())
    closePartition(m_Partitions.begin()->first);
}

template <JobLog Log> void JobKeeper<Log>::removeClosed() {
  std::erase_if(m_Closing,
                [](const auto &Ledger) { return Ledger->isDrained(); });
  // A partition that another node has fenced off is opened again if the group
  // assigns it to this node under a higher generation.
  std::erase_if(m_Partitions,
                [](const auto &Entry) { return Entry.second->isDrained(); });
}

template <JobLog Log> void JobKeeper<Log>::tick() {
  TimePoint Now = EventLoop::now();
  bool IsCurrent = isMembershipCurrent(Now);
  if (!IsCurrent && !m_Partitions.empty()) {
    m_Log.warning("partitions_given_up", {{"generation", m_Generation},
                                          {"parts", m_Partitions.size()}});
    closeAll();
    m_ReleasedGeneration = m_Generation;
  }
  for (const auto &[Part, Ledger] : m_Partitions)
    Ledger->advance(IsCurrent);
  removeClosed();
}

template <JobLog Log> void JobKeeper<Log>::startReadyTasks() {
  bool IsCurrent = isMembershipCurrent(EventLoop::now());
  for (const auto &[Part, Ledger] : m_Partitions)
    if (Ledger->ledger().readyTasks() > 0)
      Ledger->advance(IsCurrent);
}

template <JobLog Log> void JobKeeper<Log>::drain() {
  if (std::exchange(m_Draining, true) || !m_Active)
    return;
  m_JoinTimer.reset();
  m_RecordTimer.reset();
  closeAll();
  m_Records.leave([this](const absl::Status &Status) {
    if (!Status.ok())
      m_Log.warning("leave_failed", {{"detail", failureDetail(Status)}});
  });
}

// Messages.

template <JobLog Log>
void JobKeeper<Log>::onCall(const std::string &From, const LedgerCall &Msg) {
  for (const auto &[Part, Ledger] : m_Partitions)
    if (Part == Msg.m_PartitionId) {
      Ledger->onCall(From, Msg);
      return;
    }
  m_Effects.m_Send(From,
                   LedgerCallAnswer{Msg.m_Call, LedgerCallOutcome::NotKeeper,
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
  for (const auto &[Part, Ledger] : m_Partitions)
    if (Ledger->isServing())
      m_Effects.m_Send(Node, LedgerOpened{Ledger->claim()});
}

template <JobLog Log> void JobKeeper<Log>::nodeLost(const std::string &Node) {
  for (const auto &[Part, Ledger] : m_Partitions)
    Ledger->ownerLost(Node);
}

template <JobLog Log>
std::vector<LedgerStatus> JobKeeper<Log>::statuses() const {
  std::vector<LedgerStatus> Result;
  for (const auto &[Part, Ledger] : m_Partitions)
    if (Ledger->isServing())
      Result.push_back({Ledger->claim(), Ledger->pending()});
  return Result;
}

} // namespace auburnhub

#endif
