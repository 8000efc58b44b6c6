#ifndef AUBURNHUB_NODE_JOBROUTER_H
#define AUBURNHUB_NODE_JOBROUTER_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/CallNumbers.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Node/OwnerTable.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburnhub {

/// Callbacks by which the router acts on its node.
struct RouterEffects {
  /// Submits a job to an owner; the answer is passed to JobRouter::answered().
  std::function<void(const std::string &Owner, std::uint64_t Call,
                     const JobRequest &)>
      m_Submit;
  /// Cancels a job at its owner, unless another call has submitted it since.
  std::function<void(const std::string &Owner, std::uint64_t Call,
                     const std::string &Job)>
      m_Cancel;
  /// Returns whether each task of a job fits on some registered worker,
  /// whatever its current load; also true while no worker of the service is
  /// known.
  std::function<bool(const JobRequest &)> m_FitsRegisteredWorkers;
};

/// Accepts callers' jobs at a node, chooses an owner for each, and ensures that
/// each caller gets exactly one answer before its timeout.
///
/// The nearest owner with enough free capacity is chosen; if none has enough,
/// the one with the most. An owner may keep a job waiting only if no other one
/// is known to have free capacity for it. If an owner refuses a job before
/// starting any of its tasks, the next owner is tried while time is left, or
/// while one that has free capacity could still meet the latency objective,
/// unless runs of an earlier submission may be active at the one that refused.
/// A job whose owner is lost
/// is answered at once and not retried elsewhere, because its tasks may run
/// until their leases expire.
class JobRouter {
public:
  using Done = std::function<void(const JobResult &)>;
  /// Returns whether the caller still waits for its answer.
  using IsConnected = std::function<bool()>;

  JobRouter(EventLoop &Loop, std::string DataCentre, CallNumbers Numbers,
            MetricsRegistry &Metrics, RouterEffects Effects);

  // Changes of owners.
  void ownerUp(const std::string &Owner, const std::string &DataCentre);
  /// Updates the load of an owner from its status report.
  void updateOwnerLoad(const std::string &Owner, std::uint64_t FreeSlots,
                       std::uint64_t WaitingTasks);
  /// The owner accepts no more jobs; the jobs that it has accepted continue to
  /// run.
  void ownerClosed(const std::string &Owner);
  /// Sets whether all data centres with workers are evacuated. Jobs that find
  /// no owner are then refused at once.
  void setAllEvacuated(bool Value);
  /// The owner is unreachable. Its jobs may have run; they are abandoned.
  void ownerLost(const std::string &Owner);

  /// Returns the number of the call. Done is called once, possibly before
  /// submit() returns.
  std::uint64_t submit(JobRequest Job, Done Done,
                       IsConnected IsCallerConnected);
  /// Handles the answer of an owner. Ignored if it is for another process or
  /// job, from another owner than the one that was asked, or if the call has
  /// been answered.
  void answered(const std::string &Owner, const JobAnswer &Answer);
  /// The caller has disconnected: its job is cancelled and not answered.
  void callerDisconnected(std::uint64_t Call);
  /// Cancels a job of which a call is open here, also if its owner is not
  /// chosen yet, and answers the call. Returns whether there was one.
  bool cancel(const std::string &Job);
  /// Handles callers that have disconnected without an event so far.
  void checkCallers();
  /// Returns the numbers of the open calls by owner.
  std::map<std::string, std::vector<std::uint64_t>> callsByOwner() const;
  /// Returns the number of the newest call.
  std::uint64_t lastCall() const { return m_Numbers.last(); }
  /// Answers all calls at once and cancels their jobs; called when the process
  /// exits.
  void abandonAllCalls();
  /// Returns whether a call for this job is open at this node.
  bool knows(const std::string &Job) const { return m_ById.contains(Job); }

  std::size_t calls() const { return m_Calls.size(); }
  bool hasOwner() const { return !m_Owners.empty(); }
  OwnerTable &owners() { return m_Owners; }

private:
  struct Call {
    JobRequest m_Job;
    Done m_Done;
    IsConnected m_IsCallerConnected;
    TimePoint m_ReceivedAt;
    TimePoint m_OwnerWaitUntil; ///< Latest time to choose an owner.
    TimePoint m_StartUntil;     ///< Latest start that may meet its objective.
    std::string m_Owner;        ///< Empty while no owner is chosen.
    std::set<std::string> m_TriedOwners;
    std::optional<JobResult> m_LastRefusal; ///< By an owner.
    /// Waits for m_OwnerWaitUntil, then for the deadline of the job.
    EventLoop::Timer m_Timer;
    double m_TaskCount = 0;
  };

  void route(std::uint64_t Id);
  void routeWaiting();
  /// Returns whether a job that an owner has refused may go to another one.
  bool mayTryNextOwner(const Call &OpenCall) const;
  JobReason noOwnerReason(const Call &OpenCall) const;
  void finish(std::uint64_t Id, const JobResult &Result);
  void startDeadlineTimer(std::uint64_t Id, Call &OpenCall);

  EventLoop &m_Loop;
  RouterEffects m_Effects;
  Log m_Log{"routing"};
  OwnerTable m_Owners;
  std::map<std::uint64_t, Call> m_Calls;
  std::map<std::string, std::uint64_t> m_ById; ///< Calls by job id.
  CallNumbers m_Numbers;
  bool m_AllEvacuated = false;
  MetricsRegistry &m_Metrics;
  LatencyHistogram &m_Latency;
};

} // namespace auburnhub

#endif
