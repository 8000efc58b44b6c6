#ifndef AUBURNHUB_NODE_QUEUETABLE_H
#define AUBURNHUB_NODE_QUEUETABLE_H

#include "auburnhub/Jobs/Job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// A queue and the requests that select it.
struct QueueEntry {
  QueuePolicy m_Policy;
  std::string m_Host;
  std::string m_PathPrefix;
  double m_TimeoutMs = 0; ///< Of requests that state no timeout.
  /// Whether a policy that nodes do not support restricts the workers that may
  /// run tasks of the queue; JobInterface refuses its jobs then.
  bool m_Restricted = false;
};

/// The queues of one version of the configuration.
struct QueueTable {
  std::uint64_t m_Version = 0;
  std::vector<QueueEntry> m_Queues;

  /// Returns the queue of this host with the longest prefix that matches the
  /// path; null if there is none. A port in Host is ignored.
  const QueueEntry *find(std::string_view Host, std::string_view Path) const;
  /// Returns the queue of this name; null if there is none.
  const QueueEntry *findByName(std::string_view Queue) const;
};

} // namespace auburnhub

#endif
