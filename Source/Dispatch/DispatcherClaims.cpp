#include "Dispatcher.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>

/// \file
/// What a Dispatcher does about submissions under callers' ids, which it may
/// start only once their claim is the first in the log.

namespace auburnhub {

void Dispatcher::submitCallerId(PeerId From, const Submit &Msg,
                                const std::string &Digest) {
  absl::Status Checked = checkCallerId(Msg.m_Id);
  if (!Checked.ok()) {
    refuse(From, Msg, failureCode(Checked), failureDetail(Checked));
    return;
  }
  Submission &Added = addSubmission(From, Msg, Msg.m_Id, Digest);
  Added.m_Claiming = true;
  ClaimRequest Claim;
  Claim.m_Call = ++m_LastCall;
  Claim.m_Id = Msg.m_Id;
  Claim.m_Team = Msg.m_Team;
  Claim.m_Digest = Digest;
  Claim.m_Incarnation = m_Self;
  if (m_Links.m_Claim(Claim))
    return;
  ClaimReply Failed;
  Failed.m_Id = Msg.m_Id;
  Failed.m_Failure = failureName(FailureCode::PlatformUnavailable);
  Failed.m_Detail = "the control process of this VM is not connected";
  onClaimFailed(Added, Failed);
}

void Dispatcher::onClaimReply(const ClaimReply &Msg) {
  Submission *Claimer = m_Submissions.find(Msg.m_Id);
  if (!Claimer || !Claimer->m_Claiming)
    return;
  std::vector<DeferredSubmit> Deferred = std::move(Claimer->m_Deferred);
  Claimer->m_Deferred.clear();
  if (!Msg.m_Failure.empty()) {
    onClaimFailed(*Claimer, Msg);
    for (const DeferredSubmit &Item : Deferred)
      refuse(Item.m_From, Item.m_Message,
             failureFromName(Msg.m_Failure).value_or(FailureCode::Internal),
             Msg.m_Detail);
    return;
  }
  if (Msg.m_Winner != m_Self)
    onClaimLost(*Claimer, Msg);
  else
    onClaimWon(*Claimer);
  resubmit(std::move(Deferred));
}

void Dispatcher::onClaimWon(Submission &Owned) {
  m_ClaimsWon.add();
  m_Log.info("claim_won", {{"submission", Owned.m_Id.str()}});
  Owned.m_Claiming = false;
  if (!Owned.isOver())
    run(Owned);
}

void Dispatcher::resubmit(std::vector<DeferredSubmit> Deferred) {
  MonotonicTime Now = TimerService::now();
  for (DeferredSubmit &Item : Deferred) {
    auto Waited =
        std::chrono::duration_cast<Milliseconds>(Now - Item.m_ArrivedAt);
    std::int64_t Left = Item.m_Message.m_TimeoutMs - Waited.count();
    Item.m_Message.m_TimeoutMs = std::max<std::int64_t>(Left, 1);
    submit(Item.m_From, Item.m_Message);
  }
}

void Dispatcher::onClaimLost(Submission &Loser, const ClaimReply &Msg) {
  m_ClaimsLost.add();
  m_Log.info("claim_lost",
             {{"submission", Msg.m_Id.str()}, {"winner", Msg.m_Winner}});
  m_Winners[Msg.m_Id] = Msg.m_Winner;
  m_WinnersByTime.emplace(Msg.m_Id.timeMs(), Msg.m_Id);
  Submit Again;
  Again.m_Id = Loser.m_Id;
  Again.m_Team = Loser.m_Team;
  Again.m_Service = Loser.m_Service;
  Again.m_Kind = Loser.m_Kind;
  Again.m_Job = Loser.m_Job;
  Again.m_NoRepeat = !Loser.m_Repeatable;
  Again.m_Tasks = Loser.m_Bodies;
  Again.m_TimeoutMs =
      std::max<std::int64_t>(std::chrono::duration_cast<Milliseconds>(
                                 Loser.m_Deadline - TimerService::now())
                                 .count(),
                             1);
  std::vector<Waiter> Waiters = Loser.m_Waiters;
  m_Timers.cancel(Loser.m_Timeout);
  m_Submissions.erase(Again.m_Id);
  for (const Waiter &Waiting : Waiters) {
    Again.m_Call = Waiting.m_Call;
    if (Msg.m_Team != Again.m_Team)
      refuse(Waiting.m_Peer, Again, FailureCode::UnknownSubmission,
             "no such submission of this team");
    else if (Msg.m_Digest != submissionDigest(Again))
      refuse(Waiting.m_Peer, Again, FailureCode::IdMismatch,
             "the id was used with another body");
    else
      forward(Waiting.m_Peer, Again, Msg.m_Winner);
  }
}

void Dispatcher::onClaimFailed(Submission &Claimer, const ClaimReply &Msg) {
  FailureCode Code =
      failureFromName(Msg.m_Failure).value_or(FailureCode::Internal);
  Claimer.m_Claiming = false;
  bool GoesOnWithoutClaim = Claimer.m_Repeatable && !Claimer.isOver() &&
                            (Code == FailureCode::PlatformUnavailable ||
                             Code == FailureCode::ClaimHistoryUnread);
  m_Log.info("claim_failed", {{"submission", Claimer.m_Id.str()},
                              {"failure", Msg.m_Failure},
                              {"runs_without_claim", GoesOnWithoutClaim}});
  if (GoesOnWithoutClaim) {
    run(Claimer);
    return;
  }
  // Nothing was started here, and the id is not remembered: a resubmission
  // claims again, and starts only if this or a later claim of this incarnation
  // turns out to be the first.
  Claimer.m_Exclusive = false;
  if (!Claimer.isOver())
    end(Claimer, Outcome::Unknown, makeFailure(Code, Msg.m_Detail));
  dropLater(Claimer.m_Id);
}

} // namespace auburnhub
