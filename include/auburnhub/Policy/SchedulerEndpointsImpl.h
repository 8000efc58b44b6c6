#ifndef AUBURNHUB_POLICY_SCHEDULERENDPOINTSIMPL_H
#define AUBURNHUB_POLICY_SCHEDULERENDPOINTSIMPL_H

#include "auburnhub/Policy/Scheduler.h"

/// \file
/// Scheduler: endpoints, teams and slots.

namespace auburnhub {

template <PlacementPolicy Placement>
void Scheduler<Placement>::setParameters(TimePoint Now,
                                         const PolicyParameters &Parameters) {
  m_Now = Now;
  m_Parameters = Parameters;
  for (Service &S : m_Services) {
    S.m_Work.setParameters(Parameters);
    S.selectPlacements(Parameters.m_Placement);
    S.m_RetryBudget.setLimits(Parameters.m_RetryRatio,
                              Parameters.m_RetryReserve);
  }
  for (std::size_t I = 0; I < m_Endpoints.size(); ++I)
    refreshEndpoint(Now, I);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::setEndpoints(TimePoint Now,
                                        std::span<const EndpointSpec> Specs) {
  m_Now = Now;
  std::unordered_set<std::size_t> Listed;
  for (const EndpointSpec &Spec : Specs) {
    std::size_t Index = findOrAddEndpoint(Spec.m_Address, Spec.m_Service);
    m_Endpoints[Index]->m_Record.setOwnedSlots(Spec.m_Slots, true);
    Listed.insert(Index);
  }
  for (std::size_t I = 0; I < m_Endpoints.size(); ++I) {
    if (m_Endpoints[I] && !Listed.contains(I))
      unlist(m_Endpoints[I]->m_Record);
    refreshEndpoint(Now, I);
  }
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::unlist(EndpointRecord &Record) {
  if (Record.isListed())
    m_Leaving.erase(Record.address());
  Record.setOwnedSlots(0, false);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::setTeams(std::span<const TeamSpec> Specs) {
  for (Team &T : m_Teams)
    T.m_Configured = false;
  for (const TeamSpec &Spec : Specs) {
    auto [It, Added] = m_TeamIndex.emplace(Spec.m_Team, m_Teams.size());
    if (Added)
      m_Teams.emplace_back();
    Team &T = m_Teams[It->second];
    T.m_Spec = Spec;
    T.m_Configured = true;
    for (Service &S : m_Services)
      for (FairQueue &Q : S.m_Queues)
        Q.setWeight(It->second, Spec.m_Weight);
  }
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::setExpectedSlots(TimePoint Now,
                                            const std::string &Service,
                                            int Slots) {
  m_Now = Now;
  findOrAddService(Service).m_ExpectedSlots = Slots;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::markLeaving(TimePoint Now,
                                       std::string_view Address) {
  m_Leaving.emplace(Address);
  setLeaving(Now, Address, true);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::clearLeaving(TimePoint Now,
                                        std::string_view Address) {
  m_Leaving.erase(std::string(Address));
  setLeaving(Now, Address, false);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::setLeaving(TimePoint Now, std::string_view Address,
                                      bool Leaving) {
  for (std::size_t I = 0; I < m_Endpoints.size(); ++I) {
    if (!m_Endpoints[I] || m_Endpoints[I]->m_Record.address() != Address)
      continue;
    m_Endpoints[I]->m_Record.setLeaving(Leaving);
    refreshEndpoint(Now, I);
  }
}

template <PlacementPolicy Placement>
int Scheduler<Placement>::idleSlots(std::string_view Service) const {
  const auto *S = findService(Service);
  if (!S)
    return 0;
  int Idle = 0;
  for (std::size_t Index : S->m_Endpoints)
    if (m_Endpoints[Index]->m_Record.health() == HealthState::Healthy)
      Idle += m_Endpoints[Index]->m_Record.idleSlots();
  return Idle;
}

template <PlacementPolicy Placement>
QueuedWork Scheduler<Placement>::queuedWork(std::string_view Service) const {
  QueuedWork Work;
  const auto *S = findService(Service);
  if (!S)
    return Work;
  Work.m_ShortTasks = S->queue(TaskClass::Short).size();
  Work.m_LongTasks = S->queue(TaskClass::Long).size();
  Work.m_ExpectedMs =
      S->queue(TaskClass::Short).costMs() + S->queue(TaskClass::Long).costMs();
  return Work;
}

template <PlacementPolicy Placement>
std::vector<EndpointSlots>
Scheduler<Placement>::lend(TimePoint Now, std::string_view Service, int Slots) {
  std::vector<EndpointSlots> Lent;
  const auto *S = findService(Service);
  if (!S || !S->queue(TaskClass::Short).empty() ||
      !S->queue(TaskClass::Long).empty())
    return Lent;
  for (std::size_t Index : S->m_Endpoints) {
    EndpointRecord &Record = m_Endpoints[Index]->m_Record;
    if (Slots <= 0)
      break;
    if (Record.health() != HealthState::Healthy)
      continue;
    int Reserved = Record.lend(Slots);
    if (Reserved == 0)
      continue;
    Slots -= Reserved;
    Lent.push_back({Record.address(), Reserved});
    reindex(Now, Index);
  }
  return Lent;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::reclaimSlots(TimePoint Now, std::string_view Service,
                                        std::span<const EndpointSlots> Slots) {
  for (const EndpointSlots &Lent : Slots) {
    std::size_t Index = 0;
    Endpoint *E = findEndpoint(Service, Lent.m_Address, &Index);
    if (!E)
      continue;
    E->m_Record.reclaimSlots(Lent.m_Slots);
    refreshEndpoint(Now, Index);
  }
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::addBorrowed(TimePoint Now, const EndpointSpec &Spec,
                                       TimePoint Expiry) {
  if (Spec.m_Slots <= 0 || Expiry <= Now)
    return;
  std::size_t Index = findOrAddEndpoint(Spec.m_Address, Spec.m_Service);
  m_Endpoints[Index]->m_Record.borrow(Spec.m_Slots, Expiry);
  refreshEndpoint(Now, Index);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::removeBorrowed(TimePoint Now,
                                          std::string_view Service,
                                          std::string_view Address, int Slots) {
  std::size_t Index = 0;
  Endpoint *E = findEndpoint(Service, Address, &Index);
  if (!E)
    return;
  E->m_Record.returnBorrowed(Slots);
  refreshEndpoint(Now, Index);
}

template <PlacementPolicy Placement>
std::vector<EndpointSlots>
Scheduler<Placement>::idleBorrowed(std::string_view Service) const {
  std::vector<EndpointSlots> Idle;
  const auto *S = findService(Service);
  if (!S)
    return Idle;
  for (std::size_t Index : S->m_Endpoints) {
    const EndpointRecord &Record = m_Endpoints[Index]->m_Record;
    int Unused = std::max(Record.slots() - Record.running(), 0);
    int Slots = std::min(Record.borrowedSlots(), Unused);
    if (Slots > 0)
      Idle.push_back({Record.address(), Slots});
  }
  return Idle;
}

template <PlacementPolicy Placement>
std::vector<EndpointSnapshot> Scheduler<Placement>::snapshot() const {
  std::vector<EndpointSnapshot> Snapshots;
  for (const std::optional<Endpoint> &E : m_Endpoints) {
    if (!E)
      continue;
    Snapshots.push_back(E->m_Record.snapshot());
    Snapshots.back().m_Service = m_Services[E->m_Record.service()].m_Name;
  }
  return Snapshots;
}

template <PlacementPolicy Placement>
typename Scheduler<Placement>::Service &
Scheduler<Placement>::findOrAddService(const std::string &Name,
                                       std::size_t *Index) {
  auto [It, Added] = m_ServiceIndex.emplace(Name, m_Services.size());
  if (Added) {
    Service &S = m_Services.emplace_back(Name, m_Parameters, m_Now);
    for (FairQueue::Team T = 0; T < m_Teams.size(); ++T)
      for (FairQueue &Q : S.m_Queues)
        Q.setWeight(T, m_Teams[T].m_Spec.m_Weight);
  }
  if (Index)
    *Index = It->second;
  return m_Services[It->second];
}

template <PlacementPolicy Placement>
const typename Scheduler<Placement>::Service *
Scheduler<Placement>::findService(std::string_view Name) const {
  auto It = m_ServiceIndex.find(std::string(Name));
  return It == m_ServiceIndex.end() ? nullptr : &m_Services[It->second];
}

template <PlacementPolicy Placement>
std::string Scheduler<Placement>::endpointKey(std::string_view Service,
                                              std::string_view Address) {
  std::string Key(Address);
  Key += '\n';
  Key += Service;
  return Key;
}

template <PlacementPolicy Placement>
std::size_t Scheduler<Placement>::findOrAddEndpoint(const std::string &Address,
                                                    const std::string &Name) {
  std::string Key = endpointKey(Name, Address);
  if (auto It = m_EndpointIndex.find(Key); It != m_EndpointIndex.end())
    return It->second;
  std::size_t ServiceIndex = 0;
  Service &S = findOrAddService(Name, &ServiceIndex);
  if (m_FreeIndices.empty()) {
    m_FreeIndices.push_back(m_Endpoints.size());
    m_Endpoints.emplace_back();
  }
  std::size_t Index = m_FreeIndices.back();
  m_FreeIndices.pop_back();
  m_Endpoints[Index] = Endpoint{EndpointRecord(Address, ServiceIndex)};
  m_Endpoints[Index]->m_Record.setLeaving(m_Leaving.contains(Address));
  m_EndpointIndex.emplace(std::move(Key), Index);
  S.m_Endpoints.insert(Index);
  return Index;
}

template <PlacementPolicy Placement>
typename Scheduler<Placement>::Endpoint *Scheduler<Placement>::findEndpoint(
    std::string_view Service, std::string_view Address, std::size_t *Index) {
  auto It = m_EndpointIndex.find(endpointKey(Service, Address));
  if (It == m_EndpointIndex.end())
    return nullptr;
  *Index = It->second;
  return &*m_Endpoints[It->second];
}

/// Applies the changes of an endpoint that are due at Now, schedules the next
/// refresh, and removes the endpoint if it is unused.
template <PlacementPolicy Placement>
void Scheduler<Placement>::refreshEndpoint(TimePoint Now, std::size_t Index) {
  if (!m_Endpoints[Index])
    return;
  Endpoint &E = *m_Endpoints[Index];
  EndpointRecord &Record = E.m_Record;
  Record.dropExpiredLoans(Now);
  recordHealthChange(Index, Record.endEjection(Now));
  reindex(Now, Index);
  if (Record.isUnused()) {
    dropEndpoint(Index);
    return;
  }
  std::optional<TimePoint> Next = Record.nextRefresh(Now, m_Parameters);
  bool Pending = E.m_RefreshAt && *E.m_RefreshAt > Now;
  if (!Next || (Pending && *E.m_RefreshAt <= *Next))
    return;
  E.m_RefreshAt = Next;
  m_Refreshes.push(*Next, Index);
}

/// Updates the sets of endpoints with free slots and the totals of the service
/// after a change of an endpoint.
template <PlacementPolicy Placement>
void Scheduler<Placement>::reindex(TimePoint Now, std::size_t Index) {
  Endpoint &E = *m_Endpoints[Index];
  Service &S = m_Services[E.m_Record.service()];
  double Cost = E.m_Record.cost(m_Parameters);
  for (TaskClass Class : {TaskClass::Short, TaskClass::Long}) {
    if (E.m_Record.accepts(Class, Now, m_Parameters))
      S.freeEndpoints(Class).insert(Index, Cost);
    else
      S.freeEndpoints(Class).erase(Index);
  }
  HealthState Health = E.m_Record.health();
  bool Usable = !E.m_Record.isLeaving() && Health != HealthState::Ejected;
  int Slots = Usable ? E.m_Record.slots() : 0;
  updateTotals(S, E,
               {Slots, Slots / E.m_Record.estimate().slowness(),
                E.m_Record.slots() > 0, Health != HealthState::Healthy});
}

/// Replaces the contribution of an endpoint to the totals of its service.
template <PlacementPolicy Placement>
void Scheduler<Placement>::updateTotals(Service &S, Endpoint &E,
                                        const Contribution &New) {
  const Contribution &Old = E.m_Contribution;
  S.m_Slots += New.m_Slots - Old.m_Slots;
  S.m_Speed += New.m_Speed - Old.m_Speed;
  S.m_EndpointsWithSlots += New.m_HasSlots;
  S.m_EndpointsWithSlots -= Old.m_HasSlots;
  S.m_UsableEndpoints += New.m_Slots > 0;
  S.m_UsableEndpoints -= Old.m_Slots > 0;
  S.m_UnhealthyEndpoints += New.m_Unhealthy;
  S.m_UnhealthyEndpoints -= Old.m_Unhealthy;
  E.m_Contribution = New;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::dropEndpoint(std::size_t Index) {
  Endpoint &E = *m_Endpoints[Index];
  Service &S = m_Services[E.m_Record.service()];
  for (TaskClass Class : {TaskClass::Short, TaskClass::Long})
    S.freeEndpoints(Class).erase(Index);
  updateTotals(S, E, {});
  S.m_Endpoints.erase(Index);
  m_EndpointIndex.erase(endpointKey(S.m_Name, E.m_Record.address()));
  m_Endpoints[Index].reset();
  m_FreeIndices.push_back(Index);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::recordHealthChange(
    std::size_t Index, std::optional<HealthState> Changed) {
  if (!Changed)
    return;
  const std::string &Address = m_Endpoints[Index]->m_Record.address();
  switch (*Changed) {
  case HealthState::Ejected:
    return recordEvent(PolicyEventKind::Ejected, Address, 0);
  case HealthState::Probation:
    return recordEvent(PolicyEventKind::Probation, Address, 0);
  case HealthState::Healthy:
    return recordEvent(PolicyEventKind::Recovered, Address, 0);
  }
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::recordEvent(PolicyEventKind Kind,
                                       std::string Address, TaskKey Key) {
  if (m_Events.size() < MaxEvents)
    m_Events.push_back({Kind, std::move(Address), Key});
}

} // namespace auburnhub

#endif
