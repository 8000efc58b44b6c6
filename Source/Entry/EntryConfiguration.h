#ifndef AUBURNHUB_ENTRY_ENTRYCONFIGURATION_H
#define AUBURNHUB_ENTRY_ENTRYCONFIGURATION_H

#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Messages/Messages.h"

#include <cstdint>
#include <set>
#include <string>

namespace auburnhub {

/// What an entry needs of the accepted configuration.
struct EntryConfiguration {
  std::int64_t m_Offset = -1; ///< -1: none was accepted yet.
  std::set<std::string, std::less<>> m_Services;
  std::set<std::string, std::less<>> m_Teams;
  Milliseconds m_DefaultTimeout{10000};
  Milliseconds m_DrainTime{30000};

  bool isKnown() const { return m_Offset >= 0; }

  /// Picks the values from a record; what is missing keeps its default.
  static EntryConfiguration fromUpdate(const ConfigurationUpdate &Update);
};

} // namespace auburnhub

#endif
