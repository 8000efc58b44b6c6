#ifndef AUBURNHUB_JOBS_WORKERSESSIONIMPL_H
#define AUBURNHUB_JOBS_WORKERSESSIONIMPL_H

#include "auburnhub/Jobs/WorkerSession.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace auburnhub {

template <WorkerTransport Transport>
WorkerSession<Transport>::WorkerSession(EventLoop &Loop, Transport &Orders,
                                        const StateChart &Chart,
                                        const WorkerSessionSettings &Settings,
                                        AnswerTime &Answers, WorkerSpec Spec,
                                        FencingToken Token,
                                        WorkerSessionEvents Events)
    : m_Loop(Loop), m_Orders(Orders), m_Chart(Chart), m_Settings(Settings),
      m_Answers(Answers), m_Spec(std::move(Spec)), m_Token(Token),
      m_Events(std::move(Events)), m_Phase(Chart.initial()),
      m_Serving(Chart.findState("serving").value_or(Chart.initial())),
      m_Self(std::make_shared<WorkerSession *>(this)) {}

template <WorkerTransport Transport>
const StateChart::Vocabulary &WorkerSession<Transport>::vocabulary() {
  static const StateChart::Vocabulary Words{
      {}, {"announce_reachable", "announce_unreachable"}, false};
  return Words;
}

template <WorkerTransport Transport>
std::vector<RunId> WorkerSession<Transport>::runs() const {
  std::vector<RunId> Result;
  for (const auto &[Id, Run] : m_Runs)
    Result.push_back(Id);
  return Result;
}

