#ifndef AUBURNHUB_POLICY_TWORANDOMCHOICES_H
#define AUBURNHUB_POLICY_TWORANDOMCHOICES_H

#include "auburnhub/Policy/IndexedEndpoints.h"
#include "auburnhub/Policy/Placement.h"

namespace auburnhub {

/// Chooses the endpoint with the lower cost of two random ones; a baseline for
/// comparison. M. Mitzenmacher, "The Power of Two Choices in Randomized Load
/// Balancing", IEEE Transactions on Parallel and Distributed Systems, 2001.
class TwoRandomChoices : public IndexedEndpoints {
public:
  static constexpr std::string_view Name = "two-random-choices";

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &Random, Accept Accepts) {
    if (m_Members.empty())
      return std::nullopt;
    std::uniform_int_distribution<std::size_t> Position(0,
                                                        m_Members.size() - 1);
    std::size_t First = firstAccepted(Position(Random), Accepts);
    if (First == Absent)
      return std::nullopt;
    std::size_t Second = firstAccepted(Position(Random), Accepts);
    if (First == Second)
      return PlacementChoice{First, std::nullopt};
    if (m_Costs[Second] < m_Costs[First])
      std::swap(First, Second);
    return PlacementChoice{First, Second};
  }
};

static_assert(PlacementPolicy<TwoRandomChoices>);

} // namespace auburnhub

#endif
