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

LedgerCalls::LedgerCalls(EventLoop &Loop, std::uint32_t Parts,
                         MetricsRegistry &Metrics, Send Send)
    : m_Loop(Loop), m_PartCount(Parts), m_Send(std::move(Send)),
      m_Metrics(Metrics),
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
  std::vector<std::uint32_t> Found;
  for (const LedgerStatus &Item : Ledgers) {
    const LedgerClaim &Claim = Item.m_Claim;
    LedgerStatus &Last = m_Statuses[Claim.m_PartitionId];
    if (Claim.m_Epoch >= Last.m_Claim.m_Epoch)
      Last = Item;
    Keeper &Known = m_Keepers[Claim.m_PartitionId];
    if (Claim.m_Epoch < Known.m_Epoch ||
        (Claim.m_Epoch == Known.m_Epoch && Known.m_Node == Node))
      continue;
    Known = {Node, Claim.m_Epoch};
    Found.push_back(Claim.m_PartitionId);
  }
  for (std::uint32_t Part : Found)
    routeWaiting(Part);
}

std::uint64_t LedgerCalls::pending(const std::string &Queue) const {
  std::uint64_t Total = 0;
  for (const auto &[Part, Item] : m_Statuses)
    if (auto Found = Item.m_Pending.find(Queue); Found != Item.m_Pending.end())
      Total += Found->second;
  return Total;
}

void LedgerCalls::nodeLost(const std::string &Node) {
  std::erase_if(m_Keepers,
                [&](const auto &Entry) { return Entry.second.m_Node == Node; });
  std::vector<std::uint64_t> Lost;
  for (auto &[Id, Item] : m_Calls)
    if (Item.m_Keeper == Node) {
      Item.m_Keeper.clear();
      Item.m_InDoubt = true;
      Lost.push_back(Id);
    }
  for (std::uint64_t Id : Lost)
    route(Id);
}

void LedgerCalls::call(LedgerCallKind Kind, const std::string &Job,
                       JobRequest Request, double TimeLeftMs, Done Done) {
  std::uint64_t Id = ++m_LastCall;
  Call &Item = m_Calls[Id];
  std::uint32_t Part = ledgerPartOf(Job, m_PartCount);
  Item.m_Message = {Id, Kind, Part, Job, std::move(Request)};
  Item.m_Done = std::move(Done);
  Item.m_Received = EventLoop::now();
  double DeadlineMs = std::max(1.0, TimeLeftMs - ReplyMarginMs);
  double KeeperWaitMs = std::min(DeadlineMs, KeeperWaitLimitMs);
  Item.m_Deadline =
      m_Loop.once(EventLoop::Duration(static_cast<int>(DeadlineMs)),
                  [this, Id] { abandon(Id); });
  Item.m_WaitTimer = m_Loop.once(
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
  Call &Item = Found->second;
  auto To = m_Keepers.find(Item.m_Message.m_PartitionId);
  if (To == m_Keepers.end() || !Item.m_Keeper.empty())
    return;
  Item.m_Keeper = To->second.m_Node;
  m_Send(Item.m_Keeper, Item.m_Message);
}

void LedgerCalls::routeWaiting(std::uint32_t Part) {
  std::vector<std::uint64_t> Waiting;
  for (auto &[Id, Item] : m_Calls)
    if (Item.m_Message.m_PartitionId == Part &&
        Item.m_Keeper != m_Keepers[Part].m_Node) {
      Item.m_InDoubt = Item.m_InDoubt || !Item.m_Keeper.empty();
      Item.m_Keeper.clear();
      Waiting.push_back(Id);
    }
  for (std::uint64_t Id : Waiting)
    route(Id);
}

void LedgerCalls::answered(const LedgerCallAnswer &Answer) {
  auto Found = m_Calls.find(Answer.m_Call);
  if (Found == m_Calls.end())
    return;
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
  bool MayBeDone = Found->second.m_InDoubt || !Found->second.m_Keeper.empty();
  finish(Id,
         MayBeDone ? LedgerCallOutcome::Unknown : LedgerCallOutcome::NoKeeper);
}

void LedgerCalls::abandonAllCalls() {
  while (!m_Calls.empty())
    abandon(m_Calls.begin()->first);
}

void LedgerCalls::finish(std::uint64_t Id, LedgerCallOutcome Outcome,
                         StoredJobState State) {
  static constexpr std::array<std::string_view, 3> Kinds = {"submit", "state",
                                                            "cancel"};
  Call Item = std::move(m_Calls.at(Id));
  m_Calls.erase(Id);
  std::string_view Kind =
      Kinds[static_cast<std::size_t>(Item.m_Message.m_Kind)];
  double TookMs = millisecondsBetween(Item.m_Received, EventLoop::now());
  m_Latency.add(TookMs / 1000);
  m_Metrics
      .counter("auburnhub_stored_calls_total", "Calls about stored jobs",
               {{"kind", std::string(Kind)},
                {"outcome", std::string(ledgerCallOutcomeName(Outcome))}})
      .add();
  m_Log.info("stored_call_answered",
             {{"job", Item.m_Message.m_Id},
              {"kind", Kind},
              {"outcome", ledgerCallOutcomeName(Outcome)},
              {"state", storedJobStateName(State)},
              {"part", Item.m_Message.m_PartitionId},
              {"keeper", Item.m_Keeper},
              {"took_ms", std::round(TookMs)}});
  Item.m_Done(Outcome, State);
}

} // namespace auburnhub
