#ifndef AUBURNHUB_NODE_NODE_H
#define AUBURNHUB_NODE_NODE_H

#include "auburnhub/Node/CallerSightings.h"
#include "auburnhub/Node/DocumentExchange.h"
#include "auburnhub/Node/EvacuatedDataCentres.h"
#include "auburnhub/Node/HeartbeatSchedule.h"
#include "auburnhub/Node/JobCancels.h"
#include "auburnhub/Node/JobKeeper.h"
#include "auburnhub/Node/JobRequesters.h"
#include "auburnhub/Node/JobRouter.h"
#include "auburnhub/Node/LedgerCalls.h"
#include "auburnhub/Node/LoadReport.h"
#include "auburnhub/Node/PeerClock.h"
#include "auburnhub/Node/PeerLinks.h"
#include "auburnhub/Node/ShardHost.h"
#include "auburnhub/Node/ShardMap.h"
#include "auburnhub/Node/ShardProber.h"
#include "auburnhub/Node/StoredJobsQueries.h"
#include "auburnhub/Node/StoredRuns.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace auburnhub {

/// Names of the documents that nodes exchange.
namespace nodedocuments {
inline constexpr const char *Configuration = "configuration";
inline constexpr const char *Workers = "workers";
inline constexpr const char *Evacuated = "evacuated";
} // namespace nodedocuments

/// Identity, addresses and parameters of a node.
struct NodeSettings {
  std::string m_Name;
  std::string m_DataCentre;
  Address m_LinkAddress;       ///< Listen address for links.
  Address m_AdvertisedAddress; ///< Address that peers connect to.
  double m_Weight = 1;         ///< CPU share, in cores.
  /// The whole system starts for the first time, so that the directory of nodes
  /// is not complete yet.
  bool m_IsFirstStart = false;
  WorkerSessionSettings m_Session;
  JobParameters m_Jobs;
  std::uint32_t m_LedgerPartitions = 1; ///< Partitions of stored jobs.
  JobKeeperSettings m_Keeper;
  /// Shortest time after which a caller whose call was broken submits its job
  /// again, in milliseconds.
  double m_CallerRetryMs = 1300;
  /// Shared with the other listeners of the process; may be null.
  std::shared_ptr<ClientAccount> m_Clients;
};

/// State charts that a node interprets.
struct NodeCharts {
  StateChart m_WorkerSession;
  StateChart m_LedgerPartition;
};

struct NodeEvents {
  /// A peer sent a document with a higher version than the local one.
  std::function<void(const Document &)> m_DocumentReceived;
  /// Returns the changes of registrations since an offset, if all are known.
  std::function<std::optional<WorkerChanges>(std::uint64_t From)>
      m_WorkerChangesRequested;
  std::function<void(const WorkerChanges &)> m_WorkerChangesReceived;
  /// Requests a read of the log for Node::setJobsAreStored() that is sent after
  /// this call.
  std::function<void()> m_StoredJobsReadRequested;
};

