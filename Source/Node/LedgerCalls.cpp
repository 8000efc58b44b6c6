#include "auburnhub/Node/LedgerCalls.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// Time reserved for sending the answer to the caller, in milliseconds.
constexpr double ReplyMarginMs = 40;

/// A call is refused if no keeper is found within this time, in milliseconds.
/// A change of a partition's keeper ends within it.
constexpr double KeeperWaitLimitMs = 1500;

} // namespace

LedgerCalls::LedgerCalls(EventLoop &Loop, std::uint32_t PartitionCount,
                         CallNumbers Numbers, MetricsRegistry &Metrics,
                         Send Send)
    : m_Loop(Loop), m_PartitionCount(PartitionCount), m_Send(std::move(Send)),
      m_Numbers(Numbers), m_Metrics(Metrics),
      m_Latency(
          Metrics.latency("auburnhub_stored_call_seconds",
                          "From a call about a stored job to its answer")) {}

void LedgerCalls::updateLedgers(const std::string &Node,
                                std::span<const LedgerStatus> Ledgers) {
  std::erase_if(m_Keepers, [&](const auto &Entry) {
    bool IsKept =
        std::any_of(Ledgers.begin(), Ledgers.end(), [&](const auto &L) {
          return L.m_Claim.m_PartitionId == Entry.first;
        });
    return Entry.second.m_Node == Node && !IsKept;
  });
  std::vector<std::uint32_t> Changed;
  for (const LedgerStatus &Status : Ledgers) {
    const LedgerClaim &Claim = Status.m_Claim;
    LedgerStatus &Last = m_Statuses[Claim.m_PartitionId];
    if (Claim.m_Epoch >= Last.m_Claim.m_Epoch)
      Last = Status;
    Keeper &Known = m_Keepers[Claim.m_PartitionId];
    if (Claim.m_Epoch < Known.m_Epoch ||
        (Claim.m_Epoch == Known.m_Epoch && Known.m_Node == Node))
      continue;
    Known = {Node, Claim.m_Epoch};
    Changed.push_back(Claim.m_PartitionId);
  }
  for (std::uint32_t PartitionId : Changed)
    routeWaiting(PartitionId);
}

std::uint64_t LedgerCalls::pending(const std::string &Queue) const {
  std::uint64_t Total = 0;
  for (const auto &[PartitionId, Status] : m_Statuses)
    if (auto Found = Status.m_Pending.find(Queue);
        Found != Status.m_Pending.end())
      Total += Found->second;
  return Total;
}

void LedgerCalls::nodeLost(const std::string &Node) {
  std::erase_if(m_Keepers,
                [&](const auto &Entry) { return Entry.second.m_Node == Node; });
  std::vector<std::uint64_t> Lost;
  for (auto &[Id, OpenCall] : m_Calls)
    if (OpenCall.m_Keeper == Node) {
      OpenCall.m_Keeper.clear();
      OpenCall.m_MayBeApplied = true;
      Lost.push_back(Id);
    }
  for (std::uint64_t Id : Lost)
    route(Id);
}

void LedgerCalls::call(LedgerCallKind Kind, const std::string &Job,
                       JobRequest Request, double TimeLeftMs, Done Done) {
  std::uint64_t Id = m_Numbers.next();
  Call &OpenCall = m_Calls[Id];
  std::uint32_t PartitionId = ledgerPartitionOf(Job, m_PartitionCount);
  OpenCall.m_Message = {Id, Kind, PartitionId, Job, std::move(Request)};
  OpenCall.m_Done = std::move(Done);
  OpenCall.m_ReceivedAt = EventLoop::now();
  double DeadlineMs = std::max(1.0, TimeLeftMs - ReplyMarginMs);
  double KeeperWaitMs = std::min(DeadlineMs, KeeperWaitLimitMs);
  OpenCall.m_DeadlineTimer =
      m_Loop.once(EventLoop::Duration(static_cast<int>(DeadlineMs)),
                  [this, Id] { abandon(Id); });
  OpenCall.m_WaitTimer = m_Loop.once(
      EventLoop::Duration(static_cast<int>(KeeperWaitMs)), [this, Id] {
        auto Found = m_Calls.find(Id);
        if (Found != m_Calls.end() && Found->second.m_Keeper.empty())
          abandon(Id);
      });
  // Deferred, so that Done is never called before this function returns.
  m_Loop.post([this, Id] { route(Id); });
}

void LedgerCalls::route(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  Call &OpenCall = Found->second;
  auto KnownKeeper = m_Keepers.find(OpenCall.m_Message.m_PartitionId);
  if (KnownKeeper == m_Keepers.end() || !OpenCall.m_Keeper.empty())
    return;
  OpenCall.m_Keeper = KnownKeeper->second.m_Node;
  m_Send(OpenCall.m_Keeper, OpenCall.m_Message);
}

