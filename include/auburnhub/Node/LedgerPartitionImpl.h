#ifndef AUBURNHUB_NODE_LEDGERPARTITIONIMPL_H
#define AUBURNHUB_NODE_LEDGERPARTITIONIMPL_H

#include "auburnhub/Node/LedgerPartition.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {

template <JobLog Log>
LedgerPartition<Log>::LedgerPartition(EventLoop &Loop, Log &StoredJobLog,
                                      const StateChart &Chart,
                                      const LedgerPartitionSettings &Settings,
                                      LedgerClaim Claim, OwnerTable &Owners,
                                      LedgerPartitionEffects Effects)
    : m_Loop(Loop), m_StoredJobLog(StoredJobLog), m_Chart(Chart),
      m_Settings(Settings), m_Claim(Claim), m_Owners(Owners),
      m_Effects(std::move(Effects)), m_Phase(Chart.initial()),
      m_Serving(Chart.findState("serving").value_or(Chart.initial())),
      m_Closed(Chart.findState("closed").value_or(Chart.initial())),
      m_Ledger(Settings.m_Ledger, Claim.m_Epoch),
      m_Self(std::make_shared<LedgerPartition *>(this)) {}

template <JobLog Log>
const StateChart::Vocabulary &LedgerPartition<Log>::vocabulary() {
  static const StateChart::Vocabulary Words{{},
                                            {"read_page", "open_later",
                                             "read_later", "begin_serving",
                                             "stop_serving"},
                                            false};
  return Words;
}

template <JobLog Log> void LedgerPartition<Log>::fire(std::string_view Event) {
  auto EventId = m_Chart.findEvent(Event);
  if (!EventId)
    return;
  const StateChart::Transition *Taken =
      m_Chart.next(m_Phase, *EventId, [](std::string_view) { return true; });
  if (!Taken)
    return;
  if (Taken->m_To != m_Phase)
    m_Log.info("ledger_state", {{"part", m_Claim.m_PartitionId},
                                {"epoch", m_Claim.m_Epoch},
                                {"from", m_Chart.stateName(m_Phase)},
                                {"to", m_Chart.stateName(Taken->m_To)},
                                {"cause", Event},
                                {"jobs", m_Ledger.jobs()}});
  bool Changed = m_Phase != Taken->m_To;
  m_Phase = Taken->m_To;
  for (const std::string &Action : Taken->m_Actions)
    runAction(Action);
  if (Changed)
    m_Effects.m_OnPhaseChanged();
}

template <JobLog Log>
void LedgerPartition<Log>::runAction(std::string_view Action) {
  auto RetryDelay =
      EventLoop::Duration(static_cast<int>(m_Settings.m_RetryDelayMs));
  if (Action == "read_page")
    readPage();
  else if (Action == "open_later")
    m_RetryTimer = m_Loop.once(RetryDelay, [this] { openPartition(); });
  else if (Action == "read_later")
    m_RetryTimer = m_Loop.once(RetryDelay, [this] { readPage(); });
  else if (Action == "begin_serving")
    beginServing();
  else if (Action == "stop_serving")
    stopServing();
}

// Recovery.

template <JobLog Log> void LedgerPartition<Log>::begin() { openPartition(); }

template <JobLog Log>
void LedgerPartition<Log>::onLogFailure(const absl::Status &Status) {
  m_Log.warning("ledger_call_failed", {{"part", m_Claim.m_PartitionId},
                                       {"epoch", m_Claim.m_Epoch},
                                       {"phase", m_Chart.stateName(m_Phase)},
                                       {"detail", failureDetail(Status)}});
  fire(absl::IsFailedPrecondition(Status) ? "fenced" : "failed");
}

template <JobLog Log> void LedgerPartition<Log>::openPartition() {
  std::weak_ptr<LedgerPartition *> Weak = m_Self;
  m_StoredJobLog.open(m_Claim.m_PartitionId, m_Claim.m_Epoch,
                      [Weak](const absl::Status &Status) {
                        auto Self = Weak.lock();
                        if (!Self)
                          return;
                        if (Status.ok())
                          (*Self)->fire("opened");
                        else
                          (*Self)->onLogFailure(Status);
                      });
}

