#ifndef AUBURNHUB_JOBS_READYTASKS_H
#define AUBURNHUB_JOBS_READYTASKS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace auburnhub {

/// Tasks that may start, ordered by their keys and indexed by the CPU that they
/// need, in thousandths of a core.
///
/// Load pattern: many tasks that are larger than the free room, before smaller
/// ones that fit. The time of a search depends on the number of sizes, not on
/// the number of tasks.
template <typename Key> class ReadyTasks {
public:
  void insert(std::int64_t CpuMillis, const Key &Added) {
    m_Size += m_BySize[CpuMillis].insert(Added).second ? 1 : 0;
  }
  void erase(std::int64_t CpuMillis, const Key &Removed) {
    auto Found = m_BySize.find(CpuMillis);
    if (Found == m_BySize.end())
      return;
    m_Size -= Found->second.erase(Removed);
    if (Found->second.empty())
      m_BySize.erase(Found);
  }
  /// Returns the first task that needs at most this much CPU, or nullptr; valid
  /// until the next change of this object.
  const Key *first(std::int64_t MaxCpuMillis) const {
    const Key *First = nullptr;
    auto End = m_BySize.upper_bound(MaxCpuMillis);
    for (auto It = m_BySize.begin(); It != End; ++It)
      if (!First || *It->second.begin() < *First)
        First = &*It->second.begin();
    return First;
  }
  std::size_t size() const { return m_Size; }

private:
  std::map<std::int64_t, std::set<Key>> m_BySize;
  std::size_t m_Size = 0;
};

} // namespace auburnhub

#endif
