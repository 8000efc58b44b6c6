#ifndef AUBURNHUB_NODE_NODEMESSAGES_H
#define AUBURNHUB_NODE_NODEMESSAGES_H

#include "auburnhub/Jobs/FailureAttribution.h"
#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Messages/Codec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Typed messages between nodes. Times are in milliseconds; addresses have the
/// form "host:port".

namespace auburnhub {

/// Visits the reason of a refusal. Earlier versions do not know NoHealthyWorker
/// and read it as NoRoom.
template <typename Visitor> void visitReason(Visitor &V, JobReason &Reason) {
  bool IsNoWorkerHealthy = Reason == JobReason::NoHealthyWorker;
  JobReason Known = IsNoWorkerHealthy ? JobReason::NoRoom : Reason;
  V("reason", Known);
  V("unhealthy", IsNoWorkerHealthy);
  Reason = IsNoWorkerHealthy ? JobReason::NoHealthyWorker : Known;
}

/// Identifies a shard: a set of workers that has one owner at a time.
struct ShardId {
  std::string m_DataCentre;
  std::uint32_t m_Index = 0;

  auto operator<=>(const ShardId &) const = default;
  /// Returns "data-centre/index".
  std::string str() const {
    return m_DataCentre + "/" + std::to_string(m_Index);
  }
  template <typename Visitor> void fields(Visitor &V) {
    V("data_centre", m_DataCentre);
    V("index", m_Index);
  }
};

/// Handshake: the first message on every link, in both directions.
struct NodeHello {
  static constexpr std::string_view TypeName = "node_hello";
  std::string m_Node;
  std::string m_DataCentre;
  std::string m_LinkAddress;
  std::uint64_t m_Incarnation = 0;
  double m_Weight = 1; ///< CPU share, in cores, for the choice of owners.
  std::vector<std::string> m_KnownAddresses; ///< Of connected peers.
  /// The node derives its timeout from NodeStatus::m_IntervalMs. Older versions
  /// expect a status every 200 ms.
  bool m_SupportsLongIntervals = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("node", m_Node);
    V("data_centre", m_DataCentre);
    V("link", m_LinkAddress);
    V("incarnation", m_Incarnation);
    V("weight", m_Weight);
    V("known", m_KnownAddresses);
    V("long_intervals", m_SupportsLongIntervals);
  }
};

/// A node's claim to own a shard.
struct ShardClaim {
  ShardId m_Shard;
  std::uint64_t m_Token = 0; ///< Fencing token of the owner's orders.
  /// The owner releases the shard: the next owner may use the workers that are
  /// not listed in m_Busy.
  bool m_Releasing = false;
  std::vector<std::string> m_Busy; ///< Workers that still run tasks.
  bool operator==(const ShardClaim &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("shard", m_Shard);
    V("token", m_Token);
    V("releasing", m_Releasing);
    V("busy", m_Busy);
  }
};

/// A keeper's claim to a partition of the stored jobs.
struct LedgerClaim {
  std::uint32_t m_PartitionId = 0;
  LedgerEpoch m_Epoch = 0;
  bool operator==(const LedgerClaim &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("part", m_PartitionId);
    V("epoch", m_Epoch);
  }
};

/// Status of a partition as reported by its keeper.
struct LedgerStatus {
  LedgerClaim m_Claim;
  /// Number of stored jobs, by queue, of which no task has started.
  std::map<std::string, std::uint64_t> m_Pending;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("pending", m_Pending);
  }
};

