#ifndef AUBURNHUB_POLICY_ROUNDROBIN_H
#define AUBURNHUB_POLICY_ROUNDROBIN_H

#include "auburnhub/Policy/Placement.h"

#include <set>

namespace auburnhub {

/// Chooses endpoints circularly in the order of their indices; a baseline for
/// comparison.
class RoundRobin {
public:
  static constexpr std::string_view Name = "round-robin";

  void insert(std::size_t Endpoint, double) { m_Members.insert(Endpoint); }
  void erase(std::size_t Endpoint) { m_Members.erase(Endpoint); }
  std::size_t size() const { return m_Members.size(); }

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &, Accept Accepts) {
    auto It = m_Members.lower_bound(m_Next);
    for (std::size_t I = 0; I < m_Members.size(); ++I, ++It) {
      if (It == m_Members.end())
        It = m_Members.begin();
      if (!Accepts(*It))
        continue;
      m_Next = *It + 1;
      return PlacementChoice{*It, std::nullopt};
    }
    return std::nullopt;
  }

private:
  std::set<std::size_t> m_Members;
  std::size_t m_Next = 0;
};

static_assert(PlacementPolicy<RoundRobin>);

} // namespace auburnhub

#endif
