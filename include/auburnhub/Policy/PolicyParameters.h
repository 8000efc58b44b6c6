#ifndef AUBURNHUB_POLICY_POLICYPARAMETERS_H
#define AUBURNHUB_POLICY_POLICYPARAMETERS_H

#include "absl/status/status.h"

#include <string>

namespace auburnhub {

/// The parameters of the scheduling policy, as in the `policy` section of the
/// configuration; docs/POLICY.md documents each of them.
struct PolicyParameters {
  // Placement, and switches that disable a mechanism for comparison.
  std::string m_Placement = "least-expected-completion";
  bool m_Classes = true; ///< Start short work before long work.
  bool m_Lending = true; ///< Borrow idle slots of other dispatchers.

  // Run-time estimates.
  double m_RunTimeHalfLifeMs = 60000;
  double m_EstimateMaxAgeMs = 2000;
  double m_MinSamples = 3;
  int m_MaxKinds = 1000;

  // Short and long work.
  double m_ShortQuantile = 0.25;
  double m_LongFactor = 10;
  double m_MinShortLimitMs = 100;
  double m_LongShare = 0.75;
  double m_LongGuaranteedShare = 0.1;

  // Admission.
  double m_FinishQuantile = 0.99;
  double m_MaxFinishFactor = 4;
  double m_MaxQueueMs = 10000;
  double m_MinRetryAfterMs = 500;
  double m_RetryAfterSpread = 1.0;

  // Speed of endpoints.
  double m_SpeedSmoothing = 0.1;
  double m_LoadWeight = 0.1;
  double m_SlowStartMs = 2000;
  double m_RefusalPauseMs = 20;

  // Health of endpoints.
  int m_EjectAfterFailures = 5;
  double m_MinEjectionMs = 1000;
  double m_MaxEjectionMs = 60000;
  double m_MaxEjectedShare = 0.3;

  // Retries.
  double m_RetryRatio = 0.1;
  double m_RetryReserve = 10;
  int m_MaxLosses = 3;

  template <typename Visitor> void fields(Visitor &V) {
    V("placement", m_Placement);
    V("classes", m_Classes);
    V("lending", m_Lending);
    V("run_time_half_life_ms", m_RunTimeHalfLifeMs);
    V("estimate_max_age_ms", m_EstimateMaxAgeMs);
    V("min_samples", m_MinSamples);
    V("max_kinds", m_MaxKinds);
    V("short_quantile", m_ShortQuantile);
    V("long_factor", m_LongFactor);
    V("min_short_limit_ms", m_MinShortLimitMs);
    V("long_share", m_LongShare);
    V("long_guaranteed_share", m_LongGuaranteedShare);
    V("finish_quantile", m_FinishQuantile);
    V("max_finish_factor", m_MaxFinishFactor);
    V("max_queue_ms", m_MaxQueueMs);
    V("min_retry_after_ms", m_MinRetryAfterMs);
    V("retry_after_spread", m_RetryAfterSpread);
    V("speed_smoothing", m_SpeedSmoothing);
    V("load_weight", m_LoadWeight);
    V("slow_start_ms", m_SlowStartMs);
    V("refusal_pause_ms", m_RefusalPauseMs);
    V("eject_after_failures", m_EjectAfterFailures);
    V("min_ejection_ms", m_MinEjectionMs);
    V("max_ejection_ms", m_MaxEjectionMs);
    V("max_ejected_share", m_MaxEjectedShare);
    V("retry_ratio", m_RetryRatio);
    V("retry_reserve", m_RetryReserve);
    V("max_losses", m_MaxLosses);
  }

  /// Checks the range of every parameter. Fails with BadSettings; the detail
  /// names the parameter, its value and the allowed range.
  absl::Status validate() const;
};

} // namespace auburnhub

#endif