/// Heartbeat and load of a node, sent to all others.
struct NodeStatus {
  static constexpr std::string_view TypeName = "node_status";
  bool m_Draining = false;
  std::vector<ShardClaim> m_Claims;
  std::uint64_t m_FreeSlots = 0; ///< Tasks of typical size to start now.
  std::uint64_t m_WaitingTasks = 0;
  /// Largest free CPU of a worker, in thousandths of a core. Older versions do
  /// not say so.
  std::int64_t m_LargestFreeCpu = 0;
  /// Versions of the documents stored at the node, by name.
  std::map<std::string, std::uint64_t> m_Documents;
  /// The system has stored jobs, or is about to store the first one.
  bool m_StoresJobs = false;
  /// The log says so already. Older versions do not state this.
  bool m_IsLogMarked = false;
  std::vector<LedgerStatus> m_Ledgers;
  /// Queues of which many runs fail at this owner.
  QueueOutcomes m_FailingQueues;
  /// The node owns a shard, keeps a partition or runs jobs. Older versions do
  /// not say so.
  bool m_IsWorking = true;
  /// Time until the next status on this link, at most.
  double m_IntervalMs = 200;
  double m_ClockMs = 0; ///< The sender's EventLoop::now(); 0 if not stated.
  template <typename Visitor> void fields(Visitor &V) {
    V("draining", m_Draining);
    V("claims", m_Claims);
    V("free", m_FreeSlots);
    V("waiting", m_WaitingTasks);
    V("free_cpu", m_LargestFreeCpu);
    V("documents", m_Documents);
    V("stores_jobs", m_StoresJobs);
    V("marked", m_IsLogMarked);
    V("ledgers", m_Ledgers);
    V("failing", m_FailingQueues);
    V("working", m_IsWorking);
    V("interval", m_IntervalMs);
    V("clock", m_ClockMs);
  }
};

/// Asks an owner for the registrations that have changed since an offset of
/// their log. Not answered if the owner does not know all of them.
struct WorkerChangesRequest {
  static constexpr std::string_view TypeName = "worker_changes_request";
  std::uint64_t m_From = 0;
  template <typename Visitor> void fields(Visitor &V) { V("from", m_From); }
};

/// A changed registration.
struct WorkerChange {
  std::string m_Worker;
  std::string m_Text; ///< As registered; empty if it was removed.
  template <typename Visitor> void fields(Visitor &V) {
    V("worker", m_Worker);
    V("text", m_Text);
  }
};

/// All changes of registrations from an offset of their log to a later one,
/// without entries that only repeat what was registered.
struct WorkerChanges {
  static constexpr std::string_view TypeName = "worker_changes";
  std::uint64_t m_From = 0;
  std::uint64_t m_To = 0;
  double m_AgeMs = 0; ///< Time since the log was read.
  std::vector<WorkerChange> m_Changes;
  template <typename Visitor> void fields(Visitor &V) {
    V("from", m_From);
    V("to", m_To);
    V("age", m_AgeMs);
    V("changes", m_Changes);
  }
};

/// Asks a node to reply with its NodeStatus at once, to prove that it is alive.
struct StatusRequest {
  static constexpr std::string_view TypeName = "status_request";
  template <typename Visitor> void fields(Visitor &) {}
};

/// From the entry, the node that a caller is connected to, to an owner: run
/// this job and reply with JobAnswer.
struct SubmitJob {
  static constexpr std::string_view TypeName = "submit_job";
  std::uint64_t m_Call = 0; ///< Number chosen by the entry; rises.
  JobRequest m_Job;
  /// When the caller was last known to wait, on the owner's clock; 0 if the
  /// entry does not say so.
  double m_CallerSeenAtMs = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("job", m_Job);
    V("caller_seen_at", m_CallerSeenAtMs);
  }
};

/// From entry to an owner: the calls whose callers wait for results of the
/// owner. Jobs of other calls, up to number m_LastCall, are not needed any
/// more.
struct WaitingCalls {
  static constexpr std::string_view TypeName = "waiting_calls";
  double m_SeenAtMs = 0; ///< On the owner's clock.
  std::uint64_t m_LastCall = 0;
  std::vector<std::uint64_t> m_Calls;
  template <typename Visitor> void fields(Visitor &V) {
    V("seen_at", m_SeenAtMs);
    V("last_call", m_LastCall);
    V("calls", m_Calls);
  }
};

