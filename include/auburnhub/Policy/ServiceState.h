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

/// What a scheduler keeps of one service: its queues, its endpoints with a
/// free slot, and what it has learned of its work.
template <PlacementPolicy Placement> struct ServiceState {
  ServiceState(std::string Name, const PolicyParameters &Parameters,
               TimePoint Now)
      : m_Name(std::move(Name)), m_Work(Parameters, Now),
        m_Retries(Parameters.m_RetryRatio, Parameters.m_RetryReserve) {
    usePlacements(Parameters.m_Placement);
  }

  /// Changes the placement policy. Endpoints must then be inserted again.
  void usePlacements(std::string_view Name) {
    for (Placement &Each : m_Free)
      usePlacement(Each, Name);
  }

  FairQueue &queue(TaskClass Class) {
    return m_Queues[static_cast<std::size_t>(Class)];
  }
  const FairQueue &queue(TaskClass Class) const {
    return m_Queues[static_cast<std::size_t>(Class)];
  }
  Placement &free(TaskClass Class) {
    return m_Free[static_cast<std::size_t>(Class)];
  }

  /// Returns whether long work is below its guaranteed share and comes first.
  bool longComesFirst(const PolicyParameters &Parameters) const {
    if (queue(TaskClass::Long).empty())
      return false;
    int Guaranteed =
        std::max(1, static_cast<int>(
                        std::ceil(Parameters.m_LongGuaranteedShare * m_Slots)));
    if (m_RunningLong >= Guaranteed)
      return false;
    // With so few slots the classes alternate.
    return Guaranteed < m_Slots || !m_LastWasLong;
  }

  /// Returns the speed of the mean slot, relative to the learned run times.
  double meanSpeed() const { return m_Slots > 0 ? m_Speed / m_Slots : 1; }

  /// Returns how many slots a class can expect to use, each counted by its
  /// speed. The learned run times alone would mislead when the load rises: they
  /// come from the fast endpoints that a light load uses.
  double capacity(TaskClass Class, const PolicyParameters &Parameters) const {
    double All = std::max(m_Slots, m_ExpectedSlots) * meanSpeed();
    double Slots = Class == TaskClass::Short ? All - m_RunningLong * meanSpeed()
                                             : Parameters.m_LongShare * All;
    return std::max(Slots, 1.0);
  }

  /// Returns how long a new task of a team waits for a slot, in milliseconds.
  double expectedWaitMs(TaskClass Class, FairQueue::Team Team,
                        const PolicyParameters &Parameters) const {
    const FairQueue &Q = queue(Class);
    double Slots = capacity(Class, Parameters);
    double All = Q.costMs() / Slots;
    double Fair = Q.costMs(Team) / (Slots * Q.share(Team));
    return std::min(All, Fair);
  }

  /// Returns whether one more endpoint may be ejected.
  bool mayEject(const PolicyParameters &Parameters) const {
    auto Allowed =
        static_cast<std::size_t>(Parameters.m_MaxEjectedShare * m_Present);
    if (m_Present > 1 && Parameters.m_MaxEjectedShare > 0)
      Allowed = std::max<std::size_t>(Allowed, 1);
    return m_Unhealthy < Allowed;
  }

  std::string m_Name;
  std::set<std::size_t> m_Endpoints;
  int m_Slots = 0;           ///< Of endpoints that are to be used.
  double m_Speed = 0;        ///< Of these slots, each over its slowness.
  int m_ExpectedSlots = 0;   ///< Including loans; for admission.
  std::size_t m_Present = 0; ///< Endpoints with slots.
  std::size_t m_Usable = 0;  ///< Of these, the ones to be used.
  int m_Running = 0;
  int m_RunningLong = 0;
  std::size_t m_Unhealthy = 0;
  bool m_LastWasLong = false;
  WorkModel m_Work;
  RetryBudget m_Retries;
  std::array<FairQueue, 2> m_Queues;
  std::array<Placement, 2> m_Free;
};

} // namespace auburnhub

#endif