template <JobLog Log> void LedgerPartition<Log>::readPage() {
  std::weak_ptr<LedgerPartition *> Weak = m_Self;
  m_StoredJobLog.read(m_Claim.m_PartitionId, m_LastReadKey,
                      [Weak](const absl::StatusOr<JobLogPage> &Page) {
                        auto Self = Weak.lock();
                        if (!Self)
                          return;
                        if (Page.ok())
                          (*Self)->loadPage(*Page);
                        else
                          (*Self)->onLogFailure(Page.status());
                      });
}

template <JobLog Log>
void LedgerPartition<Log>::loadPage(const JobLogPage &Page) {
  for (const LedgerRecord &Record : Page.m_Records) {
    m_LastReadKey = Record.m_Key;
    absl::Status Loaded =
        m_Ledger.load(Record.m_Key, Record.m_Value.value_or(""));
    if (!Loaded.ok())
      m_Log.error("ledger_record_unreadable",
                  {{"part", m_Claim.m_PartitionId},
                   {"key", Record.m_Key},
                   {"detail", failureDetail(Loaded)}});
  }
  fire(Page.m_HasMore ? "page_read" : "all_read");
}

template <JobLog Log> void LedgerPartition<Log>::beginServing() {
  m_Ledger.begin(EventLoop::now());
  passRegisteredWorkers(std::nullopt);
  countPending(EventLoop::now());
  m_Effects.m_Broadcast(LedgerOpened{m_Claim});
}

template <JobLog Log> void LedgerPartition<Log>::stopServing() {
  m_LingerTimer.reset();
  // Calls whose records were not sent to the log had no effect; their callers
  // are referred to the next keeper. Calls whose records are in flight are
  // answered when the log has answered.
  m_Ledger.refuseUnappendedJobs();
  applyEffects();
  for (const auto &[Job, Query] : std::exchange(m_HeldQueries, {}))
    answer(Query.m_To, LedgerCallOutcome::NotKeeper);
  if (m_AppendInFlight)
    return;
  for (const auto &[Id, To] : std::exchange(m_Callers, {}))
    answer(To, LedgerCallOutcome::NotKeeper);
}

// Callers.

template <JobLog Log>
void LedgerPartition<Log>::answer(const Caller &To, LedgerCallOutcome Outcome,
                                  StoredJobState State) {
  m_Effects.m_Send(To.m_Node,
                   LedgerCallAnswer{To.m_Call, To.m_Job, Outcome, State});
}

template <JobLog Log>
void LedgerPartition<Log>::onCall(const std::string &From,
                                  const LedgerCall &Msg) {
  Caller To{From, Msg.m_Call, Msg.m_Id, Msg.m_Kind};
  // After a pause the partition may have another keeper and further jobs.
  if (!isServing() || !m_Effects.m_MayStart()) {
    answer(To, LedgerCallOutcome::NotKeeper);
    return;
  }
  TimePoint Now = EventLoop::now();
  auto Known = m_Ledger.state(Msg.m_Id);
  if (Msg.m_Kind == LedgerCallKind::State) {
    if (Known && *Known < StoredJobState::Completed)
      holdQuery(To, Msg.m_Id);
    else
      answerState(To, Msg.m_Id);
    return;
  }
  bool IsAppendOverdue =
      m_AppendInFlight &&
      millisecondsBetween(m_BatchTakenAt, Now) > m_Settings.m_RefuseAfterMs;
  // A job that is part of the append is answered with its result.
  if (Msg.m_Kind == LedgerCallKind::Submit && !m_Ledger.knows(Msg.m_Id) &&
      IsAppendOverdue) {
    answer(To, LedgerCallOutcome::Refused);
    return;
  }
  std::uint64_t Call = ++m_LastCall;
  m_Callers[Call] = To;
  if (Msg.m_Kind == LedgerCallKind::Submit)
    submit(Now, Call, Msg);
  else
    m_Ledger.cancel(Now, EventLoop::wallMilliseconds(), Call, Msg.m_Id);
  advance();
}

