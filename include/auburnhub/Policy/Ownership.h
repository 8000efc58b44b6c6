#ifndef AUBURNHUB_POLICY_OWNERSHIP_H
#define AUBURNHUB_POLICY_OWNERSHIP_H

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace auburnhub {

/// A dispatcher that may own endpoints.
struct OwnerCandidate {
  std::string_view m_Name;
  double m_Weight = 1; ///< Relative share; owns nothing if not positive.
};

/// Returns the index of the candidate that owns an endpoint, or nothing if no
/// candidate has a positive weight. The result depends on the names and weights
/// of the candidates, not on their order.
///
/// Rendezvous hashing: D. Thaler, C. V. Ravishankar, "Using Name-Based Mappings
/// to Increase Hit Rates", IEEE/ACM Transactions on Networking, 1998; weighted
/// by the logarithmic method of C. Schindelhauer, G. Schomaker, "Weighted
/// Distributed Hash Tables", SPAA 2005. The hash is xxHash64. When a candidate
/// joins or leaves, only the endpoints that this candidate gains or loses
/// change owner.
std::optional<std::size_t>
selectOwner(std::string_view Endpoint,
            std::span<const OwnerCandidate> Candidates);

} // namespace auburnhub

#endif
