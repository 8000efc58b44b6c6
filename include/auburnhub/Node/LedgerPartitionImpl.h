#ifndef AUBURNHUB_NODE_LEDGERPARTITIONIMPL_H
#define AUBURNHUB_NODE_LEDGERPARTITIONIMPL_H

#include "auburnhub/Node/LedgerPartition.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {

template <JobLog Log>
LedgerPartition<Log>::LedgerPartition(EventLoop &Loop, Log &Records,
                                      const StateChart &Chart,
                                      const LedgerPartitionSettings &Settings,
                                      LedgerClaim Claim, OwnerTable &Owners,
                                      LedgerPartitionEffects Effects)
    : m_Loop(Loop), m_Records(Records), m_Chart(Chart), m_Settings(Settings),
      m_Claim(Claim), m_Owners(Owners), m_Effects(std::move(Effects)),
      m_Phase(Chart.initial()),
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
    m_Log.info("ledger_state", {{"part", m_Claim.m_Part},
                                {"epoch", m_Claim.m_Epoch},
                                {"from", m_Chart.stateName(m_Phase)},
                                {"to", m_Chart.stateName(Taken->m_To)},
                                {"cause", Event},
                                {"jobs", m_Ledger.jobs()}});
  bool Changed = m_Phase != Taken->m_To;
  m_Phase = Taken->m_To;
  for (const std::string &Action : Taken->m_Actions)
    act(Action);
  if (Changed)
    m_Effects.m_Changed();
}

template <JobLog Log> void LedgerPartition<Log>::act(std::string_view Action) {
  auto Pause = EventLoop::Duration(static_cast<int>(m_Settings.m_RetryMs));
  if (Action == "read_page")
    readPage();
  else if (Action == "open_later")
    m_Retry = m_Loop.once(Pause, [this] { openPartition(); });
  else if (Action == "read_later")
    m_Retry = m_Loop.once(Pause, [this] { readPage(); });
  else if (Action == "begin_serving")
    beginServing();
  else if (Action == "stop_serving")
    stopServing();
}

// Recovery.

template <JobLog Log> void LedgerPartition<Log>::begin() { openPartition(); }

template <JobLog Log>
void LedgerPartition<Log>::onLogFailure(const absl::Status &Why) {
  m_Log.warning("ledger_call_failed", {{"part", m_Claim.m_Part},
                                       {"epoch", m_Claim.m_Epoch},
                                       {"phase", m_Chart.stateName(m_Phase)},
                                       {"detail", failureDetail(Why)}});
  fire(absl::IsFailedPrecondition(Why) ? "fenced" : "failed");
}

template <JobLog Log> void LedgerPartition<Log>::openPartition() {
  std::weak_ptr<LedgerPartition *> Weak = m_Self;
  m_Records.open(m_Claim.m_Part, m_Claim.m_Epoch,
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
  m_Records.read(m_Claim.m_Part, m_LastKey,
                 [Weak](const absl::StatusOr<JobLogPage> &Page) {
                   auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Page.ok())
                     (*Self)->takePage(*Page);
                   else
                     (*Self)->onLogFailure(Page.status());
                 });
}

template <JobLog Log>
void LedgerPartition<Log>::takePage(const JobLogPage &Page) {
  for (const LedgerRecord &Record : Page.m_Records) {
    m_LastKey = Record.m_Key;
    absl::Status Loaded =
        m_Ledger.load(Record.m_Key, Record.m_Value.value_or(""));
    if (!Loaded.ok())
      m_Log.error("ledger_record_unreadable",
                  {{"part", m_Claim.m_Part},
                   {"key", Record.m_Key},
                   {"detail", failureDetail(Loaded)}});
  }
  fire(Page.m_More ? "page_read" : "all_read");
}

template <JobLog Log> void LedgerPartition<Log>::beginServing() {
  m_Ledger.begin(EventLoop::now());
  countPending(EventLoop::now());
  m_Effects.m_SendAll(LedgerOpened{m_Claim});
}

template <JobLog Log> void LedgerPartition<Log>::stopServing() {
  m_Linger.reset();
  // What has not been sent to the log was not done; callers go to the next
  // keeper. What is on its way is answered when the log has answered.
  m_Ledger.refuseWaiting();
  carryOutEffects();
  for (const auto &[Job, Item] : std::exchange(m_Watchers, {}))
    answer(Item.m_To, LedgerCallOutcome::NotKeeper);
  if (m_OnItsWay)
    return;
  for (const auto &[Id, To] : std::exchange(m_Callers, {}))
    answer(To, LedgerCallOutcome::NotKeeper);
}

// Callers.

template <JobLog Log>
void LedgerPartition<Log>::answer(const Caller &To, LedgerCallOutcome Outcome,
                                  StoredJobState State) {
  m_Effects.m_Send(To.m_Node, LedgerCallAnswer{To.m_Call, Outcome, State});
}