template <JobLog Log>
void LedgerPartition<Log>::submit(TimePoint Now, std::uint64_t Call,
                                  const LedgerCall &Msg) {
  m_Ledger.submit(Now, Call, Msg.m_Job);
  if (!m_Ledger.knows(Msg.m_Id))
    m_Log.warning("stored_job_refused",
                  {{"job", Msg.m_Id},
                   {"reason", "too large for a record, or too many jobs"},
                   {"max_record_bytes", m_Settings.m_Ledger.m_MaxRecordBytes},
                   {"jobs", m_Ledger.jobs()},
                   {"part", m_Claim.m_PartitionId},
                   {"epoch", m_Claim.m_Epoch}});
}

template <JobLog Log>
void LedgerPartition<Log>::answerState(const Caller &To,
                                       const std::string &Job) {
  auto Known = m_Ledger.state(Job);
  answer(To, Known ? LedgerCallOutcome::Done : LedgerCallOutcome::NoSuchJob,
         Known.value_or(StoredJobState::Queued));
}

template <JobLog Log>
void LedgerPartition<Log>::holdQuery(const Caller &To, const std::string &Job) {
  TimePoint Until = addMs(EventLoop::now(), m_Settings.m_StateWaitMs);
  m_HeldQueries.emplace(Job, HeldQuery{To, Until});
}

template <JobLog Log>
void LedgerPartition<Log>::answerDueQueries(TimePoint Now) {
  for (const auto &[Job, Query] : std::exchange(m_HeldQueries, {}))
    if (Query.m_Until > Now)
      m_HeldQueries.emplace(Job, Query);
    else
      answerState(Query.m_To, Job);
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerCallAnswered &Effect) {
  auto Found = m_Callers.find(Effect.m_Call);
  if (Found == m_Callers.end())
    return;
  Caller To = Found->second;
  m_Callers.erase(Found);
  LedgerCallOutcome Outcome = LedgerCallOutcome::Done;
  if (!Effect.m_Done && !isServing())
    Outcome = LedgerCallOutcome::NotKeeper;
  else if (!Effect.m_Done)
    Outcome = To.m_Kind == LedgerCallKind::Submit
                  ? LedgerCallOutcome::Refused
                  : LedgerCallOutcome::NoSuchJob;
  answer(To, Outcome);
}

// Owners of workers.

template <JobLog Log>
void LedgerPartition<Log>::onReport(const std::string &From,
                                    const StoredTaskReport &Msg) {
  if (!isServing())
    return;
  // After a pause another node may keep the partition. It knows jobs that are
  // unknown here, whose ends must not be acknowledged; the owner reports them
  // to it.
  if (!m_Effects.m_MayStart()) {
    m_Log.info("stored_run_report_ignored", {{"task", Msg.m_Run.m_Task.str()},
                                             {"run", Msg.m_Run.m_Number},
                                             {"owner", From},
                                             {"part", m_Claim.m_PartitionId},
                                             {"epoch", m_Claim.m_Epoch}});
    return;
  }
  bool IsWorkerLost = !Msg.m_LostWith.m_Worker.empty();
  m_Log.info("stored_run_over", {{"task", Msg.m_Run.m_Task.str()},
                                 {"run", Msg.m_Run.m_Number},
                                 {"owner", From},
                                 {"worker", Msg.m_Worker},
                                 {"how", storedRunEndName(Msg.m_EndKind)},
                                 {"reason", jobReasonName(Msg.m_Reason)},
                                 {"worker_lost", IsWorkerLost},
                                 {"epoch", m_Claim.m_Epoch}});
  bool MayRunElsewhere = noteRefusal(EventLoop::now(), From, Msg);
  m_Ledger.runEndReported(EventLoop::now(), EventLoop::wallMilliseconds(),
                          {From, Msg.m_Worker, Msg.m_Run.m_Task,
                           Msg.m_Run.m_Number, Msg.m_EndKind, Msg.m_LostWith,
                           MayRunElsewhere});
  if (IsWorkerLost)
    passRegisteredWorkers(Msg.m_LostWith.m_Address);
  advance();
}

