#ifndef AUBURNHUB_COORDINATION_CLAIMBATCHER_H
#define AUBURNHUB_COORDINATION_CLAIMBATCHER_H

#include "auburnhub/Coordination/Claim.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburnhub {

/// Groups claims into appends to the claim stream (group commit).
///
/// One append is in flight at a time; what is asked for meanwhile goes into
/// the next. The reply to an append decides nothing: a claim is decided when
/// the reader of the stream meets the first claim of its id, whoever wrote it.
/// So an append whose reply is lost is simply made again; claims that were
/// already met, or whose time has passed, are left out.
///
/// Waiter identifies who is to be told; it must be copyable.
template <typename Waiter> class ClaimBatcher {
public:
  /// Asks for a claim. Whoever waits is told by decide() or expire().
  void add(const Claim &What, Waiter Who, std::int64_t DeadlineMs) {
    auto [Place, IsNew] = m_Pending.try_emplace(What.m_Id);
    Place->second.m_Waiting.push_back({std::move(Who), DeadlineMs});
    if (!IsNew)
      return;
    Place->second.m_Claim = What;
    m_Queue.push_back(What.m_Id);
  }

  /// Returns the claims of the next append; nothing while one is in flight or
  /// none is wanted. End the append by appendDone() or appendFailed().
  std::vector<Claim> beginAppend(std::size_t MostClaims) {
    std::vector<Claim> Batch;
    if (!m_InFlight.empty())
      return Batch;
    while (!m_Queue.empty() && Batch.size() < MostClaims) {
      SubmissionId Id = m_Queue.front();
      m_Queue.pop_front();
      auto Found = m_Pending.find(Id);
      if (Found == m_Pending.end())
        continue;
      Batch.push_back(Found->second.m_Claim);
      m_InFlight.push_back(Id);
    }
    return Batch;
  }

  /// The append was confirmed.
  void appendDone() { m_InFlight.clear(); }

  /// The append failed or its reply was lost: its claims go first again.
  void appendFailed() {
    m_Queue.insert(m_Queue.begin(), m_InFlight.begin(), m_InFlight.end());
    m_InFlight.clear();
  }

  bool isAppending() const { return !m_InFlight.empty(); }

  /// The reader of the stream met a claim of this id: returns who waits.
  std::vector<Waiter> decide(const SubmissionId &Id) {
    std::vector<Waiter> Told;
    auto Found = m_Pending.find(Id);
    if (Found == m_Pending.end())
      return Told;
    for (WaitingCall &Call : Found->second.m_Waiting)
      Told.push_back(std::move(Call.m_Who));
    m_Pending.erase(Found);
    return Told;
  }

  struct Expired {
    SubmissionId m_Id;
    Waiter m_Who;
  };

  /// Returns who waited until its deadline. The claim may still be, or come
  /// to be, in the log.
  std::vector<Expired> expire(std::int64_t NowMs) {
    std::vector<Expired> Result;
    for (auto It = m_Pending.begin(); It != m_Pending.end();) {
      auto &Waiting = It->second.m_Waiting;
      for (const WaitingCall &Call : Waiting)
        if (Call.m_DeadlineMs <= NowMs)
          Result.push_back({It->first, Call.m_Who});
      std::erase_if(Waiting, [NowMs](const WaitingCall &Call) {
        return Call.m_DeadlineMs <= NowMs;
      });
      It = Waiting.empty() ? m_Pending.erase(It) : std::next(It);
    }
    return Result;
  }

  /// Returns the number of ids that somebody waits for.
  std::size_t size() const { return m_Pending.size(); }

private:
  struct WaitingCall {
    Waiter m_Who;
    std::int64_t m_DeadlineMs;
  };
  struct PendingClaim {
    Claim m_Claim;
    std::vector<WaitingCall> m_Waiting;
  };

  std::unordered_map<SubmissionId, PendingClaim> m_Pending;
  std::deque<SubmissionId> m_Queue;
  std::vector<SubmissionId> m_InFlight;
};

} // namespace auburnhub

#endif
