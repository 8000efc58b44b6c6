#include "auburnhub/Node/DialQueue.h"

#include <functional>
#include <utility>

namespace auburnhub {

void DialQueue::add(const std::string &Address, bool HasFailed) {
  if (m_Waiting.contains(Address))
    return;
  Place Added{HasFailed, std::hash<std::string>{}(m_Self + " " + Address),
              Address};
  m_Order.insert(Added);
  m_Waiting.emplace(Address, std::move(Added));
}

std::vector<std::string> DialQueue::takeDue(TimePoint Now) {
  std::erase_if(m_InProgress, [&](const auto &Entry) {
    return millisecondsBetween(Entry.second, Now) >= SlotMs;
  });
  std::vector<std::string> Result;
  while (!m_Order.empty() && m_InProgress.size() < MaxInProgress) {
    std::string Address = std::get<2>(*m_Order.begin());
    m_Order.erase(m_Order.begin());
    m_Waiting.erase(Address);
    m_InProgress[Address] = Now;
    Result.push_back(std::move(Address));
  }
  return Result;
}

} // namespace auburnhub
