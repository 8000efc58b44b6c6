#include "auburnhub/Policy/PolicyParameters.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Policy/SelectablePlacement.h"

#include <limits>
#include <string>
#include <string_view>

namespace auburnhub {
namespace {

constexpr double Unbounded = std::numeric_limits<double>::max();
constexpr double MaxDurationMs = 24.0 * 3600 * 1000;
constexpr double MaxFactor = 1000;

struct Range {
  std::string_view m_Name;
  double m_Value;
  double m_Min;
  double m_Max;
};

std::string formatNumber(double Value) {
  std::string Out = std::to_string(Value);
  Out.erase(Out.find_last_not_of('0') + 1);
  if (Out.back() == '.')
    Out.pop_back();
  return Out;
}

absl::Status checkRange(const Range &R) {
  // The comparison is false for NaN, which is therefore refused.
  if (R.m_Value >= R.m_Min && R.m_Value <= R.m_Max)
    return absl::OkStatus();
  std::string Detail = "policy." + std::string(R.m_Name) + " is " +
                       formatNumber(R.m_Value) + "; expected at least " +
                       formatNumber(R.m_Min);
  if (R.m_Max != Unbounded)
    Detail += " and at most " + formatNumber(R.m_Max);
  return makeFailure(FailureCode::BadSettings, Detail);
}

} // namespace

absl::Status PolicyParameters::validate() const {
  if (!SelectablePlacement::isKnown(m_Placement))
    return makeFailure(FailureCode::BadSettings,
                       "policy.placement is \"" + m_Placement +
                           "\"; expected least-expected-completion, "
                           "random-endpoint, round-robin or "
                           "two-random-choices");
  const Range Ranges[] = {
      {"run_time_half_life_ms", m_RunTimeHalfLifeMs, 1, MaxDurationMs},
      {"estimate_max_age_ms", m_EstimateMaxAgeMs, 0, MaxDurationMs},
      {"min_samples", m_MinSamples, 1, MaxFactor},
      {"max_kinds", static_cast<double>(m_MaxKinds), 0, 100000},
      {"short_quantile", m_ShortQuantile, 0.01, 0.99},
      {"long_factor", m_LongFactor, 1, MaxFactor},
      {"min_short_limit_ms", m_MinShortLimitMs, 1, MaxDurationMs},
      {"long_share", m_LongShare, 0.01, 1},
      {"long_guaranteed_share", m_LongGuaranteedShare, 0, m_LongShare},
      {"finish_quantile", m_FinishQuantile, 0.5, 1},
      {"max_finish_factor", m_MaxFinishFactor, 1, MaxFactor},
      {"max_queue_ms", m_MaxQueueMs, 1, MaxDurationMs},
      {"min_retry_after_ms", m_MinRetryAfterMs, 1, MaxDurationMs},
      {"retry_after_spread", m_RetryAfterSpread, 0.01, MaxFactor},
      {"speed_smoothing", m_SpeedSmoothing, 0.001, 1},
      {"load_weight", m_LoadWeight, 0, MaxFactor},
      {"slow_start_ms", m_SlowStartMs, 0, MaxDurationMs},
      {"refusal_pause_ms", m_RefusalPauseMs, 0, MaxDurationMs},
      {"eject_after_failures", static_cast<double>(m_EjectAfterFailures), 1,
       MaxFactor},
      {"min_ejection_ms", m_MinEjectionMs, 1, MaxDurationMs},
      {"max_ejection_ms", m_MaxEjectionMs, m_MinEjectionMs, MaxDurationMs},
      {"max_ejected_share", m_MaxEjectedShare, 0, 1},
      {"retry_ratio", m_RetryRatio, 0, 1},
      {"retry_reserve", m_RetryReserve, 0, Unbounded},
      {"max_losses", static_cast<double>(m_MaxLosses), 1, MaxFactor},
  };
  for (const Range &R : Ranges)
    if (absl::Status Status = checkRange(R); !Status.ok())
      return Status;
  return absl::OkStatus();
}

} // namespace auburnhub
