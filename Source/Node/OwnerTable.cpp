#include "auburnhub/Node/OwnerTable.h"

#include "auburnhub/Policy/Ownership.h"

#include <algorithm>
#include <vector>

namespace auburnhub {
namespace {

/// Weight of one load report in the learned number of slots that other nodes
/// take up.
constexpr double TakenByOthersWeight = 0.2;

} // namespace

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
  Owner &Reported = Found->second;
  double Expected = Reported.freeCapacity();
  Reported.m_FreeSlots = static_cast<double>(FreeSlots);
  Reported.m_WaitingTasks = static_cast<double>(WaitingTasks);
  Reported.m_TasksSentSinceLoad = 0;
  if (Reported.m_HasLoad) {
    double Taken = std::max(0.0, Expected - Reported.freeCapacity());
    Reported.m_TakenByOthers +=
        TakenByOthersWeight * (Taken - Reported.m_TakenByOthers);
  }
  Reported.m_HasLoad = true;
}

void OwnerTable::addSentTasks(const std::string &Name, double TaskCount) {
  auto Found = m_Owners.find(Name);
  if (Found != m_Owners.end())
    Found->second.m_TasksSentSinceLoad += TaskCount;
}

void OwnerTable::setLargestFreeCpu(const std::string &Name,
                                   std::int64_t CpuMillis) {
  auto Found = m_Owners.find(Name);
  if (Found != m_Owners.end())
    Found->second.m_LargestFreeCpu = CpuMillis;
}

void OwnerTable::addSentTask(const std::string &Name, std::int64_t CpuMillis) {
  addSentTasks(Name, 1);
  auto Found = m_Owners.find(Name);
  if (Found != m_Owners.end())
    Found->second.m_LargestFreeCpu -= CpuMillis;
}

std::int64_t OwnerTable::largestFreeCpu() const {
  std::int64_t Largest = 0;
  for (const auto &[Name, Known] : m_Owners)
    Largest = std::max(Largest, Known.m_LargestFreeCpu);
  return Largest;
}

std::optional<std::string>
OwnerTable::chooseForTask(std::int64_t CpuMillis,
                          const std::set<std::string> &TriedOwners) const {
  auto WithCapacity = choose(/*TaskCount=*/1, TriedOwners);
  if (WithCapacity && m_Owners.at(*WithCapacity).freeCapacity() >= 1)
    return WithCapacity;
  std::optional<std::string> Best;
  std::pair<bool, std::int64_t> BestRank;
  for (const auto &[Name, Candidate] : m_Owners) {
    // Owners that state no free CPU have room for no task, however small.
    if (TriedOwners.contains(Name) ||
        Candidate.m_LargestFreeCpu < std::max<std::int64_t>(1, CpuMillis))
      continue;
    std::pair Rank(Candidate.m_DataCentre == m_DataCentre,
                   Candidate.m_LargestFreeCpu);
    if (Best && Rank <= BestRank)
      continue;
    Best = Name;
    BestRank = Rank;
  }
  return Best;
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

std::optional<std::string>
OwnerTable::chooseNearby(double TaskCount,
                         const std::set<std::string> &TriedOwners) const {
  std::optional<std::string> Best;
  double BestFreeCapacity = 0;
  for (const auto &[Name, Candidate] : m_Owners) {
    double FreeCapacity = Candidate.freeCapacity();
    if (Candidate.m_DataCentre != m_DataCentre || TriedOwners.contains(Name) ||
        FreeCapacity < TaskCount + Candidate.m_TakenByOthers)
      continue;
    if (Best && FreeCapacity <= BestFreeCapacity)
      continue;
    Best = Name;
    BestFreeCapacity = FreeCapacity;
  }
  return Best;
}

bool OwnerTable::hasCapacityFor(
    double TaskCount, const std::set<std::string> &TriedOwners) const {
  return std::any_of(m_Owners.begin(), m_Owners.end(), [&](const auto &Entry) {
    return !TriedOwners.contains(Entry.first) &&
           Entry.second.freeCapacity() >= TaskCount;
  });
}

std::optional<OwnerTable::Choice>
OwnerTable::chooseForJob(std::string_view Job, double TaskCount,
                         const std::set<std::string> &TriedOwners) const {
  std::optional<std::string> Chosen = chooseNearby(TaskCount, TriedOwners);
  if (!Chosen) {
    std::vector<OwnerCandidate> Candidates;
    for (const auto &[Name, Candidate] : m_Owners)
      if (!TriedOwners.contains(Name) && Candidate.freeCapacity() >= TaskCount)
        Candidates.push_back({Name, Candidate.freeCapacity()});
    if (auto Index = selectOwner(Job, Candidates))
      Chosen = std::string(Candidates[*Index].m_Name);
    else
      Chosen = choose(TaskCount, TriedOwners);
  }
  if (!Chosen)
    return std::nullopt;
  std::set<std::string> Others = TriedOwners;
  Others.insert(*Chosen);
  return Choice{*Chosen, !hasCapacityFor(TaskCount, Others)};
}

} // namespace auburnhub