/// From owner to entry: the result of SubmitJob.
struct JobAnswer {
  static constexpr std::string_view TypeName = "job_answer";
  std::uint64_t m_Call = 0;
  std::string m_Job; ///< Empty in answers of older versions.
  JobOutcome m_Outcome = JobOutcome::Abandoned;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0;
  bool m_HasEarlierRuns = false; ///< See JobResult.
  std::uint64_t m_FreeSlots = 0;
  std::uint64_t m_WaitingTasks = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("job", m_Job);
    V("outcome", m_Outcome);
    visitReason(V, m_Reason);
    V("retry_after", m_RetryAfterMs);
    V("earlier_runs", m_HasEarlierRuns);
    V("free", m_FreeSlots);
    V("waiting", m_WaitingTasks);
  }
};

/// From entry to owner: cancel this job. If the call number is not 0, the owner
/// replies with CancelAnswer. Otherwise the caller of a submission has left,
/// and the job is cancelled only if no other call has submitted it since.
struct CancelJob {
  static constexpr std::string_view TypeName = "cancel_job";
  std::string m_Id;
  std::uint64_t m_Call = 0;
  std::uint64_t m_SubmitCall = 0; ///< Call of the submission; 0 if unknown.
  template <typename Visitor> void fields(Visitor &V) {
    V("id", m_Id);
    V("call", m_Call);
    V("submit_call", m_SubmitCall);
  }
};

/// From owner to entry: whether the job of CancelJob was known.
struct CancelAnswer {
  static constexpr std::string_view TypeName = "cancel_answer";
  std::uint64_t m_Call = 0;
  bool m_Known = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("known", m_Known);
  }
};

/// Operation on a stored job.
enum class LedgerCallKind { Submit = 0, State = 1, Cancel = 2 };

/// From entry to the keeper of a partition: an operation on a stored job.
struct LedgerCall {
  static constexpr std::string_view TypeName = "ledger_call";
  std::uint64_t m_Call = 0;
  LedgerCallKind m_Kind = LedgerCallKind::State;
  std::uint32_t m_PartitionId = 0;
  std::string m_Id;
  JobRequest m_Job; ///< For Submit.
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("kind", m_Kind);
    V("part", m_PartitionId);
    V("id", m_Id);
    V("job", m_Job);
  }
};

/// Outcome of an operation on a stored job.
enum class LedgerCallOutcome {
  Done = 0,    ///< The operation is stored, or the state is known.
  Refused = 1, ///< The job is not stored, and this call will not store it.
  NoSuchJob = 2,
  NotKeeper = 3, ///< No effect: this node is not the keeper.
  Unknown = 4,   ///< Timed out; the operation may have taken effect.
  NoKeeper = 5,  ///< No effect: no keeper was available in time.
};

/// Returns the lower-case name with underscores, e.g. "no_such_job".
std::string_view ledgerCallOutcomeName(LedgerCallOutcome Outcome);

/// From keeper to entry: the result of LedgerCall.
struct LedgerCallAnswer {
  static constexpr std::string_view TypeName = "ledger_call_answer";
  std::uint64_t m_Call = 0;
  std::string m_Id; ///< Of the job; empty in answers of older versions.
  LedgerCallOutcome m_Outcome = LedgerCallOutcome::Unknown;
  StoredJobState m_State = StoredJobState::Queued;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("outcome", m_Outcome);
    V("state", m_State);
  }
};

/// From keeper to all nodes: this node is now the keeper of the partition.
/// Nodes that run tasks of the partition reply with LedgerRuns and ignore
/// orders with a lower epoch from then on. Also sent to one owner to ask for
/// its runs again.
struct LedgerOpened {
  static constexpr std::string_view TypeName = "ledger_opened";
  LedgerClaim m_Claim;
  std::uint64_t m_Query = 0; ///< Repeated in the reply.
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("query", m_Query);
  }
};

