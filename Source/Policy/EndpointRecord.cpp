#include "auburnhub/Policy/EndpointRecord.h"

#include <algorithm>

namespace auburnhub {
namespace {

/// Number of refreshes during a slow start; each makes more slots usable.
constexpr double SlowStartSteps = 8;

} // namespace

EndpointRecord::EndpointRecord(std::string Address, std::size_t Service)
    : m_Address(std::move(Address)), m_Service(Service) {}

void EndpointRecord::borrow(int Slots, TimePoint Expiry) {
  auto After = std::find_if(m_Loans.begin(), m_Loans.end(),
                            [&](const Loan &L) { return L.m_Expiry > Expiry; });
  m_Loans.insert(After, Loan{Slots, Expiry});
}

void EndpointRecord::returnBorrowed(int Slots) {
  for (Loan &L : m_Loans) {
    int Returned = std::min(Slots, L.m_Slots);
    L.m_Slots -= Returned;
    Slots -= Returned;
  }
  std::erase_if(m_Loans, [](const Loan &L) { return L.m_Slots == 0; });
}

void EndpointRecord::dropExpiredLoans(TimePoint Now) {
  std::erase_if(m_Loans, [&](const Loan &L) { return L.m_Expiry <= Now; });
}

int EndpointRecord::lend(int Slots) {
  int Lendable = std::min({Slots, m_OwnedSlots - m_LentSlots, idleSlots()});
  Lendable = std::max(Lendable, 0);
  m_LentSlots += Lendable;
  return Lendable;
}

void EndpointRecord::reclaimSlots(int Slots) {
  m_LentSlots = std::max(m_LentSlots - Slots, 0);
}

int EndpointRecord::slots() const {
  return std::max(m_OwnedSlots - m_LentSlots, 0) + borrowedSlots();
}

int EndpointRecord::borrowedSlots() const {
  int Sum = 0;
  for (const Loan &L : m_Loans)
    Sum += L.m_Slots;
  return Sum;
}

int EndpointRecord::idleSlots() const {
  return m_Leaving ? 0 : std::max(slots() - m_Running, 0);
}

bool EndpointRecord::isUnused() const {
  return !m_Listed && m_Running == 0 && m_Loans.empty();
}

bool EndpointRecord::accepts(TaskClass Class, TimePoint Now,
                             const PolicyParameters &Parameters) const {
  if (m_Leaving || m_PausedUntil > Now || health() == HealthState::Ejected)
    return false;
  int Usable = m_Estimate.usableSlots(Now, slots());
  if (m_Running >= Usable)
    return false;
  if (health() == HealthState::Probation)
    return !m_Probe;
  if (Class == TaskClass::Short)
    return true;
  int LongCap = static_cast<int>(Parameters.m_LongShare * slots());
  return m_RunningLong < std::max(LongCap, 1);
}

double EndpointRecord::cost(const PolicyParameters &Parameters) const {
  if (health() == HealthState::Probation)
    return 0;
  double Load = static_cast<double>(m_Running) / std::max(slots(), 1);
  return m_Estimate.slowness() * (1 + Parameters.m_LoadWeight * Load);
}

bool EndpointRecord::start(TaskKey Task, TaskClass Class) {
  ++m_Running;
  if (Class == TaskClass::Long)
    ++m_RunningLong;
  if (health() != HealthState::Probation)
    return false;
  m_Probe = Task;
  return true;
}

std::optional<HealthState>
EndpointRecord::finish(TimePoint Now, TaskKey Task, TaskClass Class,
                       TaskResult Result, bool MayEject,
                       const PolicyParameters &Parameters) {
  --m_Running;
  if (Class == TaskClass::Long)
    --m_RunningLong;
  bool IsProbe = m_Probe == Task;
  if (IsProbe)
    m_Probe.reset();
  // Tasks that started before the ejection do not show whether the endpoint has
  // recovered.
  if (health() == HealthState::Probation && !IsProbe)
    return std::nullopt;
  return applyResult(Now, Result, MayEject, Parameters);
}

std::optional<HealthState>
EndpointRecord::applyResult(TimePoint Now, TaskResult Result, bool MayEject,
                            const PolicyParameters &Parameters) {
  if (Result == TaskResult::Cancelled)
    return std::nullopt;
  if (Result == TaskResult::RefusedNotStarted)
    m_PausedUntil = addMs(Now, Parameters.m_RefusalPauseMs);
  std::optional<HealthState> Changed =
      Result == TaskResult::Ok ? m_Health.recordSuccess()
                               : m_Health.recordFailure(Parameters, MayEject);
  if (Changed == HealthState::Ejected)
    m_EjectedUntil = addMs(Now, m_Health.ejectionMs(Parameters));
  if (Changed == HealthState::Healthy)
    m_Estimate.beginSlowStart(Now, Parameters.m_SlowStartMs);
  return Changed;
}

std::optional<HealthState> EndpointRecord::endEjection(TimePoint Now) {
  if (health() != HealthState::Ejected || Now < m_EjectedUntil)
    return std::nullopt;
  return m_Health.beginProbation();
}

std::optional<TimePoint>
EndpointRecord::nextRefresh(TimePoint Now,
                            const PolicyParameters &Parameters) const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  Consider(m_PausedUntil);
  if (health() == HealthState::Ejected)
    Consider(m_EjectedUntil);
  if (m_Estimate.inSlowStart(Now))
    Consider(addMs(Now, Parameters.m_SlowStartMs / SlowStartSteps + 1));
  if (!m_Loans.empty())
    Consider(m_Loans.front().m_Expiry);
  return Next;
}

EndpointSnapshot EndpointRecord::snapshot() const {
  EndpointSnapshot S;
  S.m_Address = m_Address;
  S.m_OwnedSlots = m_OwnedSlots;
  S.m_BorrowedSlots = borrowedSlots();
  S.m_LentSlots = m_LentSlots;
  S.m_Running = m_Running;
  S.m_RunningLong = m_RunningLong;
  S.m_Slowness = m_Estimate.slowness();
  S.m_Health = health();
  S.m_Leaving = m_Leaving;
  return S;
}

} // namespace auburnhub
