#ifndef AUBURNHUB_MESSAGES_MESSAGES_H
#define AUBURNHUB_MESSAGES_MESSAGES_H

#include "auburnhub/Messages/Codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The typed messages between the system's processes. docs/DESIGN.md says who
/// sends which. Times are milliseconds; instants are wall-clock milliseconds
/// since the Unix epoch; addresses are "host:port".

namespace auburnhub {

/// Pairs a reply with its request on one connection.
using CallNumber = std::uint64_t;

/// What is known of a submission that did not succeed, and of one that did.
enum class Outcome {
  Complete = 0, ///< Every task ran and succeeded.
  NotRun = 1,   ///< No task of this id ever started, and none will.
  Failed = 2,   ///< Started, and finished failed.
  Unknown = 3,  ///< May have run.
};

/// Returns "complete", "not_run", "failed" or "unknown".
std::string_view outcomeName(Outcome Value);

/// First message on every connection, in both directions.
struct Hello {
  static constexpr std::string_view TypeName = "hello";
  std::string m_Role; ///< "entry", "dispatch" or "control".
  std::string m_Vm;
  std::string m_DataCentre;
  Incarnation m_Incarnation = 0;
  std::string m_LinkAddress; ///< Where the sender listens; empty if nowhere.
  std::string m_HttpAddress;
  template <typename Visitor> void fields(Visitor &V) {
    V("role", m_Role);
    V("vm", m_Vm);
    V("data_centre", m_DataCentre);
    V("incarnation", m_Incarnation);
    V("link", m_LinkAddress);
    V("http", m_HttpAddress);
  }
};

/// Entry to dispatcher, or dispatcher to the owning dispatcher: run this.
struct Submit {
  static constexpr std::string_view TypeName = "submit";
  CallNumber m_Call = 0;
  SubmissionId m_Id; ///< Nil: the dispatcher mints a ticket.
  std::string m_Team;
  std::string m_Service;
  std::string m_Kind;      ///< The caller's name for this sort of work.
  bool m_Job = false;      ///< A job; otherwise one request.
  bool m_NoRepeat = false; ///< The caller forbids to repeat a request.
  std::vector<Bytes> m_Tasks;
  std::int64_t m_TimeoutMs = 0; ///< Time left of the caller's timeout.
  int m_Hops = 0; ///< How often it was forwarded between dispatchers.
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("team", m_Team);
    V("service", m_Service);
    V("kind", m_Kind);
    V("job", m_Job);
    V("no_repeat", m_NoRepeat);
    V("tasks", m_Tasks);
    V("timeout", m_TimeoutMs);
    V("hops", m_Hops);
  }
};

/// The answer to Submit. Failure is the name of a FailureCode, or empty when
/// the outcome is Complete; only then are there results, one for each task.
struct Answer {
  static constexpr std::string_view TypeName = "answer";
  CallNumber m_Call = 0;
  SubmissionId m_Id;
  Outcome m_Outcome = Outcome::Unknown;
  std::string m_Failure;
  std::string m_Detail;
  std::int64_t m_RetryAfterMs = 0;
  std::vector<Bytes> m_Results;
  std::string m_OwnerVm;
  /// The sender drains and did nothing with the submission, so that another
  /// dispatcher may be asked for all but its own tickets.
  bool m_AskAnother = false;
  template <typename Visitor> void fields(Visitor &V) {
    V("ask_another", m_AskAnother);
    V("call", m_Call);
    V("id", m_Id);
    V("outcome", m_Outcome);
    V("failure", m_Failure);
    V("detail", m_Detail);
    V("retry_after", m_RetryAfterMs);
    V("results", m_Results);
    V("owner_vm", m_OwnerVm);
  }
};

/// Dispatcher to entry: I drain, send me nothing new but what concerns my
/// submissions. Links keep their order, so once the entry's DrainingSeen has
/// arrived nothing new follows it.
struct Draining {
  static constexpr std::string_view TypeName = "draining";
  template <typename Visitor> void fields(Visitor &) {}
};

/// The answer to Draining.
struct DrainingSeen {
  static constexpr std::string_view TypeName = "draining_seen";
  template <typename Visitor> void fields(Visitor &) {}
};

/// Asks for the cancellation of a submission; Answer to Submit still follows.
struct Cancel {
  static constexpr std::string_view TypeName = "cancel";
  CallNumber m_Call = 0;
  SubmissionId m_Id;
  std::string m_Team;
  int m_Hops = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("team", m_Team);
    V("hops", m_Hops);
  }
};

