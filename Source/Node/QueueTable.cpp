#include "auburnhub/Node/QueueTable.h"

#include <algorithm>

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

const QueueEntry *QueueTable::findByName(std::string_view Queue) const {
  auto Found = std::find_if(
      m_Queues.begin(), m_Queues.end(),
      [&](const QueueEntry &Entry) { return Entry.m_Policy.m_Queue == Queue; });
  return Found == m_Queues.end() ? nullptr : &*Found;
}

} // namespace auburnhub
