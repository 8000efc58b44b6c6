#ifndef AUBURNHUB_NODE_NODECALLERSIMPL_H
#define AUBURNHUB_NODE_NODECALLERSIMPL_H

#include "auburnhub/Node/Node.h"

#include <algorithm>
#include <string>
#include <vector>

/// \file
/// The part of Node that follows whether callers still wait for their jobs.

namespace auburnhub {

namespace callertimes {

/// Part of the callers' retry delay that is reserved for the clocks of workers
/// and the end of a run whose lease has expired, in milliseconds.
inline constexpr double RunEndMarginMs = 100;

/// A job whose caller is unseen for this share of the callers' retry delay is
/// cancelled, so that its runs end before the leases of their workers do.
inline constexpr double MaxUnseenShare = 0.75;

} // namespace callertimes

template <WorkerTransport Transport, JobLog Log>
TimePoint Node<Transport, Log>::runLimit(TimePoint SeenAt) const {
  if (SeenAt == TimePoint::max())
    return SeenAt;
  return addMs(SeenAt,
               m_Settings.m_CallerRetryMs - callertimes::RunEndMarginMs);
}

template <WorkerTransport Transport, JobLog Log>
TimePoint Node<Transport, Log>::unseenLimit(TimePoint Now) const {
  return addMs(Now, -callertimes::MaxUnseenShare * m_Settings.m_CallerRetryMs);
}

template <WorkerTransport Transport, JobLog Log>
TimePoint Node<Transport, Log>::statedTime(double ClockMs) {
  constexpr double MaxClockMs = 1e12;
  return ClockMs > 0 && ClockMs < MaxClockMs ? addMs(TimePoint(), ClockMs)
                                             : TimePoint::max();
}

template <WorkerTransport Transport, JobLog Log>
TimePoint Node<Transport, Log>::pastTime(double ClockMs) {
  TimePoint Stated = statedTime(ClockMs);
  return Stated == TimePoint::max() ? Stated
                                    : std::min(Stated, EventLoop::now());
}

template <WorkerTransport Transport, JobLog Log>
double Node<Transport, Log>::clockOf(const std::string &Name,
                                     TimePoint At) const {
  if (Name == m_Settings.m_Name)
    return millisecondsBetween(TimePoint(), At);
  auto Found = m_PeerClocks.find(Name);
  if (Found == m_PeerClocks.end())
    return 0;
  std::optional<TimePoint> Reached = Found->second.reached(At);
  return Reached ? millisecondsBetween(TimePoint(), *Reached) : 0;
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::reportWaitingCalls(TimePoint Now) {
  m_Router.checkCallers();
  for (auto &[Owner, Calls] : m_Router.callsByOwner()) {
    WaitingCalls Msg;
    Msg.m_LastCall = m_Router.lastCall();
    Msg.m_Calls = Calls;
    Msg.m_SeenAtMs = clockOf(Owner, Now);
    if (Owner == m_Settings.m_Name)
      onWaitingCalls("", Msg);
    else
      m_Links.send(Owner, Msg);
  }
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onWaitingCalls(const std::string &From,
                                          const WaitingCalls &Msg) {
  TimePoint SeenAt = pastTime(Msg.m_SeenAtMs);
  if (SeenAt == TimePoint::max())
    return;
  CallerSightings::Update Update =
      m_Sightings.update(From, SeenAt, Msg.m_LastCall, Msg.m_Calls);
  for (const std::string &Job : Update.m_Waiting)
    m_Host.extend(Job, runLimit(SeenAt));
  for (const std::string &Job : Update.m_Left)
    if (m_Host.cancel(Job))
      m_Log.info("job_not_awaited", {{"job", Job}, {"from", From}});
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::cancelUnseenJobs(TimePoint Now) {
  for (const std::string &Job : m_Sightings.unseenSince(unseenLimit(Now)))
    if (m_Host.cancel(Job))
      m_Log.info("caller_unseen", {{"job", Job}});
}

} // namespace auburnhub

#endif
