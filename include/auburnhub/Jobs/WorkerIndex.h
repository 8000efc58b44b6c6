#ifndef AUBURNHUB_JOBS_WORKERINDEX_H
#define AUBURNHUB_JOBS_WORKERINDEX_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhub {

struct WorkerRecord;

/// The workers of one service, and of one label if it is not empty, that may
/// get a new run: by speed class, fastest first, and within a class by free
/// CPU, least first. A search for a worker looks only at those with enough free
/// CPU, so that one that finds none takes time independent of the number of
/// workers.
///
/// Load: more work than the workers can do, when most searches find none.
class WorkerIndex {
public:
  struct Entry {
    std::int64_t m_FreeCpu = 0;
    WorkerRecord *m_Worker = nullptr;
  };
  /// Sorted by free CPU, then by the worker's id.
  using SpeedClass = std::vector<Entry>;

  void insert(int Class, const Entry &Added);
  void erase(int Class, const Entry &Removed);
  bool empty() const { return m_Classes.empty(); }

  /// Returns the highest free CPU of a worker; the minimum if there is none.
  std::int64_t maxFreeCpu() const;
  /// Returns how many workers have at least this much free CPU.
  std::size_t countWithFreeCpu(std::int64_t CpuMillis) const;
  /// Returns the fastest class, or 0 if there is no worker.
  int fastestClass() const {
    return m_Classes.empty() ? 0 : m_Classes.begin()->first;
  }

  /// Returns the first worker, in the order of the index, that has at least
  /// this much free CPU and that Accept(Worker) accepts; null if there is none.
  /// Only classes for which IsWanted(Class) holds are searched.
  template <typename ClassFilter, typename Filter>
  WorkerRecord *find(std::int64_t CpuMillis, ClassFilter &&IsWanted,
                     Filter &&Accept) const {
    for (const auto &[Class, Workers] : m_Classes) {
      if (!IsWanted(Class))
        break;
      for (auto It = firstWithFreeCpu(Workers, CpuMillis); It != Workers.end();
           ++It)
        if (Accept(*It->m_Worker))
          return It->m_Worker;
    }
    return nullptr;
  }

  template <typename Visitor> void visit(Visitor &&Visit) const {
    for (const auto &[Class, Workers] : m_Classes)
      for (const Entry &Listed : Workers)
        Visit(std::as_const(*Listed.m_Worker));
  }

private:
  static SpeedClass::const_iterator firstWithFreeCpu(const SpeedClass &Workers,
                                                     std::int64_t CpuMillis);

  std::map<int, SpeedClass, std::greater<>> m_Classes;
};

/// The position of a worker in the indices of its registry.
struct WorkerPosition {
  std::vector<WorkerIndex *> m_Indices; ///< All that the worker belongs to.
  bool m_IsIndexed = false;
  int m_Class = 0;
  std::int64_t m_FreeCpu = 0;
  std::int64_t m_Slots = 0; ///< Counted for it, see freeSlots().
};

} // namespace auburnhub

#endif
