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
  Found->second.m_SentSince = 0;
}

void OwnerTable::addSentTasks(const std::string &Name, double Tasks) {
  auto Found = m_Owners.find(Name);
  if (Found != m_Owners.end())
    Found->second.m_SentSince += Tasks;
}

std::optional<std::string>
OwnerTable::choose(double Tasks, const std::set<std::string> &Tried) const {
  std::optional<std::string> Best;
  double BestFree = 0;
  bool BestIsLocal = false;
  for (const auto &[Name, Candidate] : m_Owners) {
    if (Tried.contains(Name))
      continue;
    double Free = Candidate.freeCapacity();
    bool IsLocal = Candidate.m_DataCentre == m_DataCentre;
    bool Fits = Free >= Tasks;
    bool BestFits = Best && BestFree >= Tasks;
    bool Better =
        !Best || (Fits && !BestFits) ||
        (Fits == BestFits &&
         (Fits && IsLocal != BestIsLocal ? IsLocal : Free > BestFree));
    if (!Better)
      continue;
    Best = Name;
    BestFree = Free;
    BestIsLocal = IsLocal;
  }
  return Best;
}

} // namespace auburnhub
