#ifndef AUBURNHUB_CTL_STATUSTABLE_H
#define AUBURNHUB_CTL_STATUSTABLE_H

#include <nlohmann/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace auburnhub {

/// What one process said on /v1/status, or why it said nothing.
struct ProcessStatus {
  std::string m_Address;
  nlohmann::json m_Page; ///< Null if there is none.
  std::string m_Failure; ///< Empty if there is a page.
};

/// Returns a table with a row for each process. A value that a process does
/// not report is shown as "-".
std::string formatStatusTable(std::span<const ProcessStatus> Processes);

/// Returns a table of the members that each control process sees; nothing if
/// there is no control process among them.
std::string formatMemberTables(std::span<const ProcessStatus> Processes);

/// Returns the newest configuration schema that every member reads, as the
/// control processes see them; nothing if none of them said so.
std::optional<int> oldestReaderSchema(std::span<const ProcessStatus> Processes);

} // namespace auburnhub

#endif
