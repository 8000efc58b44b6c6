#ifndef AUBURNHUB_POLICY_RANDOMENDPOINT_H
#define AUBURNHUB_POLICY_RANDOMENDPOINT_H

#include "auburnhub/Policy/IndexedEndpoints.h"
#include "auburnhub/Policy/Placement.h"

namespace auburnhub {

/// Chooses an endpoint uniformly at random; a baseline for comparison.
class RandomEndpoint : public IndexedEndpoints {
public:
  static constexpr std::string_view Name = "random-endpoint";

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &Random, Accept Accepts) {
    if (m_Members.empty())
      return std::nullopt;
    std::uniform_int_distribution<std::size_t> Position(0,
                                                        m_Members.size() - 1);
    std::size_t Chosen = firstAccepted(Position(Random), Accepts);
    if (Chosen == Absent)
      return std::nullopt;
    return PlacementChoice{Chosen, std::nullopt};
  }
};

static_assert(PlacementPolicy<RandomEndpoint>);

} // namespace auburnhub

#endif
