#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>

/// \file
/// The part of JobLedger that numbers the runs of a task, over changes of the
/// keeper.

namespace auburnhub {
namespace {

/// Run numbers of a task in one epoch that need no record. The next epoch
/// starts above them because it does not know which were used.
constexpr std::uint64_t RunNumbersPerEpoch = 64;

} // namespace

std::uint32_t JobLedger::lastNumberOfEarlierEpochs(const LedgerJob &Job) const {
  return static_cast<std::uint32_t>((m_Epoch - Job.m_Record.m_Epoch) *
                                    RunNumbersPerEpoch);
}

std::uint32_t JobLedger::nextNumber(const LedgerJob &Job,
                                    const LedgerTask &Task) const {
  if (Task.m_Reserved > Task.m_Number)
    return Task.m_Reserved;
  std::uint32_t NextOfEpoch = lastNumberOfEarlierEpochs(Job) + Task.m_Runs + 1;
  return std::max(NextOfEpoch, std::max(Task.m_Number, Task.m_Reached) + 1);
}

bool JobLedger::mustReserve(const LedgerJob &Job,
                            const LedgerTask &Task) const {
  bool MayHaveEarlierRun = Task.m_State == TaskState::InDoubt;
  return MayHaveEarlierRun ||
         nextNumber(Job, Task) >
             lastNumberOfEarlierEpochs(Job) + RunNumbersPerEpoch;
}

void JobLedger::reserve(LedgerJob &Job, std::uint32_t TaskIndex) {
  LedgerTask &Task = Job.m_Tasks[TaskIndex];
  Task.m_Reserved = nextNumber(Job, Task);
  Task.m_Reached = std::max(Task.m_Reached, Task.m_Reserved);
  recordReached(Job, TaskIndex);
  setState(Job, TaskIndex, TaskState::Reserving);
  const std::string &Id = Job.m_Record.m_Job.m_Id;
  m_NextBatch.m_Progress.insert(Id);
  m_NextBatch.m_Reservations.emplace(Id, TaskIndex);
  m_NextBatch.m_Urgent = true;
}

void JobLedger::onReserved(const std::string &Id, std::uint32_t TaskIndex) {
  LedgerJob *Job = find(Id);
  bool IsWaiting = Job && TaskIndex < Job->m_Tasks.size() &&
                   Job->m_Tasks[TaskIndex].m_State == TaskState::Reserving;
  if (IsWaiting)
    setState(*Job, TaskIndex, TaskState::Ready);
}

void JobLedger::recordReached(LedgerJob &Job, std::uint32_t TaskIndex) {
  std::uint32_t Number = Job.m_Tasks[TaskIndex].m_Reached;
  if (Number <= 1)
    return;
  auto &Reached = Job.m_Progress.m_Reached;
  auto Found = std::find_if(
      Reached.begin(), Reached.end(),
      [TaskIndex](const auto &Entry) { return Entry.m_Task == TaskIndex; });
  if (Found == Reached.end())
    Reached.push_back({TaskIndex, Number});
  else
    Found->m_Number = Number;
}

void JobLedger::restoreReached(LedgerJob &Job) const {
  // A record of an earlier version does not tell how often a task that is done
  // was started.
  if (Job.m_Progress.m_Version < StoredProgressVersion)
    for (std::uint32_t TaskIndex : Job.m_Progress.m_Done)
      if (TaskIndex < Job.m_Tasks.size()) {
        Job.m_Tasks[TaskIndex].m_Reached = lastNumberOfEarlierEpochs(Job) + 1;
        recordReached(Job, TaskIndex);
      }
  Job.m_Progress.m_Version = StoredProgressVersion;
  for (const ReachedNumber &Entry : Job.m_Progress.m_Reached)
    if (Entry.m_Task < Job.m_Tasks.size()) {
      LedgerTask &Task = Job.m_Tasks[Entry.m_Task];
      Task.m_Reached = std::max(Task.m_Reached, Entry.m_Number);
      Task.m_Number = Task.m_Reached;
    }
  // A task may have been started again without a further record once the loss
  // of its run was stored.
  for (const LostRun &Run : Job.m_Progress.m_Lost)
    if (Run.m_Task < Job.m_Tasks.size()) {
      LedgerTask &Task = Job.m_Tasks[Run.m_Task];
      Task.m_Reached = std::max(Task.m_Reached, Run.m_Number + 1);
    }
}

} // namespace auburnhub
