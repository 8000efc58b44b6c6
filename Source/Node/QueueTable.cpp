#include "auburnhub/Node/QueueTable.h"

namespace auburnhub {

const QueueEntry *QueueTable::find(std::string_view Host,
                                   std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const QueueEntry *Best = nullptr;
  for (const QueueEntry &Entry : m_Queues)
    if (Entry.m_Host == Host && Path.starts_with(Entry.m_PathPrefix) &&
        (!Best || Entry.m_PathPrefix.size() > Best->m_PathPrefix.size()))
      Best = &Entry;
  return Best;
}

} // namespace auburnhub
