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

/// Times of the orders to a worker, in milliseconds.
struct WorkerSessionSettings {
  double m_LeaseMs = 1000;         ///< Longest lease that a worker grants.
  double m_LeaseClockShare = 0.03; ///< How much slower its clock may run.
  double m_OrderTimeoutMs = 120;   ///< An order without an answer is in doubt.
  double m_RenewWaitMs = 120; ///< An eighth of the lease: some may be lost.
  double m_RenewSlackMs = 80; ///< Longer than the wait: no answer.
  /// Pause between two renewals while an end may not be acknowledged yet: the
  /// worker answers such a renewal at once. A few appends to the log.
  double m_HeldEndPauseMs = 30;
  double m_ProbeMs = 100; ///< Pause before a silent worker's second probe.
  double m_MaxProbeMs = 800;
};

/// What a session tells the owner of its worker.
struct WorkerSessionEvents {
  std::function<void(bool Reachable)> m_Reachable;
  std::function<void(RunId)> m_Accepted;
  std::function<void(RunId, RefusalReason)> m_Refused;
  std::function<void(RunId, RunEnd)> m_Ended;
  std::function<void(RunId, double Percent)> m_Progress;
  /// The worker lists the end of a run that this session did not order. Returns
  /// whether the worker must keep it until WorkerSession::settle().
  std::function<bool(const TaskRef &, std::uint32_t Number, RunEnd)> m_StrayEnd;
  /// Another owner has a higher token; the session does nothing more.
  std::function<void()> m_Fenced;
};

/// Holds one worker under a fencing token: starts and stops runs, extends the
/// worker's lease, collects ends, and finds out what became of an order that
/// was not answered.
///
/// A run is reported as ended only once it surely runs no more: the worker
/// listed its end, or does not list it after a stop was confirmed, or a new
/// life of the worker answered, or every lease that it might have has run out.
/// Runs that the owner did not order are stopped. The phases are the chart
/// worker-session.yaml.
template <WorkerTransport Transport> class WorkerSession {
public:
  WorkerSession(EventLoop &Loop, Transport &Orders, const StateChart &Chart,
                const WorkerSessionSettings &Settings, WorkerSpec Spec,
                FencingToken Token, WorkerSessionEvents Events);

  /// Asks the worker what it runs. m_Reachable follows once it has answered.
  void begin();

  /// The worker keeps the end of a stored run until settle().
  void start(RunId Id, const TaskRef &Task, std::uint32_t Number,
             const std::string &Spec, bool Stored = false);
  void stop(RunId Id);
  /// The worker may forget this end.
  void settle(const TaskRef &Task, std::uint32_t Number);
  /// The same, but only after the worker's lease has run out: nothing is
  /// started there meanwhile.
  void settleAfterLease(const TaskRef &Task, std::uint32_t Number);

  /// Changes the address or the labels.
  void update(const WorkerSpec &Spec) { m_Spec = Spec; }

  bool idle() const { return m_Runs.empty(); }
  std::vector<RunId> runs() const;
  FencingToken token() const { return m_Token; }
  /// Gives no more orders and tells nothing more.
  void abandon() { m_Over = true; }
  bool reachable() const { return m_Phase == m_Serving; }
  /// Tells whether the worker may be given runs now.
  bool takesRuns() const { return reachable() && m_AfterLease.empty(); }
  /// Returns when the worker last answered.
  TimePoint lastAnswer() const { return m_LastAnswer; }
  const WorkerSpec &spec() const { return m_Spec; }

  static const StateChart::Vocabulary &vocabulary();

private:
  struct Run {
    TaskRef m_Task;
    std::uint32_t m_Number = 0;
    bool m_Accepted = false;
    bool m_Stored = false;
    bool m_StopWanted = false;
    bool m_StopPending = false;
    std::optional<TimePoint> m_StopConfirmed;
    TimePoint m_KnownSince; ///< Listed or accepted by then.
  };

  std::int64_t leaseUntil(TimePoint Now) const;
  void noteClock(std::int64_t ClockMs);
  void noteLease(TimePoint Now);
  void fire(std::string_view Event);
  void onStartAnswer(RunId Id, const OrderReply &Reply);
  void sendStop(const TaskRef &Task, std::uint32_t Number,
                std::function<void(const OrderReply &)> Answered);
  void sendRunStop(RunId Id);
  void renew();
  void onRenewAnswer(TimePoint SentAt, const RenewReply &Reply);
  void onSilence();
  void probeLater();
  void takeEnds(const RenewReply &Reply);
  std::uint64_t acknowledgeable() const;
  void settleLapsed(TimePoint Now);
  void takeRunning(TimePoint SentAt, const RenewReply &Reply);
  /// Returns whether there were any.
  bool stopStrays(const RenewReply &Reply);
  void endRun(RunId Id, RunEnd How);
  void endAll(RunEnd How);
  void fenced();
  RunId findRun(const TaskRef &Task, std::uint32_t Number) const;

  EventLoop &m_Loop;
  Transport &m_Orders;
  const StateChart &m_Chart;
  const WorkerSessionSettings &m_Settings;
  WorkerSpec m_Spec;
  const FencingToken m_Token;
  WorkerSessionEvents m_Events;
  Log m_Log{"worker"};
  StateChart::StateId m_Phase;
  const StateChart::StateId m_Serving;
  std::map<RunId, Run> m_Runs;
  std::int64_t m_ClockMs = 0;
  TimePoint m_ClockAt;
  TimePoint m_LeaseEnd; ///< No lease that was asked for lasts longer.
  std::int64_t m_BornMs = 0;
  std::uint64_t m_LastEndSeen = 0;
  /// Ends that the worker must keep, by their place in its list.
  std::map<std::uint64_t, std::pair<TaskRef, std::uint32_t>> m_HeldEnds;
  std::uint64_t m_LastEndSent = 0;
  /// Those of them that are settled once the lease has run out.
  std::vector<std::pair<TaskRef, std::uint32_t>> m_AfterLease;
  bool m_Renewing = false;
  bool m_Over = false; ///< Fenced.
  double m_ProbePauseMs = 0;
  TimePoint m_LastAnswer;
  EventLoop::Timer m_Probe;
  /// Callbacks of orders hold this weakly; they do nothing once it is gone.
  std::shared_ptr<WorkerSession *> m_Self;
};

} // namespace auburnhub

#include "auburnhub/Jobs/WorkerSessionImpl.h"

#endif