template <WorkerTransport Transport> void WorkerSession<Transport>::begin() {
  // Runs of an earlier owner may continue for up to one lease from now on.
  extendLeaseEnd(EventLoop::now(), m_Settings.m_LeaseMs);
  // They may have left starts unanswered.
  m_UnansweredStartAt = EventLoop::now();
  renew();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::update(const WorkerSpec &Spec) {
  m_Spec = Spec;
  if (isIncarnationOutdated())
    renew();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::raiseToken() {
  ++m_Token;
  m_TokenRaisedAt = EventLoop::now();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::fireEvent(std::string_view Event) {
  auto EventId = m_Chart.findEvent(Event);
  if (!EventId)
    return;
  const StateChart::Transition *Taken =
      m_Chart.next(m_Phase, *EventId, [](std::string_view) { return true; });
  if (!Taken)
    return;
  m_Log.info("worker_state", {{"worker", m_Spec.m_Id},
                              {"token", m_Token},
                              {"from", m_Chart.stateName(m_Phase)},
                              {"to", m_Chart.stateName(Taken->m_To)},
                              {"cause", Event},
                              {"runs", m_Runs.size()}});
  m_Phase = Taken->m_To;
  for (const std::string &Action : Taken->m_Actions)
    m_Events.m_Reachable(Action == "announce_reachable" &&
                         m_EndsAfterLease.empty());
}

template <WorkerTransport Transport>
double WorkerSession<Transport>::leaseMs(TimePoint Now) const {
  if (!m_Events.m_LeaseLimit)
    return m_Settings.m_LeaseMs;
  TimePoint Limit = m_Events.m_LeaseLimit();
  if (Limit == TimePoint::max())
    return m_Settings.m_LeaseMs;
  return std::min(m_Settings.m_LeaseMs, millisecondsBetween(Now, Limit) /
                                            (1 + m_Settings.m_LeaseClockShare));
}

template <WorkerTransport Transport>
std::int64_t WorkerSession<Transport>::leaseUntil(TimePoint Now,
                                                  double LeaseMs) const {
  double ElapsedMs = millisecondsBetween(m_ClockAt, Now);
  return m_ClockMs + static_cast<std::int64_t>(ElapsedMs + LeaseMs);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::updateWorkerClock(std::int64_t ClockMs) {
  m_ClockMs = ClockMs;
  m_ClockAt = EventLoop::now();
  m_LastAnswer = m_ClockAt;
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::isDoubtful() const {
  return m_UnansweredAt &&
         millisecondsBetween(*m_UnansweredAt, EventLoop::now()) <
             m_Settings.m_DoubtMs;
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::mayHaveDelayedStarts() const {
  return m_UnansweredStartAt &&
         millisecondsBetween(*m_UnansweredStartAt, EventLoop::now()) <
             m_Settings.m_MaxOrderDelayMs;
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::isPathSlow() const {
  return m_Settings.m_RetryAnswerFactor * m_Answers.meanMs() >
         m_Settings.m_DoubtfulWaitMs;
}

template <WorkerTransport Transport>
EventLoop::Duration WorkerSession<Transport>::retryDelay(int Attempt) const {
  double ShortestMs =
      isDoubtful() ? m_Settings.m_DoubtfulRetryMs : m_Settings.m_OrderRetryMs;
  double DelayMs =
      std::max(ShortestMs * std::exp2(Attempt - 1),
               m_Settings.m_RetryAnswerFactor * m_Answers.meanMs());
  return EventLoop::Duration(
      static_cast<int>(std::min(DelayMs, m_Settings.m_OrderTimeoutMs)));
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::extendLeaseEnd(TimePoint Now, double LeaseMs) {
  if (m_Events.m_LeaseGiven)
    m_Events.m_LeaseGiven(
        addMs(Now, LeaseMs * (1 + m_Settings.m_LeaseClockShare)));
  // A worker that has restarted unnoticed may grant more than it was asked for.
  m_LeaseEnd = std::max(m_LeaseEnd, addMs(Now, m_Settings.maxLeaseMs()));
}

template <WorkerTransport Transport>
RunId WorkerSession<Transport>::findRun(const TaskRef &Task,
                                        std::uint32_t Number) const {
  for (const auto &[Id, Run] : m_Runs)
    if (Run.m_Number == Number && Run.m_Task == Task)
      return Id;
  return 0;
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::start(RunId Id, const TaskRef &Task,
                                     std::uint32_t Number,
                                     const std::string &Spec, bool Stored) {
  if (m_Closed)
    return;
  SessionRun &Added = m_Runs[Id];
  Added.m_Task = Task;
  Added.m_Number = Number;
  Added.m_Spec = Spec;
  Added.m_Stored = Stored;
  sendStart(Id);
  renew();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::sendStart(RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  SessionRun &Run = Found->second;
  TimePoint Now = EventLoop::now();
  if (Run.m_StartAttempts++ == 0)
    Run.m_FirstSentAt = Now;
  Run.m_On = incarnation();
  double LeaseMs = leaseMs(Now);
  std::weak_ptr<WorkerSession *> Weak = m_Self;
  if (LeaseMs <= 0) {
    // Posted, as answers are.
    m_Loop.post([Weak, Id] {
      if (auto Self = Weak.lock())
        (*Self)->onStartAnswer(Id, {OrderAnswer::Expired, std::nullopt});
    });
    return;
  }
  extendLeaseEnd(Now, LeaseMs);
  StartOrder Order{Run.m_Task, Run.m_Number, Run.m_Spec, m_Token,
                   leaseUntil(Now, LeaseMs)};
  m_Orders.start(m_Spec, Order, retryDelay(Run.m_StartAttempts),
                 [Weak, Id, Now, Token = m_Token](OrderReply Reply) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Reply.m_WorkerClockMs)
                     (*Self)->m_Answers.add(
                         millisecondsBetween(Now, EventLoop::now()));
                   Reply.m_Answer = (*Self)->answerFor(Token, Reply.m_Answer);
                   (*Self)->onStartAnswer(Id, Reply);
                 });
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::markAccepted(RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end() || std::exchange(Found->second.m_Accepted, true))
    return;
  SessionRun &Run = Found->second;
  Run.m_ConfirmedAt = EventLoop::now();
  Run.m_Spec.clear();
  m_Events.m_Accepted(Id);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::refuseStart(RunId Id, RefusalReason Reason) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end())
    return;
  if (Found->second.m_StartAttempts > 1) {
    stop(Id);
    return;
  }
  m_Runs.erase(Found);
  m_Events.m_Refused(Id, Reason);
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::isStartRepeatable(const SessionRun &Run) const {
  double ElapsedMs = millisecondsBetween(Run.m_FirstSentAt, EventLoop::now());
  // A later incarnation of the worker may be of another kind.
  bool IsDescribed = m_Spec.m_IncarnationStartMs == 0 ||
                     m_Spec.m_IncarnationStartMs == m_IncarnationStartMs;
  return m_Phase == m_Serving && !Run.m_StopRequested && IsDescribed &&
         Run.m_StartAttempts < m_Settings.m_MaxStartAttempts &&
         ElapsedMs + m_Settings.m_DoubtfulRetryMs <=
             m_Settings.m_OrderTimeoutMs;
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::onStartAnswer(RunId Id,
                                             const OrderReply &Reply) {
  if (Reply.m_WorkerClockMs)
    updateWorkerClock(*Reply.m_WorkerClockMs);
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end() || m_Closed)
    return;
  SessionRun &Run = Found->second;
  if (Run.m_Accepted && Reply.m_Answer != OrderAnswer::Fenced)
    return;
  switch (Reply.m_Answer) {
  case OrderAnswer::Accepted:
    markAccepted(Id);
    return;
  case OrderAnswer::Fenced:
    if (Run.m_StartAttempts == 1 && !Run.m_Accepted)
      refuseStart(Id, RefusalReason::Unreachable);
    onFenced();
    return;
  case OrderAnswer::NumberUsed:
    return refuseStart(Id, RefusalReason::NumberUsed);
  case OrderAnswer::Expired:
    return refuseStart(Id, RefusalReason::Expired);
  case OrderAnswer::NoRoom:
    return refuseStart(Id, RefusalReason::NoRoom);
  case OrderAnswer::Invalid:
    return refuseStart(Id, RefusalReason::Invalid);
  case OrderAnswer::Unhealthy:
    return refuseStart(Id, RefusalReason::Unhealthy);
  case OrderAnswer::OtherIncarnation:
  case OrderAnswer::NotSent:
    refuseStart(Id, RefusalReason::Unreachable);
    onUnresponsive();
    return;
  case OrderAnswer::NoAnswer:
    m_UnansweredAt = EventLoop::now();
    m_UnansweredStartAt = m_UnansweredAt;
    if (isStartRepeatable(Run)) {
      sendStart(Id);
      return;
    }
    m_Log.info("order_unanswered", {{"worker", m_Spec.m_Id},
                                    {"task", Run.m_Task.str()},
                                    {"run", Run.m_Number},
                                    {"attempts", Run.m_StartAttempts}});
    stop(Id);
    return;
  }
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::sendStop(
    const TaskRef &Task, std::uint32_t Number,
    std::function<void(const OrderReply &)> Answered) {
  StopOrder Order{Task, Number, m_Token};
  std::weak_ptr<WorkerSession *> Weak = m_Self;
  m_Orders.stop(m_Spec, Order, retryDelay(/*Attempt=*/2),
                [Weak, SentAt = EventLoop::now(), Token = m_Token,
                 Answered = std::move(Answered)](OrderReply Reply) {
                  auto Self = Weak.lock();
                  if (!Self)
                    return;
                  if (Reply.m_WorkerClockMs) {
                    (*Self)->updateWorkerClock(*Reply.m_WorkerClockMs);
                    (*Self)->m_Answers.add(
                        millisecondsBetween(SentAt, EventLoop::now()));
                  }
                  Reply.m_Answer = (*Self)->answerFor(Token, Reply.m_Answer);
                  Answered(Reply);
                });
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::stop(RunId Id) {
  auto Found = m_Runs.find(Id);
  if (Found == m_Runs.end() || m_Closed)
    return;
  Found->second.m_StopRequested = true;
  sendRunStop(Id);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::sendRunStop(RunId Id) {
  auto Sent = m_Runs.find(Id);
  if (Sent == m_Runs.end())
    return;
  SessionRun &Run = Sent->second;
  if (Run.m_StopPending || Run.m_StopConfirmed)
    return;
  Run.m_StopPending = true;
  sendStop(Run.m_Task, Run.m_Number, [this, Id](const OrderReply &Reply) {
    auto Found = m_Runs.find(Id);
    if (Found == m_Runs.end() || m_Closed)
      return;
    Found->second.m_StopPending = false;
    if (Reply.m_Answer == OrderAnswer::Fenced) {
      onFenced();
      return;
    }
    if (Reply.m_Answer == OrderAnswer::Accepted ||
        Reply.m_Answer == OrderAnswer::NumberUsed)
      Found->second.m_StopConfirmed = EventLoop::now();
    else if (m_Phase == m_Serving)
      sendRunStop(Id);
    renew();
  });
}

template <WorkerTransport Transport> void WorkerSession<Transport>::renew() {
  if (m_Renewing || m_Closed)
    return;
  TimePoint Now = EventLoop::now();
  bool IsServing = m_Phase == m_Serving;
  RenewOrder Order;
  Order.m_Token = m_Token;
  // A worker that has been silent may have restarted and number its ends anew:
  // an acknowledgement could then name ends that were never listed here.
  bool MayHaveRestarted =
      millisecondsBetween(m_LastListAt, Now) > m_Settings.m_SilentMs;
  Order.m_LastEndSeen = MayHaveRestarted ? 0 : lastAcknowledgeableEnd();
  double TimeoutMs =
      std::clamp(m_Settings.m_RetryAnswerFactor * m_Answers.meanMs(),
                 m_Settings.m_RenewSlackMs, 2 * m_Settings.m_RenewSlackMs);
  if (IsServing && !m_Runs.empty() && !m_IsRetriedRenewal) {
    if (double LeaseMs = leaseMs(Now); LeaseMs > 0) {
      extendLeaseEnd(Now, LeaseMs);
      Order.m_LeaseUntilMs = leaseUntil(Now, LeaseMs);
    }
    double WaitMs = isDoubtful() && !isPathSlow() ? m_Settings.m_DoubtfulWaitMs
                                                  : m_Settings.m_RenewWaitMs;
    Order.m_MaxWait = EventLoop::Duration(static_cast<int>(WaitMs));
    TimeoutMs += WaitMs;
  }
  m_LastEndSent = Order.m_LastEndSeen;
  m_Renewing = true;
  m_Probe.reset();
  auto Timeout = EventLoop::Duration(static_cast<int>(TimeoutMs));
  std::weak_ptr<WorkerSession *> Weak = m_Self;
  m_Orders.renew(m_Spec, Order, Timeout, [Weak, Now](const RenewReply &Reply) {
    if (auto Self = Weak.lock())
      (*Self)->onRenewAnswer(Now, Reply);
  });
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::onRenewAnswer(TimePoint SentAt,
                                             const RenewReply &Reply) {
  m_Renewing = false;
  if (m_Closed)
    return;
  if (Reply.m_Answer == OrderAnswer::Fenced) {
    onFenced();
    return;
  }
  bool WasRetried = std::exchange(m_IsRetriedRenewal, false);
  if (Reply.m_Answer == OrderAnswer::NoAnswer)
    m_UnansweredAt = EventLoop::now();
  if (Reply.m_Answer == OrderAnswer::NoAnswer && m_Phase == m_Serving &&
      (!WasRetried || millisecondsBetween(m_LastAnswer, EventLoop::now()) <
                          m_Settings.m_SilentMs)) {
    // Repeated without a wait and without a new lease, to learn soon whether
    // the worker is alive.
    m_IsRetriedRenewal = true;
    renew();
    return;
  }
  if (Reply.m_Answer != OrderAnswer::Accepted) {
    onUnresponsive();
    return;
  }
  updateWorkerClock(Reply.m_WorkerClockMs);
  m_LastListAt = m_ClockAt;
  m_ProbePauseMs = 0;
  std::int64_t LastStartMs =
      std::exchange(m_IncarnationStartMs, Reply.m_IncarnationStartMs);
  bool HasRestarted =
      LastStartMs != 0 && LastStartMs != Reply.m_IncarnationStartMs;
  if (HasRestarted)
    onRestarted(Reply);
  if (LastStartMs != m_IncarnationStartMs && m_Events.m_Incarnation)
    m_Events.m_Incarnation(m_IncarnationStartMs);
  std::weak_ptr<WorkerSession *> Weak = m_Self;
  processEnds(Reply);
  processRunning(SentAt, Reply);
  bool HasStrayRuns = stopStrayRuns(Reply);
  if ((!HasStrayRuns && !HasRestarted) || m_Phase == m_Serving)
    fireEvent("answered");
  if (Weak.expired() || m_Closed)
    return;
  for (RunId Id : runs())
    if (auto Found = m_Runs.find(Id);
        Found != m_Runs.end() && Found->second.m_StopRequested)
      sendRunStop(Id);
  acknowledgeAfterExpiry(EventLoop::now());
  if (m_Renewing)
    return;
  bool IsBusy = !m_Runs.empty() || lastAcknowledgeableEnd() > m_LastEndSent;
  if (HasRestarted || (m_KeptEnds.empty() && IsBusy))
    renew();
  else if (!m_KeptEnds.empty() || mayHaveDelayedStarts() ||
           isIncarnationOutdated())
    renewAfter(m_KeptEnds.empty() ? m_Settings.m_MaxProbeMs
                                  : m_Settings.m_KeptEndPauseMs);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::renewAfter(double PauseMs) {
  m_Probe = m_Loop.once(EventLoop::Duration(static_cast<int>(PauseMs)),
                        [this] { renew(); });
}

template <WorkerTransport Transport>
std::uint64_t WorkerSession<Transport>::lastAcknowledgeableEnd() const {
  return m_KeptEnds.empty() ? m_LastEndSeen : m_KeptEnds.begin()->first - 1;
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::acknowledge(const TaskRef &Task,
                                           std::uint32_t Number) {
  std::erase_if(m_KeptEnds, [&](const auto &Entry) {
    return Entry.second.first == Task && Entry.second.second == Number;
  });
  if (m_KeptEnds.empty() && lastAcknowledgeableEnd() > m_LastEndSent &&
      m_Phase == m_Serving)
    renew();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::acknowledgeAfterLease(const TaskRef &Task,
                                                     std::uint32_t Number) {
  std::pair Run(Task, Number);
  if (std::ranges::find(m_KeptEnds, Run, &KeptEnds::value_type::second) ==
      m_KeptEnds.end())
    return;
  m_Log.info("end_kept_until_lease_ends", {{"worker", m_Spec.m_Id},
                                           {"task", Task.str()},
                                           {"run", Number},
                                           {"runs", m_Runs.size()}});
  m_EndsAfterLease.emplace_back(Task, Number);
  m_Events.m_Reachable(false);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::acknowledgeAfterExpiry(TimePoint Now) {
  if (m_EndsAfterLease.empty() || !m_Runs.empty() || Now < m_LeaseEnd)
    return;
  for (const auto &[Task, Number] : std::exchange(m_EndsAfterLease, {}))
    acknowledge(Task, Number);
  m_Events.m_Reachable(reachable());
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::processEnds(const RenewReply &Reply) {
  for (const ListedEnd &End : Reply.m_Ended) {
    if (End.m_Sequence <= m_LastEndSeen)
      continue;
    m_LastEndSeen = End.m_Sequence;
    RunId Id = findRun(End.m_Task, End.m_Number);
    bool MustBeStored =
        End.m_EndKind == RunEnd::Done || End.m_EndKind == RunEnd::Failed;
    bool MustKeep =
        Id != 0 ? m_Runs.at(Id).m_Stored && MustBeStored
                : m_Events.m_StrayEnd(End.m_Task, End.m_Number, End.m_EndKind);
    if (MustKeep)
      m_KeptEnds[End.m_Sequence] = {End.m_Task, End.m_Number};
    if (Id != 0)
      endRun(Id, End.m_EndKind);
  }
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::processRunning(TimePoint SentAt,
                                              const RenewReply &Reply) {
  std::vector<RunId> Listed;
  for (const ListedRun &Running : Reply.m_Running) {
    RunId Id = findRun(Running.m_Task, Running.m_Number);
    if (Id == 0)
      continue;
    Listed.push_back(Id);
    SessionRun &Run = m_Runs.at(Id);
    if (Run.m_On.m_StartMs != m_IncarnationStartMs)
      Run.m_On = incarnation();
    if (!Run.m_StopRequested)
      markAccepted(Id);
    m_Events.m_Progress(Id, Running.m_Percent);
  }
  std::vector<std::pair<RunId, RunEnd>> EndedRuns;
  for (const auto &[Id, Run] : m_Runs) {
    if (std::find(Listed.begin(), Listed.end(), Id) != Listed.end())
      continue;
    // An unlisted run has ended only if the list is complete and was requested
    // after the run was accepted or after its stop was confirmed.
    bool IsMissing = !Reply.m_HasMoreEnds && Run.m_Accepted &&
                     Run.m_ConfirmedAt < SentAt && !mayStartLater(Run, SentAt);
    bool IsStopped = !Reply.m_HasMoreEnds && Run.m_StopConfirmed &&
                     *Run.m_StopConfirmed < SentAt;
    if (IsMissing || IsStopped)
      EndedRuns.emplace_back(Id, Run.m_On.m_StartMs == m_IncarnationStartMs
                                     ? RunEnd::Lapsed
                                     : lossKind());
  }
  for (auto [Id, End] : EndedRuns)
    endRun(Id, End);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::onRestarted(const RenewReply &Reply) {
  m_Log.info("worker_restarted",
             {{"worker", m_Spec.m_Id},
              {"incarnation_start_ms", Reply.m_IncarnationStartMs},
              {"clock_ms", Reply.m_WorkerClockMs},
              {"token", m_Token + 1},
              {"kept_ends", m_KeptEnds.size()},
              {"runs", m_Runs.size()}});
  // The runs are not ended here: the new incarnation may have started some of
  // them. Those that it does not list have ended with the earlier one.
  m_LastEndSeen = 0;
  m_KeptEnds.clear();
  if (!std::exchange(m_EndsAfterLease, {}).empty())
    m_Events.m_Reachable(reachable());
  for (auto &[Id, Run] : m_Runs)
    Run.m_StopConfirmed.reset();
  raiseToken();
  // Delayed orders may have extended the lease of the new incarnation.
  extendLeaseEnd(m_TokenRaisedAt, m_Settings.m_LeaseMs);
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::mayStartLater(const SessionRun &Run,
                                             TimePoint SentAt) const {
  return Run.m_StartAttempts > 1 && SentAt < m_TokenRaisedAt;
}

template <WorkerTransport Transport>
OrderAnswer WorkerSession<Transport>::answerFor(FencingToken Token,
                                                OrderAnswer Answer) const {
  bool IsOwnFence = Answer == OrderAnswer::Fenced && Token < m_Token;
  return IsOwnFence ? OrderAnswer::NoAnswer : Answer;
}

template <WorkerTransport Transport>
bool WorkerSession<Transport>::stopStrayRuns(const RenewReply &Reply) {
  bool HasStrayRuns = false;
  for (const ListedRun &Running : Reply.m_Running) {
    if (findRun(Running.m_Task, Running.m_Number) != 0)
      continue;
    HasStrayRuns = true;
    m_Log.info("stray_run_stopped", {{"worker", m_Spec.m_Id},
                                     {"task", Running.m_Task.str()},
                                     {"run", Running.m_Number},
                                     {"token", m_Token}});
    sendStop(Running.m_Task, Running.m_Number, [this](const OrderReply &) {
      // The next list shows whether the run was stopped.
      renew();
    });
  }
  return HasStrayRuns;
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::onUnresponsive() {
  TimePoint Now = EventLoop::now();
  std::weak_ptr<WorkerSession *> Weak = m_Self;
  fireEvent("silent");
  if (Weak.expired() || m_Closed)
    return;
  if (Now >= m_LeaseEnd && !m_Runs.empty()) {
    // The next incarnation, if there is one, must not execute their starts.
    raiseToken();
    endAll(lossKind());
  }
  scheduleProbe();
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::scheduleProbe() {
  if (m_Renewing)
    return;
  renewAfter(m_ProbePauseMs);
  m_ProbePauseMs = std::clamp(2 * m_ProbePauseMs, m_Settings.m_ProbeMs,
                              m_Settings.m_MaxProbeMs);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::endRun(RunId Id, RunEnd End) {
  auto Extracted = m_Runs.extract(Id);
  if (Extracted.empty())
    return;
  SessionRun Ended = std::move(Extracted.mapped());
  WorkerIncarnation LostWith =
      End == RunEnd::Lost ? std::move(Ended.m_On) : WorkerIncarnation();
  // The worker may have crashed before the order arrived.
  if (!Ended.m_Accepted)
    LostWith.m_StartMs = 0;
  m_Events.m_Ended(Id, End, LostWith);
}

template <WorkerTransport Transport>
void WorkerSession<Transport>::endAll(RunEnd End) {
  for (RunId Id : runs())
    endRun(Id, End);
}

template <WorkerTransport Transport> void WorkerSession<Transport>::onFenced() {
  if (std::exchange(m_Closed, true))
    return;
  m_Probe.reset();
  m_Log.info(
      "fenced",
      {{"worker", m_Spec.m_Id}, {"token", m_Token}, {"runs", m_Runs.size()}});
  m_Events.m_Fenced();
}

} // namespace auburnhub

#endif