template <JobLog Log>
void LedgerPartition<Log>::onCall(const std::string &From,
                                  const LedgerCall &Msg) {
  Caller To{From, Msg.m_Call, Msg.m_Kind};
  if (!isServing()) {
    answer(To, LedgerCallOutcome::NotKeeper);
    return;
  }
  TimePoint Now = EventLoop::now();
  auto Known = m_Ledger.state(Msg.m_Id);
  if (Msg.m_Kind == LedgerCallKind::State) {
    if (Known && *Known < StoredJobState::Completed)
      watch(To, Msg.m_Id);
    else
      tellState(To, Msg.m_Id);
    return;
  }
  bool Stuck = m_OnItsWay && millisecondsBetween(m_BatchSince, Now) >
                                 m_Settings.m_RefuseAfterMs;
  if (Msg.m_Kind == LedgerCallKind::Submit && !Known && Stuck) {
    answer(To, LedgerCallOutcome::Refused);
    return;
  }
  std::uint64_t Call = ++m_LastCall;
  m_Callers[Call] = To;
  if (Msg.m_Kind == LedgerCallKind::Submit)
    m_Ledger.submit(Now, Call, Msg.m_Job);
  else
    m_Ledger.cancel(Now, EventLoop::wallMilliseconds(), Call, Msg.m_Id);
  advance(true);
}

template <JobLog Log>
void LedgerPartition<Log>::tellState(const Caller &To, const std::string &Job) {
  auto Known = m_Ledger.state(Job);
  answer(To, Known ? LedgerCallOutcome::Done : LedgerCallOutcome::NoSuchJob,
         Known.value_or(StoredJobState::Queued));
}

template <JobLog Log>
void LedgerPartition<Log>::watch(const Caller &To, const std::string &Job) {
  TimePoint Until = addMs(EventLoop::now(), m_Settings.m_StateWaitMs);
  m_Watchers.emplace(Job, Watcher{To, Until});
}

template <JobLog Log> void LedgerPartition<Log>::tellWatchers(TimePoint Now) {
  std::erase_if(m_Watchers, [&](const auto &Entry) {
    if (Entry.second.m_Until > Now)
      return false;
    tellState(Entry.second.m_To, Entry.first);
    return true;
  });
}

