#ifndef AUBURNHUB_POLICY_LEASTEXPECTEDCOMPLETION_H
#define AUBURNHUB_POLICY_LEASTEXPECTEDCOMPLETION_H

#include "auburnhub/Policy/Placement.h"

#include <set>
#include <utility>
#include <vector>

namespace auburnhub {

/// Chooses the endpoint with the least expected completion time.
class LeastExpectedCompletion {
public:
  static constexpr std::string_view Name = "least-expected-completion";

  /// Adds an endpoint, or updates its cost.
  void insert(std::size_t Endpoint, double Cost) {
    if (Endpoint >= m_Costs.size())
      m_Costs.resize(Endpoint + 1, Absent);
    if (m_Costs[Endpoint] == Cost)
      return;
    erase(Endpoint);
    m_Costs[Endpoint] = Cost;
    m_Order.emplace(Cost, Endpoint);
  }

  void erase(std::size_t Endpoint) {
    if (Endpoint >= m_Costs.size() || m_Costs[Endpoint] == Absent)
      return;
    m_Order.erase({m_Costs[Endpoint], Endpoint});
    m_Costs[Endpoint] = Absent;
  }

  std::size_t size() const { return m_Order.size(); }

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &, Accept Accepts) {
    for (auto It = m_Order.begin(); It != m_Order.end(); ++It) {
      if (!Accepts(It->second))
        continue;
      PlacementChoice Choice{It->second, std::nullopt};
      if (++It != m_Order.end())
        Choice.m_Rejected = It->second;
      return Choice;
    }
    return std::nullopt;
  }

private:
  /// The cost of an endpoint that is not in the set; real costs are not
  /// negative.
  static constexpr double Absent = -1;

  std::set<std::pair<double, std::size_t>> m_Order;
  std::vector<double> m_Costs;
};

static_assert(PlacementPolicy<LeastExpectedCompletion>);

} // namespace auburnhub

#endif
