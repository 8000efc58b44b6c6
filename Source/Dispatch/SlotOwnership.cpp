#include "SlotOwnership.h"

#include "auburnhub/Policy/Ownership.h"

#include <algorithm>

namespace auburnhub {
namespace {

using Candidates = std::vector<OwnerCandidate>;

struct CandidateSet {
  std::map<std::string, Candidates, std::less<>> m_ByDataCentre;
  Candidates m_All;
};

CandidateSet readyDispatchers(const MembersUpdate &Members) {
  CandidateSet Result;
  for (const Member &Item : Members.m_Members) {
    if (!Item.m_DispatchReady)
      continue;
    OwnerCandidate Candidate{Item.m_Vm, static_cast<double>(Item.m_Weight)};
    Result.m_ByDataCentre[Item.m_DataCentre].push_back(Candidate);
    Result.m_All.push_back(Candidate);
  }
  return Result;
}

const Candidates &candidatesFor(const CandidateSet &Ready,
                                const std::string &DataCentre) {
  auto Found = Ready.m_ByDataCentre.find(DataCentre);
  return Found == Ready.m_ByDataCentre.end() ? Ready.m_All : Found->second;
}

/// Returns how many slots of an endpoint a VM's dispatcher owns. Each slot has
/// an owner of its own, so that every dispatcher has fast and slow endpoints
/// in about the same proportion.
int slotsOf(const EndpointConfiguration &Endpoint, const Candidates &Owners,
            std::string_view Vm) {
  int Count = 0;
  for (std::int64_t Slot = 0; Slot < Endpoint.m_Slots; ++Slot) {
    auto Index =
        selectOwner(Endpoint.m_Address + "#" + std::to_string(Slot), Owners);
    Count += Index && Owners[*Index].m_Name == Vm;
  }
  return Count;
}

} // namespace

OwnedSlots findOwnedSlots(const ConfigurationBody &Configuration,
                          const MembersUpdate &Members, std::string_view Vm,
                          std::string_view DataCentre) {
  OwnedSlots Result;
  CandidateSet Ready = readyDispatchers(Members);
  std::set<std::string> LeavingVms(Members.m_LeavingVms.begin(),
                                   Members.m_LeavingVms.end());
  for (const auto &[Name, Service] : Configuration.m_Services) {
    int SlotsHere = 0;
    for (const EndpointConfiguration &Item : Service.m_Endpoints) {
      if (LeavingVms.contains(Item.m_Vm))
        Result.m_Leaving.insert(Item.m_Address);
      if (Item.m_DataCentre == DataCentre)
        SlotsHere += Item.m_Slots;
      const Candidates &Owners = candidatesFor(Ready, Item.m_DataCentre);
      Result.m_Endpoints.push_back(
          {Item.m_Address, Name, slotsOf(Item, Owners, Vm)});
    }
    auto Peers = Ready.m_ByDataCentre.find(DataCentre);
    int Sharers = Peers == Ready.m_ByDataCentre.end()
                      ? 1
                      : static_cast<int>(Peers->second.size());
    Result.m_ExpectedSlots[Name] = std::max(1, SlotsHere / Sharers);
  }
  return Result;
}

} // namespace auburnhub
