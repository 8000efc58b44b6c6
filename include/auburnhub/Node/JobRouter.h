#ifndef AUBURNHUB_NODE_JOBROUTER_H
#define AUBURNHUB_NODE_JOBROUTER_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Node/OwnerTable.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace auburnhub {

/// What the router needs of its node.
struct RouterEffects {
  /// Hands a job to an owner; the answer comes by JobRouter::answered().
  std::function<void(const std::string &Owner, std::uint64_t Call,
                     const JobRequest &)>
      m_Submit;
  std::function<void(const std::string &Owner, const std::string &Job)>
      m_Cancel;
  /// Tells whether a registered worker could ever hold every task of a job;
  /// true as well while no worker of the service is known.
  std::function<bool(const JobRequest &)> m_CouldEverRun;
};

/// Takes callers' jobs at a node, chooses an owner for each, and sees to it
/// that each gets exactly one answer in time.
///
/// The owner with the most room is chosen, the nearest of those with room
/// enough. An owner that refuses a job before starting any of it is followed
/// by the next one while there is time. A job whose owner is lost is answered
/// at once: its tasks may run until their lease ends, so it is not tried
/// elsewhere.
class JobRouter {
public:
  using Done = std::function<void(const JobResult &)>;

  JobRouter(EventLoop &Loop, std::string DataCentre, MetricsRegistry &Metrics,
            RouterEffects Effects);

  // What is known of owners.
  void ownerUp(const std::string &Owner, const std::string &DataCentre);
  void ownerLoad(const std::string &Owner, std::uint64_t FreeSlots,
                 std::uint64_t WaitingTasks);
  /// The owner takes no jobs any more; those it has go on.
  void ownerClosed(const std::string &Owner);
  /// Jobs at the owner may have run and are given up.
  void ownerLost(const std::string &Owner);

  /// Returns the number of the call. Done is called once, maybe at once.
  std::uint64_t submit(JobRequest Job, Done Done);
  void answered(const JobAnswer &Answer);
  /// The caller has gone; nothing is answered.
  void callerGone(std::uint64_t Call);
  /// Answers every call at once: the process ends. Their tasks are stopped.
  void giveUpAll();
  /// Returns whether a job waits for its answer here.
  bool knows(const std::string &Job) const { return m_ById.contains(Job); }

  std::size_t calls() const { return m_Calls.size(); }
  bool hasOwner() const { return !m_Owners.empty(); }
  OwnerTable &owners() { return m_Owners; }

private:
  struct Call {
    JobRequest m_Job;
    Done m_Done;
    TimePoint m_Received;
    TimePoint m_WaitUntil; ///< For an owner.
    std::string m_Owner;   ///< Empty while it waits for one.
    std::set<std::string> m_Tried;
    EventLoop::Timer m_Timer;
    double m_Tasks = 0;
  };

  void route(std::uint64_t Id);
  void routeWaiting();
  void finish(std::uint64_t Id, const JobResult &Result);
  void armDeadline(std::uint64_t Id, Call &Item);

  EventLoop &m_Loop;
  RouterEffects m_Effects;
  Log m_Log{"routing"};
  OwnerTable m_Owners;
  std::map<std::uint64_t, Call> m_Calls;
  std::map<std::string, std::uint64_t> m_ById;
  std::uint64_t m_LastCall = 0;
  MetricsRegistry &m_Metrics;
  LatencyHistogram &m_Latency;
};

} // namespace auburnhub

#endif
