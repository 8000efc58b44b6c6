#ifndef AUBURNHUB_CTL_FIELDDIFF_H
#define AUBURNHUB_CTL_FIELDDIFF_H

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace auburnhub {

/// One field that differs between two JSON documents.
struct FieldChange {
  std::string m_Path; ///< For instance "teams.club-desk.weight".
  std::optional<nlohmann::json> m_Old; ///< Nothing: the field was added.
  std::optional<nlohmann::json> m_New; ///< Nothing: the field was removed.

  bool operator==(const FieldChange &) const = default;
};

/// Returns the fields that differ, in the order of their paths. Elements of a
/// list that carry an `address` are paired by it, others by their place.
std::vector<FieldChange> compareFields(const nlohmann::json &Old,
                                       const nlohmann::json &New);

/// Returns one line for each change: "+ path: new", "- path: old" or
/// "~ path: old -> new".
std::string formatChanges(std::span<const FieldChange> Changes);

} // namespace auburnhub

#endif
