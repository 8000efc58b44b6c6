#ifndef AUBURNHUB_COORDINATION_CLAIM_H
#define AUBURNHUB_COORDINATION_CLAIM_H

#include "auburnhub/Base/SubmissionId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburnhub {

/// Says that an incarnation wants to be the owner of a caller's id.
struct Claim {
  SubmissionId m_Id;
  std::string m_Team;
  std::string m_Digest; ///< Digest of the submission's content.
  Incarnation m_Incarnation = 0;
  template <typename Visitor> void fields(Visitor &V) {
    V("id", m_Id);
    V("team", m_Team);
    V("digest", m_Digest);
    V("incarnation", m_Incarnation);
  }
  bool operator==(const Claim &) const = default;
};

/// One record of the stream `claims`.
struct ClaimBatch {
  int m_Schema = 1;
  std::vector<Claim> m_Claims;
  template <typename Visitor> void fields(Visitor &V) {
    V("schema", m_Schema);
    V("claims", m_Claims);
  }
};

/// How long ids live, in milliseconds.
struct ClaimLimits {
  std::int64_t m_ResubmissionWindowMs = 300000;
  /// Largest difference between any two clocks, the platform's included.
  std::int64_t m_ClockBoundMs = 60000;
};

} // namespace auburnhub

#endif
