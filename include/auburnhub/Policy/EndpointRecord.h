#ifndef AUBURNHUB_POLICY_ENDPOINTRECORD_H
#define AUBURNHUB_POLICY_ENDPOINTRECORD_H

#include "auburnhub/Policy/EndpointEstimate.h"
#include "auburnhub/Policy/EndpointHealth.h"

#include <optional>

namespace auburnhub {

/// The state of one endpoint of a service: its slots, its running tasks, its
/// health and speed, and whether it accepts another task.
class EndpointRecord {
public:
  EndpointRecord(std::string Address, std::size_t Service);

  /// Returns whether the configured list of endpoints contains the endpoint.
  bool isListed() const { return m_Listed; }
  const std::string &address() const { return m_Address; }
  std::size_t service() const { return m_Service; }

  /// Sets the number of slots that this dispatcher owns on the endpoint. A
  /// listed endpoint is kept even if that number is 0.
  void setOwnedSlots(int Slots, bool Listed) {
    m_OwnedSlots = Slots;
    m_Listed = Listed;
  }
  /// Sets whether the endpoint is leaving; if so, it accepts no new tasks.
  void setLeaving(bool Leaving) { m_Leaving = Leaving; }

  /// Adds slots that another dispatcher lends until Expiry.
  void borrow(int Slots, TimePoint Expiry);

  /// Returns borrowed slots, starting with the loan that expires first.
  void returnBorrowed(int Slots);

  void dropExpiredLoans(TimePoint Now);

  /// Reserves up to Slots idle owned slots for a loan to another dispatcher.
  /// Returns the number of slots reserved.
  int lend(int Slots);

  /// Makes lent slots available here again.
  void reclaimSlots(int Slots);

  /// Returns the number of slots that this dispatcher may use: owned slots that
  /// are not lent, and borrowed slots.
  int slots() const;
  int borrowedSlots() const;

  /// Returns the number of slots without a running task; 0 if the endpoint is
  /// leaving. A slow start or an ejection does not reduce it.
  int idleSlots() const;

  /// Returns whether the record can be removed: the endpoint is not listed, has
  /// no borrowed slots and runs no task.
  bool isUnused() const;

  /// Returns whether a task of the given class may start at Now. Long tasks may
  /// use at most m_LongShare of the slots, but always one; an endpoint on
  /// probation runs only one probe at a time.
  bool accepts(TaskClass Class, TimePoint Now,
               const PolicyParameters &Parameters) const;

  /// Returns the key that orders endpoints by expected completion time; lower
  /// is better. The key is 0 on probation, so that an endpoint that needs a
  /// probe is chosen first.
  double cost(const PolicyParameters &Parameters) const;

  /// Records the start of a task. Returns whether the task is a probe.
  bool start(TaskKey Task, TaskClass Class);

  /// Counts a running short task as a long task from now on.
  void demote() { ++m_RunningLong; }

  /// Records the end of a task. On probation only the result of the probe
  /// affects the health. Returns the new health state if it changed.
  std::optional<HealthState> finish(TimePoint Now, TaskKey Task,
                                    TaskClass Class, TaskResult Result,
                                    bool MayEject,
                                    const PolicyParameters &Parameters);

  /// Begins the probation if the ejection has expired at Now. Returns the new
  /// health state if it changed.
  std::optional<HealthState> endEjection(TimePoint Now);

  /// Returns the next time at which the state changes without an event: the end
  /// of a pause or an ejection, a step of a slow start or the expiry of a loan.
  std::optional<TimePoint>
  nextRefresh(TimePoint Now, const PolicyParameters &Parameters) const;

  HealthState health() const { return m_Health.state(); }
  EndpointEstimate &estimate() { return m_Estimate; }
  const EndpointEstimate &estimate() const { return m_Estimate; }
  int running() const { return m_Running; }
  bool isLeaving() const { return m_Leaving; }

  /// Returns the state for status pages; m_Service is left empty.
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
  int m_OwnedSlots = 0;
  bool m_Listed = false;
  int m_LentSlots = 0;
  std::vector<Loan> m_Loans; ///< Sorted by expiry.
  int m_Running = 0;
  int m_RunningLong = 0;
  bool m_Leaving = false;
  TimePoint m_PausedUntil; ///< No task starts earlier; set by a refusal.
  TimePoint m_EjectedUntil;
  std::optional<TaskKey> m_Probe; ///< The running probe, if any.
  EndpointHealth m_Health;
  EndpointEstimate m_Estimate;
};

} // namespace auburnhub

#endif
