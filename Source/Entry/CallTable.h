#ifndef AUBURNHUB_ENTRY_CALLTABLE_H
#define AUBURNHUB_ENTRY_CALLTABLE_H

#include "CallerRequest.h"

#include "auburnhub/Wire/LinkHub.h"

#include "absl/functional/any_invocable.h"

#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace auburnhub {

/// Why a call has no answer from a dispatcher.
struct CallFailure {
  FailureCode m_Code = FailureCode::Internal;
  std::string m_Detail;
  Outcome m_Outcome = Outcome::Unknown;
  std::int64_t m_RetryAfterMs = 0;
};

using CallReply = std::variant<CallFailure, Answer, CancelReply, MintedTickets>;

/// A call that was sent to a dispatcher and waits for the answer.
struct WaitingCall {
  CallerAction m_Action = CallerAction::Request;
  PeerId m_Peer = 0;
  SubmissionId m_Id; ///< Nil: the call had none.
  /// What the caller asked for, to ask another dispatcher if this one drains.
  std::shared_ptr<const CallerRequest> m_Request;
  MonotonicTime m_Received;
  int m_Reroutes = 0;
  TimerService::Subscription m_Timer = 0;
  absl::AnyInvocable<void(CallReply)> m_Done;
};

/// Returns what is known of a call that was sent and has no answer.
Outcome outcomeOfLostCall(CallerAction Action);

/// How a reply relates to the calls.
enum class ReplyMatch {
  Waiting,  ///< It answers a waiting call.
  Late,     ///< It answers a call that was given up.
  Mismatch, ///< It answers no call that was sent to this peer.
};

/// The calls that wait for an answer, by call number. A reply fits a call only
/// if number, peer, type and submission id all do.
class CallTable {
public:
  /// Adds a call under a number that was never used in this process.
  CallNumber add(WaitingCall Call);

  /// Says how a reply of a peer fits.
  template <WireMessage Reply>
  ReplyMatch match(PeerId From, const Reply &Received) const {
    auto Found = m_Waiting.find(Received.m_Call);
    if (Found != m_Waiting.end())
      return fits(Found->second, From, Received) ? ReplyMatch::Waiting
                                                 : ReplyMatch::Mismatch;
    auto GivenUp = m_GivenUp.find(Received.m_Call);
    bool IsLate = GivenUp != m_GivenUp.end() && GivenUp->second == From;
    return IsLate ? ReplyMatch::Late : ReplyMatch::Mismatch;
  }

  /// Returns a waiting call, or nullptr.
  WaitingCall *find(CallNumber Number);

  /// Removes a call that was answered.
  std::optional<WaitingCall> take(CallNumber Number);

  /// Removes a call whose answer, if it still comes, is late.
  std::optional<WaitingCall> giveUp(CallNumber Number);

  /// Returns the numbers of the calls that wait for a peer.
  std::vector<CallNumber> callsAt(PeerId Peer) const;

  /// Returns the numbers of all waiting calls.
  std::vector<CallNumber> calls() const;

  std::size_t size() const { return m_Waiting.size(); }

private:
  static bool fitsId(const WaitingCall &Call, const SubmissionId &Id);
  static bool fits(const WaitingCall &Call, PeerId From,
                   const Answer &Received);
  static bool fits(const WaitingCall &Call, PeerId From,
                   const CancelReply &Received);
  static bool fits(const WaitingCall &Call, PeerId From,
                   const MintedTickets &Received);
  static bool fits(const WaitingCall &Call, PeerId From,
                   const Reject &Received);

  CallNumber m_LastNumber = 0;
  std::map<CallNumber, WaitingCall> m_Waiting;
  std::map<CallNumber, PeerId> m_GivenUp;
  std::deque<CallNumber> m_GivenUpOrder;
};

} // namespace auburnhub

#endif
