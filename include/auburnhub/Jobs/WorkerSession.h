#ifndef AUBURNHUB_JOBS_WORKERSESSION_H
#define AUBURNHUB_JOBS_WORKERSESSION_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/StateChart.h"
#include "auburnhub/Jobs/JobScheduler.h"
#include "auburnhub/Jobs/WorkerTransport.h"
#include "auburnhub/Net/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnhub {

/// Timing of the orders to a worker, in milliseconds.
struct WorkerSessionSettings {
  double m_LeaseMs = 1000;         ///< Longest lease that a worker grants.
  double m_LeaseClockShare = 0.03; ///< Share by which its clock may run slower.
  /// Shortest time after which an unanswered order is sent again: many round
  /// trips. Doubled with each attempt.
  double m_OrderRetryMs = 80;
  /// The same while the worker has left a renewal or an order unanswered
  /// recently: a few round trips.
  double m_DoubtfulRetryMs = 20;
  /// An order is not sent again before this multiple of the mean time to an
  /// answer: on a slow path repetitions would only add load.
  double m_RetryAnswerFactor = 6;
  double m_OrderTimeoutMs = 120; ///< After this time an order is in doubt.
  /// Limits the messages of one start if they fail sooner than expected.
  int m_MaxStartAttempts = 6;
  /// Wait of a long poll: an eighth of the lease, so that some renewals may be
  /// lost.
  double m_RenewWaitMs = 120;
  double m_RenewSlackMs = 40; ///< Added to the wait; the sum is the timeout.
  /// Wait of a long poll while the worker leaves some unanswered: the end of a
  /// short task is then learned from the next one in time.
  double m_DoubtfulWaitMs = 40;
  /// Time after an unanswered order during which the worker is doubtful.
  double m_DoubtMs = 2000;
  /// A worker that has answered nothing for this time is unreachable: a fifth
  /// of the lease.
  double m_SilentMs = 200;
  /// Pause between two renewals while an end cannot be acknowledged yet. Needed
  /// because the worker answers such a renewal immediately. About the duration
  /// of a few appends to the log.
  double m_KeptEndPauseMs = 30;
  /// Pause before the second probe of an unresponsive worker.
  double m_ProbeMs = 100;
  double m_MaxProbeMs = 800;
  /// Time within which an unanswered order may be executed. An idle worker is
  /// asked for its runs meanwhile, each m_MaxProbeMs.
  double m_MaxOrderDelayMs = 15000;

  /// Longest time for which a worker continues its runs after it was last asked
  /// for a lease, if the order is delivered late.
  double maxLeaseMs() const {
    return m_LeaseMs * (1 + m_LeaseClockShare) + m_OrderTimeoutMs;
  }
};

/// Mean time until workers answer a start or stop order. Shared by the sessions
/// of an owner, because an owner whose processor or link is busy receives the
/// answers of all workers late.
class AnswerTime {
public:
  void add(double TookMs) { m_MeanMs += Weight * (TookMs - m_MeanMs); }
  double meanMs() const { return m_MeanMs; }

private:
  /// Weight of a new sample: the mean follows within some tens of answers.
  static constexpr double Weight = 0.05;
  double m_MeanMs = 0;
};

/// Notifications from a session to the owner of its worker.
struct WorkerSessionEvents {
  /// Whether the worker may be given runs has changed.
  std::function<void(bool Reachable)> m_Reachable;
  /// The worker's incarnation has become known or has changed; may be empty.
  std::function<void(std::int64_t StartMs)> m_Incarnation;
  std::function<void(RunId)> m_Accepted;
  /// The run has not started and never will.
  std::function<void(RunId, RefusalReason)> m_Refused;
  /// LostWith names the worker if the run was lost, and is empty otherwise. Its
  /// start is 0 if the worker has not accepted the run.
  std::function<void(RunId, RunEnd, const WorkerIncarnation &LostWith)> m_Ended;
  std::function<void(RunId, double Percent)> m_Progress;
  /// The worker lists the end of a run that this session did not order. Returns
  /// whether the worker must keep the end until WorkerSession::acknowledge().
  std::function<bool(const TaskRef &, std::uint32_t Number, RunEnd)> m_StrayEnd;
  /// Returns the time after which no lease may end, because callers of the
  /// worker's runs may have submitted their jobs elsewhere; may be empty.
  std::function<TimePoint()> m_LeaseLimit;
  /// The worker may hold a lease until LeaseEnd, given by this owner or an
  /// earlier one; may be empty.
  std::function<void(TimePoint LeaseEnd)> m_LeaseGiven;
  /// Another owner has a higher token; the session sends no more orders.
  std::function<void()> m_Fenced;
};

