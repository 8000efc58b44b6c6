#include "auburnhub/Jobs/NearbyWait.h"

#include <algorithm>

namespace auburnhub {
namespace {

NearbyWaitDecision startNow(NearbyWaitReason Reason) {
  return {false, 0, Reason};
}

} // namespace

std::string_view nearbyWaitReasonName(NearbyWaitReason Reason) {
  switch (Reason) {
  case NearbyWaitReason::EndsEarlier:
    return "ends_earlier";
  case NearbyWaitReason::SavesCapacity:
    return "saves_capacity";
  case NearbyWaitReason::NobodyNear:
    return "nobody_near";
  case NearbyWaitReason::EndsLater:
    return "ends_later";
  case NearbyWaitReason::ObjectiveAtRisk:
    return "objective_at_risk";
  case NearbyWaitReason::WaitedLongEnough:
    return "waited_long_enough";
  }
  return "unknown";
}

NearbyWaitDecision decideNearbyWait(const NearbyWaitInput &Input) {
  if (Input.m_ExpectedWaitMs >= NoNearbyWorker)
    return startNow(NearbyWaitReason::NobodyNear);
  double SavedMs = Input.m_FarRunMs - Input.m_NearRunMs;
  double BudgetMs = SavedMs - Input.m_WaitedMs;
  if (BudgetMs <= 0)
    return startNow(NearbyWaitReason::WaitedLongEnough);
  double NearEndMs = Input.m_ExpectedWaitMs + Input.m_NearRunMs;
  bool IsFarInTime = Input.m_FarRunMs <= Input.m_LeftMs;
  bool IsNearInTime = NearEndMs <= Input.m_LeftMs;
  if (IsFarInTime && !IsNearInTime)
    return startNow(NearbyWaitReason::ObjectiveAtRisk);
  // A task that misses its objective elsewhere may wait as long as it can still
  // meet it here. Otherwise it may wait only until it must start elsewhere.
  double UntilAtRiskMs =
      Input.m_LeftMs - (IsFarInTime ? Input.m_FarRunMs : Input.m_NearRunMs);
  double AtMostMs =
      UntilAtRiskMs > 0 ? std::min(BudgetMs, UntilAtRiskMs) : BudgetMs;
  if (NearEndMs <= Input.m_FarRunMs)
    return {true, AtMostMs, NearbyWaitReason::EndsEarlier};
  if (Input.m_IsContended && IsNearInTime)
    return {true, AtMostMs, NearbyWaitReason::SavesCapacity};
  return startNow(NearbyWaitReason::EndsLater);
}

double expectedNearbyWaitMs(std::span<const double> RemainingMs,
                            std::size_t Ahead) {
  return Ahead < RemainingMs.size() ? RemainingMs[Ahead] : NoNearbyWorker;
}

} // namespace auburnhub
