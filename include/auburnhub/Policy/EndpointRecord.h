#ifndef AUBURNHUB_POLICY_ENDPOINTRECORD_H
#define AUBURNHUB_POLICY_ENDPOINTRECORD_H

#include "auburnhub/Policy/EndpointEstimate.h"
#include "auburnhub/Policy/EndpointHealth.h"

#include <optional>

namespace auburnhub {

/// One endpoint of a service: its slots, what runs on it, and whether it takes
/// a task now.
class EndpointRecord {
public:
  EndpointRecord(std::string Address, std::size_t Service);

  bool listed() const { return m_Listed; }
  const std::string &address() const { return m_Address; }
  std::size_t service() const { return m_Service; }

  /// Sets the slots of its own; a listed endpoint is kept even without slots.
  void setOwnedSlots(int Slots, bool Listed) {
    m_Owned = Slots;
    m_Listed = Listed;
  }
  void setLeaving(bool Leaving) { m_Leaving = Leaving; }

  /// Adds slots on loan from another dispatcher until Expiry.
  void borrow(int Slots, TimePoint Expiry);

  /// Gives borrowed slots back, those that expire first before others.
  void returnBorrowed(int Slots);

  /// Drops loans that have expired.
  void dropExpiredLoans(TimePoint Now);

  /// Takes up to Slots idle slots of its own out of use, for a loan to another
  /// dispatcher. Returns how many.
  int lend(int Slots);

  /// Puts lent slots back into use.
  void takeBack(int Slots);

  /// Returns the slots that this dispatcher may use.
  int slots() const;
  int borrowedSlots() const;

  /// Returns the usable slots without a task, not counting what a slow start
  /// or an ejection withholds.
  int idleSlots() const;

  /// Returns whether it may be forgotten: not listed and nothing running.
  bool isUnused() const;

  /// Returns whether a task of this class may start at Now.
  bool accepts(TaskClass Class, TimePoint Now,
               const PolicyParameters &Parameters) const;

  /// Returns the key that orders endpoints by expected completion.
  double cost(const PolicyParameters &Parameters) const;

  /// Notes that a task starts. Returns whether it is a probe.
  bool start(TaskKey Task, TaskClass Class);

  /// Notes that a running task counts as long from now on.
  void demote() { ++m_RunningLong; }

  /// Notes that a task has ended. Returns the new health if it changed.
  std::optional<HealthState> finish(TimePoint Now, TaskKey Task,
                                    TaskClass Class, TaskResult Result,
                                    bool MayEject,
                                    const PolicyParameters &Parameters);

  /// Ends an ejection that is over. Returns the new health if it changed.
  std::optional<HealthState> endEjection(TimePoint Now);

  /// Returns when its state next changes by time alone, if it does.
  std::optional<TimePoint> nextReview(TimePoint Now,
                                      const PolicyParameters &Parameters) const;

  HealthState health() const { return m_Health.state(); }
  EndpointEstimate &estimate() { return m_Estimate; }
  const EndpointEstimate &estimate() const { return m_Estimate; }
  int running() const { return m_Running; }
  bool leaving() const { return m_Leaving; }

  /// Describes it; the service's name is left empty.
  EndpointSnapshot snapshot() const;

private:
  struct Loan {
    int m_Slots;
    TimePoint m_Expiry;
  };

  std::optional<HealthState> applyResult(TimePoint Now, TaskResult Result,
                                         bool MayEject,
                                         const PolicyParameters &Parameters);

  std::string m_Address;
  std::size_t m_Service;
  int m_Owned = 0;
  bool m_Listed = false;
  int m_Lent = 0;
  std::vector<Loan> m_Loans; ///< By expiry.
  int m_Running = 0;
  int m_RunningLong = 0;
  bool m_Leaving = false;
  TimePoint m_PausedUntil;
  TimePoint m_EjectedUntil;
  std::optional<TaskKey> m_Probe;
  EndpointHealth m_Health;
  EndpointEstimate m_Estimate;
};

} // namespace auburnhub

#endif
