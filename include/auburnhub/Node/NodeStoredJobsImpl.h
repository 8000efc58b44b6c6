#ifndef AUBURNHUB_NODE_NODESTOREDJOBSIMPL_H
#define AUBURNHUB_NODE_NODESTOREDJOBSIMPL_H

#include "auburnhub/Node/NodeImpl.h"

#include <utility>
#include <variant>
#include <vector>

/// \file
/// The part of Node that handles stored jobs: routes messages between callers'
/// calls, keepers of partitions and owners of workers, at this node and others.

namespace auburnhub {

template <WorkerTransport Transport, JobLog Log>
LedgerPartitionEffects Node<Transport, Log>::ledgerEffects() {
  return {
      [this](const std::string &To, const StoredJobMessage &Msg) {
        sendStoredJobMessage(To, Msg);
      },
      [this](const StoredJobMessage &Msg) { broadcastStoredJobMessage(Msg); },
      [this] { onLedgersChanged(); },
      {},
      {},
      [this](const std::string &Name, TimePoint At) {
        return clockOf(Name, At);
      },
      [this] { return workerIncarnations(); }};
}

template <WorkerTransport Transport, JobLog Log>
std::vector<WorkerIncarnation>
Node<Transport, Log>::workerIncarnations() const {
  std::vector<WorkerIncarnation> Result;
  Result.reserve(m_Workers.size());
  for (const auto &[Id, Spec] : m_Workers)
    Result.push_back(Spec.incarnation());
  return Result;
}

template <WorkerTransport Transport, JobLog Log>
StoredRunsEffects Node<Transport, Log>::storedRunsEffects() {
  return {[this](const StoredTask &Task, RunLimit RunUntil) {
            m_Host.submit(Task, std::move(RunUntil));
          },
          [this](const TaskRef &Task) { m_Host.cancel(Task); },
          [this](const std::string &Worker, const StoredEndConfirmed &End) {
            m_Host.acknowledge(Worker, End);
          },
          [this](const std::string &To, const StoredJobMessage &Msg) {
            sendStoredJobMessage(To, Msg);
          },
          [this] { m_Events.m_StoredJobsReadRequested(); }};
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::sendStoredJobMessage(const std::string &To,
                                                const StoredJobMessage &Msg) {
  if (To == m_Settings.m_Name) {
    m_Loop.post([this, To, Msg] { handleStoredJobMessage(To, Msg); });
    return;
  }
  std::visit([&](const auto &TypedMsg) { m_Links.send(To, TypedMsg); }, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::broadcastStoredJobMessage(
    const StoredJobMessage &Msg) {
  std::visit([&](const auto &TypedMsg) { m_Links.broadcast(TypedMsg); }, Msg);
  sendStoredJobMessage(m_Settings.m_Name, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleStoredJobMessage(const std::string &From,
                                                  const StoredJobMessage &Msg) {
  std::visit([&](const auto &TypedMsg) { this->handleMessage(From, TypedMsg); },
             Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const LedgerCall &Msg) {
  m_Keeper.onCall(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const LedgerCallAnswer &Msg) {
  m_LedgerCalls.answered(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const LedgerOpened &Msg) {
  m_StoredRuns.opened(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const RunStoredTask &Msg) {
  double SinceTickMs = millisecondsBetween(m_LastTick, EventLoop::now());
  if (acceptsJobs() && SinceTickMs < nodetimes::StalledMs) {
    m_StoredRuns.run(From, Msg, pastTime(Msg.m_ConfirmedAtMs));
    return;
  }
  // If this process was stalled, the order may be outdated and the task may
  // since have been started elsewhere.
  m_StoredRuns.refuse(From, Msg, JobReason::NoOwner);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const StoredRunsConfirmed &Msg) {
  m_StoredRuns.confirmed(From, Msg, pastTime(Msg.m_ConfirmedAtMs));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const StopStoredRun &Msg) {
  m_StoredRuns.stop(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &,
                                         const StoredEndConfirmed &Msg) {
  m_StoredRuns.endStored(Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const StoredTaskReport &Msg) {
  m_Keeper.onReport(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::handleMessage(const std::string &From,
                                         const LedgerRuns &Msg) {
  m_Keeper.onRuns(From, Msg);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::setJobsAreStored(TimePoint ReadAt, bool Value) {
  if (Value)
    onJobsAreStored(/*IsPublished=*/true);
  else if (!m_StoredRuns.jobsAreStored()) {
    m_StoredRuns.setNoJobsStored(ReadAt);
    m_StoredJobsQueries.setNoJobsStored(ReadAt);
  }
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onJobsAreStored(bool IsPublished) {
  m_StoredRuns.setJobsAreStored();
  m_StoredJobsQueries.setJobsAreStored();
  m_Keeper.activate(IsPublished);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::askWhetherJobsAreStored(
    double TimeLeftMs, StoredJobsQueries::Done Answer) {
  if (m_StoredRuns.jobsAreStored())
    Answer(true);
  else
    m_StoredJobsQueries.ask(TimeLeftMs, std::move(Answer));
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::call(LedgerCallKind Kind, const std::string &Id,
                                JobRequest Job, double TimeLeftMs,
                                LedgerCalls::Done Done) {
  if (Kind == LedgerCallKind::Submit && !m_Keeper.isActive())
    onJobsAreStored(/*IsPublished=*/false);
  m_LedgerCalls.call(Kind, Id, std::move(Job), TimeLeftMs, std::move(Done));
}

template <WorkerTransport Transport, JobLog Log>
std::uint64_t Node<Transport, Log>::pending(const std::string &Queue) const {
  return m_LedgerCalls.pending(Queue);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onLedgerStatus(const std::string &From,
                                          const NodeStatus &Status) {
  // A node that cannot mark the log may still have its jobs stored by others.
  if (Status.m_StoresJobs)
    onJobsAreStored(Status.m_IsLogMarked);
  m_LedgerCalls.updateLedgers(From, Status.m_Ledgers);
}

template <WorkerTransport Transport, JobLog Log>
void Node<Transport, Log>::onLedgersChanged() {
  // Deferred, because a partition makes this call and must not be destroyed
  // while it does so.
  m_Loop.post([this] { sendStatus(); });
}

} // namespace auburnhub

#endif