/// One process of the system: accepts jobs from callers, and owns shards of
/// workers on which it runs the jobs of all nodes.
///
/// All nodes have the same role. Shard ownership is derived from the set of
/// connected nodes. If two nodes claim the same shard, the higher fencing token
/// wins; a new token is derived from the wall clock and is higher than every
/// token seen so far.
///
/// Jobs that must survive a failure of the node are stored in the log. A node
/// is the keeper of the partitions that the log's group of keepers assigns to
/// it.
template <WorkerTransport Transport, JobLog Log> class Node {
public:
  Node(EventLoop &Loop, Transport &Orders, Log &Records,
       const NodeCharts &Charts, NodeSettings Settings,
       MetricsRegistry &Metrics, NodeEvents Events);

  /// Starts to listen for links. Fails with Unavailable.
  absl::Status start();

  void addPeer(const Address &LinkAddress) { m_Links.addPeer(LinkAddress); }
  void putWorker(const WorkerSpec &Spec);
  /// Called when a worker's registration was removed. The worker stays in use
  /// for a grace period while it answers, because registrations also expire
  /// while the platform is unreachable.
  void removeWorker(const std::string &Id);
  /// Called when all addresses of the directory of nodes have been passed to
  /// addPeer().
  void markDirectoryComplete();
  /// Called when the list of workers has been read completely. No shard is
  /// claimed before this call.
  void markWorkersComplete();
  /// The registrations passed to putWorker() are those of this time. See
  /// JobScheduler::refreshWorkers().
  void refreshWorkers(TimePoint ReadAt);
  /// Evacuates exactly these data centres: nothing is started on their workers
  /// and running work is not stopped. Version is the position in the log up to
  /// which the operators' requests were read. Ignored if a higher one is known,
  /// for example from a peer.
  void setEvacuated(std::uint64_t Version,
                    const EvacuatedDataCentres::Names &DataCentres);
  /// See JobScheduler::refreshEvacuations().
  void refreshEvacuations(TimePoint ReadAt) {
    m_Host.refreshEvacuations(ReadAt);
  }
  /// See JobScheduler::workersUnreadable().
  void workersUnreadable(TimePoint TriedAt) {
    m_Host.workersUnreadable(TriedAt);
  }

  /// Stores a document, to serve it to peers that cannot read it from the
  /// platform. Source returns its text.
  void setDocument(const std::string &Name, std::uint64_t Version,
                   DocumentExchange::TextSource Source);
  /// Requests a document with a higher version than the local one from a
  /// peer.
  void requestDocument(const std::string &Name);

  /// Asks an owner for changes of the registrations, so that the cost of their
  /// log at the store grows with the number of owners. Returns whether one was
  /// asked: false at a working node, which must read the log itself, among few
  /// nodes, and if there is no owner.
  bool requestWorkerChanges(std::uint64_t From);

  /// Submits a job that is not stored. Done receives the result; it is called
  /// once, possibly before submit() returns. Returns the number of the call.
  std::uint64_t submit(JobRequest Job, JobRouter::Done Done,
                       JobRouter::IsConnected IsCallerConnected);
  /// To be called with the number returned by submit() if the caller
  /// disconnects: cancels the job without an answer.
  void callerDisconnected(std::uint64_t Call) {
    m_Router.callerDisconnected(Call);
  }
  /// Cancels a job that is not stored on whichever node runs it, on nodes that
  /// cannot be asked now once they are linked again. Done may be called before
  /// cancel() returns. See JobCancels.
  void cancel(const std::string &Job,
              const std::function<void(CancelOutcome)> &Done);
  bool knows(const std::string &Job) const { return m_Router.knows(Job); }

  // Stored jobs.
  /// Sets whether the log contained stored jobs when a read of it was sent, at
  /// ReadAt. Called after each such read.
  void setJobsAreStored(TimePoint ReadAt, bool Value);
  /// Answers whether jobs were stored when this was called, or later; nothing
  /// if the log cannot be read in time. TimeLeftMs is the time until the call
  /// times out.
  void askWhetherJobsAreStored(double TimeLeftMs,
                               StoredJobsQueries::Done Answer);
  /// Stores a job, cancels it or queries its state. TimeLeftMs is the time
  /// until the call times out.
  void call(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
            double TimeLeftMs, LedgerCalls::Done Done);
  /// Returns how many stored jobs of a queue have not started, according to the
  /// last status of each keeper.
  std::uint64_t pending(const std::string &Queue) const;

  /// Releases shards once another node can claim them. Until then, jobs
  /// continue to run here.
  void drain();
  /// Releases all shards even if no other node can claim them, because the
  /// process is about to exit.
  void releaseAllShards();
  /// Abandons all calls and answers their callers immediately. Used when the
  /// time to drain has run out.
  void abandonAllCalls();
  /// Returns whether no call, job, claim or partition is left that a stop
  /// would interrupt.
  bool drained() const;
  /// Returns the content of the status page: members, claims and load.
  nlohmann::json describe() const;
  /// Returns whether a shard owner is known that accepts jobs.
  /// Owners that accept none because of an evacuation count.
  bool canServe() const { return m_Router.hasOwner() || m_HasEvacuatedOwner; }

private:
  struct PendingCancel {
    std::function<void(CancelOutcome)> m_Done;
    EventLoop::Timer m_Timer;
  };

  void onPeerUp(const NodeHello &Hello);
  void onPeerDown(const std::string &Name);
  void onReceived(const std::string &From, const Envelope &Received);
  void onPeerReconnected(const NodeHello &Hello);
  /// Abandons the calls to a peer and the jobs that it has submitted here,
  /// because messages of either were or may have been lost.
  void abandonWorkWith(const std::string &Name);
  void onPeerSuspected(const std::string &Name);
  void onStatus(const std::string &From, const NodeStatus &Status);
  void onSubmit(const std::string &From, const SubmitJob &Msg);
  void onCancel(const std::string &From, const CancelJob &Msg);
  void onCancelAnswer(const std::string &From, const CancelAnswer &Msg);
  /// Cancels a job that this node runs or of which it has an open call. Returns
  /// whether there was one.
  bool cancelHere(const std::string &Job);
  /// Answers a cancelled job; nothing if its outcome is not known yet.
  void finishCancel(std::uint64_t Id, std::optional<CancelOutcome> Outcome);
  /// Returns whether a node may be running that was never linked.
  bool mayMissNodes() const;
  /// A node is linked: cancels there what could not be cancelled before.
  void deliverCancels(const std::string &Name);
  /// Records a peer's document versions and requests missing or newer
  /// documents.
  void onPeerVersions(const std::string &From, const NodeStatus &Status);
  void onDocumentRequest(const std::string &From, const DocumentRequest &Msg);
  void onDocument(const Document &Msg);
  void onWorkerChangesRequest(const std::string &From,
                              const WorkerChangesRequest &Msg);
  void onJobFinished(const JobFinished &Finished);
  void onFenced(const ShardId &Shard);
  void onHostChanged();

  // Stored jobs.
  LedgerPartitionEffects ledgerEffects();
  std::vector<WorkerIncarnation> workerIncarnations() const;
  StoredRunsEffects storedRunsEffects();
  /// Sends a message to a node. A message to this node is delivered by a posted
  /// callback, not within this call.
  void sendStoredJobMessage(const std::string &To, const StoredJobMessage &Msg);
  void broadcastStoredJobMessage(const StoredJobMessage &Msg);
  void handleStoredJobMessage(const std::string &From,
                              const StoredJobMessage &Msg);
  void handleMessage(const std::string &From, const LedgerCall &Msg);
  void handleMessage(const std::string &From, const LedgerCallAnswer &Msg);
  void handleMessage(const std::string &From, const LedgerOpened &Msg);
  void handleMessage(const std::string &From, const RunStoredTask &Msg);
  void handleMessage(const std::string &From, const StoredRunsConfirmed &Msg);
  void handleMessage(const std::string &From, const StopStoredRun &Msg);
  void handleMessage(const std::string &From, const StoredEndConfirmed &Msg);
  void handleMessage(const std::string &From, const StoredTaskReport &Msg);
  void handleMessage(const std::string &From, const LedgerRuns &Msg);
  void onLedgerStatus(const std::string &From, const NodeStatus &Status);
  /// Jobs are stored, or are about to be. IsPublished as for
  /// JobKeeper::activate().
  void onJobsAreStored(bool IsPublished);
  void onLedgersChanged();

  void accept(const JobRequester &From, const JobRequest &Job,
              TimePoint SeenAt);
  void answer(const JobRequester &To, const std::string &Job,
              const JobResult &Result);
  void submitTo(const std::string &Owner, std::uint64_t Call,
                const JobRequest &Job);
  void cancelAt(const std::string &Owner, std::uint64_t Call,
                const std::string &Job);
  /// Cancels a job whose caller has left, unless another call waits for it.
  void cancelFor(const JobRequester &From, const std::string &Job);
  bool couldEverRun(const JobRequest &Job) const;

  // Callers of jobs that are not stored.
  /// Tells the owners which callers wait, after each of them was checked.
  void reportWaitingCalls(TimePoint Now);
  void onWaitingCalls(const std::string &From, const WaitingCalls &Msg);
  /// Cancels jobs whose callers may have submitted them elsewhere soon.
  void cancelUnseenJobs(TimePoint Now);
  /// Returns the time of a stated clock; TimePoint::max() if none is stated.
  static TimePoint statedTime(double ClockMs);
  /// Returns a stated time of the past, at most now; TimePoint::max() if none
  /// is stated.
  static TimePoint pastTime(double ClockMs);
  /// Returns a time that the clock of a node had reached at At, at most now, in
  /// milliseconds; 0 if nothing is known of it.
  double clockOf(const std::string &Name, TimePoint At) const;
  /// Returns the time by which runs of a job must have ended if its caller was
  /// last seen at SeenAt.
  TimePoint runLimit(TimePoint SeenAt) const;
  /// Returns the latest time since which a caller may be unseen.
  TimePoint unseenLimit(TimePoint Now) const;

  // Evacuation.
  void onEvacuatedDocument(const Document &Msg);
  void onEvacuationChanged(const EvacuatedDataCentres::Change &Change);
  /// Logs the evacuated data centres without workers, each once.
  void checkEvacuatedNames();
  std::size_t workersIn(const std::string &Name) const;
  /// Returns whether all shards of an owner are in evacuated data centres.
  bool isEvacuated(std::span<const ShardClaim> Claims) const;
  /// Returns whether all workers are in evacuated data centres.
  bool areAllEvacuated() const;
  nlohmann::json describeEvacuation() const;

  void tick();
  void updateOwnership();
  /// Passes the registered workers to the map of shards if they have changed.
  void updateWorkers();
  /// Posts one call of updateOwnership(), so that events that are already
  /// queued are handled first.
  void scheduleOwnershipUpdate();
  /// Returns whether the workers of the shard can be reached. Workers in the
  /// data centre of this node are assumed to be reachable; others are probed.
  bool canReachWorkers(TimePoint Now, const ShardId &Shard);
  /// Returns whether the delay after the start is over: either every node that
  /// may own a shard has answered or is certainly down, or the time has passed.
  bool startDelayIsOver(TimePoint Now) const;
  void claim(const ShardId &Shard);
  void reconcile();
  void updateRouter();
  bool acceptsJobs() const;
  /// Sends the status to all peers.
  void sendStatus();
  void sendStatusTo(std::span<const std::string> Peers);
  void scheduleStatus();
  bool isWorking() const;
  NodeStatus status() const;

  EventLoop &m_Loop;
  NodeSettings m_Settings;
  NodeEvents m_Events;
  auburnhub::Log m_Log{"ownership"};
  ShardProber<Transport> m_ShardProber;
  ShardMap m_Shards;
  ShardHost<Transport> m_Host;
  JobRouter m_Router;
  StoredRuns m_StoredRuns;
  StoredJobsQueries m_StoredJobsQueries;
  LedgerCalls m_LedgerCalls;
  JobKeeper<Log> m_Keeper;
  std::map<std::string, WorkerSpec> m_Workers;
  bool m_WorkersChanged = false; ///< Since the last updateOwnership().
  std::map<std::string, TimePoint> m_RemovedAt; ///< Removal times, by worker.
  bool m_WorkersComplete = false;
  bool m_DirectoryComplete = false;
  JobRequesters m_Requesters;
  CallerSightings m_Sightings;
  std::map<std::string, PeerClock> m_PeerClocks; ///< By connected node.
  DocumentExchange m_Documents;
  EvacuatedDataCentres m_Evacuated;
  /// When this process learned of each evacuation, by data centre.
  std::map<std::string, TimePoint> m_EvacuatedSince;
  std::set<std::string>
      m_UnknownEvacuated; ///< Logged by checkEvacuatedNames().
  bool m_HasEvacuatedOwner = false;
  auburnhub::Log m_EvacuationLog{"evacuation"};
  Gauge &m_EvacuatedCount;
  Gauge &m_EvacuatedVersion;
  Gauge &m_EvacuatedRuns;
  HeartbeatSchedule m_Heartbeats;
  JobCancels m_Cancels;
  std::map<std::uint64_t, PendingCancel> m_PendingCancels;
  CallNumbers m_CancelNumbers = CallNumbers::ofNewProcess();
  TimePoint m_StartedAt;
  TimePoint m_LastTick;
  TimePoint m_ClaimNotBefore;
  double m_FencePauseMs = 0;
  bool m_Draining = false;
  bool m_UpdatePosted = false;
  std::uint64_t m_SentFreeSlots = 0;
  EventLoop::Timer m_TickTimer;
  EventLoop::Timer m_StatusTimer;
  PeerLinks m_Links;
};

} // namespace auburnhub

#include "auburnhub/Node/NodeCallersImpl.h"
#include "auburnhub/Node/NodeEvacuationImpl.h"
#include "auburnhub/Node/NodeImpl.h"
#include "auburnhub/Node/NodeOwnershipImpl.h"
#include "auburnhub/Node/NodeStoredJobsImpl.h"
#include "auburnhub/Node/NodeWorkerChangesImpl.h"

#endif
