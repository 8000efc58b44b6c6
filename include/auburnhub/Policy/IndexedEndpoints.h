#ifndef AUBURNHUB_POLICY_INDEXEDENDPOINTS_H
#define AUBURNHUB_POLICY_INDEXEDENDPOINTS_H

#include <cstddef>
#include <vector>

namespace auburnhub {

/// A set of endpoint indices with access by position; insert() and erase() take
/// constant time. The base class of policies that do not order endpoints.
class IndexedEndpoints {
public:
  /// Adds an endpoint, or updates its cost.
  void insert(std::size_t Endpoint, double Cost) {
    if (Endpoint >= m_Positions.size()) {
      m_Positions.resize(Endpoint + 1, Absent);
      m_Costs.resize(Endpoint + 1, 0);
    }
    m_Costs[Endpoint] = Cost;
    if (m_Positions[Endpoint] != Absent)
      return;
    m_Positions[Endpoint] = m_Members.size();
    m_Members.push_back(Endpoint);
  }

  void erase(std::size_t Endpoint) {
    if (Endpoint >= m_Positions.size() || m_Positions[Endpoint] == Absent)
      return;
    std::size_t Last = m_Members.back();
    m_Members[m_Positions[Endpoint]] = Last;
    m_Positions[Last] = m_Positions[Endpoint];
    m_Members.pop_back();
    m_Positions[Endpoint] = Absent;
  }

  std::size_t size() const { return m_Members.size(); }

protected:
  /// Returns the first accepted endpoint, searching circularly from position
  /// From; Absent if none is accepted.
  template <typename Accept>
  std::size_t firstAccepted(std::size_t From, Accept &Accepts) const {
    for (std::size_t I = 0; I < m_Members.size(); ++I) {
      std::size_t Member = m_Members[(From + I) % m_Members.size()];
      if (Accepts(Member))
        return Member;
    }
    return Absent;
  }

  static constexpr std::size_t Absent = ~std::size_t(0);

  std::vector<std::size_t> m_Members;
  /// The position of each endpoint in m_Members, or Absent.
  std::vector<std::size_t> m_Positions;
  std::vector<double> m_Costs;
};

} // namespace auburnhub

#endif
