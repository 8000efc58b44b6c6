#ifndef AUBURNHUB_NODE_NODE_H
#define AUBURNHUB_NODE_NODE_H

#include "auburnhub/Node/DocumentExchange.h"
#include "auburnhub/Node/JobKeeper.h"
#include "auburnhub/Node/JobRouter.h"
#include "auburnhub/Node/LedgerCalls.h"
#include "auburnhub/Node/PeerLinks.h"
#include "auburnhub/Node/ShardHost.h"
#include "auburnhub/Node/ShardMap.h"
#include "auburnhub/Node/ShardReach.h"
#include "auburnhub/Node/StoredRuns.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburnhub {

/// Names of the documents that nodes hand each other.
namespace nodedocuments {
inline constexpr const char *Configuration = "configuration";
inline constexpr const char *Workers = "workers";
} // namespace nodedocuments

/// Who a node is and how it works.
struct NodeSettings {
  std::string m_Name;
  std::string m_DataCentre;
  Address m_LinkAddress;       ///< Where the node listens for links.
  Address m_AdvertisedAddress; ///< Where peers reach it.
  double m_Weight = 1;         ///< Its share of a core.
  WorkerSessionSettings m_Session;
  JobParameters m_Jobs;
  std::uint32_t m_LedgerParts = 1; ///< Partitions of the stored jobs.
  JobKeeperSettings m_Keeper;
};

/// The state charts that a node interprets.
struct NodeCharts {
  StateChart m_WorkerSession;
  StateChart m_LedgerPartition;
};

struct NodeEvents {
  /// A peer handed over a document with a higher version than ours.
  std::function<void(const Document &)> m_DocumentReceived;
};

