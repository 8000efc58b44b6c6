#include "Dispatcher.h"

#include "auburnhub/Base/Failure.h"

/// \file
/// What a Dispatcher does about calls under ids that another incarnation owns,
/// and about cancellations, which may be of such.

namespace auburnhub {
namespace {

/// How often a call is passed on: to the owner, and once more if the first one
/// asked knew better.
constexpr int MaxHops = 2;

} // namespace

void Dispatcher::forward(PeerId From, const Submit &Msg, Incarnation Owner) {
  std::optional<PeerId> Peer = m_Links.m_FindOwner(Owner);
  if (!Peer || Msg.m_Hops >= MaxHops) {
    refuse(From, Msg, FailureCode::OwnerGone,
           "the dispatcher that owns this id cannot be reached");
    return;
  }
  Submit Passed = Msg;
  Passed.m_Call = ++m_LastCall;
  ++Passed.m_Hops;
  m_Forwards[Passed.m_Call] = {{From, Msg.m_Call}, *Peer, Msg.m_Id, false};
  m_Forwarded.add();
  m_Log.info("forwarded_to_owner", {{"submission", Msg.m_Id.str()},
                                    {"owner", Owner},
                                    {"hops", Passed.m_Hops}});
  m_Links.m_ForwardSubmit(*Peer, Passed);
}

void Dispatcher::onForwardedAnswer(PeerId From, const Answer &Msg) {
  auto Found = m_Forwards.find(Msg.m_Call);
  bool IsOurs = Found != m_Forwards.end() && !Found->second.m_IsCancel &&
                Found->second.m_Owner == From && Found->second.m_Id == Msg.m_Id;
  if (!IsOurs) {
    m_Log.warning("answer_mismatch", {{"submission", Msg.m_Id.str()}});
    return;
  }
  Waiter To = Found->second.m_Waiter;
  m_Forwards.erase(Found);
  sendAnswer(To, Msg);
}

void Dispatcher::cancel(PeerId From, const Cancel &Msg) {
  CancelReply Reply;
  Reply.m_Call = Msg.m_Call;
  Reply.m_Id = Msg.m_Id;
  Submission *Known = m_Submissions.find(Msg.m_Id);
  if (Known && Known->m_Team == Msg.m_Team) {
    if (!Known->isOver()) {
      m_Log.info("cancelled", {{"submission", Msg.m_Id.str()}});
      end(*Known, Known->outcomeIfEnded(),
          makeFailure(FailureCode::Cancelled, "the caller cancelled it"));
    }
    m_Links.m_CancelReply(From, Reply);
    return;
  }
  auto Winner = m_Winners.find(Msg.m_Id);
  bool IsForeignTicket =
      Msg.m_Id.isTicket() && Msg.m_Id.incarnation() != m_Self;
  if (IsForeignTicket)
    forwardCancel(From, Msg, Msg.m_Id.incarnation());
  else if (Winner != m_Winners.end())
    forwardCancel(From, Msg, Winner->second);
  else {
    Reply.m_Failure = failureName(FailureCode::UnknownSubmission);
    Reply.m_Detail = "no such submission of this team";
    m_Links.m_CancelReply(From, Reply);
  }
}

void Dispatcher::forwardCancel(PeerId From, const Cancel &Msg,
                               Incarnation Owner) {
  std::optional<PeerId> Peer = m_Links.m_FindOwner(Owner);
  if (!Peer || Msg.m_Hops >= MaxHops) {
    CancelReply Reply;
    Reply.m_Call = Msg.m_Call;
    Reply.m_Id = Msg.m_Id;
    Reply.m_Failure = failureName(FailureCode::OwnerGone);
    Reply.m_Detail = "the dispatcher that owns this id cannot be reached";
    m_Links.m_CancelReply(From, Reply);
    return;
  }
  Cancel Passed = Msg;
  Passed.m_Call = ++m_LastCall;
  ++Passed.m_Hops;
  m_Forwards[Passed.m_Call] = {{From, Msg.m_Call}, *Peer, Msg.m_Id, true};
  m_Links.m_ForwardCancel(*Peer, Passed);
}

void Dispatcher::onForwardedCancelReply(PeerId From, const CancelReply &Msg) {
  auto Found = m_Forwards.find(Msg.m_Call);
  if (Found == m_Forwards.end() || Found->second.m_Owner != From)
    return;
  CancelReply Reply = Msg;
  Reply.m_Call = Found->second.m_Waiter.m_Call;
  PeerId To = Found->second.m_Waiter.m_Peer;
  m_Forwards.erase(Found);
  m_Links.m_CancelReply(To, Reply);
}

void Dispatcher::onPeerDown(PeerId Peer) {
  std::vector<std::pair<CallNumber, Forward>> Lost;
  for (const auto &Item : m_Forwards)
    if (Item.second.m_Owner == Peer || Item.second.m_Waiter.m_Peer == Peer)
      Lost.push_back(Item);
  for (const auto &[Call, Passed] : Lost) {
    m_Forwards.erase(Call);
    if (Passed.m_Waiter.m_Peer == Peer)
      continue;
    if (Passed.m_IsCancel) {
      CancelReply Reply;
      Reply.m_Call = Passed.m_Waiter.m_Call;
      Reply.m_Id = Passed.m_Id;
      Reply.m_Failure = failureName(FailureCode::ConnectionLost);
      Reply.m_Detail = "the connection to the owner broke";
      m_Links.m_CancelReply(Passed.m_Waiter.m_Peer, Reply);
      continue;
    }
    Answer Reply;
    Reply.m_Id = Passed.m_Id;
    Reply.m_Failure = failureName(FailureCode::ConnectionLost);
    Reply.m_Detail = "the connection to the owner broke";
    sendAnswer(Passed.m_Waiter, std::move(Reply));
  }
}

} // namespace auburnhub