/// The answer to Cancel. Failure is empty when the cancellation was taken.
struct CancelReply {
  static constexpr std::string_view TypeName = "cancel_reply";
  CallNumber m_Call = 0;
  SubmissionId m_Id;
  std::string m_Failure;
  std::string m_Detail;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("failure", m_Failure);
    V("detail", m_Detail);
  }
};

/// Asks a dispatcher for tickets.
struct MintTickets {
  static constexpr std::string_view TypeName = "mint_tickets";
  CallNumber m_Call = 0;
  std::string m_Team;
  int m_Count = 1;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("team", m_Team);
    V("count", m_Count);
  }
};

struct MintedTickets {
  static constexpr std::string_view TypeName = "minted_tickets";
  CallNumber m_Call = 0;
  std::vector<SubmissionId> m_Ids;
  std::string m_Failure;
  std::string m_Detail;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("ids", m_Ids);
    V("failure", m_Failure);
    V("detail", m_Detail);
  }
};

/// Dispatcher to its control process: claim an id for this incarnation.
struct ClaimRequest {
  static constexpr std::string_view TypeName = "claim_request";
  CallNumber m_Call = 0;
  SubmissionId m_Id;
  std::string m_Team;
  std::string m_Digest; ///< Digest of the submission's content.
  Incarnation m_Incarnation = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("team", m_Team);
    V("digest", m_Digest);
    V("incarnation", m_Incarnation);
  }
};

/// The first claim of the id in log order, or why it is not known.
struct ClaimReply {
  static constexpr std::string_view TypeName = "claim_reply";
  CallNumber m_Call = 0;
  SubmissionId m_Id;
  std::string m_Failure; ///< Empty when a winner is known.
  std::string m_Detail;
  Incarnation m_Winner = 0;
  std::string m_Team;   ///< The winner's team.
  std::string m_Digest; ///< The winner's digest.
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("id", m_Id);
    V("failure", m_Failure);
    V("detail", m_Detail);
    V("winner", m_Winner);
    V("team", m_Team);
    V("digest", m_Digest);
  }
};

/// A configuration record of the platform's log, with its offset.
struct ConfigurationRecord {
  int m_Schema = 1;
  std::string m_ChangeId;
  std::int64_t m_Base = -1; ///< Offset of the record it replaces; -1 for none.
  std::string m_Author;
  nlohmann::json m_Body = nlohmann::json::object();
  template <typename Visitor> void fields(Visitor &V) {
    V("schema", m_Schema);
    V("change_id", m_ChangeId);
    V("base", m_Base);
    V("author", m_Author);
    V("body", m_Body);
  }
};

/// Control to the local processes and to peers: the accepted configuration.
struct ConfigurationUpdate {
  static constexpr std::string_view TypeName = "configuration";
  std::int64_t m_Offset = -1;
  ConfigurationRecord m_Record;
  template <typename Visitor> void fields(Visitor &V) {
    V("offset", m_Offset);
    V("record", m_Record);
  }
};

/// Asks a peer for its accepted configuration.
struct ConfigurationQuery {
  static constexpr std::string_view TypeName = "configuration_query";
  std::int64_t m_Known = -1; ///< The sender's offset.
  template <typename Visitor> void fields(Visitor &V) { V("known", m_Known); }
};

/// One VM of the system as its control process describes it.
struct Member {
  std::string m_Vm;
  std::string m_DataCentre;
  std::string m_ControlAddress;
  std::string m_DispatchAddress; ///< Link address; empty if not running.
  Incarnation m_DispatchIncarnation = 0;
  bool m_DispatchReady = false; ///< Takes new work.
  std::string m_EntryAddress;   ///< HTTP address; empty if not running.
  int m_Weight = 1;             ///< The VM's size, for ownership.
  std::uint64_t m_Version = 0;  ///< Rises with each change of the above.
  std::int64_t m_ConfigurationOffset = -1;
  int m_ConfigurationSchema = 1; ///< Newest record schema it reads.
  template <typename Visitor> void fields(Visitor &V) {
    V("vm", m_Vm);
    V("data_centre", m_DataCentre);
    V("control", m_ControlAddress);
    V("dispatch", m_DispatchAddress);
    V("incarnation", m_DispatchIncarnation);
    V("ready", m_DispatchReady);
    V("entry", m_EntryAddress);
    V("weight", m_Weight);
    V("version", m_Version);
    V("config", m_ConfigurationOffset);
    V("config_schema", m_ConfigurationSchema);
  }
};

