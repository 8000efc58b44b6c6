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

template <JobLog Log> void JobKeeper<Log>::activate(bool IsNoted) {
  if (m_Active || m_Draining)
    return;
  m_Active = true;
  m_Log.info("jobs_are_stored", {{"noted", IsNoted}});
  m_Tick =
      m_Loop.every(EventLoop::Duration(static_cast<int>(m_Settings.m_TickMs)),
                   [this] { tick(); });
  if (IsNoted)
    join();
  else
    note();
}

template <JobLog Log> void JobKeeper<Log>::note() {
  m_Records.markInUse([this](const absl::Status &Status) {
    if (Status.ok()) {
      join();
      return;
    }
    m_Log.warning("note_failed", {{"detail", failureDetail(Status)}});
    m_NoteTimer =
        m_Loop.once(EventLoop::Duration(static_cast<int>(m_Settings.m_JoinMs)),
                    [this] { note(); });
  });
}

// Membership.

template <JobLog Log> void JobKeeper<Log>::join() {
  if (m_Draining)
    return;
  m_JoinTimer.reset();
  TimePoint SentAt = EventLoop::now();
  m_Records.join(m_Generation,
                 [this, SentAt](const absl::StatusOr<JobLogMembership> &Now) {
                   onJoined(SentAt, Now);
                 });
}

template <JobLog Log>
void JobKeeper<Log>::onJoined(TimePoint SentAt,
                              const absl::StatusOr<JobLogMembership> &Now) {
  if (m_Draining)
    return;
  double Pause = m_Settings.m_JoinMs;
  if (Now.ok()) {
    if (std::exchange(m_Lost, false))
      m_Log.info("membership_regained", {{"generation", Now->m_Generation}});
    m_Confirmed = SentAt;
    if (m_GivenUpUnder == Now->m_Generation) {
      rejoin();
      return;
    }
    m_GivenUpUnder.reset();
    bool GivesUp = std::any_of(
        m_Partitions.begin(), m_Partitions.end(), [&](const auto &Entry) {
          return std::find(Now->m_Parts.begin(), Now->m_Parts.end(),
                           Entry.first) == Now->m_Parts.end();
        });
    take(*Now);
    // The next member gets what this one gives up when it says so.
    if (GivesUp)
      Pause = 0;
  } else if (!std::exchange(m_Lost, true)) {
    m_Log.warning("membership_not_confirmed",
                  {{"generation", m_Generation},
                   {"detail", failureDetail(Now.status())}});
  }
  m_JoinTimer = m_Loop.once(EventLoop::Duration(static_cast<int>(Pause)),
                            [this] { join(); });
}

template <JobLog Log> void JobKeeper<Log>::rejoin() {
  m_Log.info("joining_anew", {{"generation", m_Generation}});
  m_Generation = 0;
  m_Records.leave([this](const absl::Status &Status) {
    if (!Status.ok())
      m_Log.warning("leave_failed", {{"detail", failureDetail(Status)}});
    m_JoinTimer =
        m_Loop.once(EventLoop::Duration(static_cast<int>(m_Settings.m_JoinMs)),
                    [this] { join(); });
  });
}

template <JobLog Log> void JobKeeper<Log>::take(const JobLogMembership &Given) {
  if (Given.m_Generation != m_Generation)
    m_Log.info("partitions_given",
               {{"generation", Given.m_Generation}, {"parts", Given.m_Parts}});
  m_Generation = Given.m_Generation;
  std::vector<std::uint32_t> Gone;
  for (const auto &[Part, Item] : m_Partitions)
    if (std::find(Given.m_Parts.begin(), Given.m_Parts.end(), Part) ==
        Given.m_Parts.end())
      Gone.push_back(Part);
  for (std::uint32_t Part : Gone)
    closePartition(Part);
  for (std::uint32_t Part : Given.m_Parts)
    if (!m_Partitions.contains(Part))
      open(Part, Given.m_Generation);
}

