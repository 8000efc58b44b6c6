#ifndef AUBURNHUB_NODE_NODEIMPL_H
#define AUBURNHUB_NODE_NODEIMPL_H

#include "auburnhub/Node/Node.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburnhub {

namespace nodetimes {

/// Period in which heartbeats are sent and ownership is checked.
inline constexpr EventLoop::Duration HeartbeatInterval{
    static_cast<int>(HeartbeatSchedule::ShortIntervalMs)};

/// Longest delay after a start, and delay after a stall, before a shard without
/// an owner is claimed, in milliseconds. It gives links time to connect: a few
/// round trips and the handshake.
inline constexpr double ClaimDelayMs = 600;

/// Grace period during which a worker without a registration stays in use if
/// it answers, in milliseconds. Expired registrations of live workers reappear
/// within two seconds after the platform becomes reachable again.
inline constexpr double RegistrationGraceMs = 2500;

/// Bounds of the backoff before the next claim after another node has fenced
/// off this one, in milliseconds: long enough to receive that node's claim.
inline constexpr double MinFencePauseMs = 600;
inline constexpr double MaxFencePauseMs = 4000;

/// The process is considered to have stalled if the time between two
/// heartbeats exceeds this limit, in milliseconds.
inline constexpr double StalledMs = 600;

/// Number of fencing tokens per millisecond. A hash of the node's name selects
/// one of them, so that two nodes that claim a shard in the same millisecond
/// rarely use the same token.
inline constexpr std::uint64_t TokensPerMs = 1024;

} // namespace nodetimes

template <WorkerTransport Transport, JobLog Log>
Node<Transport, Log>::Node(EventLoop &Loop, Transport &Orders, Log &Records,
                           const NodeCharts &Charts, NodeSettings Settings,
                           MetricsRegistry &Metrics, NodeEvents Events)
    : m_Loop(Loop), m_Settings(std::move(Settings)),
      m_Events(std::move(Events)),
      m_ShardProber(Orders, [this] { scheduleOwnershipUpdate(); }),
      m_Shards(m_Settings.m_Name, m_Settings.m_DataCentre, m_Settings.m_Weight),
      m_Host(Loop, Orders, Charts.m_WorkerSession, m_Settings.m_Session,
             m_Settings.m_Jobs, Metrics,
             {[this](const JobFinished &Finished) { onJobFinished(Finished); },
              [this](const StoredTaskEnded &Ended) {
                m_StoredRuns.taskEnded(Ended);
              },
              [this](const std::string &Worker, const TaskRef &Task,
                     std::uint32_t Number, RunEnd End) {
                return m_StoredRuns.strayRunEnded(Worker, Task, Number, End);
              },
              [this](const ShardId &Shard) { onFenced(Shard); },
              [this] { onHostChanged(); }}),
      m_Router(Loop, m_Settings.m_DataCentre, CallNumbers::ofNewProcess(),
               Metrics,
               {[this](const std::string &Owner, std::uint64_t Call,
                       const JobRequest &Job) { submitTo(Owner, Call, Job); },
                [this](const std::string &Owner, std::uint64_t Call,
                       const std::string &Job) { cancelAt(Owner, Call, Job); },
                [this](const JobRequest &Job) { return couldEverRun(Job); }}),
      m_StoredRuns(m_Settings.m_LedgerPartitions, storedRunsEffects()),
      m_StoredJobsQueries(Loop,
                          [this] { m_Events.m_StoredJobsReadRequested(); }),
      m_LedgerCalls(Loop, m_Settings.m_LedgerPartitions,
                    CallNumbers::ofNewProcess(), Metrics,
                    [this](const std::string &To, const LedgerCall &Msg) {
                      sendStoredJobMessage(To, Msg);
                    }),
      m_Keeper(Loop, Records, Charts.m_LedgerPartition, m_Settings.m_Keeper,
               m_Router.owners(), ledgerEffects()),
      m_Documents([this](const std::string &To, const DocumentRequest &Msg) {
        m_Links.send(To, Msg);
      }),
      m_EvacuatedCount(Metrics.gauge("auburnhub_evacuated_data_centres",
                                     "Data centres evacuated at this node")),
      m_EvacuatedVersion(
          Metrics.gauge("auburnhub_evacuation_version",
                        "Version of the last change of evacuations")),
      m_EvacuatedRuns(
          Metrics.gauge("auburnhub_evacuated_runs",
                        "Runs that are left in evacuated data centres")),
      m_StartedAt(EventLoop::now()), m_LastTick(m_StartedAt),
      m_ClaimNotBefore(m_StartedAt),
      m_Links(
          Loop,
          NodeHello{m_Settings.m_Name,
                    m_Settings.m_DataCentre,
                    m_Settings.m_AdvertisedAddress.str(),
                    static_cast<std::uint64_t>(EventLoop::wallMilliseconds()),
                    m_Settings.m_Weight,
                    {},
                    /*m_SupportsLongIntervals=*/true},
          {[this](const NodeHello &Hello) { onPeerUp(Hello); },
           [this](const std::string &Name) { onPeerDown(Name); },
           [this](const NodeHello &Hello) { onPeerReconnected(Hello); },
           [this](const std::string &From, const Envelope &Received) {
             onReceived(From, Received);
           },
           [this](const std::string &Name) { onPeerSuspected(Name); }},
          m_Settings.m_Clients) {
  m_TickTimer = Loop.every(nodetimes::HeartbeatInterval, [this] { tick(); });
}

