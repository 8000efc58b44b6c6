#ifndef AUBURNHUB_POLICY_SERVICESTATE_H
#define AUBURNHUB_POLICY_SERVICESTATE_H

#include "auburnhub/Policy/EndpointRecord.h"
#include "auburnhub/Policy/FairQueue.h"
#include "auburnhub/Policy/Placement.h"
#include "auburnhub/Policy/RetryBudget.h"
#include "auburnhub/Policy/WorkModel.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <string>

namespace auburnhub {

/// The scheduler's state of one service: its queues, its endpoints with a free
/// slot, and the estimates of its run times.
template <PlacementPolicy Placement> struct ServiceState {
  ServiceState(std::string Name, const PolicyParameters &Parameters,
               TimePoint Now)
      : m_Name(std::move(Name)), m_Work(Parameters, Now),
        m_RetryBudget(Parameters.m_RetryRatio, Parameters.m_RetryReserve) {
    selectPlacements(Parameters.m_Placement);
  }

  /// Selects the placement policy. The caller must insert the endpoints again.
  void selectPlacements(std::string_view Name) {
    for (Placement &Policy : m_FreeEndpoints)
      selectPlacement(Policy, Name);
  }

  FairQueue &queue(TaskClass Class) {
    return m_Queues[static_cast<std::size_t>(Class)];
  }
  const FairQueue &queue(TaskClass Class) const {
    return m_Queues[static_cast<std::size_t>(Class)];
  }
  Placement &freeEndpoints(TaskClass Class) {
    return m_FreeEndpoints[static_cast<std::size_t>(Class)];
  }

  /// Returns whether a long task starts before short ones: long tasks are
  /// queued and fewer of them run than their guaranteed share of the slots.
  bool longHasPriority(const PolicyParameters &Parameters) const {
    if (queue(TaskClass::Long).empty())
      return false;
    int Guaranteed =
        std::max(1, static_cast<int>(
                        std::ceil(Parameters.m_LongGuaranteedShare * m_Slots)));
    if (m_RunningLong >= Guaranteed)
      return false;
    // If the guarantee covers all slots, the classes alternate.
    return Guaranteed < m_Slots || !m_LastStartWasLong;
  }

  /// Returns the mean of 1 / slowness over the usable slots; 1 without slots.
  double meanSpeed() const { return m_Slots > 0 ? m_Speed / m_Slots : 1; }

  /// Returns the capacity that is available to a class, in slots of speed 1,
  /// and at least 1. Slots are weighted by speed because the run times were
  /// recorded mostly on fast endpoints, which are preferred under light load;
  /// without the weights the expected waits are too short when the load rises.
  double capacity(TaskClass Class, const PolicyParameters &Parameters) const {
    double AllSlots = std::max(m_Slots, m_ExpectedSlots) * meanSpeed();
    double Slots = Class == TaskClass::Short
                       ? AllSlots - m_RunningLong * meanSpeed()
                       : Parameters.m_LongShare * AllSlots;
    return std::max(Slots, 1.0);
  }

  /// Returns the expected time that a new task of a team waits for a slot, in
  /// milliseconds: the lower of the times to serve the whole queue and to serve
  /// the team's tasks at its fair share.
  double expectedWaitMs(TaskClass Class, FairQueue::Team Team,
                        const PolicyParameters &Parameters) const {
    const FairQueue &Q = queue(Class);
    double Slots = capacity(Class, Parameters);
    double WholeQueueMs = Q.costMs() / Slots;
    double OwnShareMs = Q.costMs(Team) / (Slots * Q.share(Team));
    return std::min(WholeQueueMs, OwnShareMs);
  }

  /// Returns whether one more endpoint may be ejected. Endpoints on probation
  /// count as ejected. Unless m_MaxEjectedShare is 0, one endpoint of several
  /// may always be ejected.
  bool mayEject(const PolicyParameters &Parameters) const {
    auto Allowed = static_cast<std::size_t>(Parameters.m_MaxEjectedShare *
                                            m_EndpointsWithSlots);
    if (m_EndpointsWithSlots > 1 && Parameters.m_MaxEjectedShare > 0)
      Allowed = std::max<std::size_t>(Allowed, 1);
    return m_UnhealthyEndpoints < Allowed;
  }

  std::string m_Name;
  std::set<std::size_t> m_Endpoints;
  int m_Slots = 0;         ///< On endpoints neither leaving nor ejected.
  double m_Speed = 0;      ///< Sum of 1 / slowness over these slots.
  int m_ExpectedSlots = 0; ///< Including loans; see setExpectedSlots().
  std::size_t m_EndpointsWithSlots = 0; ///< Also if leaving or ejected.
  std::size_t m_UsableEndpoints = 0;    ///< With slots counted in m_Slots.
  int m_Running = 0;
  int m_RunningLong = 0;
  std::size_t m_UnhealthyEndpoints = 0; ///< Ejected or on probation.
  bool m_LastStartWasLong = false;
  WorkModel m_Work;
  RetryBudget m_RetryBudget;
  std::array<FairQueue, 2> m_Queues;        ///< By TaskClass.
  std::array<Placement, 2> m_FreeEndpoints; ///< By TaskClass.
};

} // namespace auburnhub

#endif
