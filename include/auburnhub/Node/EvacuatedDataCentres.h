#ifndef AUBURNHUB_NODE_EVACUATEDDATACENTRES_H
#define AUBURNHUB_NODE_EVACUATEDDATACENTRES_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace auburnhub {

/// The data centres on whose workers nothing may be started, as requested by
/// operators. A version is a position in the log of requests; a set that is
/// older than the one in force is never taken.
///
/// Load pattern: a node learns the set from the log and from its peers in any
/// order, for example when it regains the log after a cut.
class EvacuatedDataCentres {
public:
  using Names = std::set<std::string>;

  /// What an update has changed.
  struct Change {
    Names m_Requested;
    Names m_TakenBack;
    bool empty() const { return m_Requested.empty() && m_TakenBack.empty(); }
  };

  /// Takes a set if its version is higher than that in force.
  Change update(std::uint64_t Version, const Names &DataCentres);

  /// Returns 0 until a set is known.
  std::uint64_t version() const { return m_Version; }
  const Names &names() const { return m_Names; }
  bool contains(const std::string &DataCentre) const {
    return m_Names.contains(DataCentre);
  }

  /// Returns the names as text for decodeNames() of a peer.
  std::string encodeNames() const;
  /// Fails with BadMessage.
  static absl::StatusOr<Names> decodeNames(std::string_view Text);

private:
  std::uint64_t m_Version = 0;
  Names m_Names;
};

} // namespace auburnhub

#endif
