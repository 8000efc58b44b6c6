#include "auburnhub/Node/WorkerHistory.h"

#include <algorithm>

namespace auburnhub {

void WorkerHistory::restart(std::uint64_t Offset) {
  m_IsKnown = true;
  m_Begin = Offset;
  m_End = Offset;
  m_Pending.clear();
  m_Changes.clear();
}

void WorkerHistory::advance(TimePoint ReadAt, std::uint64_t Offset) {
  m_End = Offset;
  m_ReadAt = ReadAt;
  for (WorkerChange &Added : m_Pending)
    m_Changes.push_back({Offset, std::move(Added)});
  m_Pending.clear();
  while (m_Changes.size() > MaxChanges) {
    // Other changes of the same read are of no use without this one.
    m_Begin = std::max(m_Begin, m_Changes.front().m_End);
    m_Changes.pop_front();
  }
}

std::optional<WorkerChanges> WorkerHistory::since(TimePoint Now,
                                                  std::uint64_t From) const {
  if (!m_IsKnown || From < m_Begin)
    return std::nullopt;
  WorkerChanges Result;
  Result.m_From = From;
  Result.m_To = std::max(From, m_End);
  Result.m_AgeMs = millisecondsBetween(m_ReadAt, Now);
  for (const Change &Known : m_Changes)
    if (Known.m_End > From)
      Result.m_Changes.push_back(Known.m_Change);
  return Result;
}

} // namespace auburnhub
