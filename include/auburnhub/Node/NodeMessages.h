#ifndef AUBURNHUB_NODE_NODEMESSAGES_H
#define AUBURNHUB_NODE_NODEMESSAGES_H

#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Messages/Codec.h"

#include <cstdint>
#include <string>
#include <string_view>
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

/// Heartbeat and load of a node, sent to all others.
struct NodeStatus {
  static constexpr std::string_view TypeName = "node_status";
  bool m_Draining = false;
  std::vector<ShardClaim> m_Claims;
  std::uint64_t m_FreeSlots = 0; ///< Tasks that could start now.
  std::uint64_t m_WaitingTasks = 0;
  /// Versions of the documents that the node has, by name.
  std::map<std::string, std::uint64_t> m_Documents;
  template <typename Visitor> void fields(Visitor &V) {
    V("draining", m_Draining);
    V("claims", m_Claims);
    V("free", m_FreeSlots);
    V("waiting", m_WaitingTasks);
    V("documents", m_Documents);
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
