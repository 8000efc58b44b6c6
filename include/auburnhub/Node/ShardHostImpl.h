#ifndef AUBURNHUB_NODE_SHARDHOSTIMPL_H
#define AUBURNHUB_NODE_SHARDHOSTIMPL_H

#include "auburnhub/Node/ShardHost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <variant>

namespace auburnhub {

template <WorkerTransport Transport>
ShardHost<Transport>::ShardHost(EventLoop &Loop, Transport &Orders,
                                StateChart Chart,
                                const WorkerSessionSettings &Settings,
                                const JobParameters &Parameters,
                                MetricsRegistry &Metrics,
                                ShardHostEvents Events)
    : m_Loop(Loop), m_Orders(Orders), m_Chart(std::move(Chart)),
      m_Settings(Settings), m_Metrics(Metrics), m_Events(std::move(Events)),
      m_Scheduler(parametersFor(Parameters, Settings)),
      m_Starts(Metrics.counter("auburnhub_runs_started_total",
                               "Orders to start a task")),
      m_Refusals(Metrics.counter("auburnhub_runs_refused_total",
                                 "Orders that a worker refused")),
      m_Failures(Metrics.counter("auburnhub_runs_not_done_total",
                                 "Runs that ended other than done")),
      m_NearbyWaits(
          Metrics.counter("auburnhub_nearby_waits_total",
                          "Decisions to wait for a worker near the data")),
      m_Ejections(Metrics.counter("auburnhub_workers_ejected_total",
                                  "Workers ejected for their failed runs")),
      m_EndedEjections(
          Metrics.counter("auburnhub_workers_taken_back_total",
                          "Ejected workers whose runs fail elsewhere, too")),
      m_StartLatency(Metrics.latency("auburnhub_job_wait_seconds",
                                     "From receipt of a job to each start")),
      m_RunTime(Metrics.latency("auburnhub_run_seconds",
                                "From the order to the end of a run")) {}

template <WorkerTransport Transport>
JobParameters
ShardHost<Transport>::parametersFor(JobParameters Parameters,
                                    const WorkerSessionSettings &Settings) {
  Parameters.m_AbandonedRunMs = Settings.maxLeaseMs();
  return Parameters;
}

template <WorkerTransport Transport>
void ShardHost<Transport>::reconcile(
    const std::map<std::string, WorkerAssignment> &Assignments) {
  for (auto &[Id, Owned] : m_OwnedWorkers) {
    auto Found = Assignments.find(Id);
    bool IsKept = Found != Assignments.end() &&
                  Found->second.m_Token == Owned.m_Assignment.m_Token;
    if (IsKept && Found->second.m_Spec != Owned.m_Assignment.m_Spec) {
      Owned.m_Assignment.m_Spec = Found->second.m_Spec;
      Owned.m_Session->update(Found->second.m_Spec);
      m_Scheduler.putWorker(EventLoop::now(), Found->second.m_Spec);
    }
    if (IsKept != Owned.m_Assigned) {
      Owned.m_Assigned = IsKept;
      m_IsDroppingWorkers = true;
      setReachable(Id, Owned.m_Session->acceptsRuns());
    }
  }
  for (const auto &[Id, Assignment] : Assignments) {
    auto Found = m_OwnedWorkers.find(Id);
    if (Found != m_OwnedWorkers.end() &&
        Found->second.m_Assignment.m_Token != Assignment.m_Token &&
        Found->second.m_Session->idle())
      dropWorker(Id);
    if (!m_OwnedWorkers.contains(Id))
      openSession(Assignment);
  }
  dropIdleWorkers();
  scheduleEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::openSession(const WorkerAssignment &Assignment) {
  const std::string &Id = Assignment.m_Spec.m_Id;
  OwnedWorker &Added = m_OwnedWorkers[Id];
  Added.m_Assignment = Assignment;
  m_Scheduler.putWorker(EventLoop::now(), Assignment.m_Spec);
  FencingToken Token =
      std::max(Assignment.m_Token, m_MinTokens[Assignment.m_Shard.str()]);
  Added.m_Session = std::make_unique<Session>(
      m_Loop, m_Orders, m_Chart, m_Settings, m_Answers, Assignment.m_Spec,
      Token, sessionEvents(Id, Assignment.m_Shard));
  Added.m_Session->begin();
}

template <WorkerTransport Transport>
WorkerSessionEvents
ShardHost<Transport>::sessionEvents(const std::string &Worker,
                                    const ShardId &Shard) {
  WorkerSessionEvents Events;
  Events.m_Reachable = [this, Worker](bool Reachable) {
    setReachable(Worker, Reachable);
  };
  Events.m_Incarnation = [this, Worker](std::int64_t StartMs) {
    m_Scheduler.setIncarnation(EventLoop::now(), Worker, StartMs);
    scheduleEffects();
  };
  Events.m_Accepted = [this](RunId Run) {
    m_Scheduler.runAccepted(EventLoop::now(), Run);
    scheduleEffects();
  };
  Events.m_Refused = [this](RunId Run, RefusalReason Reason) {
    static constexpr std::array<std::string_view, 6> ReasonNames = {
        "no_room",   "number_used", "expired",
        "unhealthy", "unreachable", "invalid"};
    m_Refusals.add();
    m_Log.info("run_refused",
               {{"job", m_Runs[Run].m_Task},
                {"worker", m_Runs[Run].m_Worker},
                {"reason", ReasonNames[static_cast<std::size_t>(Reason)]}});
    m_Runs.erase(Run);
    m_Scheduler.runRefused(EventLoop::now(), Run, Reason);
    scheduleEffects();
  };
  Events.m_Ended = [this](RunId Run, RunEnd End,
                          const WorkerIncarnation &LostWith) {
    logRunEnd(Run, End, LostWith);
    m_Scheduler.runEnded(EventLoop::now(), Run, End, LostWith);
    scheduleEffects();
  };
  Events.m_Progress = [this](RunId Run, double Percent) {
    m_Scheduler.runProgress(EventLoop::now(), Run, Percent);
    m_Runs[Run].m_LastPercent = Percent;
  };
  Events.m_StrayEnd = [this, Worker](const TaskRef &Task, std::uint32_t Number,
                                     RunEnd End) {
    return m_Events.m_StrayEnd(Worker, Task, Number, End);
  };
  Events.m_LeaseLimit = [this, Worker] { return leaseLimit(Worker); };
  Events.m_LeaseGiven = [this, Worker](TimePoint LeaseEnd) {
    m_Scheduler.setLeaseEnd(Worker, LeaseEnd);
  };
  Events.m_Fenced = [this, Shard] {
    // Posted, because the handler destroys the session that calls this.
    m_Loop.post([this, Shard] { m_Events.m_Fenced(Shard); });
  };
  return Events;
}

template <WorkerTransport Transport>
void ShardHost<Transport>::logRunEnd(RunId Run, RunEnd End,
                                     const WorkerIncarnation &LostWith) {
  auto Found = m_Runs.find(Run);
  if (Found == m_Runs.end())
    return;
  double TookMs =
      millisecondsBetween(Found->second.m_OrderedAt, EventLoop::now());
  m_RunTime.add(TookMs / 1000);
  if (End != RunEnd::Done)
    m_Failures.add();
  m_Log.info("run_ended",
             {{"task", Found->second.m_Task},
              {"worker", Found->second.m_Worker},
              {"how", runEndName(End)},
              {"took_ms", std::round(TookMs)},
              {"expected_ms", std::round(Found->second.m_ExpectedMs)},
              {"last_percent", Found->second.m_LastPercent},
              {"incarnation", LostWith.m_StartMs}});
  m_Runs.erase(Found);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::setReachable(const std::string &Worker,
                                        bool Reachable) {
  auto Found = m_OwnedWorkers.find(Worker);
  bool Usable =
      Reachable && Found != m_OwnedWorkers.end() && Found->second.m_Assigned;
  m_Scheduler.setReachable(EventLoop::now(), Worker, Usable);
  scheduleEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::dropWorker(const std::string &Worker) {
  auto Found = m_OwnedWorkers.find(Worker);
  if (Found == m_OwnedWorkers.end())
    return;
  for (RunId Run : Found->second.m_Session->runs()) {
    m_Runs.erase(Run);
    m_Scheduler.runAbandoned(EventLoop::now(), Run);
  }
  FencingToken &MinToken =
      m_MinTokens[Found->second.m_Assignment.m_Shard.str()];
  MinToken = std::max(MinToken, Found->second.m_Session->token() + 1);
  Found->second.m_Session->abandon();
  m_OwnedWorkers.erase(Found);
  m_Scheduler.removeWorker(Worker);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::dropShard(const ShardId &Shard) {
  std::vector<std::string> Dropped;
  for (const auto &[Id, Owned] : m_OwnedWorkers)
    if (Owned.m_Assignment.m_Shard == Shard)
      Dropped.push_back(Id);
  for (const std::string &Id : Dropped)
    dropWorker(Id);
  scheduleEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::dropIdleWorkers() {
  if (!std::exchange(m_IsDroppingWorkers, false))
    return;
  std::vector<std::string> Dropped;
  for (const auto &[Id, Owned] : m_OwnedWorkers) {
    if (Owned.m_Assigned)
      continue;
    if (Owned.m_Session->idle())
      Dropped.push_back(Id);
    else
      m_IsDroppingWorkers = true;
  }
  for (const std::string &Id : Dropped)
    dropWorker(Id);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::submit(JobRequest Request, TimePoint RunUntil) {
  // The end of an earlier submission comes first.
  m_Scheduler.cancel(EventLoop::now(), Request.m_Id);
  applyEffects();
  auto Limit = std::make_shared<TimePoint>(RunUntil);
  m_RunUntil[Request.m_Id] = Limit;
  m_Scheduler.submit(EventLoop::now(), std::move(Request), std::move(Limit));
  applyEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::extend(const std::string &Job, TimePoint RunUntil) {
  auto Found = m_RunUntil.find(Job);
  if (Found == m_RunUntil.end() || *Found->second >= RunUntil)
    return;
  *Found->second = RunUntil;
  // A task that waits for a worker whose lease ends early enough may start now.
  if (m_WaitingRunLimit != TimePoint::max()) {
    m_MustAdvance = true;
    scheduleEffects();
  }
}

template <WorkerTransport Transport>
TimePoint ShardHost<Transport>::leaseLimit(const std::string &Worker) const {
  // A waiting task may be the next one to start on the worker.
  TimePoint Result = m_WaitingRunLimit;
  auto Found = m_OwnedWorkers.find(Worker);
  if (Found == m_OwnedWorkers.end())
    return Result;
  for (RunId Run : Found->second.m_Session->runs()) {
    auto Record = m_Runs.find(Run);
    if (Record != m_Runs.end() && Record->second.m_RunUntil)
      Result = std::min(Result, *Record->second.m_RunUntil);
  }
  return Result;
}

template <WorkerTransport Transport>
void ShardHost<Transport>::submit(const StoredTask &Task, RunLimit RunUntil) {
  m_Scheduler.submit(EventLoop::now(), Task, std::move(RunUntil));
  scheduleEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::cancel(const TaskRef &StoredTask) {
  m_Scheduler.cancel(EventLoop::now(), StoredTask);
  scheduleEffects();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::acknowledge(const std::string &Worker,
                                       const StoredEndConfirmed &Confirmed) {
  auto Found = m_OwnedWorkers.find(Worker);
  if (Found == m_OwnedWorkers.end())
    return;
  Session &Target = *Found->second.m_Session;
  if (Confirmed.m_Superseded)
    Target.acknowledgeAfterLease(Confirmed.m_Run.m_Task,
                                 Confirmed.m_Run.m_Number);
  else
    Target.acknowledge(Confirmed.m_Run.m_Task, Confirmed.m_Run.m_Number);
}

template <WorkerTransport Transport>
bool ShardHost<Transport>::cancel(const std::string &Job) {
  bool Known = m_Scheduler.cancel(EventLoop::now(), Job);
  if (Known)
    scheduleEffects();
  return Known;
}

template <WorkerTransport Transport>
std::vector<std::string>
ShardHost<Transport>::busyWorkers(const ShardId &Shard) const {
  std::vector<std::string> Result;
  for (const auto &[Id, Owned] : m_OwnedWorkers)
    if (Owned.m_Assignment.m_Shard == Shard && !Owned.m_Session->idle())
      Result.push_back(Id);
  return Result;
}

template <WorkerTransport Transport>
bool ShardHost<Transport>::hasAnsweredSince(const std::string &Worker,
                                            TimePoint Since) const {
  auto Found = m_OwnedWorkers.find(Worker);
  return Found != m_OwnedWorkers.end() &&
         Found->second.m_Session->reachable() &&
         Found->second.m_Session->lastAnswer() >= Since;
}

template <WorkerTransport Transport>
std::size_t ShardHost<Transport>::freeSlots() const {
  return m_Scheduler.freeSlots(EventLoop::now());
}

template <WorkerTransport Transport>
std::int64_t ShardHost<Transport>::largestFreeCpu() const {
  return m_Scheduler.largestFreeCpu(EventLoop::now());
}

template <WorkerTransport Transport>
void ShardHost<Transport>::scheduleEffects() {
  if (std::exchange(m_EffectsPosted, true))
    return;
  m_Loop.post([this] {
    m_EffectsPosted = false;
    if (std::exchange(m_MustAdvance, false))
      m_Scheduler.advance(EventLoop::now());
    applyEffects();
  });
}

template <WorkerTransport Transport> void ShardHost<Transport>::applyEffects() {
  m_WaitingRunLimit = m_Scheduler.waitingRunLimit();
  std::vector<JobEffect> Effects = m_Scheduler.takeEffects();
  for (const JobEffect &Effect : Effects)
    std::visit([this](const auto &Order) { this->execute(Order); }, Effect);
  dropIdleWorkers();
  armTimer();
  m_Events.m_Changed();
}

template <WorkerTransport Transport>
void ShardHost<Transport>::execute(const StartRun &Order) {
  auto Found = m_OwnedWorkers.find(Order.m_Worker);
  // The worker may have changed since the order was decided.
  if (Found == m_OwnedWorkers.end() || Found->second.m_Session->isClosed() ||
      !m_Scheduler.mayStartOn(Order.m_Worker)) {
    m_Scheduler.runRefused(EventLoop::now(), Order.m_Run,
                           RefusalReason::Unreachable);
    scheduleEffects();
    return;
  }
  m_Starts.add();
  m_StartLatency.add(Order.m_WaitedMs / 1000);
  RunRecord &Added = m_Runs[Order.m_Run];
  Added = {Order.m_Worker,
           Order.m_Task.str(),
           EventLoop::now(),
           Order.m_ExpectedMs,
           0,
           Order.m_RunUntil};
  m_Log.info("run_ordered", {{"job", Order.m_Task.m_Job},
                             {"task", Order.m_Task.str()},
                             {"run", Order.m_Number},
                             {"worker", Order.m_Worker},
                             {"token", Found->second.m_Session->token()},
                             {"candidates", Order.m_Candidates},
                             {"alone", Order.m_RunsAlone},
                             {"expected_ms", std::round(Order.m_ExpectedMs)},
                             {"waited_ms", std::round(Order.m_WaitedMs)}});
  Found->second.m_Session->start(Order.m_Run, Order.m_Task, Order.m_Number,
                                 Order.m_Spec, Order.m_Stored);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::execute(const StopRun &Order) {
  auto Record = m_Runs.find(Order.m_Run);
  if (Record == m_Runs.end())
    return;
  auto Found = m_OwnedWorkers.find(Record->second.m_Worker);
  if (Found == m_OwnedWorkers.end())
    return;
  m_Log.info("run_stop", {{"task", Record->second.m_Task},
                          {"worker", Record->second.m_Worker},
                          {"reason", jobReasonName(Order.m_StopReason)},
                          {"last_percent", Record->second.m_LastPercent}});
  Found->second.m_Session->stop(Order.m_Run);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::execute(const JobFinished &Finished) {
  m_Log.info("job_over",
             {{"job", Finished.m_Job},
              {"outcome", jobOutcomeName(Finished.m_Result.m_Outcome)},
              {"reason", jobReasonName(Finished.m_Result.m_Reason)},
              {"took_ms", std::round(Finished.m_TookMs)},
              {"waited_ms", std::round(Finished.m_WaitedMs)},
              {"objective_ms", std::round(Finished.m_ObjectiveMs)},
              {"runs", Finished.m_Runs},
              {"free_slots", freeSlots()},
              {"waiting_tasks", waitingTasks()}});
  if (Finished.m_Result.m_Outcome == JobOutcome::NotRun)
    reportRefusal(Finished);
  m_RunUntil.erase(Finished.m_Job);
  m_Events.m_JobFinished(Finished);
}

template <WorkerTransport Transport>
void ShardHost<Transport>::reportRefusal(const JobFinished &Refused) {
  m_Metrics
      .counter(
          "auburnhub_jobs_not_run_total",
          "Jobs that this owner returned without a start",
          {{"queue", Refused.m_Queue},
           {"reason", std::string(jobReasonName(Refused.m_Result.m_Reason))}})
      .add();
  if (!Refused.m_Forecast)
    return;
  const JobForecast &Made = *Refused.m_Forecast;
  m_Log.info("job_refused",
             {{"job", Refused.m_Job},
              {"queue", Refused.m_Queue},
              {"reason", jobReasonName(Refused.m_Result.m_Reason)},
              {"first_start_ms", std::round(Made.m_Start.m_FirstStartMs)},
              {"last_start_ms", std::round(Made.m_Start.m_LastStartMs)},
              {"margin", Made.m_Margin},
              {"cpu_before", Made.m_Backlog.m_CpuBefore},
              {"job_cpu", Made.m_Backlog.m_JobCpu},
              {"released_per_ms", std::round(Made.m_Backlog.m_ReleasedPerMs)},
              {"forecast_age_ms", std::round(Refused.m_TookMs)},
              {"retry_after_ms", std::round(Refused.m_Result.m_RetryAfterMs)}});
}

template <WorkerTransport Transport> void ShardHost<Transport>::armTimer() {
  TimePoint Now = EventLoop::now();
  // Those that have passed since the last advance() count too.
  std::optional<TimePoint> Next =
      m_Scheduler.nextDeadline(m_Scheduler.advancedAt());
  if (!Next || (m_TimerDueAt && *m_TimerDueAt <= *Next))
    return;
  m_TimerDueAt = Next;
  auto Delay = std::max(EventLoop::Duration(0),
                        std::chrono::ceil<EventLoop::Duration>(*Next - Now));
  m_Timer = m_Loop.once(Delay, [this] {
    m_TimerDueAt.reset();
    m_Scheduler.advance(EventLoop::now());
    applyEffects();
  });
}

} // namespace auburnhub

#endif