void LedgerCalls::routeWaiting(std::uint32_t PartitionId) {
  auto Known = m_Keepers.find(PartitionId);
  if (Known == m_Keepers.end())
    return;
  std::vector<std::uint64_t> Waiting;
  for (auto &[Id, OpenCall] : m_Calls)
    if (OpenCall.m_Message.m_PartitionId == PartitionId &&
        OpenCall.m_Keeper != Known->second.m_Node) {
      OpenCall.m_MayBeApplied =
          OpenCall.m_MayBeApplied || !OpenCall.m_Keeper.empty();
      OpenCall.m_Keeper.clear();
      Waiting.push_back(Id);
    }
  for (std::uint64_t Id : Waiting)
    route(Id);
}

void LedgerCalls::answered(const std::string &Node,
                           const LedgerCallAnswer &Answer) {
  auto Found = m_Calls.find(Answer.m_Call);
  bool IsForCall =
      Found != m_Calls.end() &&
      (Answer.m_Id.empty() || Answer.m_Id == Found->second.m_Message.m_Id);
  if (!IsForCall) {
    // The call is over, or another process of this name has made it.
    m_Log.info("answer_ignored",
               {{"call", Answer.m_Call},
                {"job", Answer.m_Id},
                {"keeper", Node},
                {"outcome", ledgerCallOutcomeName(Answer.m_Outcome)}});
    return;
  }
  // A refusal of an earlier keeper says nothing about the current one, which
  // may have stored the job.
  if (Node != Found->second.m_Keeper &&
      Answer.m_Outcome != LedgerCallOutcome::Done)
    return;
  if (Answer.m_Outcome == LedgerCallOutcome::Refused &&
      Found->second.m_MayBeApplied) {
    // The refusal holds for one copy of the call only. A keeper that still has
    // an earlier copy may store it.
    finish(Answer.m_Call, LedgerCallOutcome::Unknown);
    return;
  }
  if (Answer.m_Outcome != LedgerCallOutcome::NotKeeper) {
    finish(Answer.m_Call, Answer.m_Outcome, Answer.m_State);
    return;
  }
  // The call waits until another keeper is reported or its timeout expires.
  auto Known = m_Keepers.find(Found->second.m_Message.m_PartitionId);
  if (Known != m_Keepers.end() &&
      Known->second.m_Node == Found->second.m_Keeper)
    m_Keepers.erase(Known);
  Found->second.m_Keeper.clear();
  route(Answer.m_Call);
}

void LedgerCalls::abandon(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  bool MayBeApplied =
      Found->second.m_MayBeApplied || !Found->second.m_Keeper.empty();
  finish(Id, MayBeApplied ? LedgerCallOutcome::Unknown
                          : LedgerCallOutcome::NoKeeper);
}

void LedgerCalls::abandonAllCalls() {
  while (!m_Calls.empty())
    abandon(m_Calls.begin()->first);
}

void LedgerCalls::finish(std::uint64_t Id, LedgerCallOutcome Outcome,
                         StoredJobState State) {
  static constexpr std::array<std::string_view, 3> Kinds = {"submit", "state",
                                                            "cancel"};
  auto Extracted = m_Calls.extract(Id);
  if (Extracted.empty()) {
    m_Log.info("call_already_over",
               {{"call", Id}, {"outcome", ledgerCallOutcomeName(Outcome)}});
    return;
  }
  Call OpenCall = std::move(Extracted.mapped());
  std::string_view Kind =
      Kinds[static_cast<std::size_t>(OpenCall.m_Message.m_Kind)];
  double TookMs = millisecondsBetween(OpenCall.m_ReceivedAt, EventLoop::now());
  m_Latency.add(TookMs / 1000);
  m_Metrics
      .counter("auburnhub_stored_calls_total", "Calls about stored jobs",
               {{"kind", std::string(Kind)},
                {"outcome", std::string(ledgerCallOutcomeName(Outcome))}})
      .add();
  m_Log.info("stored_call_answered",
             {{"job", OpenCall.m_Message.m_Id},
              {"kind", Kind},
              {"outcome", ledgerCallOutcomeName(Outcome)},
              {"state", storedJobStateName(State)},
              {"part", OpenCall.m_Message.m_PartitionId},
              {"keeper", OpenCall.m_Keeper},
              {"took_ms", std::round(TookMs)}});
  OpenCall.m_Done(Outcome, State);
}

} // namespace auburnhub
