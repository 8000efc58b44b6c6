#ifndef AUBURNHUB_NODE_NODEMESSAGES_H
#define AUBURNHUB_NODE_NODEMESSAGES_H

#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Messages/Codec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// The typed messages between nodes. Times are milliseconds; addresses are
/// "host:port".

namespace auburnhub {

/// Names a set of workers that has one owner at a time.
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

/// First message on every link, in both directions.
struct NodeHello {
  static constexpr std::string_view TypeName = "node_hello";
  std::string m_Node;
  std::string m_DataCentre;
  std::string m_LinkAddress;
  std::uint64_t m_Incarnation = 0;
  double m_Weight = 1; ///< Its share of a core, to choose owners.
  std::vector<std::string> m_KnownAddresses; ///< Of other nodes.
  template <typename Visitor> void fields(Visitor &V) {
    V("node", m_Node);
    V("data_centre", m_DataCentre);
    V("link", m_LinkAddress);
    V("incarnation", m_Incarnation);
    V("weight", m_Weight);
    V("known", m_KnownAddresses);
  }
};

/// A node's hold on a shard.
struct ShardClaim {
  ShardId m_Shard;
  std::uint64_t m_Token = 0; ///< Fencing token of the owner's orders.
  /// The owner hands the shard over: whoever claims it next may take the
  /// workers that are not listed as busy.
  bool m_Releasing = false;
  std::vector<std::string> m_Busy;
  bool operator==(const ShardClaim &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("shard", m_Shard);
    V("token", m_Token);
    V("releasing", m_Releasing);
    V("busy", m_Busy);
  }
};

/// A node's hold on a partition of the stored jobs.
struct LedgerClaim {
  std::uint32_t m_Part = 0;
  LedgerEpoch m_Epoch = 0;
  bool operator==(const LedgerClaim &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("part", m_Part);
    V("epoch", m_Epoch);
  }
};

/// What a keeper tells of a partition.
struct LedgerStatus {
  LedgerClaim m_Claim;
  /// Stored jobs of each queue of which no task has started.
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
  std::uint64_t m_FreeSlots = 0; ///< Tasks that could start now.
  std::uint64_t m_WaitingTasks = 0;
  /// Versions of the documents that the node has, by name.
  std::map<std::string, std::uint64_t> m_Documents;
  /// The system has stored jobs, or had some.
  bool m_StoresJobs = false;
  std::vector<LedgerStatus> m_Ledgers;
  template <typename Visitor> void fields(Visitor &V) {
    V("draining", m_Draining);
    V("claims", m_Claims);
    V("free", m_FreeSlots);
    V("waiting", m_WaitingTasks);
    V("documents", m_Documents);
    V("stores_jobs", m_StoresJobs);
    V("ledgers", m_Ledgers);
  }
};

/// Entry to owner: run this job and answer.
struct SubmitJob {
  static constexpr std::string_view TypeName = "submit_job";
  std::uint64_t m_Call = 0;
  JobRequest m_Job;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("job", m_Job);
  }
};

/// Owner to entry: what became of the job of a call.
struct JobAnswer {
  static constexpr std::string_view TypeName = "job_answer";
  std::uint64_t m_Call = 0;
  JobOutcome m_Outcome = JobOutcome::GivenUp;
  JobReason m_Reason = JobReason::None;
  double m_RetryAfterMs = 0;
  std::uint64_t m_FreeSlots = 0;
  std::uint64_t m_WaitingTasks = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("outcome", m_Outcome);
    V("reason", m_Reason);
    V("retry_after", m_RetryAfterMs);
    V("free", m_FreeSlots);
    V("waiting", m_WaitingTasks);
  }
};

/// Entry to owner: the caller does not want this job any more. With a call
/// number other than 0, CancelAnswer says whether the job was known.
struct CancelJob {
  static constexpr std::string_view TypeName = "cancel_job";
  std::string m_Id;
  std::uint64_t m_Call = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("id", m_Id);
    V("call", m_Call);
  }
};

struct CancelAnswer {
  static constexpr std::string_view TypeName = "cancel_answer";
  std::uint64_t m_Call = 0;
  bool m_Known = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("known", m_Known);
  }
};

/// What a caller wants of a stored job.
enum class LedgerCallKind { Submit = 0, State = 1, Cancel = 2 };

