#include "CallTable.h"

namespace auburnhub {
namespace {

/// Bounds the memory for calls that were given up. The answer of a forgotten
/// one counts as a mismatch; it reaches nobody either way.
constexpr std::size_t MaxGivenUp = 4096;

} // namespace

Outcome outcomeOfLostCall(CallerAction Action) {
  // Nothing can have run under tickets that nobody received.
  return Action == CallerAction::MintTickets ? Outcome::NotRun
                                             : Outcome::Unknown;
}

CallNumber CallTable::add(WaitingCall Call) {
  CallNumber Number = ++m_LastNumber;
  m_Waiting.emplace(Number, std::move(Call));
  return Number;
}

WaitingCall *CallTable::find(CallNumber Number) {
  auto Found = m_Waiting.find(Number);
  return Found == m_Waiting.end() ? nullptr : &Found->second;
}

std::optional<WaitingCall> CallTable::take(CallNumber Number) {
  auto Found = m_Waiting.find(Number);
  if (Found == m_Waiting.end())
    return std::nullopt;
  WaitingCall Call = std::move(Found->second);
  m_Waiting.erase(Found);
  return Call;
}

std::optional<WaitingCall> CallTable::giveUp(CallNumber Number) {
  std::optional<WaitingCall> Call = take(Number);
  if (!Call)
    return Call;
  m_GivenUp.emplace(Number, Call->m_Peer);
  m_GivenUpOrder.push_back(Number);
  if (m_GivenUpOrder.size() > MaxGivenUp) {
    m_GivenUp.erase(m_GivenUpOrder.front());
    m_GivenUpOrder.pop_front();
  }
  return Call;
}

std::vector<CallNumber> CallTable::callsAt(PeerId Peer) const {
  std::vector<CallNumber> Numbers;
  for (const auto &[Number, Call] : m_Waiting)
    if (Call.m_Peer == Peer)
      Numbers.push_back(Number);
  return Numbers;
}

std::vector<CallNumber> CallTable::calls() const {
  std::vector<CallNumber> Numbers;
  for (const auto &[Number, Call] : m_Waiting)
    Numbers.push_back(Number);
  return Numbers;
}

bool CallTable::fitsId(const WaitingCall &Call, const SubmissionId &Id) {
  // Without an id the dispatcher mints a ticket, or refuses before it does.
  if (Call.m_Id.isNil())
    return Id.isNil() || Id.isTicket();
  return Call.m_Id == Id;
}

bool CallTable::fits(const WaitingCall &Call, PeerId From,
                     const Answer &Received) {
  bool IsSubmission = Call.m_Action == CallerAction::Request ||
                      Call.m_Action == CallerAction::Job;
  return IsSubmission && Call.m_Peer == From && fitsId(Call, Received.m_Id);
}

bool CallTable::fits(const WaitingCall &Call, PeerId From,
                     const CancelReply &Received) {
  return Call.m_Action == CallerAction::Cancel && Call.m_Peer == From &&
         fitsId(Call, Received.m_Id);
}

bool CallTable::fits(const WaitingCall &Call, PeerId From,
                     const MintedTickets &) {
  return Call.m_Action == CallerAction::MintTickets && Call.m_Peer == From;
}

bool CallTable::fits(const WaitingCall &Call, PeerId From, const Reject &) {
  return Call.m_Peer == From;
}

} // namespace auburnhub