/// Session with one worker under a fencing token: starts and stops runs, renews
/// the worker's lease, collects the ends of runs, and determines the result of
/// orders that timed out.
///
/// A run is reported as ended only once it certainly no longer runs: the worker
/// listed its end, or does not list the run in a complete answer requested
/// after the run was accepted or its stop was confirmed, or every lease that
/// the worker may hold has expired. The same holds when the worker has
/// restarted, because the new incarnation may have started the run. Orders to a
/// new incarnation have a higher token, so that it rejects delayed orders that
/// were sent to an earlier one. A run that ends because of an expired lease or
/// a restart is lost, accepted or not, because the task may have crashed the
/// worker; on a leaving worker it has lapsed. Runs that the owner did not order
/// are stopped. The states are defined by the chart worker-session.yaml.
///
/// Orders are idempotent for a worker, so an unanswered one is sent again at
/// once, with the same run number, unless the path to the worker is slow. Only
/// an order that remains unanswered makes its run doubtful. The worker becomes
/// unreachable when two renewals in a row and all other orders have remained
/// unanswered for some time.
///
/// Load pattern: a worker that leaves a third of its orders unanswered and may
/// execute them seconds later.
template <WorkerTransport Transport> class WorkerSession {
public:
  /// Loop, Orders, Chart, Settings and Answers must outlive the session.
  WorkerSession(EventLoop &Loop, Transport &Orders, const StateChart &Chart,
                const WorkerSessionSettings &Settings, AnswerTime &Answers,
                WorkerSpec Spec, FencingToken Token,
                WorkerSessionEvents Events);

  /// Queries the runs of the worker. m_Reachable is called once it has answered
  /// and runs of earlier owners have ended.
  void begin();

  /// Starts a run. The worker keeps the end of a stored run until
  /// acknowledge().
  void start(RunId Id, const TaskRef &Task, std::uint32_t Number,
             const std::string &Spec, bool Stored = false);
  /// Repeats the stop order until it is confirmed; the end is reported later.
  /// Unknown runs are ignored.
  void stop(RunId Id);
  /// Allows the worker to discard the end of this run.
  void acknowledge(const TaskRef &Task, std::uint32_t Number);
  /// Acknowledges the end only after the worker's lease has expired. Until then
  /// m_Reachable reports false, so that no runs are started on the worker. Ends
  /// that the worker does not keep are ignored.
  void acknowledgeAfterLease(const TaskRef &Task, std::uint32_t Number);

  /// Updates the address and the labels. Queries the runs of the worker if it
  /// has registered a later incarnation.
  void update(const WorkerSpec &Spec);

  /// Returns whether the session has no unfinished runs.
  bool idle() const { return m_Runs.empty(); }
  std::vector<RunId> runs() const;
  FencingToken token() const { return m_Token; }
  /// Ends the session: no more orders or notifications.
  void abandon() { m_Closed = true; }
  /// Returns whether the session was fenced off or abandoned: it sends no more
  /// orders.
  bool isClosed() const { return m_Closed; }
  /// Returns whether the session is in the state "serving" of its chart.
  bool reachable() const { return m_Phase == m_Serving; }
  /// Returns whether the worker may be given runs now.
  bool acceptsRuns() const { return reachable() && m_EndsAfterLease.empty(); }
  /// Returns when the worker last answered.
  TimePoint lastAnswer() const { return m_LastAnswer; }
  const WorkerSpec &spec() const { return m_Spec; }

  static const StateChart::Vocabulary &vocabulary();

private:
  struct SessionRun {
    TaskRef m_Task;
    std::uint32_t m_Number = 0;
    std::string m_Spec; ///< Empty once the run was accepted.
    int m_StartAttempts = 0;
    TimePoint m_FirstSentAt;
    bool m_Accepted = false;
    bool m_Stored = false;
    bool m_StopRequested = false;
    bool m_StopPending = false; ///< A stop order is not answered yet.
    std::optional<TimePoint> m_StopConfirmed;
    TimePoint m_ConfirmedAt; ///< When the run was accepted or first listed.
    /// The worker as known when the run was last ordered or listed.
    WorkerIncarnation m_On;
  };

  /// Returns the length of a lease granted now, in milliseconds; not positive
  /// if none may be granted.
  double leaseMs(TimePoint Now) const;
  /// Returns the end of a lease granted now, on the worker's clock.
  std::int64_t leaseUntil(TimePoint Now, double LeaseMs) const;
  /// Records the clock that the worker has stated in an answer.
  void updateWorkerClock(std::int64_t ClockMs);
  /// Returns whether the worker has left an order unanswered recently.
  bool isDoubtful() const;
  /// Returns whether a start order may still be executed unnoticed.
  bool mayHaveDelayedStarts() const;
  /// Returns whether answers take so long that repeated orders and shorter
  /// waits would only add load.
  bool isPathSlow() const;
  /// Returns how long to wait for an answer to an attempt, counted from 1.
  EventLoop::Duration retryDelay(int Attempt) const;
  /// The worker may get a lease of LeaseMs from now on.
  void extendLeaseEnd(TimePoint Now, double LeaseMs);
  void fireEvent(std::string_view Event);
  void sendStart(RunId Id);
  bool isStartRepeatable(const SessionRun &Run) const;
  void onStartAnswer(RunId Id, const OrderReply &Reply);
  void markAccepted(RunId Id);
  /// Handles a refused start. Only the answer to the first attempt shows that
  /// the run has not started; otherwise an earlier one may be executed.
  void refuseStart(RunId Id, RefusalReason Reason);
  void sendStop(const TaskRef &Task, std::uint32_t Number,
                std::function<void(const OrderReply &)> Answered);
  void sendRunStop(RunId Id);
  void renew();
  void renewAfter(double PauseMs);
  void onRenewAnswer(TimePoint SentAt, const RenewReply &Reply);
  void onUnresponsive();
  void scheduleProbe();
  void processEnds(const RenewReply &Reply);
  /// Returns the highest sequence number below that of the first kept end.
  std::uint64_t lastAcknowledgeableEnd() const;
  void acknowledgeAfterExpiry(TimePoint Now);
  void processRunning(TimePoint SentAt, const RenewReply &Reply);
  /// Forgets what the earlier incarnation of the worker has stated, and raises
  /// the token: the new one has seen no token and no stopped runs, and could
  /// execute delayed orders of before.
  void onRestarted(const RenewReply &Reply);
  /// Returns whether the worker has registered a later incarnation than the one
  /// that has answered.
  bool isIncarnationOutdated() const {
    return m_IncarnationStartMs != 0 &&
           m_Spec.m_IncarnationStartMs > m_IncarnationStartMs;
  }
  /// Makes the worker reject orders that were sent before.
  void raiseToken();
  /// Returns whether a start order of the run may still be executed although a
  /// list that was requested at SentAt does not have the run.
  bool mayStartLater(const SessionRun &Run, TimePoint SentAt) const;
  /// Returns the answer to an order that was sent with Token. The worker has
  /// not executed it if this session has raised the token since.
  OrderAnswer answerFor(FencingToken Token, OrderAnswer Answer) const;
  /// Stops listed runs that this session did not order. Returns whether such
  /// runs were listed.
  bool stopStrayRuns(const RenewReply &Reply);
  WorkerIncarnation incarnation() const {
    return {m_Spec.m_Id, m_Spec.m_Address, m_IncarnationStartMs};
  }
  /// Returns how runs end that have ended together with the worker.
  RunEnd lossKind() const {
    return m_Spec.m_Leaving ? RunEnd::Lapsed : RunEnd::Lost;
  }
  void endRun(RunId Id, RunEnd End);
  void endAll(RunEnd End);
  void onFenced();
  /// Returns 0 if there is no such run.
  RunId findRun(const TaskRef &Task, std::uint32_t Number) const;

  EventLoop &m_Loop;
  Transport &m_Orders;
  const StateChart &m_Chart;
  const WorkerSessionSettings &m_Settings;
  AnswerTime &m_Answers;
  WorkerSpec m_Spec;
  FencingToken m_Token; ///< Raised when the worker has restarted.
  TimePoint m_TokenRaisedAt;
  WorkerSessionEvents m_Events;
  Log m_Log{"worker"};
  StateChart::StateId m_Phase;
  const StateChart::StateId m_Serving;
  std::map<RunId, SessionRun> m_Runs;
  std::int64_t m_ClockMs = 0; ///< The worker's clock at m_ClockAt.
  TimePoint m_ClockAt;
  TimePoint m_LeaseEnd; ///< Latest end of all leases requested so far.
  std::int64_t m_IncarnationStartMs = 0;
  std::uint64_t m_LastEndSeen = 0; ///< Highest sequence number listed.
  using KeptEnds = std::map<std::uint64_t, std::pair<TaskRef, std::uint32_t>>;
  KeptEnds m_KeptEnds; ///< Ends that the worker must keep, by sequence number.
  std::uint64_t m_LastEndSent = 0; ///< Last acknowledged sequence number.
  /// The ends of m_KeptEnds to be acknowledged once the lease has expired.
  std::vector<std::pair<TaskRef, std::uint32_t>> m_EndsAfterLease;
  bool m_Renewing = false;
  bool m_IsRetriedRenewal = false; ///< The previous renewal had no answer.
  bool m_Closed = false;           ///< Fenced or abandoned.
  double m_ProbePauseMs = 0;
  TimePoint m_LastAnswer;
  TimePoint m_LastListAt; ///< Last answer that named the incarnation.
  std::optional<TimePoint> m_UnansweredAt; ///< Of the last unanswered order.
  std::optional<TimePoint> m_UnansweredStartAt; ///< The same of start orders.
  EventLoop::Timer m_Probe;
  /// Callbacks of orders hold this weakly; they do nothing once the session is
  /// destroyed.
  std::shared_ptr<WorkerSession *> m_Self;
};

} // namespace auburnhub

#include "auburnhub/Jobs/WorkerSessionImpl.h"

#endif