template <JobLog Log>
void LedgerPartition<Log>::carryOut(const LedgerCallAnswered &Effect) {
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

// The log.

template <JobLog Log> bool LedgerPartition<Log>::appendIsDue(TimePoint Now) {
  if (!isServing() || m_OnItsWay || !m_Ledger.hasRecords() ||
      Now < m_AppendNotBefore)
    return false;
  if (m_Ledger.hasUrgentRecords())
    return true;
  if (!m_WaitingSince)
    m_WaitingSince = Now;
  double Left =
      m_Settings.m_LingerMs - millisecondsBetween(*m_WaitingSince, Now);
  if (Left <= 0)
    return true;
  m_Linger = m_Loop.once(EventLoop::Duration(static_cast<int>(Left) + 1),
                         [this] { append(); });
  return false;
}

template <JobLog Log> void LedgerPartition<Log>::append() {
  TimePoint Now = EventLoop::now();
  if (!appendIsDue(Now))
    return;
  m_Linger.reset();
  m_WaitingSince.reset();
  m_Batch = m_Ledger.takeBatch();
  ++m_Sequence;
  m_BatchSince = Now;
  m_InDoubt = false;
  m_OnItsWay = true;
  sendBatch();
}

template <JobLog Log> void LedgerPartition<Log>::sendBatch() {
  std::weak_ptr<LedgerPartition *> Weak = m_Self;
  m_Records.append(m_Claim.m_Part, m_Claim.m_Epoch, m_Sequence, m_Batch,
                   [Weak](const absl::Status &Status) {
                     if (auto Self = Weak.lock())
                       (*Self)->onAppended(Status);
                   });
}

template <JobLog Log>
void LedgerPartition<Log>::onAppended(const absl::Status &Status) {
  TimePoint Now = EventLoop::now();
  if (Status.ok()) {
    m_OnItsWay = false;
    m_Ledger.appended(Now);
    if (isServing())
      advance(true);
    else
      carryOutEffects();
    return;
  }
  if (absl::IsFailedPrecondition(Status)) {
    // Earlier tries of the batch may have been carried out before the other
    // writer came.
    auto Outcome =
        m_InDoubt ? LedgerCallOutcome::Unknown : LedgerCallOutcome::NotKeeper;
    m_OnItsWay = false;
    for (const auto &[Id, To] : std::exchange(m_Callers, {}))
      answer(To, Outcome);
    onLogFailure(Status);
    return;
  }
  m_InDoubt = m_InDoubt || !absl::IsUnavailable(Status);
  double Waited = millisecondsBetween(m_BatchSince, Now);
  if (!m_InDoubt && (Waited > m_Settings.m_RefuseAfterMs || !isServing())) {
    m_Log.warning("ledger_append_refused", {{"part", m_Claim.m_Part},
                                            {"records", m_Batch.size()},
                                            {"waited_ms", std::round(Waited)},
                                            {"detail", failureDetail(Status)}});
    m_OnItsWay = false;
    --m_Sequence;
    m_AppendNotBefore = addMs(Now, m_Settings.m_RetryMs);
    m_Ledger.refused();
    carryOutEffects();
    return;
  }
  if (Waited > m_Settings.m_RefuseAfterMs) {
    m_Ledger.refuseWaiting();
    carryOutEffects();
  }
  m_Retry =
      m_Loop.once(EventLoop::Duration(static_cast<int>(m_Settings.m_RetryMs)),
                  [this] { sendBatch(); });
}

// Owners of workers.

template <JobLog Log>
void LedgerPartition<Log>::onReport(const std::string &From,
                                    const StoredTaskReport &Msg) {
  if (!isServing())
    return;
  m_Log.info("stored_run_over", {{"task", Msg.m_Run.m_Task.str()},
                                 {"run", Msg.m_Run.m_Number},
                                 {"owner", From},
                                 {"worker", Msg.m_Worker},
                                 {"how", storedRunEndName(Msg.m_How)},
                                 {"reason", jobReasonName(Msg.m_Reason)},
                                 {"epoch", m_Claim.m_Epoch}});
  m_Ledger.runOver(EventLoop::now(), EventLoop::wallMilliseconds(), From,
                   Msg.m_Worker, Msg.m_Run.m_Task, Msg.m_Run.m_Number,
                   Msg.m_How);
  advance(true);
}

template <JobLog Log>
void LedgerPartition<Log>::onRuns(const std::string &From,
                                  const LedgerRuns &Msg) {
  if (!isServing() || Msg.m_Claim != m_Claim)
    return;
  for (const StoredRun &Run : Msg.m_Runs)
    m_Ledger.runFound(EventLoop::now(), From, Run.m_Task, Run.m_Number);
  if (!Msg.m_Runs.empty())
    m_Log.info("stored_runs_found", {{"part", m_Claim.m_Part},
                                     {"owner", From},
                                     {"runs", Msg.m_Runs.size()}});
  carryOutEffects();
}

template <JobLog Log>
void LedgerPartition<Log>::ownerLost(const std::string &Owner) {
  m_Ledger.ownerLost(EventLoop::now(), Owner);
}

template <JobLog Log> void LedgerPartition<Log>::place(TimePoint Now) {
  constexpr double OneTask = 1;
  while (auto Task = m_Ledger.nextTask(Now)) {
    auto Owner = m_Owners.choose(OneTask, {});
    if (!Owner || m_Owners.at(*Owner).room() < OneTask)
      return;
    m_Log.info("stored_task_given", {{"task", Task->task().str()},
                                     {"run", Task->m_Number},
                                     {"owner", *Owner},
                                     {"room", m_Owners.at(*Owner).room()},
                                     {"epoch", m_Claim.m_Epoch},
                                     {"age_ms", std::round(Task->m_AgeMs)}});
    m_Owners.noteSent(*Owner, OneTask);
    m_Ledger.started(Now, *Owner);
    m_Effects.m_Send(*Owner, RunStoredTask{m_Claim, *std::move(Task)});
  }
}

template <JobLog Log> void LedgerPartition<Log>::countPending(TimePoint Now) {
  if (millisecondsBetween(m_Counted, Now) < m_Settings.m_PendingMs)
    return;
  m_Counted = Now;
  m_Pending = m_Ledger.pending();
}

template <JobLog Log> void LedgerPartition<Log>::advance(bool MayStart) {
  if (!isServing())
    return;
  TimePoint Now = EventLoop::now();
  m_Ledger.advance(Now, EventLoop::wallMilliseconds());
  carryOutEffects();
  tellWatchers(Now);
  countPending(Now);
  if (MayStart)
    place(Now);
  append();
}

template <JobLog Log> void LedgerPartition<Log>::carryOutEffects() {
  for (const LedgerEffect &Effect : m_Ledger.takeEffects())
    std::visit([this](const auto &Item) { this->carryOut(Item); }, Effect);
}

template <JobLog Log>
void LedgerPartition<Log>::carryOut(const LedgerRunStopped &Effect) {
  m_Effects.m_Send(Effect.m_Owner,
                   StopStoredRun{m_Claim, {Effect.m_Task, Effect.m_Number}});
}

template <JobLog Log>
void LedgerPartition<Log>::carryOut(const LedgerEndSettled &Effect) {
  m_Effects.m_Send(
      Effect.m_Owner,
      StoredEndSettled{{Effect.m_Task, Effect.m_Number}, Effect.m_Superseded});
}

template <JobLog Log>
void LedgerPartition<Log>::carryOut(const LedgerJobOver &Effect) {
  m_Log.info("stored_job_over", {{"job", Effect.m_Job},
                                 {"state", storedJobStateName(Effect.m_State)},
                                 {"took_ms", std::round(Effect.m_TookMs)},
                                 {"part", m_Claim.m_Part},
                                 {"epoch", m_Claim.m_Epoch}});
}

} // namespace auburnhub

#endif
