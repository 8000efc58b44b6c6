#ifndef AUBURNHUB_NODE_NODEOWNERSHIPIMPL_H
#define AUBURNHUB_NODE_NODEOWNERSHIPIMPL_H

#include "auburnhub/Node/NodeImpl.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

/// \file
/// The part of Node that claims and releases shards and sends its status.

namespace auburnhub {

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::tick() {
  TimePoint Now = EventLoop::now();
  double SinceLastTickMs =
      millisecondsBetween(std::exchange(m_LastTick, Now), Now);
  if (SinceLastTickMs > nodetimes::StalledMs) {
    // Other nodes may have claimed the shards of this node during the stall, so
    // this node waits for their status before it claims shards again.
    m_Log.warning("process_stalled", {{"for_ms", SinceLastTickMs}});
    m_ClaimNotBefore =
        std::max(m_ClaimNotBefore, addMs(Now, nodetimes::ClaimDelayMs));
  }
  std::vector<std::string> Expired;
  for (const auto &[Id, RemovedAt] : m_RemovedAt) {
    double RemovedForMs = millisecondsBetween(RemovedAt, Now);
    if (RemovedForMs > nodetimes::RegistrationGraceMs ||
        !m_Host.hasAnsweredSince(Id,
                                 addMs(Now, -nodetimes::RegistrationGraceMs)))
      Expired.push_back(Id);
  }
  for (const std::string &Id : Expired) {
    m_RemovedAt.erase(Id);
    m_Workers.erase(Id);
    m_WorkersChanged = true;
    m_Log.info("worker_gone", {{"worker", Id}, {"workers", m_Workers.size()}});
  }
  reportWaitingCalls(Now);
  // After a stall, newer lists of waiting calls and confirmations of stored
  // runs may not have been read yet.
  if (SinceLastTickMs <= nodetimes::StalledMs) {
    cancelUnseenJobs(Now);
    m_StoredRuns.stopUnconfirmed(Now);
  }
  m_Documents.retryTimedOut(Now);
  updateOwnership();
  for (const std::string &Name : m_Shards.nodesToClaim())
    m_Links.probe(Name);
  if (isWorking())
    sendStatus();
  else
    sendStatusTo(
        m_Heartbeats.duePeers(Now, HeartbeatSchedule::ShortIntervalMs));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::scheduleOwnershipUpdate() {
  if (std::exchange(m_UpdatePosted, true))
    return;
  m_Loop.post([this] {
    m_UpdatePosted = false;
    updateOwnership();
  });
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::updateWorkers() {
  if (!std::exchange(m_WorkersChanged, false))
    return;
  std::vector<std::pair<std::string, std::string>> Workers;
  Workers.reserve(m_Workers.size());
  for (const auto &[Id, Spec] : m_Workers)
    Workers.emplace_back(Id, Spec.m_DataCentre);
  m_Shards.setWorkers(Workers);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::updateOwnership() {
  TimePoint Now = EventLoop::now();
  updateWorkers();
  bool Changed = false;
  for (const ShardId &Shard : m_Shards.outbidShards()) {
    m_Log.info("shard_outbid", {{"shard", Shard.str()}});
    m_Shards.removeOwnClaim(Shard);
    m_Host.dropShard(Shard);
    Changed = true;
  }
  for (const ShardId &Shard : m_Shards.shardsToRelease(Now)) {
    m_Log.info("shard_releasing",
               {{"shard", Shard.str()}, {"draining", m_Draining}});
    m_Shards.ownClaim(Shard)->m_Releasing = true;
    Changed = true;
  }
  if (Now >= m_ClaimNotBefore && startDelayIsOver(Now) && m_WorkersComplete &&
      !m_Draining)
    for (const ShardId &Shard : m_Shards.shardsToClaim()) {
      if (!canReachWorkers(Now, Shard))
        continue;
      claim(Shard);
      Changed = true;
    }
  std::vector<ShardId> Released;
  for (const ShardClaim &Claim : m_Shards.ownClaims()) {
    if (!Claim.m_Releasing)
      continue;
    std::vector<std::string> Busy = m_Host.busyWorkers(Claim.m_Shard);
    ShardClaim *OwnClaim = m_Shards.ownClaim(Claim.m_Shard);
    Changed = Changed || Busy != OwnClaim->m_Busy;
    OwnClaim->m_Busy = std::move(Busy);
    if (OwnClaim->m_Busy.empty())
      Released.push_back(Claim.m_Shard);
  }
  for (const ShardId &Shard : Released) {
    m_Log.info("shard_released", {{"shard", Shard.str()}});
    m_Shards.removeOwnClaim(Shard);
    Changed = true;
  }
  reconcile();
  updateRouter();
  if (Changed)
    sendStatus();
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::startDelayIsOver(TimePoint Now) const {
  if (millisecondsBetween(m_StartedAt, Now) >= nodetimes::ClaimDelayMs)
    return true;
  return !m_Settings.m_IsFirstStart && m_DirectoryComplete &&
         m_Links.triedAllAddresses() && m_Shards.hasAllStatuses();
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::canReachWorkers(TimePoint Now,
                                           const ShardId &Shard) {
  if (Shard.m_DataCentre == m_Settings.m_DataCentre)
    return true;
  std::vector<WorkerSpec> Workers;
  for (const std::string &Id : m_Shards.workersOf(Shard))
    Workers.push_back(m_Workers.at(Id));
  return m_ShardProber.isReachable(Now, Shard, Workers);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::claim(const ShardId &Shard) {
  auto ClockMs = static_cast<std::uint64_t>(EventLoop::wallMilliseconds());
  std::uint64_t Token =
      std::max(ClockMs, m_Shards.highestToken() / nodetimes::TokensPerMs + 1) *
          nodetimes::TokensPerMs +
      std::hash<std::string>{}(m_Settings.m_Name) % nodetimes::TokensPerMs;
  m_Shards.addOwnClaim(Shard, Token);
  m_Log.info("shard_claimed",
             {{"shard", Shard.str()},
              {"token", Token},
              {"peers", m_Links.linkCount()},
              {"since_start_ms",
               std::round(millisecondsBetween(m_StartedAt, EventLoop::now()))},
              {"workers", m_Workers.size()}});
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::reconcile() {
  std::map<std::string, WorkerAssignment> Assignments;
  for (const ShardClaim &Claim : m_Shards.ownClaims()) {
    if (Claim.m_Releasing)
      continue;
    std::set<std::string> Busy = m_Shards.busyAtReleasingOwners(Claim.m_Shard);
    for (const std::string &Id : m_Shards.workersOf(Claim.m_Shard))
      if (!Busy.contains(Id))
        Assignments[Id] = {m_Workers.at(Id), Claim.m_Shard, Claim.m_Token};
  }
  m_Host.reconcile(Assignments);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onFenced(const ShardId &Shard) {
  if (!m_Shards.ownClaim(Shard))
    return;
  m_FencePauseMs = std::clamp(2 * m_FencePauseMs, nodetimes::MinFencePauseMs,
                              nodetimes::MaxFencePauseMs);
  m_Log.warning("shard_fenced",
                {{"shard", Shard.str()}, {"pause_ms", m_FencePauseMs}});
  m_ClaimNotBefore = addMs(EventLoop::now(), m_FencePauseMs);
  m_Shards.removeOwnClaim(Shard);
  m_Host.dropShard(Shard);
  updateOwnership();
  sendStatus();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::updateRouter() {
  std::set<std::string> Owners;
  bool HasEvacuatedOwner = isEvacuated(m_Shards.ownClaims());
  for (const std::string &Name : m_Shards.owners()) {
    // Calls that waited for an owner are sent at once; what follows may change
    // the nodes.
    auto Found = m_Shards.nodes().find(Name);
    if (Found == m_Shards.nodes().end())
      continue;
    if (isEvacuated(Found->second.m_Claims)) {
      HasEvacuatedOwner = true;
      continue;
    }
    Owners.insert(Name);
    m_Router.ownerUp(Name, std::string(Found->second.m_DataCentre));
  }
  for (const auto &[Name, Other] : m_Shards.nodes())
    if (!Owners.contains(Name))
      m_Router.ownerClosed(Name);
  if (acceptsJobs())
    m_Router.ownerUp(m_Settings.m_Name, m_Settings.m_DataCentre);
  else
    m_Router.ownerClosed(m_Settings.m_Name);
  m_HasEvacuatedOwner = HasEvacuatedOwner;
  m_Router.setAllEvacuated(areAllEvacuated());
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::acceptsJobs() const {
  const auto &OwnClaims = m_Shards.ownClaims();
  return std::any_of(OwnClaims.begin(), OwnClaims.end(),
                     [this](const auto &Claim) {
                       return !Claim.m_Releasing &&
                              !m_Evacuated.contains(Claim.m_Shard.m_DataCentre);
                     });
}

template <WorkerTransport Transport, JobLog Log>
NodeStatus Node<Transport, Log>::status() const {
  NodeStatus Result;
  Result.m_Draining = m_Draining;
  Result.m_Claims = m_Shards.ownClaims();
  Result.m_FreeSlots = m_Host.freeSlots();
  Result.m_WaitingTasks = m_Host.waitingTasks();
  Result.m_LargestFreeCpu = m_Host.largestFreeCpu();
  Result.m_FailingQueues = m_Host.failingQueues();
  Result.m_Documents = m_Documents.versions();
  Result.m_StoresJobs = m_StoredRuns.jobsAreStored();
  Result.m_IsLogMarked = m_Keeper.isPublished();
  Result.m_Ledgers = m_Keeper.statuses();
  Result.m_IsWorking = isWorking();
  Result.m_ClockMs = millisecondsBetween(TimePoint(), EventLoop::now());
  return Result;
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::sendStatus() {
  m_StatusTimer.reset();
  NodeStatus Status = status();
  m_SentFreeSlots = Status.m_FreeSlots;
  m_Router.updateOwnerLoad(m_Settings.m_Name, Status.m_FreeSlots,
                           Status.m_WaitingTasks);
  m_Router.owners().setLargestFreeCpu(m_Settings.m_Name,
                                      Status.m_LargestFreeCpu);
  onLedgerStatus(m_Settings.m_Name, Status);
  std::vector<std::string> Peers;
  Peers.reserve(m_Shards.nodes().size());
  for (const auto &[Name, Other] : m_Shards.nodes())
    Peers.push_back(Name);
  sendStatusTo(Peers);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::sendStatusTo(std::span<const std::string> Peers) {
  if (Peers.empty())
    return;
  TimePoint Now = EventLoop::now();
  NodeStatus Status = status();
  m_Heartbeats.setSelfWorking(Status.m_IsWorking);
  std::map<double, std::vector<std::string>> ByInterval;
  for (const std::string &Name : Peers) {
    ByInterval[m_Heartbeats.intervalMs(Name)].push_back(Name);
    m_Heartbeats.markSent(Now, Name);
  }
  for (const auto &[IntervalMs, Names] : ByInterval) {
    Status.m_IntervalMs = IntervalMs;
    m_Links.send(Names, Status);
  }
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::isWorking() const {
  return !m_Shards.ownClaims().empty() || m_Host.jobs() != 0 ||
         !m_Keeper.statuses().empty();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::scheduleStatus() {
  if (m_StatusTimer)
    return;
  double DelayMs = LoadReport::intervalMs(m_Links.linkCount());
  m_StatusTimer = m_Loop.once(EventLoop::Duration(static_cast<int>(DelayMs)),
                              [this] { sendStatus(); });
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onHostChanged() {
  m_Router.updateOwnerLoad(m_Settings.m_Name, m_Host.freeSlots(),
                           m_Host.waitingTasks());
  m_Router.owners().setLargestFreeCpu(m_Settings.m_Name,
                                      m_Host.largestFreeCpu());
  m_EvacuatedRuns.set(static_cast<double>(m_Host.evacuatedRuns()));
  m_Keeper.startReadyTasks();
  const auto &OwnClaims = m_Shards.ownClaims();
  bool IsReleasing =
      std::any_of(OwnClaims.begin(), OwnClaims.end(),
                  [](const auto &Claim) { return Claim.m_Releasing; });
  if (IsReleasing)
    scheduleOwnershipUpdate();
  if (LoadReport::isSignificantChange(m_SentFreeSlots, m_Host.freeSlots()))
    scheduleStatus();
}

} // namespace auburnhub

#endif
