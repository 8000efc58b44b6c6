#include "auburnhub/Node/StoredRuns.h"

#include "auburnhub/Net/EventLoop.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// A run that is not confirmed any more is stopped this time before its limit,
/// in milliseconds: more than the longest lease, so that it does not shorten
/// the leases of other runs on its worker. It has then continued for the time
/// until a membership expires, plus two rounds of join calls of the members.
constexpr double StopBeforeLimitMs = 1200;

StoredRunEnd toStoredRunEnd(RunEnd EndKind) {
  if (EndKind == RunEnd::Done)
    return StoredRunEnd::Done;
  return EndKind == RunEnd::Failed ? StoredRunEnd::Failed : StoredRunEnd::Over;
}

bool mustBeStored(StoredRunEnd EndKind) {
  return EndKind == StoredRunEnd::Done || EndKind == StoredRunEnd::Failed;
}

} // namespace

bool StoredRuns::acceptClaim(const std::string &Keeper,
                             const LedgerClaim &Claim) {
  setJobsAreStored();
  Partition &KnownPartition = m_Partitions[Claim.m_PartitionId];
  if (Claim.m_Epoch < KnownPartition.m_Epoch)
    return false;
  KnownPartition.m_Epoch = Claim.m_Epoch;
  KnownPartition.m_Keeper = Keeper;
  return true;
}

TimePoint StoredRuns::runLimit(TimePoint ConfirmedAt) {
  return ConfirmedAt == TimePoint::max() ? ConfirmedAt
                                         : addMs(ConfirmedAt, StoredRunLimitMs);
}

void StoredRuns::opened(const std::string &Keeper, const LedgerOpened &Msg) {
  if (!acceptClaim(Keeper, Msg.m_Claim))
    return;
  LedgerRuns Answer;
  Answer.m_Claim = Msg.m_Claim;
  Answer.m_Query = Msg.m_Query;
  std::vector<StoredTaskReport> Ends;
  for (const auto &[Key, OwnedRun] : m_Runs) {
    if (OwnedRun.m_PartitionId != Msg.m_Claim.m_PartitionId)
      continue;
    if (OwnedRun.m_End)
      Ends.push_back(*OwnedRun.m_End);
    else
      Answer.m_Runs.push_back({Key.first, Key.second});
  }
  // The keeper takes a run for lost that it expects and that is not listed.
  for (const StoredTaskReport &End : Ends)
    m_Effects.m_Send(Keeper, End);
  m_Effects.m_Send(Keeper, Answer);
}

void StoredRuns::refuse(const std::string &Keeper, const RunStoredTask &Msg,
                        JobReason Reason) const {
  StoredTaskReport Refusal;
  Refusal.m_PartitionId = Msg.m_Claim.m_PartitionId;
  Refusal.m_Run = {Msg.m_Task.task(), Msg.m_Task.m_Number};
  Refusal.m_EndKind = StoredRunEnd::NotRun;
  Refusal.m_Reason = Reason;
  m_Effects.m_Send(Keeper, Refusal);
}

void StoredRuns::run(const std::string &Keeper, const RunStoredTask &Msg,
                     TimePoint ConfirmedAt) {
  if (!acceptClaim(Keeper, Msg.m_Claim)) {
    refuse(Keeper, Msg, JobReason::None);
    return;
  }
  TimePoint RunUntil = runLimit(ConfirmedAt);
  if (RunUntil < addMs(EventLoop::now(), StopBeforeLimitMs)) {
    m_Log.info("stored_task_too_old", {{"task", Msg.m_Task.task().str()},
                                       {"run", Msg.m_Task.m_Number},
                                       {"keeper", Keeper},
                                       {"epoch", Msg.m_Claim.m_Epoch}});
    refuse(Keeper, Msg, JobReason::NoOwner);
    return;
  }
  auto [It, Added] =
      m_Runs.try_emplace({Msg.m_Task.task(), Msg.m_Task.m_Number});
  if (!Added)
    return;
  It->second.m_PartitionId = Msg.m_Claim.m_PartitionId;
  It->second.m_RunUntil = std::make_shared<TimePoint>(RunUntil);
  m_Effects.m_Start(Msg.m_Task, It->second.m_RunUntil);
}

