#include "auburnhub/Jobs/WorkerIndex.h"

#include "auburnhub/Jobs/WorkerRegistry.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace auburnhub {
namespace {

bool isBefore(const WorkerIndex::Entry &A, const WorkerIndex::Entry &B) {
  return std::tie(A.m_FreeCpu, A.m_Worker->m_Spec.m_Id) <
         std::tie(B.m_FreeCpu, B.m_Worker->m_Spec.m_Id);
}

} // namespace

void WorkerIndex::insert(int Class, const Entry &Added) {
  SpeedClass &Workers = m_Classes[Class];
  Workers.insert(
      std::lower_bound(Workers.begin(), Workers.end(), Added, isBefore), Added);
}

void WorkerIndex::erase(int Class, const Entry &Removed) {
  auto Found = m_Classes.find(Class);
  if (Found == m_Classes.end())
    return;
  SpeedClass &Workers = Found->second;
  auto It = std::lower_bound(Workers.begin(), Workers.end(), Removed, isBefore);
  if (It != Workers.end() && It->m_Worker == Removed.m_Worker)
    Workers.erase(It);
  if (Workers.empty())
    m_Classes.erase(Found);
}

WorkerIndex::SpeedClass::const_iterator
WorkerIndex::firstWithFreeCpu(const SpeedClass &Workers,
                              std::int64_t CpuMillis) {
  return std::lower_bound(Workers.begin(), Workers.end(), CpuMillis,
                          [](const Entry &Other, std::int64_t Cpu) {
                            return Other.m_FreeCpu < Cpu;
                          });
}

std::int64_t WorkerIndex::maxFreeCpu() const {
  std::int64_t Max = std::numeric_limits<std::int64_t>::min();
  for (const auto &[Class, Workers] : m_Classes)
    Max = std::max(Max, Workers.back().m_FreeCpu);
  return Max;
}

std::size_t WorkerIndex::countWithFreeCpu(std::int64_t CpuMillis) const {
  std::size_t Count = 0;
  for (const auto &[Class, Workers] : m_Classes)
    Count += static_cast<std::size_t>(
        std::distance(firstWithFreeCpu(Workers, CpuMillis), Workers.end()));
  return Count;
}

} // namespace auburnhub
