#include "auburnhub/Jobs/WorkerListBounds.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace auburnhub {
namespace {

absl::Status tooShort(const std::string &Name, double StatedMs,
                      double LeastMs) {
  return makeFailure(FailureCode::BadSettings,
                     Name + " of " + std::to_string(std::llround(StatedMs)) +
                         " ms cannot be kept: at least " +
                         std::to_string(std::llround(LeastMs)) + " ms needed");
}

} // namespace

absl::StatusOr<WorkerListBounds>
deriveWorkerListBounds(const ContractTimes &Contract,
                       const WorkerListDelays &Delays) {
  // The next read is sent an interval after the one before, and the one after a
  // failure once that one's timeout and the pause have passed.
  constexpr double ReadsPerFailure = 2;
  double LeastNoticeMs =
      Delays.m_ReadIntervalMs + Delays.m_MinAnswerMs + Delays.marginMs();
  double LeastSettlingMs = ReadsPerFailure * Delays.m_MinAnswerMs +
                           Delays.m_ReadRetryMs + Delays.marginMs();
  if (Contract.m_LeavingNoticeMs < LeastNoticeMs)
    return tooShort("the notice of leaving workers", Contract.m_LeavingNoticeMs,
                    LeastNoticeMs);
  if (Contract.m_SettlingMs < LeastSettlingMs)
    return tooShort("the settling time after an outage", Contract.m_SettlingMs,
                    LeastSettlingMs);
  WorkerListBounds Result;
  Result.m_ReadIntervalMs = Delays.m_ReadIntervalMs;
  Result.m_ReadRetryMs = Delays.m_ReadRetryMs;
  Result.m_MaxAgeMs = Contract.m_LeavingNoticeMs - Delays.marginMs();
  Result.m_MaxAgeAfterFailureMs = Contract.m_SettlingMs - Delays.marginMs();
  Result.m_ReadTimeoutMs = std::min(
      {Delays.m_MaxAnswerMs, Result.m_MaxAgeMs - Delays.m_ReadIntervalMs,
       // The next read is sent once the last one has been answered.
       Result.m_MaxAgeMs / 2,
       (Result.m_MaxAgeAfterFailureMs - Delays.m_ReadRetryMs) /
           ReadsPerFailure});
  return Result;
}

} // namespace auburnhub