void StoredRuns::confirmed(const std::string &Keeper,
                           const StoredRunsConfirmed &Msg,
                           TimePoint ConfirmedAt) {
  if (!acceptClaim(Keeper, Msg.m_Claim) || ConfirmedAt == TimePoint::max())
    return;
  TimePoint RunUntil = runLimit(ConfirmedAt);
  for (const StoredRun &Confirmed : Msg.m_Runs)
    if (auto Found = m_Runs.find({Confirmed.m_Task, Confirmed.m_Number});
        Found != m_Runs.end() && Found->second.m_RunUntil)
      *Found->second.m_RunUntil = std::max(*Found->second.m_RunUntil, RunUntil);
}

void StoredRuns::stopUnconfirmed(TimePoint Now) {
  std::vector<TaskRef> Stopped;
  for (auto &[Key, OwnedRun] : m_Runs) {
    if (OwnedRun.m_End || !OwnedRun.m_RunUntil || OwnedRun.m_IsStopped ||
        *OwnedRun.m_RunUntil >= addMs(Now, StopBeforeLimitMs))
      continue;
    OwnedRun.m_IsStopped = true;
    Stopped.push_back(Key.first);
    m_Log.warning("stored_run_unconfirmed",
                  {{"task", Key.first.str()},
                   {"run", Key.second},
                   {"keeper", m_Partitions[OwnedRun.m_PartitionId].m_Keeper},
                   {"epoch", m_Partitions[OwnedRun.m_PartitionId].m_Epoch},
                   {"limit_in_ms", std::round(millisecondsBetween(
                                       Now, *OwnedRun.m_RunUntil))}});
  }
  for (const TaskRef &Task : Stopped)
    m_Effects.m_Stop(Task);
}

void StoredRuns::stop(const std::string &Keeper, const StopStoredRun &Msg) {
  if (!acceptClaim(Keeper, Msg.m_Claim))
    return;
  auto Found = m_Runs.find({Msg.m_Run.m_Task, Msg.m_Run.m_Number});
  if (Found != m_Runs.end() && !Found->second.m_End)
    m_Effects.m_Stop(Msg.m_Run.m_Task);
}

void StoredRuns::endStored(const StoredEndConfirmed &Msg) {
  auto Found = m_Runs.find({Msg.m_Run.m_Task, Msg.m_Run.m_Number});
  if (Found == m_Runs.end() || !Found->second.m_End)
    return;
  bool IsLoss = !Found->second.m_End->m_LostWith.m_Worker.empty();
  // The worker has returned and listed the run's end, which was reported since.
  if (Msg.m_IsLoss && !IsLoss)
    return;
  Run Ended = std::move(Found->second);
  m_Runs.erase(Found);
  acknowledge(Ended, Msg);
}

void StoredRuns::acknowledge(const Run &Ended,
                             const StoredEndConfirmed &Msg) const {
  if (!Ended.m_Worker.empty())
    m_Effects.m_Acknowledge(Ended.m_Worker, Msg);
  for (const std::string &Worker : Ended.m_OtherWorkers)
    m_Effects.m_Acknowledge(Worker, Msg);
}

void StoredRuns::keeperLost(const std::string &Keeper) {
  std::set<std::uint32_t> Lost;
  for (auto &[PartitionId, KnownPartition] : m_Partitions)
    if (KnownPartition.m_Keeper == Keeper) {
      KnownPartition.m_Keeper.clear();
      Lost.insert(PartitionId);
    }
  // A keeper of an older version confirms nothing; its loss ends that.
  TimePoint RunUntil = runLimit(EventLoop::now());
  for (auto &[Key, OwnedRun] : m_Runs)
    if (Lost.contains(OwnedRun.m_PartitionId) && OwnedRun.m_RunUntil)
      *OwnedRun.m_RunUntil = std::min(*OwnedRun.m_RunUntil, RunUntil);
}

