#include "CallRouter.h"

#include <set>

/// \file
/// What a CallRouter makes of what its links bring: members, configurations and
/// answers.

namespace auburnhub {
namespace {

/// How often a call is passed on from a dispatcher that drains.
constexpr int MaxReroutes = 3;

} // namespace

void CallRouter::onPeerUp(PeerId Peer, const Hello &Greeting) {
  if (Greeting.m_Role == "control") {
    m_ControlPeer = Peer;
    sendStatus();
  }
  refreshView();
}

void CallRouter::onPeerDown(PeerId Peer, const Hello &Greeting) {
  m_DrainingPeers.erase(Peer);
  if (Peer == m_ControlPeer)
    m_ControlPeer = 0;
  std::vector<CallNumber> Lost = m_Calls.callsAt(Peer);
  if (!Lost.empty())
    m_CallsLog.warning("calls_lost",
                       {{"dispatcher", Greeting.m_Vm}, {"calls", Lost.size()}});
  failAll(Lost, {FailureCode::ConnectionLost,
                 "the link to the dispatcher on " + Greeting.m_Vm + " broke",
                 Outcome::Unknown, 0});
  refreshView();
}

void CallRouter::onReceived(PeerId From, const Envelope &Received) {
  if (Received.m_Type == Answer::TypeName) {
    onReply<Answer>(From, Received);
  } else if (Received.m_Type == CancelReply::TypeName) {
    onReply<CancelReply>(From, Received);
  } else if (Received.m_Type == MintedTickets::TypeName) {
    onReply<MintedTickets>(From, Received);
  } else if (Received.m_Type == Draining::TypeName) {
    onDraining(From);
  } else if (Received.m_Type == Reject::TypeName) {
    onReject(From, Received);
  } else if (From == m_ControlPeer &&
             Received.m_Type == MembersUpdate::TypeName) {
    if (auto Update = decode<MembersUpdate>(Received); Update.ok())
      onMembers(*Update);
  } else if (From == m_ControlPeer &&
             Received.m_Type == ConfigurationUpdate::TypeName) {
    if (auto Update = decode<ConfigurationUpdate>(Received); Update.ok())
      onConfiguration(*Update);
  } else {
    m_CallsLog.warning("message_ignored", {{"type", Received.m_Type}});
  }
}

void CallRouter::onMembers(const MembersUpdate &Update) {
  m_Members = Update.m_Members;
  std::set<Address> Wanted = {m_Control};
  for (const Member &Each : m_Members) {
    absl::StatusOr<Address> Where = parseAddress(Each.m_DispatchAddress);
    if (Where.ok())
      Wanted.insert(*Where);
  }
  m_Hub.keepOnly(Wanted);
  refreshView();
}

void CallRouter::onConfiguration(const ConfigurationUpdate &Update) {
  if (Update.m_Offset <= m_Configuration.m_Offset)
    return;
  m_Configuration = EntryConfiguration::fromUpdate(Update);
  m_OffsetGauge.set(static_cast<double>(Update.m_Offset));
  m_ConfigLog.info("configuration_in_force",
                   {{"offset", Update.m_Offset},
                    {"change_id", Update.m_Record.m_ChangeId},
                    {"services", m_Configuration.m_Services.size()},
                    {"teams", m_Configuration.m_Teams.size()}});
  refreshReady();
  sendStatus();
}

template <WireMessage Reply>
void CallRouter::onReply(PeerId From, const Envelope &Received) {
  absl::StatusOr<Reply> Decoded = decode<Reply>(Received);
  if (!Decoded.ok()) {
    // The call it belongs to, if any, ends by its timeout.
    refuseReply(From, ReplyMatch::Mismatch, 0, Reply::TypeName);
    return;
  }
  ReplyMatch Match = m_Calls.match(From, *Decoded);
  if (Match != ReplyMatch::Waiting) {
    refuseReply(From, Match, Decoded->m_Call, Reply::TypeName);
    return;
  }
  if constexpr (std::same_as<Reply, Answer>)
    if (reroute(From, *Decoded))
      return;
  finish(m_Calls.take(Decoded->m_Call), std::move(*Decoded));
}

bool CallRouter::reroute(PeerId From, const Answer &Received) {
  if (!Received.m_AskAnother)
    return false;
  onDraining(From);
  const WaitingCall &Refused = *m_Calls.find(Received.m_Call);
  bool MayAskAnother = !Refused.m_Id.isTicket() && Refused.m_Request &&
                       Refused.m_Reroutes < MaxReroutes;
  if (!MayAskAnother)
    return false;
  absl::StatusOr<ChosenDispatcher> Chosen =
      m_Choice.choose(m_View, Refused.m_Id, m_Random);
  if (!Chosen.ok())
    return false;
  WaitingCall Call = std::move(*m_Calls.take(Received.m_Call));
  m_Context.m_Timers.cancel(Call.m_Timer);
  countCall(From, -1);
  ++Call.m_Reroutes;
  forward(std::move(Call), *Chosen);
  return true;
}

void CallRouter::onDraining(PeerId From) {
  if (!m_DrainingPeers.insert(From).second)
    return;
  refreshView();
  m_Hub.send(From, DrainingSeen());
}

void CallRouter::onReject(PeerId From, const Envelope &Received) {
  absl::StatusOr<Reject> Decoded = decode<Reject>(Received);
  if (!Decoded.ok())
    return;
  m_CallsLog.warning("rejected_by_peer", toJson(*Decoded));
  if (m_Calls.match(From, *Decoded) != ReplyMatch::Waiting)
    return;
  std::optional<WaitingCall> Call = m_Calls.take(Decoded->m_Call);
  Outcome Lost = outcomeOfLostCall(Call->m_Action);
  finish(std::move(Call), CallFailure{FailureCode::Internal,
                                      "the dispatcher rejected the message: " +
                                          Decoded->m_Detail,
                                      Lost, 0});
}

void CallRouter::refuseReply(PeerId From, ReplyMatch Match, CallNumber Number,
                             std::string_view Type) {
  auto Peer = m_Hub.peers().find(From);
  nlohmann::json Fields = {
      {"call", Number},
      {"type", Type},
      {"peer", Peer == m_Hub.peers().end() ? "" : Peer->second.m_Vm}};
  if (Match == ReplyMatch::Late) {
    m_LateAnswers.add();
    m_CallsLog.info("late_answer", std::move(Fields));
    return;
  }
  m_Mismatches.add();
  m_CallsLog.warning("answer_mismatch", std::move(Fields));
}

} // namespace auburnhub
