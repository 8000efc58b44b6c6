#include "auburnhub/Jobs/EarlierRuns.h"

#include <algorithm>

namespace auburnhub {
namespace {

/// Time for which the numbers of ended runs are remembered. A caller submits a
/// job again 1.3 s after a broken call.
constexpr double RememberedMs = 5000;

constexpr double CleanUpIntervalMs = 1000;

} // namespace

void EarlierRuns::add(const TaskRef &Task, std::uint32_t Number) {
  Entry &Runs = m_Tasks[Task];
  ++Runs.m_UnfinishedRuns;
  Runs.m_LastNumber = std::max(Runs.m_LastNumber, Number);
}

void EarlierRuns::end(TimePoint Now, const TaskRef &Task) {
  auto Found = m_Tasks.find(Task);
  if (Found == m_Tasks.end() || Found->second.m_UnfinishedRuns == 0)
    return;
  --Found->second.m_UnfinishedRuns;
  Found->second.m_LastChange = Now;
}

void EarlierRuns::abandon(const TaskRef &Task, TimePoint ActiveUntil) {
  auto Found = m_Tasks.find(Task);
  if (Found == m_Tasks.end() || Found->second.m_UnfinishedRuns == 0)
    return;
  Entry &Runs = Found->second;
  --Runs.m_UnfinishedRuns;
  Runs.m_ActiveUntil = std::max(Runs.m_ActiveUntil, ActiveUntil);
  Runs.m_LastChange = std::max(Runs.m_LastChange, ActiveUntil);
}

bool EarlierRuns::mayBeActive(TimePoint Now, const TaskRef &Task) const {
  auto Found = m_Tasks.find(Task);
  return Found != m_Tasks.end() && Found->second.mayBeActive(Now);
}

bool EarlierRuns::mayBeActive(TimePoint Now, const std::string &Job) const {
  for (auto It = m_Tasks.lower_bound({Job, 0, 0});
       It != m_Tasks.end() && It->first.m_Job == Job; ++It)
    if (It->second.mayBeActive(Now))
      return true;
  return false;
}

std::uint32_t EarlierRuns::lastNumber(const TaskRef &Task) const {
  auto Found = m_Tasks.find(Task);
  return Found == m_Tasks.end() ? 0 : Found->second.m_LastNumber;
}

std::optional<TimePoint> EarlierRuns::activeUntil(const TaskRef &Task) const {
  auto Found = m_Tasks.find(Task);
  if (Found == m_Tasks.end())
    return std::nullopt;
  return Found->second.m_ActiveUntil;
}

void EarlierRuns::forgetOld(TimePoint Now) {
  if (Now < m_NextCleanUp)
    return;
  m_NextCleanUp = addMs(Now, CleanUpIntervalMs);
  std::erase_if(m_Tasks, [Now](const auto &Item) {
    const Entry &Runs = Item.second;
    return Runs.m_UnfinishedRuns == 0 &&
           millisecondsBetween(Runs.m_LastChange, Now) > RememberedMs;
  });
}

} // namespace auburnhub
