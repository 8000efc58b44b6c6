#ifndef AUBURNHUB_JOBS_WAITINGJOBS_H
#define AUBURNHUB_JOBS_WAITINGJOBS_H

#include "auburnhub/Policy/Types.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnhub {

/// The jobs of one service that wait for a worker, in order of service:
///  1. jobs of which some tasks run already, so that no job holds workers while
///     others get those that its remaining tasks need;
///  2. jobs that can still meet their latency objective;
///  3. jobs that will be late but useful;
///  4. the rest.
/// Within each they are ordered by the latest start that meets the objective.
/// The rank of a job changes only when one of its times passes or
/// its first task starts.
///
/// Load: more work than the workers can do, with many jobs waiting at each
/// event.
template <typename Job> class WaitingJobs {
public:
  struct Entry {
    TimePoint m_LatestStart;  ///< That meets the latency objective.
    TimePoint m_LatestUseful; ///< Latest start that is still useful.
    std::string_view m_Id;    ///< Of the job; orders equal times.
    Job *m_Job = nullptr;
    bool m_HasStarted = false;
    /// Lower bound of the CPU that its next task requires.
    std::int64_t m_MinCpu = 0;
    std::int64_t m_WaitingCpu = 0; ///< Of its waiting tasks.
    /// Must be tried even if no worker has gained room.
    bool m_IsNew = true;
    /// Must be tried again once the limit of its runs is raised.
    bool m_IsLimitedByLease = false;
  };

  bool empty() const { return m_Size == 0; }
  std::size_t size() const { return m_Size; }

  void insert(TimePoint Now, const Entry &Added) {
    std::vector<Entry> &Rank = m_Ranks[stageAt(Now, Added)];
    Rank.insert(std::lower_bound(Rank.begin(), Rank.end(), Added, isBefore),
                Added);
    ++m_Size;
  }

  /// Returns the entry of a job, which is valid until the next change, or null.
  Entry *find(TimePoint LatestStart, std::string_view Id) {
    Entry Key;
    Key.m_LatestStart = LatestStart;
    Key.m_Id = Id;
    for (auto &[Order, Rank] : m_Ranks) {
      auto It = std::lower_bound(Rank.begin(), Rank.end(), Key, isBefore);
      if (It != Rank.end() && It->m_Id == Id)
        return &*It;
    }
    return nullptr;
  }

  void erase(TimePoint LatestStart, std::string_view Id) {
    Entry *Found = find(LatestStart, Id);
    if (!Found)
      return;
    for (auto &[Order, Rank] : m_Ranks)
      if (!Rank.empty() && Found >= Rank.data() &&
          Found < Rank.data() + Rank.size()) {
        Rank.erase(Rank.begin() + (Found - Rank.data()));
        --m_Size;
        return;
      }
  }

  /// Calls Visit(Entry &) for each job in order of service. A visit must not
  /// change the queue; jobs for which it returns false are removed.
  template <typename Visitor> void visit(TimePoint Now, Visitor &&Visit) {
    lowerRanks(Now);
    std::vector<Entry> Started;
    for (auto &[Order, Rank] : m_Ranks) {
      std::size_t Kept = 0;
      for (Entry &Waiting : Rank) {
        bool HadStarted = Waiting.m_HasStarted;
        if (!Visit(Waiting))
          continue;
        if (Waiting.m_HasStarted != HadStarted)
          Started.push_back(Waiting);
        else
          Rank[Kept++] = Waiting;
      }
      m_Size -= Rank.size() - Kept;
      Rank.resize(Kept);
    }
    for (const Entry &Waiting : Started)
      insert(Now, Waiting);
  }

  /// Returns the CPU of the waiting tasks of the jobs before a job.
  std::int64_t cpuBefore(const Job &Sought) const {
    std::int64_t Total = 0;
    for (const auto &[Order, Rank] : m_Ranks)
      for (const Entry &Waiting : Rank) {
        if (Waiting.m_Job == &Sought)
          return Total;
        Total += Waiting.m_WaitingCpu;
      }
    return Total;
  }

private:
  enum class Stage { Started, OnTime, Late, Expired };

  static bool isBefore(const Entry &A, const Entry &B) {
    return std::tie(A.m_LatestStart, A.m_Id) <
           std::tie(B.m_LatestStart, B.m_Id);
  }

  static Stage stageAt(TimePoint Now, const Entry &Waiting) {
    if (Now > Waiting.m_LatestUseful && Now > Waiting.m_LatestStart)
      return Stage::Expired;
    if (Waiting.m_HasStarted)
      return Stage::Started;
    return Now <= Waiting.m_LatestStart ? Stage::OnTime : Stage::Late;
  }

  /// Moves jobs whose time for the objective, or for a useful result, has
  /// passed.
  void lowerRanks(TimePoint Now) {
    std::vector<Entry> Lower;
    for (auto &[Order, Rank] : m_Ranks) {
      Stage Current = Order;
      auto Remains = [&](const Entry &Waiting) {
        return stageAt(Now, Waiting) == Current;
      };
      // Jobs on time are sorted by the time at which they leave this stage.
      if (Rank.empty() || (Current == Stage::OnTime && Remains(Rank.front())) ||
          std::all_of(Rank.begin(), Rank.end(), Remains))
        continue;
      auto Moved = std::stable_partition(Rank.begin(), Rank.end(), Remains);
      Lower.insert(Lower.end(), Moved, Rank.end());
      Rank.erase(Moved, Rank.end());
    }
    m_Size -= Lower.size();
    for (const Entry &Waiting : Lower)
      insert(Now, Waiting);
  }

  std::map<Stage, std::vector<Entry>> m_Ranks;
  std::size_t m_Size = 0;
};

} // namespace auburnhub

#endif