/// Control to control: I live; this is what I know of others.
struct Heartbeat {
  static constexpr std::string_view TypeName = "heartbeat";
  Member m_Self;
  /// Control addresses of other members, so that a newcomer finds them all;
  /// only those not sent before on this link.
  std::vector<std::string> m_Known;
  template <typename Visitor> void fields(Visitor &V) {
    V("self", m_Self);
    V("known", m_Known);
  }
};

/// Control to control in place of Heartbeat: the Heartbeat sent before on the
/// same link still holds.
struct MemberPulse {
  static constexpr std::string_view TypeName = "pulse";
  template <typename Visitor> void fields(Visitor &) {}
};

/// The answer to a MemberPulse of a member whose description is not known.
struct MemberQuery {
  static constexpr std::string_view TypeName = "member_query";
  template <typename Visitor> void fields(Visitor &) {}
};

/// Control to the controls of its data centre: the endpoint VMs that leave, by
/// the platform's list that the sender has read.
struct LeavingVms {
  static constexpr std::string_view TypeName = "leaving_vms";
  std::int64_t m_ReadAtMs = 0; ///< When the list was read.
  std::vector<std::string> m_Vms;
  template <typename Visitor> void fields(Visitor &V) {
    V("read_at", m_ReadAtMs);
    V("vms", m_Vms);
  }
};

/// Control to the local processes: the members that answer heartbeats (this VM
/// among them) and the endpoint VMs that the platform lists as leaving.
struct MembersUpdate {
  static constexpr std::string_view TypeName = "members";
  std::vector<Member> m_Members;
  std::vector<std::string> m_LeavingVms;
  template <typename Visitor> void fields(Visitor &V) {
    V("members", m_Members);
    V("leaving", m_LeavingVms);
  }
};

/// A local process to its control: my state for the members' view.
struct LocalStatus {
  static constexpr std::string_view TypeName = "local_status";
  std::string m_Role;
  std::string m_LinkAddress;
  std::string m_HttpAddress;
  Incarnation m_Incarnation = 0;
  bool m_Ready = false;
  std::int64_t m_ConfigurationOffset = -1;
  template <typename Visitor> void fields(Visitor &V) {
    V("role", m_Role);
    V("link", m_LinkAddress);
    V("http", m_HttpAddress);
    V("incarnation", m_Incarnation);
    V("ready", m_Ready);
    V("config", m_ConfigurationOffset);
  }
};

/// Dispatcher to dispatcher: this endpoint said that it leaves.
struct EndpointLeaving {
  static constexpr std::string_view TypeName = "endpoint_leaving";
  std::string m_Endpoint;
  template <typename Visitor> void fields(Visitor &V) {
    V("endpoint", m_Endpoint);
  }
};

/// Dispatcher to dispatcher: lend me slots for this service.
struct LoanRequest {
  static constexpr std::string_view TypeName = "loan_request";
  CallNumber m_Call = 0;
  std::string m_Service;
  int m_Slots = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("service", m_Service);
    V("slots", m_Slots);
  }
};

/// Slots of one endpoint that a dispatcher lends.
struct LoanedSlots {
  std::string m_Endpoint; ///< The endpoint's address.
  int m_Slots = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("endpoint", m_Endpoint);
    V("slots", m_Slots);
  }
};

/// The answer to LoanRequest; empty when nothing is idle. The borrower may
/// start work on the slots until the loan expires, and returns each slot once.
struct LoanGrant {
  static constexpr std::string_view TypeName = "loan_grant";
  CallNumber m_Call = 0;
  std::string m_Service;
  std::uint64_t m_Loan = 0;
  std::int64_t m_ExpiresInMs = 0;
  std::vector<LoanedSlots> m_Slots;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("service", m_Service);
    V("loan", m_Loan);
    V("expires_in", m_ExpiresInMs);
    V("slots", m_Slots);
  }
};

/// Borrower to lender: these slots are free again.
struct LoanReturn {
  static constexpr std::string_view TypeName = "loan_return";
  std::uint64_t m_Loan = 0;
  std::vector<LoanedSlots> m_Slots;
  template <typename Visitor> void fields(Visitor &V) {
    V("loan", m_Loan);
    V("slots", m_Slots);
  }
};

/// The message could not be handled; the call it belonged to, if any, failed.
struct Reject {
  static constexpr std::string_view TypeName = "reject";
  CallNumber m_Call = 0;
  std::string m_Failure;
  std::string m_Detail;
  template <typename Visitor> void fields(Visitor &V) {
    V("call", m_Call);
    V("failure", m_Failure);
    V("detail", m_Detail);
  }
};

} // namespace auburnhub

#endif
