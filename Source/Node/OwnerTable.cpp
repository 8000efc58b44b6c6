#include "auburnhub/Node/OwnerTable.h"

namespace auburnhub {

bool OwnerTable::put(const std::string &Name, const std::string &DataCentre) {
  auto [It, Added] = m_Owners.try_emplace(Name);
  It->second.m_DataCentre = DataCentre;
  return Added;
}

void OwnerTable::setLoad(const std::string &Name, std::uint64_t FreeSlots,
                         std::uint64_t WaitingTasks) {
  auto Found = m_Owners.find(Name);
  if (Found == m_Owners.end())
    return;
  Found->second.m_FreeSlots = static_cast<double>(FreeSlots);
  Found->second.m_WaitingTasks = static_cast<double>(WaitingTasks);
  Found->second.m_TasksSentSinceLoad = 0;
}

void OwnerTable::addSentTasks(const std::string &Name, double TaskCount) {
  auto Found = m_Owners.find(Name);
  if (Found != m_Owners.end())
    Found->second.m_TasksSentSinceLoad += TaskCount;
}

std::optional<std::string>
OwnerTable::choose(double TaskCount,
                   const std::set<std::string> &TriedOwners) const {
  std::optional<std::string> Best;
  double BestFreeCapacity = 0;
  bool BestIsLocal = false;
  for (const auto &[Name, Candidate] : m_Owners) {
    if (TriedOwners.contains(Name))
      continue;
    double FreeCapacity = Candidate.freeCapacity();
    bool IsLocal = Candidate.m_DataCentre == m_DataCentre;
    bool Fits = FreeCapacity >= TaskCount;
    bool BestFits = Best && BestFreeCapacity >= TaskCount;
    bool IsBetter =
        !Best || (Fits && !BestFits) ||
        (Fits == BestFits &&
         (Fits && IsLocal != BestIsLocal ? IsLocal
                                         : FreeCapacity > BestFreeCapacity));
    if (!IsBetter)
      continue;
    Best = Name;
    BestFreeCapacity = FreeCapacity;
    BestIsLocal = IsLocal;
  }
  return Best;
}

} // namespace auburnhub