template <JobLog Log>
void LedgerPartition<Log>::onRuns(const std::string &From,
                                  const LedgerRuns &Msg) {
  if (!isServing() || Msg.m_Claim != m_Claim || !m_Effects.m_MayStart())
    return;
  for (const StoredRun &Run : Msg.m_Runs)
    m_Ledger.runReported(EventLoop::now(), From, Run.m_Task, Run.m_Number);
  if (Msg.m_Query != 0 && Msg.m_Query == m_LastQuery)
    m_Ledger.runsReported(EventLoop::now(), m_QueriedAt, From);
  if (!Msg.m_Runs.empty())
    m_Log.info("stored_runs_found", {{"part", m_Claim.m_PartitionId},
                                     {"owner", From},
                                     {"runs", Msg.m_Runs.size()}});
  applyEffects();
  if (!Msg.m_Runs.empty())
    confirmRuns(From, m_Ledger.runsByOwner()[From]);
}

template <JobLog Log> void LedgerPartition<Log>::confirmRuns() {
  if (!isServing())
    return;
  for (auto &[Owner, Runs] : m_Ledger.runsByOwner())
    confirmRuns(Owner, std::move(Runs));
}

template <JobLog Log>
void LedgerPartition<Log>::confirmRuns(const std::string &Owner,
                                       std::vector<StoredRun> Runs) {
  double ConfirmedAtMs = m_Effects.m_ClockOf(Owner, m_Effects.m_ConfirmedAt());
  if (ConfirmedAtMs == 0)
    return;
  m_Effects.m_Send(
      Owner, StoredRunsConfirmed{m_Claim, ConfirmedAtMs, std::move(Runs)});
}

template <JobLog Log>
void LedgerPartition<Log>::ownerLost(const std::string &Owner) {
  m_Ledger.ownerLost(EventLoop::now(), Owner);
}

template <JobLog Log> void LedgerPartition<Log>::countPending(TimePoint Now) {
  if (millisecondsBetween(m_PendingCountedAt, Now) <
      m_Settings.m_PendingMaxAgeMs)
    return;
  m_PendingCountedAt = Now;
  m_Pending = m_Ledger.pending();
}

template <JobLog Log> void LedgerPartition<Log>::queryRuns(TimePoint Now) {
  if (millisecondsBetween(m_QueriedAt, Now) < m_Settings.m_QueryIntervalMs)
    return;
  m_QueriedAt = Now;
  ++m_LastQuery;
  for (const std::string &Owner : m_Ledger.ownersToQuery(Now)) {
    m_Log.info("stored_runs_queried", {{"part", m_Claim.m_PartitionId},
                                       {"owner", Owner},
                                       {"epoch", m_Claim.m_Epoch}});
    m_Effects.m_Send(Owner, LedgerOpened{m_Claim, m_LastQuery});
  }
}

template <JobLog Log> void LedgerPartition<Log>::advance() {
  if (!isServing())
    return;
  TimePoint Now = EventLoop::now();
  m_Ledger.advance(Now, EventLoop::wallMilliseconds());
  applyEffects();
  answerDueQueries(Now);
  countPending(Now);
  queryRuns(Now);
  if (m_Effects.m_MayStart())
    assignTasks(Now);
  append();
}

template <JobLog Log> void LedgerPartition<Log>::applyEffects() {
  for (const LedgerEffect &Effect : m_Ledger.takeEffects())
    std::visit([this](const auto &Typed) { this->apply(Typed); }, Effect);
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerStopRun &Effect) {
  m_Effects.m_Send(Effect.m_Owner,
                   StopStoredRun{m_Claim, {Effect.m_Task, Effect.m_Number}});
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerEndStored &Effect) {
  m_Effects.m_Send(Effect.m_Owner,
                   StoredEndConfirmed{{Effect.m_Task, Effect.m_Number},
                                      Effect.m_Superseded,
                                      Effect.m_IsLoss});
}

template <JobLog Log>
void LedgerPartition<Log>::apply(const LedgerJobFinished &Effect) {
  m_Log.info("stored_job_over", {{"job", Effect.m_Job},
                                 {"state", storedJobStateName(Effect.m_State)},
                                 {"took_ms", std::round(Effect.m_TookMs)},
                                 {"part", m_Claim.m_PartitionId},
                                 {"epoch", m_Claim.m_Epoch}});
}

} // namespace auburnhub

#endif
