#ifndef AUBURNHUB_DISPATCH_DISPATCHER_H
#define AUBURNHUB_DISPATCH_DISPATCHER_H

#include "DispatchConfiguration.h"
#include "SubmissionTable.h"
#include "TaskRunner.h"
#include "TicketMint.h"

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburnhub {

/// Owns submissions: decides who may start them, has their tasks run, answers.
///
/// A submission is started here only if its id is a ticket of this incarnation
/// that was handed out and not spent, or if this incarnation's claim is the
/// first in the log. Everything else is forwarded to the owner. All functions
/// are called on the dispatcher's task.
class Dispatcher {
public:
  /// How the dispatcher reaches others. Each call returns at once.
  struct Links {
    std::function<void(PeerId, const Answer &)> m_Answer;
    std::function<void(PeerId, const CancelReply &)> m_CancelReply;
    /// Returns false if the control is not connected.
    std::function<bool(const ClaimRequest &)> m_Claim;
    /// Returns the peer that is this incarnation, if it is connected.
    std::function<std::optional<PeerId>(Incarnation)> m_FindOwner;
    std::function<void(PeerId, const Submit &)> m_ForwardSubmit;
    std::function<void(PeerId, const Cancel &)> m_ForwardCancel;
    /// Tells the other dispatchers that an endpoint said that it leaves.
    std::function<void(const std::string &Endpoint)> m_EndpointLeaves;
  };

  Dispatcher(SerialTask &Owner, TimerService &Timers, MetricsRegistry &Metrics,
             Incarnation Self, std::string Vm, StateChart TaskChart,
             Links Reach);

  void configure(const DispatchConfiguration &Configuration);
  const std::optional<DispatchConfiguration> &configuration() const {
    return m_Configuration;
  }

  TaskRunner &runner() { return m_Runner; }

  void submit(PeerId From, const Submit &Msg);
  void cancel(PeerId From, const Cancel &Msg);
  MintedTickets mint(const MintTickets &Msg);

  void onClaimReply(const ClaimReply &Msg);
  void onForwardedAnswer(PeerId From, const Answer &Msg);
  void onForwardedCancelReply(PeerId From, const CancelReply &Msg);

  /// The control is gone: claims that wait for it fail.
  void onControlDown();
  /// A peer is gone: calls forwarded to it end with connection-lost, and its
  /// own calls need no answer.
  void onPeerDown(PeerId Peer);

  /// Refuses new submissions from now on.
  void beginDrain() { m_Draining = true; }
  bool isIdle() const {
    return m_Submissions.unfinished() == 0 && m_Forwards.empty();
  }
  /// Ends all submissions that are not over; returns how many there were.
  std::size_t cutAll();

  /// Does what time alone requires; call it every TickPeriod.
  void tick();
  static constexpr Milliseconds TickPeriod{10};

  nlohmann::json status() const;

private:
  /// A call that was passed on to the owner of its submission.
  struct Forward {
    Waiter m_Waiter;
    PeerId m_Owner;
    SubmissionId m_Id;
    bool m_IsCancel;
  };

  void refuse(PeerId From, const Submit &Msg, FailureCode Code,
              std::string_view Detail, std::int64_t RetryAfterMs = 0);
  absl::Status check(const Submit &Msg) const;
  absl::Status checkCallerId(const SubmissionId &Id) const;
  Submission &addSubmission(PeerId From, const Submit &Msg,
                            const SubmissionId &Id, const std::string &Digest);
  /// Ends a submission whose caller's timeout has passed, once it is known
  /// whether its attempts in progress have started anything, or is settled
  /// that this is not to be known.
  void onTimeout(const SubmissionId &Id, bool IsSettled);
  void join(PeerId From, const Submit &Msg, Submission &Known,
            const std::string &Digest);
  void submitTicket(PeerId From, const Submit &Msg, const std::string &Digest);
  void submitCallerId(PeerId From, const Submit &Msg,
                      const std::string &Digest);
  void forward(PeerId From, const Submit &Msg, Incarnation Owner);
  void forwardCancel(PeerId From, const Cancel &Msg, Incarnation Owner);
  void resubmit(std::vector<DeferredSubmit> Deferred);
  void onClaimWon(Submission &Owned);
  void onClaimLost(Submission &Loser, const ClaimReply &Msg);
  void onClaimFailed(Submission &Claimer, const ClaimReply &Msg);
  void run(Submission &Owned);
  void onTaskDone(Submission &Owner);
  void onTaskFailed(Submission &Owner, const absl::Status &Why, CallEnd End);
  void end(Submission &Over, Outcome Result, const absl::Status &Why,
           std::int64_t RetryAfterMs = 0);
  void answer(Submission &Over, Answer Reply);
  void sendAnswer(const Waiter &To, Answer Reply);
  void dropLater(const SubmissionId &Id);
  void forgetWinnersBefore(std::int64_t TimeMs);

  SerialTask &m_Owner;
  TimerService &m_Timers;
  const Incarnation m_Self;
  const std::string m_Vm;
  Links m_Links;
  Log m_Log{"dispatch"};
  std::optional<DispatchConfiguration> m_Configuration;
  TicketMint m_Tickets;
  SubmissionTable m_Submissions;
  TaskRunner m_Runner;
  std::unordered_map<CallNumber, Forward> m_Forwards;
  /// Owners of ids that lost their claim here, for cancellations.
  std::unordered_map<SubmissionId, Incarnation> m_Winners;
  std::multimap<std::int64_t, SubmissionId> m_WinnersByTime;
  std::vector<SubmissionId> m_ToDrop;
  /// Nothing is remembered of ids minted before; it never goes back.
  std::int64_t m_ForgottenBeforeMs = 0;
  CallNumber m_LastCall = 0;
  bool m_Draining = false;
  Counter &m_Accepted;
  Counter &m_ClaimsWon;
  Counter &m_ClaimsLost;
  Counter &m_Forwarded;
  MetricsRegistry &m_Metrics;
  Gauge &m_Queued;
  Gauge &m_Running;
  Gauge &m_Remembered;
};

/// Returns the digest of what a submission asks for: two submissions with the
/// same id must have the same digest.
std::string submissionDigest(const Submit &Msg);

} // namespace auburnhub

#endif