/// From keeper to owner: run this task once. The owner replies with
/// StoredTaskReport when the run has ended.
struct RunStoredTask {
  static constexpr std::string_view TypeName = "run_stored_task";
  LedgerClaim m_Claim;
  StoredTask m_Task;
  /// When the log last confirmed the keeper, on the owner's clock; 0 if the
  /// keeper does not say so, as older versions do.
  double m_ConfirmedAtMs = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("task", m_Task);
    V("confirmed_at", m_ConfirmedAtMs);
  }
};

/// From keeper to owner, after each confirmation of the keeper by the log: the
/// runs that the keeper expects the owner to have. Runs that are not listed
/// end StoredRunLimitMs after the last confirmation in which they were.
struct StoredRunsConfirmed {
  static constexpr std::string_view TypeName = "stored_runs_confirmed";
  LedgerClaim m_Claim;
  double m_ConfirmedAtMs = 0; ///< On the owner's clock.
  std::vector<StoredRun> m_Runs;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("confirmed_at", m_ConfirmedAtMs);
    V("runs", m_Runs);
  }
};

/// From keeper to owner: stop this run.
struct StopStoredRun {
  static constexpr std::string_view TypeName = "stop_stored_run";
  LedgerClaim m_Claim;
  StoredRun m_Run;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("run", m_Run);
  }
};

/// From keeper to owner: the end of this run is stored in the log or no longer
/// needed. The owner acknowledges the end to the worker, which then drops it.
struct StoredEndConfirmed {
  static constexpr std::string_view TypeName = "stored_end_settled";
  StoredRun m_Run;
  /// The task has been started again since: acknowledge the worker only after
  /// its lease has expired.
  bool m_Superseded = false;
  /// What is stored is the loss of the run with its worker, and no end that the
  /// worker has listed since. Older versions do not say so.
  bool m_IsLoss = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("run", m_Run);
    V("superseded", m_Superseded);
    V("loss", m_IsLoss);
  }
};

/// From owner to keeper: how a run ended.
struct StoredTaskReport {
  static constexpr std::string_view TypeName = "stored_task_report";
  std::uint32_t m_PartitionId = 0;
  StoredRun m_Run;
  StoredRunEnd m_EndKind = StoredRunEnd::NotRun;
  JobReason m_Reason = JobReason::None;
  std::string m_Worker; ///< Empty if none was assigned.
  /// Set if the run ended because this worker became unreachable or restarted.
  WorkerIncarnation m_LostWith;
  template <typename Visitor> void fields(Visitor &V) {
    V("part", m_PartitionId);
    V("run", m_Run);
    V("how", m_EndKind);
    visitReason(V, m_Reason);
    V("worker", m_Worker);
    V("lost_with", m_LostWith);
  }
};

/// From owner to keeper, in reply to LedgerOpened: the owner's runs of the
/// partition.
struct LedgerRuns {
  static constexpr std::string_view TypeName = "ledger_runs";
  LedgerClaim m_Claim;
  std::vector<StoredRun> m_Runs;
  std::uint64_t m_Query = 0; ///< From LedgerOpened.
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("runs", m_Runs);
    V("query", m_Query);
  }
};

/// Any message about stored jobs from one node to another.
using StoredJobMessage =
    std::variant<LedgerCall, LedgerCallAnswer, LedgerOpened, RunStoredTask,
                 StoredRunsConfirmed, StopStoredRun, StoredEndConfirmed,
                 StoredTaskReport, LedgerRuns>;

/// Requests a document if the receiver has a version above this one.
struct DocumentRequest {
  static constexpr std::string_view TypeName = "document_request";
  std::string m_Name;
  std::uint64_t m_NewerThan = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("name", m_Name);
    V("above", m_NewerThan);
  }
};

/// A document that nodes exchange while the platform is unreachable.
struct Document {
  static constexpr std::string_view TypeName = "document";
  std::string m_Name;
  std::uint64_t m_Version = 0;
  std::string m_Text;
  template <typename Visitor> void fields(Visitor &V) {
    V("name", m_Name);
    V("version", m_Version);
    V("text", m_Text);
  }
};

} // namespace auburnhub

#endif