template <WorkerTransport Transport, JobLog Log>
absl::Status Node<Transport, Log>::start() {
  return m_Links.listen(m_Settings.m_LinkAddress);
}

// Registrations and documents.

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::putWorker(const WorkerSpec &Spec) {
  m_RemovedAt.erase(Spec.m_Id);
  auto [It, Added] = m_Workers.try_emplace(Spec.m_Id, Spec);
  if (!Added && It->second == Spec)
    return;
  if (Added || It->second.m_Leaving != Spec.m_Leaving)
    m_Log.info("worker_listed", {{"worker", Spec.m_Id},
                                 {"leaving", Spec.m_Leaving},
                                 {"workers", m_Workers.size()}});
  It->second = Spec;
  m_WorkersChanged = true;
  m_Keeper.workerSeen(Spec.incarnation());
  scheduleOwnershipUpdate();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::removeWorker(const std::string &Id) {
  if (m_Workers.contains(Id))
    m_RemovedAt.try_emplace(Id, EventLoop::now());
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::markWorkersComplete() {
  if (std::exchange(m_WorkersComplete, true))
    return;
  checkEvacuatedNames();
  scheduleOwnershipUpdate();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::refreshWorkers(TimePoint ReadAt) {
  // Posted after the update that passes changed registrations to the host.
  m_Loop.post([this, ReadAt] { m_Host.refreshWorkers(ReadAt); });
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::markDirectoryComplete() {
  if (!std::exchange(m_DirectoryComplete, true))
    scheduleOwnershipUpdate();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::setDocument(const std::string &Name,
                                       std::uint64_t Version,
                                       DocumentExchange::TextSource Source) {
  m_Documents.set(Name, Version, std::move(Source));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::requestDocument(const std::string &Name) {
  m_Documents.requestNewer(EventLoop::now(), Name);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onDocumentRequest(const std::string &From,
                                             const DocumentRequest &Msg) {
  if (const Document *Newer = m_Documents.findNewer(EventLoop::now(), Msg))
    m_Links.send(From, *Newer);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onDocument(const Document &Msg) {
  if (!m_Documents.receive(Msg))
    return;
  if (Msg.m_Name == nodedocuments::Evacuated)
    onEvacuatedDocument(Msg);
  else
    m_Events.m_DocumentReceived(Msg);
}

// Peers.

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onPeerUp(const NodeHello &Hello) {
  m_PeerClocks.erase(Hello.m_Node);
  m_Shards.nodeUp(EventLoop::now(), Hello);
  m_Heartbeats.peerUp(Hello.m_Node, Hello.m_SupportsLongIntervals);
  sendStatusTo({&Hello.m_Node, 1});
  deliverCancels(Hello.m_Node);
  m_Keeper.nodeUp(Hello.m_Node);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onPeerDown(const std::string &Name) {
  m_PeerClocks.erase(Name);
  auto Lost = m_Shards.nodes().find(Name);
  m_Cancels.nodeLost(EventLoop::now(), Name,
                     Lost != m_Shards.nodes().end() && Lost->second.m_Draining);
  m_Shards.nodeDown(Name);
  m_Heartbeats.peerDown(Name);
  m_Documents.removePeer(Name);
  m_Host.erasePeer(Name);
  abandonWorkWith(Name);
  scheduleOwnershipUpdate();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onPeerReconnected(const NodeHello &Hello) {
  // The peer keeps its claims: it has not restarted, and taking over its shards
  // would fence it off.
  abandonWorkWith(Hello.m_Node);
  m_Heartbeats.peerUp(Hello.m_Node, Hello.m_SupportsLongIntervals);
  sendStatusTo({&Hello.m_Node, 1});
  deliverCancels(Hello.m_Node);
  m_Keeper.nodeUp(Hello.m_Node);
  updateRouter();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::abandonWorkWith(const std::string &Name) {
  m_Router.ownerLost(Name);
  m_StoredRuns.keeperLost(Name);
  m_LedgerCalls.nodeLost(Name);
  m_Keeper.nodeLost(Name);
  for (const std::string &Job : m_Requesters.jobsOf(Name))
    m_Host.cancel(Job);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onPeerSuspected(const std::string &Name) {
  // Checks the successors before they are needed: nodes that were lost together
  // with the owner are then known soon after its own loss.
  for (const std::string &Successor : m_Shards.successors(Name))
    m_Links.probe(Successor);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onReceived(const std::string &From,
                                      const Envelope &Received) {
  auto Handle = [&]<typename Type>(auto &&Handler, const Type *) {
    if (Received.m_Type != Type::TypeName)
      return;
    absl::StatusOr<Type> Msg = decode<Type>(Received);
    if (Msg.ok())
      Handler(*Msg);
    else
      m_Log.warning("bad_message", {{"peer", From},
                                    {"type", Received.m_Type},
                                    {"detail", failureDetail(Msg.status())}});
  };
  Handle([&](const NodeStatus &Msg) { onStatus(From, Msg); },
         static_cast<const NodeStatus *>(nullptr));
  Handle(
      [&](const StatusRequest &) {
        sendStatusTo({&From, 1});
      },
      static_cast<const StatusRequest *>(nullptr));
  Handle([&](const SubmitJob &Msg) { onSubmit(From, Msg); },
         static_cast<const SubmitJob *>(nullptr));
  Handle([&](const WaitingCalls &Msg) { onWaitingCalls(From, Msg); },
         static_cast<const WaitingCalls *>(nullptr));
  Handle([&](const JobAnswer &Msg) { m_Router.answered(From, Msg); },
         static_cast<const JobAnswer *>(nullptr));
  Handle([&](const CancelJob &Msg) { onCancel(From, Msg); },
         static_cast<const CancelJob *>(nullptr));
  Handle([&](const CancelAnswer &Msg) { onCancelAnswer(From, Msg); },
         static_cast<const CancelAnswer *>(nullptr));
  Handle([&](const DocumentRequest &Msg) { onDocumentRequest(From, Msg); },
         static_cast<const DocumentRequest *>(nullptr));
  Handle([&](const Document &Msg) { onDocument(Msg); },
         static_cast<const Document *>(nullptr));
  Handle(
      [&](const WorkerChangesRequest &Msg) {
        onWorkerChangesRequest(From, Msg);
      },
      static_cast<const WorkerChangesRequest *>(nullptr));
  Handle(
      [&](const WorkerChanges &Msg) {
        if (m_Events.m_WorkerChangesReceived)
          m_Events.m_WorkerChangesReceived(Msg);
      },
      static_cast<const WorkerChanges *>(nullptr));
  [&]<typename... Types>(const std::variant<Types...> *) {
    (Handle([&](const Types &Msg) { handleMessage(From, Msg); },
            static_cast<const Types *>(nullptr)),
     ...);
  }(static_cast<const StoredJobMessage *>(nullptr));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onStatus(const std::string &From,
                                    const NodeStatus &Status) {
  bool Changed = m_Shards.updateNodeStatus(From, Status);
  m_Links.setHeartbeatInterval(From, Status.m_IntervalMs);
  if (TimePoint Clock = statedTime(Status.m_ClockMs); Clock != TimePoint::max())
    m_PeerClocks[From].observe(EventLoop::now(), Clock);
  if (m_Heartbeats.setPeerWorking(From, Status.m_IsWorking))
    sendStatusTo({&From, 1});
  onPeerVersions(From, Status);
  // Jobs are sent to a new owner at once; what else follows is decided once for
  // all messages that have arrived.
  if (Changed)
    updateRouter();
  if (Changed || millisecondsBetween(m_StartedAt, EventLoop::now()) <
                     nodetimes::ClaimDelayMs)
    scheduleOwnershipUpdate();
  m_Router.updateOwnerLoad(From, Status.m_FreeSlots, Status.m_WaitingTasks);
  m_Router.owners().setLargestFreeCpu(From, Status.m_LargestFreeCpu);
  if (Status.m_Claims.empty())
    m_Host.erasePeer(From);
  else
    m_Host.setPeerOutcomes(From, Status.m_FailingQueues);
  onLedgerStatus(From, Status);
  m_Keeper.startReadyTasks();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onPeerVersions(const std::string &From,
                                          const NodeStatus &Status) {
  TimePoint Now = EventLoop::now();
  m_Documents.setPeerVersions(From, Status.m_Documents);
  bool JustStarted = Now - m_StartedAt < nodetimes::HeartbeatInterval;
  bool MayRequestMissing = DocumentExchange::mayRequestMissing(
      millisecondsBetween(m_StartedAt, Now), m_Links.linkCount());
  for (const auto &[Name, Version] : Status.m_Documents) {
    std::uint64_t OwnVersion = m_Documents.version(Name);
    // Missing documents are requested even just after the start, so that this
    // node need not wait for the platform. Newer configurations are requested
    // only later.
    bool IsMissing = OwnVersion == 0 && MayRequestMissing;
    bool IsOutdated = (Name == nodedocuments::Configuration ||
                       Name == nodedocuments::Evacuated) &&
                      Version > OwnVersion &&
                      (OwnVersion != 0 || MayRequestMissing);
    if (IsMissing || (IsOutdated && !JustStarted))
      m_Documents.requestNewer(Now, Name);
  }
}

// Jobs.

template <WorkerTransport Transport, JobLog Log>
std::uint64_t Node<Transport, Log>::submit(JobRequest Job, JobRouter::Done Done,
                                           JobRouter::IsConnected IsConnected) {
  return m_Router.submit(std::move(Job), std::move(Done),
                         std::move(IsConnected));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::submitTo(const std::string &Owner,
                                    std::uint64_t Call, const JobRequest &Job) {
  TimePoint Now = EventLoop::now();
  if (Owner == m_Settings.m_Name)
    accept({"", Call}, Job, Now);
  else
    m_Links.send(Owner, SubmitJob{Call, Job, clockOf(Owner, Now)});
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::cancelAt(const std::string &Owner,
                                    std::uint64_t Call,
                                    const std::string &Job) {
  if (Owner == m_Settings.m_Name)
    cancelFor({"", Call}, Job);
  else
    m_Links.send(Owner, CancelJob{Job, 0, Call});
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::cancelFor(const JobRequester &From,
                                     const std::string &Job) {
  if (m_Requesters.mayCancel(Job, From))
    m_Host.cancel(Job);
  else if (m_Host.knows(Job))
    m_Log.info("cancel_ignored",
               {{"job", Job}, {"peer", From.m_Node}, {"call", From.m_Call}});
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onSubmit(const std::string &From,
                                    const SubmitJob &Msg) {
  accept({From, Msg.m_Call}, Msg.m_Job, pastTime(Msg.m_CallerSeenAtMs));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::accept(const JobRequester &From,
                                  const JobRequest &Job, TimePoint SeenAt) {
  if (SeenAt < unseenLimit(EventLoop::now())) {
    m_Log.info("submission_too_old",
               {{"job", Job.m_Id}, {"from", From.m_Node}});
    answer(From, Job.m_Id,
           {JobOutcome::NotRun, JobReason::NoRoom,
            m_Settings.m_Jobs.m_RetryAfterMs,
            m_Host.knows(Job.m_Id) || m_Host.hasEarlierRuns(Job.m_Id)});
    return;
  }
  if (m_Host.knows(Job.m_Id))
    if (auto Earlier = m_Requesters.replaceLast(Job.m_Id, From)) {
      m_Sightings.put(Job.m_Id, From, SeenAt);
      m_Host.extend(Job.m_Id, runLimit(SeenAt));
      // The job was submitted again: only the newer call receives its result.
      answer(*Earlier, Job.m_Id,
             {JobOutcome::Abandoned, JobReason::Cancelled, 0});
      return;
    }
  if (!acceptsJobs()) {
    bool HasEarlierRuns = m_Host.hasEarlierRuns(Job.m_Id);
    answer(From, Job.m_Id,
           {JobOutcome::NotRun,
            m_Draining ? JobReason::Stopping : JobReason::NoOwner,
            HasEarlierRuns ? m_Settings.m_Jobs.m_RetryAfterMs : 0,
            HasEarlierRuns});
    return;
  }
  m_Requesters.add(Job.m_Id, From);
  m_Sightings.put(Job.m_Id, From, SeenAt);
  m_Host.submit(Job, runLimit(SeenAt));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onJobFinished(const JobFinished &Finished) {
  if (auto To = m_Requesters.takeFirst(Finished.m_Job)) {
    m_Sightings.erase(Finished.m_Job, *To);
    answer(*To, Finished.m_Job, Finished.m_Result);
  }
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::answer(const JobRequester &To,
                                  const std::string &Job,
                                  const JobResult &Result) {
  JobAnswer Msg;
  Msg.m_Call = To.m_Call;
  Msg.m_Job = Job;
  Msg.m_Outcome = Result.m_Outcome;
  Msg.m_Reason = Result.m_Reason;
  Msg.m_RetryAfterMs = Result.m_RetryAfterMs;
  Msg.m_HasEarlierRuns = Result.m_HasEarlierRuns;
  Msg.m_FreeSlots = m_Host.freeSlots();
  Msg.m_WaitingTasks = m_Host.waitingTasks();
  if (To.m_Node.empty())
    // Posted, because this may run within JobRouter::submit().
    m_Loop.post([this, Msg] { m_Router.answered(m_Settings.m_Name, Msg); });
  else
    m_Links.send(To.m_Node, Msg);
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::couldEverRun(const JobRequest &Job) const {
  const std::string &Service = Job.m_Policy.m_Service;
  bool AnyWorker =
      std::any_of(m_Workers.begin(), m_Workers.end(), [&](const auto &Entry) {
        return Entry.second.m_Service == Service;
      });
  if (!AnyWorker)
    return true;
  return std::all_of(
      Job.m_Steps.begin(), Job.m_Steps.end(), [&](const JobStep &Step) {
        return std::any_of(
            m_Workers.begin(), m_Workers.end(), [&](const auto &Entry) {
              const WorkerSpec &Spec = Entry.second;
              return Spec.m_Service == Service &&
                     Step.m_TaskResources.fitsInto(Spec.m_Capacity) &&
                     (Step.m_RequiredLabel.empty() ||
                      Spec.hasLabel(Step.m_RequiredLabel));
            });
      });
}

// Stopping.

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::drain() {
  m_Draining = true;
  m_Keeper.drain();
  m_Shards.setDraining();
  updateOwnership();
  sendStatus();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::releaseAllShards() {
  m_Shards.setReleasingAll();
  updateOwnership();
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::abandonAllCalls() {
  m_Router.abandonAllCalls();
  m_StoredJobsQueries.abandonAll();
  m_LedgerCalls.abandonAllCalls();
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::drained() const {
  return m_Router.calls() == 0 && m_StoredJobsQueries.open() == 0 &&
         m_LedgerCalls.calls() == 0 && m_Host.jobs() == 0 &&
         m_Shards.ownClaims().empty() && m_Keeper.isDrained();
}

template <WorkerTransport Transport, JobLog Log>
nlohmann::json Node<Transport, Log>::describe() const {
  nlohmann::json Shards = nlohmann::json::array();
  for (const ShardClaim &Claim : m_Shards.ownClaims())
    Shards.push_back({{"shard", Claim.m_Shard.str()},
                      {"token", Claim.m_Token},
                      {"releasing", Claim.m_Releasing}});
  nlohmann::json Partitions = nlohmann::json::array();
  for (const LedgerStatus &Ledger : m_Keeper.statuses())
    Partitions.push_back({{"part", Ledger.m_Claim.m_PartitionId},
                          {"epoch", Ledger.m_Claim.m_Epoch}});
  return {{"members", m_Links.linkCount() + 1},
          {"workers", m_Workers.size()},
          {"shards", std::move(Shards)},
          {"kept_partitions", std::move(Partitions)},
          {"free_slots", m_Host.freeSlots()},
          {"waiting_tasks", m_Host.waitingTasks()},
          {"jobs", m_Host.jobs()},
          {"waiting_calls", m_Router.calls()},
          {"evacuation", describeEvacuation()},
          {"draining", m_Draining}};
}

} // namespace auburnhub

#endif