/// Entry to the keeper of a partition.
struct LedgerCall {
  static constexpr std::string_view TypeName = "ledger_call";
  std::uint64_t m_Call = 0;
  LedgerCallKind m_Kind = LedgerCallKind::State;
  std::uint32_t m_Part = 0;
  std::string m_Id;
  JobRequest m_Job; ///< For Submit.
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("kind", m_Kind);
    V("part", m_Part);
    V("id", m_Id);
    V("job", m_Job);
  }
};

/// How a call about a stored job ended.
enum class LedgerCallOutcome {
  Done = 0,    ///< What was asked for is stored, or the state is known.
  Refused = 1, ///< The job is not stored and will not be by this call.
  NoSuchJob = 2,
  NotKeeper = 3, ///< Nothing was done; another node keeps the partition.
  Unknown = 4,   ///< No answer in time; it may have been done.
  NoKeeper = 5,  ///< Nothing was done; no node could be asked in time.
};

/// Returns the lower-case name with underscores, e.g. "no_such_job".
std::string_view ledgerCallOutcomeName(LedgerCallOutcome Outcome);

/// Keeper to entry.
struct LedgerCallAnswer {
  static constexpr std::string_view TypeName = "ledger_call_answer";
  std::uint64_t m_Call = 0;
  LedgerCallOutcome m_Outcome = LedgerCallOutcome::Unknown;
  StoredJobState m_State = StoredJobState::Queued;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("outcome", m_Outcome);
    V("state", m_State);
  }
};

/// Keeper to all nodes: this node keeps the partition now. Whoever runs tasks
/// of it says so with LedgerRuns and obeys no lower epoch any more.
struct LedgerOpened {
  static constexpr std::string_view TypeName = "ledger_opened";
  LedgerClaim m_Claim;
  template <typename Visitor> void fields(Visitor &V) { V("claim", m_Claim); }
};

/// Keeper to owner: run this task once. A StoredTaskReport follows.
struct RunStoredTask {
  static constexpr std::string_view TypeName = "run_stored_task";
  LedgerClaim m_Claim;
  StoredTask m_Task;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("task", m_Task);
  }
};

/// One run of a task.
struct StoredRun {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  bool operator==(const StoredRun &) const = default;
  template <typename Visitor> void fields(Visitor &V) {
    V("task", m_Task);
    V("number", m_Number);
  }
};

/// Keeper to owner: this run is not wanted any more.
struct StopStoredRun {
  static constexpr std::string_view TypeName = "stop_stored_run";
  LedgerClaim m_Claim;
  StoredRun m_Run;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("run", m_Run);
  }
};

/// Keeper to owner: the end of this run is stored, or of no use; its worker
/// may forget it.
struct StoredEndSettled {
  static constexpr std::string_view TypeName = "stored_end_settled";
  StoredRun m_Run;
  /// The task was started again since: the worker's lease must run out first.
  bool m_Superseded = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("run", m_Run);
    V("superseded", m_Superseded);
  }
};

/// Owner to keeper: how a run ended.
struct StoredTaskReport {
  static constexpr std::string_view TypeName = "stored_task_report";
  std::uint32_t m_Part = 0;
  StoredRun m_Run;
  StoredRunEnd m_How = StoredRunEnd::NotRun;
  JobReason m_Reason = JobReason::None;
  std::string m_Worker; ///< Empty if it never had one.
  template <typename Visitor> void fields(Visitor &V) {
    V("part", m_Part);
    V("run", m_Run);
    V("how", m_How);
    V("reason", m_Reason);
    V("worker", m_Worker);
  }
};

/// Owner to keeper, after LedgerOpened: the runs of the partition it has.
struct LedgerRuns {
  static constexpr std::string_view TypeName = "ledger_runs";
  LedgerClaim m_Claim;
  std::vector<StoredRun> m_Runs;
  template <typename Visitor> void fields(Visitor &V) {
    V("claim", m_Claim);
    V("runs", m_Runs);
  }
};

/// Any message about stored jobs from one node to another.
using StoredJobMessage =
    std::variant<LedgerCall, LedgerCallAnswer, LedgerOpened, RunStoredTask,
                 StopStoredRun, StoredEndSettled, StoredTaskReport, LedgerRuns>;

/// Asks for a document if the receiver has a version above this one.
struct DocumentRequest {
  static constexpr std::string_view TypeName = "document_request";
  std::string m_Name;
  std::uint64_t m_Above = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("name", m_Name);
    V("above", m_Above);
  }
};

/// A document that nodes hand each other when the platform is out of reach.
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