/// One process of the system: takes callers' jobs, and owns shards of workers
/// on which it runs jobs of all nodes.
///
/// Nodes are equal. Which of them owns a shard follows from who is up; the
/// fencing token of a claim, which rises with the wall clock and above every
/// token seen, decides between two that both believe to be the owner.
///
/// Jobs that must outlive the node are in the log: a node keeps the partitions
/// of them that the log's group gives to it.
template <WorkerTransport Transport, JobLog Log> class Node {
public:
  Node(EventLoop &Loop, Transport &Orders, Log &Records,
       const NodeCharts &Charts, NodeSettings Settings,
       MetricsRegistry &Metrics, NodeEvents Events);

  /// Accepts links. Fails with Unavailable.
  absl::Status start();

  void addPeer(const Address &LinkAddress) { m_Links.keep(LinkAddress); }
  void putWorker(const WorkerSpec &Spec);
  /// A registration is gone. A worker that still answers is used on for a
  /// while: registrations also lapse while the platform is out of reach.
  void removeWorker(const std::string &Id);
  /// The list of workers is now complete up to this moment.
  void workersRead() { m_WorkersRead = true; }

  /// Keeps a document for peers that cannot read it themselves.
  void setDocument(const std::string &Name, std::uint64_t Version,
                   std::string Text);
  /// Gets a document with a higher version than ours from a peer.
  void requestDocument(const std::string &Name);

  std::uint64_t submit(JobRequest Job, JobRouter::Done Done);
  void callerGone(std::uint64_t Call) { m_Router.callerGone(Call); }
  /// Cancels a job wherever it runs; Done tells whether it was known.
  void cancel(const std::string &Job,
              const std::function<void(bool Known)> &Done);
  bool knows(const std::string &Job) const { return m_Router.knows(Job); }

  // Stored jobs.
  /// Says whether the log has stored jobs, once that was read.
  void jobsAreStored(bool Value);
  /// Returns whether jobs are stored; nothing while that is not known yet.
  std::optional<bool> storesJobs() const {
    return m_StoredRuns.jobsAreStored();
  }
  /// Stores a job, cancels it or asks for its state.
  void call(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
            double TimeLeftMs, LedgerCalls::Done Done);
  /// Returns how many stored jobs of a queue have not started, by what the
  /// keepers have said last.
  std::uint64_t pending(const std::string &Queue) const;

  /// Hands shards over as soon as another node can take them; while none can,
  /// jobs are run on.
  void drain();
  /// Hands all shards over: the process ends soon.
  void handOver();
  /// Answers every caller at once; for a stop that cannot wait any longer.
  void giveUpAll();
  /// Returns whether nothing is left that a stop would cut.
  bool drained() const;
  /// Returns what the node holds and sees, for its status page.
  nlohmann::json describe() const;
  /// Returns whether callers' jobs can be served.
  bool canServe() const { return m_Router.hasOwner(); }

private:
  struct Requester {
    std::string m_Node; ///< Empty: this node.
    std::uint64_t m_Call = 0;
  };
  struct Cancelling {
    std::function<void(bool)> m_Done;
    std::size_t m_Outstanding = 0;
    EventLoop::Timer m_Timer;
  };

  void onPeerUp(const NodeHello &Hello);
  void onPeerDown(const std::string &Name);
  void onReceived(const std::string &From, const Envelope &Received);
  void onStatus(const std::string &From, const NodeStatus &Status);
  void onSubmit(const std::string &From, const SubmitJob &Msg);
  void onCancel(const std::string &From, const CancelJob &Msg);
  void onCancelAnswer(const CancelAnswer &Msg);
  /// Notes which documents a peer has, and gets those that are needed.
  void takeVersions(const std::string &From, const NodeStatus &Status);
  void onDocumentRequest(const std::string &From, const DocumentRequest &Msg);
  void onDocument(const Document &Msg);
  void onJobOver(const JobOver &Over);
  void onFenced(const ShardId &Shard);
  void onHostChanged();

  // Stored jobs.
  LedgerPartitionEffects ledgerEffects();
  StoredRunsEffects storedRunsEffects();
  /// Sends to another node, or to this one, but not from within this call.
  void sendStored(const std::string &To, const StoredJobMessage &Msg);
  void sendStoredToAll(const StoredJobMessage &Msg);
  void takeStored(const std::string &From, const StoredJobMessage &Msg);
  void take(const std::string &From, const LedgerCall &Msg);
  void take(const std::string &From, const LedgerCallAnswer &Msg);
  void take(const std::string &From, const LedgerOpened &Msg);
  void take(const std::string &From, const RunStoredTask &Msg);
  void take(const std::string &From, const StopStoredRun &Msg);
  void take(const std::string &From, const StoredEndSettled &Msg);
  void take(const std::string &From, const StoredTaskReport &Msg);
  void take(const std::string &From, const LedgerRuns &Msg);
  void onLedgerStatus(const std::string &From, const NodeStatus &Status);
  void onLedgersChanged();

  void accept(Requester From, const JobRequest &Job);
  void answer(const Requester &To, const JobResult &Result);
  void submitTo(const std::string &Owner, std::uint64_t Call,
                const JobRequest &Job);
  void cancelAt(const std::string &Owner, const std::string &Job);
  bool couldEverRun(const JobRequest &Job) const;

  void tick();
  void updateOwnership();
  /// The same once, after the events that are already waiting.
  void updateOwnershipSoon();
  /// Tells whether a claim of the shard would reach its workers.
  bool mayClaim(TimePoint Now, const ShardId &Shard);
  void claim(const ShardId &Shard);
  void reconcile();
  void updateRouter();
  bool takesJobs() const;
  void sendStatus();
  void sendStatusSoon();
  NodeStatus status() const;

  EventLoop &m_Loop;
  NodeSettings m_Settings;
  NodeEvents m_Events;
  auburnhub::Log m_Log{"ownership"};
  ShardReach<Transport> m_Reach;
  ShardMap m_Shards;
  ShardHost<Transport> m_Host;
  JobRouter m_Router;
  StoredRuns m_StoredRuns;
  LedgerCalls m_LedgerCalls;
  JobKeeper<Log> m_Keeper;
  std::map<std::string, WorkerSpec> m_Workers;
  std::map<std::string, TimePoint> m_Removed; ///< When its entry went.
  bool m_WorkersRead = false;
  std::map<std::string, Requester> m_Requesters; ///< By job, at its owner.
  DocumentExchange m_Documents;
  std::map<std::uint64_t, Cancelling> m_Cancels;
  std::uint64_t m_LastCancel = 0;
  TimePoint m_Started;
  TimePoint m_LastTick;
  TimePoint m_ClaimNotBefore;
  double m_FencePauseMs = 0;
  bool m_Draining = false;
  bool m_UpdatePosted = false;
  TimePoint m_StatusSent;
  std::uint64_t m_SentFree = 0;
  EventLoop::Timer m_Tick;
  EventLoop::Timer m_StatusTimer;
  PeerLinks m_Links;
};

} // namespace auburnhub

#include "auburnhub/Node/NodeImpl.h"
#include "auburnhub/Node/NodeOwnershipImpl.h"
#include "auburnhub/Node/NodeStoredJobsImpl.h"

#endif
