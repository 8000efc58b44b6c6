#ifndef AUBURNHUB_NODE_NODECALLERSIMPL_H
#define AUBURNHUB_NODE_NODECALLERSIMPL_H

#include "auburnhub/Node/Node.h"

#include <algorithm>
#include <string>
#include <vector>

/// \file
/// The part of Node that follows whether callers still wait for their jobs, and
/// cancels jobs for them.

namespace auburnhub {

namespace callertimes {

/// Part of the callers' retry delay that is reserved for the clocks of workers
/// and the end of a run whose lease has expired, in milliseconds.
inline constexpr double RunEndMarginMs = 100;

/// A job whose caller is unseen for this share of the callers' retry delay is
/// cancelled, so that its runs end before the leases of their workers do.
inline constexpr double MaxUnseenShare = 0.75;

/// Timeout for the answers of other nodes to a request to cancel a job, in
/// milliseconds.
inline constexpr EventLoop::Duration CancelTimeout{500};

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

// Cancelling.

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::cancelHere(const std::string &Job) {
  bool IsRunHere = m_Host.cancel(Job);
  // The owner may have refused the job, or not received it yet.
  return m_Router.cancel(Job) || IsRunHere;
}

template <WorkerTransport Transport, JobLog Log>
bool Node<Transport, Log>::mayMissNodes() const {
  return millisecondsBetween(m_StartedAt, EventLoop::now()) <
             JobCancels::LostNodeMs &&
         !(m_DirectoryComplete && m_Links.knowsAllNodes());
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::cancel(
    const std::string &Job, const std::function<void(CancelOutcome)> &Done) {
  if (cancelHere(Job)) {
    m_Cancels.cancelledHere(EventLoop::now(), Job);
    Done(CancelOutcome::Cancelled);
    return;
  }
  std::uint64_t Id = m_CancelNumbers.next();
  std::set<std::string> Asked = m_Links.connectedNodes();
  m_Links.broadcast(CancelJob{Job, Id, 0});
  PendingCancel &Pending = m_PendingCancels[Id];
  Pending.m_Done = Done;
  Pending.m_Timer = m_Loop.once(callertimes::CancelTimeout, [this, Id] {
    finishCancel(Id, m_Cancels.timedOut(EventLoop::now(), Id));
  });
  finishCancel(Id,
               m_Cancels.begin(EventLoop::now(), Id, Job, std::move(Asked)));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::finishCancel(std::uint64_t Id,
                                        std::optional<CancelOutcome> Outcome) {
  if (!Outcome)
    return;
  auto Extracted = m_PendingCancels.extract(Id);
  if (Extracted.empty())
    return;
  if (*Outcome == CancelOutcome::NoSuchJob && mayMissNodes())
    Outcome = CancelOutcome::Undecided;
  Extracted.mapped().m_Done(*Outcome);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onCancel(const std::string &From,
                                    const CancelJob &Msg) {
  if (Msg.m_Call != 0)
    m_Links.send(From, CancelAnswer{Msg.m_Call, cancelHere(Msg.m_Id)});
  else
    cancelFor({From, Msg.m_SubmitCall}, Msg.m_Id);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onCancelAnswer(const std::string &From,
                                          const CancelAnswer &Msg) {
  finishCancel(Msg.m_Call, m_Cancels.answered(EventLoop::now(), Msg.m_Call,
                                              From, Msg.m_Known));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::deliverCancels(const std::string &Name) {
  for (const std::string &Job : m_Cancels.nodeLinked(EventLoop::now(), Name)) {
    m_Log.info("cancel_delivered", {{"job", Job}, {"peer", Name}});
    m_Links.send(Name, CancelJob{Job, m_CancelNumbers.next(), 0});
  }
}

} // namespace auburnhub

#endif