template <JobLog Log>
bool JobKeeper<Log>::membershipIsFresh(TimePoint Now) const {
  return millisecondsBetween(m_Confirmed, Now) < m_Settings.m_MembershipMs;
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
  auto Node = m_Partitions.extract(Part);
  if (Node.empty())
    return;
  Node.mapped()->close();
  m_Closing.push_back(std::move(Node.mapped()));
}

template <JobLog Log> void JobKeeper<Log>::closeAll() {
  while (!m_Partitions.empty())
    closePartition(m_Partitions.begin()->first);
}

template <JobLog Log> void JobKeeper<Log>::dropClosed() {
  std::erase_if(m_Closing, [](const auto &Item) { return Item->isOver(); });
  // One that another node has fenced comes back with a higher generation.
  std::erase_if(m_Partitions,
                [](const auto &Entry) { return Entry.second->isOver(); });
}

template <JobLog Log> void JobKeeper<Log>::tick() {
  TimePoint Now = EventLoop::now();
  bool Fresh = membershipIsFresh(Now);
  if (!Fresh && !m_Partitions.empty()) {
    m_Log.warning("partitions_given_up", {{"generation", m_Generation},
                                          {"parts", m_Partitions.size()}});
    closeAll();
    m_GivenUpUnder = m_Generation;
  }
  for (const auto &[Part, Item] : m_Partitions)
    Item->advance(Fresh);
  dropClosed();
}

template <JobLog Log> void JobKeeper<Log>::place() {
  bool Fresh = membershipIsFresh(EventLoop::now());
  for (const auto &[Part, Item] : m_Partitions)
    if (Item->ledger().readyTasks() > 0)
      Item->advance(Fresh);
}

template <JobLog Log> void JobKeeper<Log>::drain() {
  if (std::exchange(m_Draining, true) || !m_Active)
    return;
  m_JoinTimer.reset();
  m_NoteTimer.reset();
  closeAll();
  m_Records.leave([this](const absl::Status &Status) {
    if (!Status.ok())
      m_Log.warning("leave_failed", {{"detail", failureDetail(Status)}});
  });
}

// Messages.

template <JobLog Log>
void JobKeeper<Log>::onCall(const std::string &From, const LedgerCall &Msg) {
  for (const auto &[Part, Item] : m_Partitions)
    if (Part == Msg.m_Part) {
      Item->onCall(From, Msg);
      return;
    }
  m_Effects.m_Send(From,
                   LedgerCallAnswer{Msg.m_Call, LedgerCallOutcome::NotKeeper,
                                    StoredJobState::Queued});
}

template <JobLog Log>
void JobKeeper<Log>::onReport(const std::string &From,
                              const StoredTaskReport &Msg) {
  auto Found = m_Partitions.find(Msg.m_Part);
  if (Found != m_Partitions.end())
    Found->second->onReport(From, Msg);
}

template <JobLog Log>
void JobKeeper<Log>::onRuns(const std::string &From, const LedgerRuns &Msg) {
  auto Found = m_Partitions.find(Msg.m_Claim.m_Part);
  if (Found != m_Partitions.end())
    Found->second->onRuns(From, Msg);
}

template <JobLog Log> void JobKeeper<Log>::nodeUp(const std::string &Node) {
  for (const auto &[Part, Item] : m_Partitions)
    if (Item->isServing())
      m_Effects.m_Send(Node, LedgerOpened{Item->claim()});
}

template <JobLog Log> void JobKeeper<Log>::nodeLost(const std::string &Node) {
  for (const auto &[Part, Item] : m_Partitions)
    Item->ownerLost(Node);
}

template <JobLog Log>
std::vector<LedgerStatus> JobKeeper<Log>::statuses() const {
  std::vector<LedgerStatus> Result;
  for (const auto &[Part, Item] : m_Partitions)
    if (Item->isServing())
      Result.push_back({Item->claim(), Item->pending()});
  return Result;
}

} // namespace auburnhub

#endif