void StoredRuns::report(StoredTaskReport Report) {
  auto KnownPartition = m_Partitions.find(Report.m_PartitionId);
  if (KnownPartition != m_Partitions.end() &&
      !KnownPartition->second.m_Keeper.empty())
    m_Effects.m_Send(KnownPartition->second.m_Keeper, std::move(Report));
}

void StoredRuns::taskEnded(const StoredTaskEnded &Ended) {
  auto Found = m_Runs.find({Ended.m_Task, Ended.m_Number});
  StoredTaskReport Report;
  Report.m_PartitionId =
      ledgerPartitionOf(Ended.m_Task.m_Job, m_PartitionCount);
  Report.m_Run = {Ended.m_Task, Ended.m_Number};
  Report.m_EndKind = Ended.m_EndKind;
  Report.m_Reason = Ended.m_Reason;
  Report.m_Worker = Ended.m_Worker;
  Report.m_LostWith = Ended.m_LostWith;
  bool IsLost = !Ended.m_LostWith.m_Worker.empty();
  if (Found != m_Runs.end() && (mustBeStored(Ended.m_EndKind) || IsLost)) {
    // A lost worker has no list from which the end could be removed.
    if (!IsLost)
      Found->second.m_Worker = Ended.m_Worker;
    Found->second.m_End = Report;
  } else if (Found != m_Runs.end()) {
    m_Runs.erase(Found);
  }
  report(std::move(Report));
}

bool StoredRuns::strayRunEnded(const std::string &Worker, const TaskRef &Task,
                               std::uint32_t Number, RunEnd EndKind) {
  StoredTaskReport Report;
  Report.m_PartitionId = ledgerPartitionOf(Task.m_Job, m_PartitionCount);
  Report.m_Run = {Task, Number};
  Report.m_EndKind = toStoredRunEnd(EndKind);
  Report.m_Worker = Worker;
  bool MustKeep = mustBeStored(Report.m_EndKind);
  if (MustKeep) {
    Run &Added = m_Runs[{Task, Number}];
    Added.m_PartitionId = Report.m_PartitionId;
    if (!Added.m_End)
      Added.m_Worker = Worker;
    else if (Added.m_Worker != Worker)
      Added.m_OtherWorkers.insert(Worker);
    Added.m_End = Report;
    Added.m_ListedAt = EventLoop::now();
    m_Log.info("stray_end_kept",
               {{"worker", Worker},
                {"task", Task.str()},
                {"run", Number},
                {"how", storedRunEndName(Report.m_EndKind)},
                {"waits_for", m_JobsAreStored ? "keeper" : "read of the log"}});
    if (!m_JobsAreStored)
      m_Effects.m_ReadWhetherJobsAreStored();
  }
  report(std::move(Report));
  return MustKeep;
}

void StoredRuns::setNoJobsStored(TimePoint ReadAt) {
  if (m_JobsAreStored)
    return;
  auto KeptRuns = std::exchange(m_Runs, {});
  for (auto &[Key, KeptRun] : KeptRuns) {
    if (KeptRun.m_ListedAt >= ReadAt) {
      m_Runs.emplace(Key, std::move(KeptRun));
      continue;
    }
    m_Log.info("stray_end_acknowledged",
               {{"worker", KeptRun.m_Worker},
                {"task", Key.first.str()},
                {"run", Key.second},
                {"read_after_ms",
                 std::round(millisecondsBetween(KeptRun.m_ListedAt, ReadAt))}});
    acknowledge(KeptRun, {{Key.first, Key.second}, false});
  }
  if (!m_Runs.empty())
    m_Effects.m_ReadWhetherJobsAreStored();
}

} // namespace auburnhub
