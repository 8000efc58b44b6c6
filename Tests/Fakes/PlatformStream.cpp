#include "Fakes/PlatformStream.h"

#include <algorithm>

namespace auburnhub::test {

std::int64_t PlatformStream::append(std::int64_t TimeMs,
                                    const std::vector<nlohmann::json> &Batch) {
  const std::int64_t Offset = end();
  for (const nlohmann::json &Data : Batch)
    m_Records.push_back({TimeMs, Data});
  trim(end() - static_cast<std::int64_t>(m_Keep));
  return Offset;
}

nlohmann::json PlatformStream::read(std::int64_t From,
                                    std::size_t Limit) const {
  nlohmann::json Found = nlohmann::json::array();
  for (std::int64_t Offset = std::max(From, m_First);
       Offset < end() && Found.size() < Limit; ++Offset) {
    const Record &Entry = m_Records[static_cast<std::size_t>(Offset - m_First)];
    Found.push_back(
        {{"offset", Offset}, {"time", Entry.m_TimeMs}, {"data", Entry.m_Data}});
  }
  return {{"first", m_First}, {"end", end()}, {"records", std::move(Found)}};
}

void PlatformStream::trim(std::int64_t First) {
  while (m_First < First && !m_Records.empty()) {
    m_Records.pop_front();
    ++m_First;
  }
}

std::int64_t PlatformStream::end() const {
  return m_First + static_cast<std::int64_t>(m_Records.size());
}

} // namespace auburnhub::test
