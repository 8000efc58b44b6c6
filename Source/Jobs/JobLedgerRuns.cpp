#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>
#include <cmath>

/// \file
/// The part of JobLedger that handles runs at owners of workers.

namespace auburnhub {
namespace {

/// Run numbers reserved for a task in one epoch. The next epoch starts above
/// them because it does not know which were used.
constexpr std::uint64_t NumbersOfEpoch = 64;

} // namespace

std::uint32_t JobLedger::nextNumber(const Job &Item, const Task &Which) const {
  std::uint64_t Base = (m_Epoch - Item.m_Record.m_Epoch) * NumbersOfEpoch;
  auto OfEpoch = static_cast<std::uint32_t>(Base) + Which.m_Runs + 1;
  return std::max(OfEpoch, Which.m_Number + 1);
}

std::optional<StoredTask> JobLedger::nextTask(TimePoint Now) const {
  if (m_Ready.empty())
    return std::nullopt;
  const auto &[Priority, Order, Id, Place] = *m_Ready.begin();
  const Job &Item = *m_Jobs.at(Id);
  const JobRequest &Request = Item.m_Record.m_Job;
  TaskRef Ref = refOf(Item, Place);
  StoredTask Result;
  Result.m_Job = Id;
  Result.m_StepNumber = Ref.m_Step;
  Result.m_Index = Ref.m_Index;
  Result.m_Number = nextNumber(Item, Item.m_Tasks[Place]);
  Result.m_Policy = Request.m_Policy;
  Result.m_Spec = Request.m_Spec;
  Result.m_Step = Request.m_Steps[Ref.m_Step];
  Result.m_AgeMs = millisecondsBetween(Item.m_Received, Now);
  Result.m_Avoid = Item.m_Tasks[Place].m_Avoid;
  return Result;
}

void JobLedger::started(TimePoint, const std::string &Owner) {
  auto [Priority, Order, Id, Place] = *m_Ready.begin();
  Job &Item = *m_Jobs.at(Id);
  Task &Which = Item.m_Tasks[Place];
  Which.m_Number = nextNumber(Item, Which);
  ++Which.m_Runs;
  Which.m_Owner = Owner;
  Item.m_HasStarted = true;
  set(Item, Place, TaskState::Running);
}

void JobLedger::postponed(TimePoint Now) {
  auto [Priority, Order, Id, Place] = *m_Ready.begin();
  pause(Now, *m_Jobs.at(Id), Place);
}

void JobLedger::settle(const End &Which) {
  m_Effects.emplace_back(LedgerEndSettled{Which.m_Owner, Which.m_Task,
                                          Which.m_Number, Which.m_Superseded});
}

void JobLedger::recordEnd(Job &Item, const End &Which) {
  m_Next.m_Progress.insert(Item.m_Record.m_Job.m_Id);
  m_Next.m_Ends.push_back(Which);
}

void JobLedger::takeDone(std::int64_t WallMs, Job &Item, std::uint32_t Place,
                         const End &Which) {
  recordEnd(Item, Which);
  auto &Done = Item.m_Progress.m_Done;
  if (std::find(Done.begin(), Done.end(), Place) != Done.end())
    return;
  Task &Of = Item.m_Tasks[Place];
  if (Of.m_Number != Which.m_Number)
    stopRun(Item, Place);
  Of.m_Number = Which.m_Number;
  Item.m_HasStarted = true;
  Done.push_back(Place);
  set(Item, Place, TaskState::Ending);
  auto Step = refOf(Item, Place).m_Step;
  auto First = Item.m_FirstOfStep[Step];
  auto Count = Item.m_Record.m_Job.m_Steps[Step].m_Count;
  auto DoneOfStep =
      std::count_if(Done.begin(), Done.end(), [&](std::uint32_t P) {
        return P >= First && P < First + Count;
      });
  // The last end of a step is urgent: the next step or the caller waits for it.
  m_Next.m_Urgent = m_Next.m_Urgent || DoneOfStep == Count;
  if (Done.size() == Item.m_Tasks.size())
    finish(Item, StoredJobState::Completed, WallMs);
}

void JobLedger::takeFailed(std::int64_t WallMs, Job &Item, std::uint32_t Place,
                           const End &Which, const std::string &Worker) {
  recordEnd(Item, Which);
  auto &Failed = Item.m_Progress.m_Failed;
  FailedRun Added{Place, Which.m_Number};
  if (std::find(Failed.begin(), Failed.end(), Added) == Failed.end())
    Failed.push_back(Added);
  Task &Of = Item.m_Tasks[Place];
  Item.m_HasStarted = true;
  if (!Worker.empty())
    Of.m_Avoid.push_back(Worker);
  bool OfCurrentRun = Of.m_Number == Which.m_Number;
  if (Of.m_State == TaskState::InDoubt && Of.m_Number < Which.m_Number) {
    Of.m_Number = Which.m_Number;
    OfCurrentRun = true;
  }
  if (OfCurrentRun &&
      (Of.m_State == TaskState::Running || Of.m_State == TaskState::InDoubt))
    set(Item, Place, TaskState::Ending);
  m_Next.m_Urgent = true;
  auto Failures = std::count_if(
      Failed.begin(), Failed.end(),
      [Place](const FailedRun &Run) { return Run.m_Task == Place; });
  if (Failures >= Item.m_Record.m_Job.m_Policy.m_MaxAttempts)
    finish(Item, StoredJobState::Failed, WallMs);
}

void JobLedger::runOver(TimePoint Now, std::int64_t WallMs,
                        const std::string &Owner, const std::string &Worker,
                        const TaskRef &Task, std::uint32_t Number,
                        StoredRunEnd How) {
  End Which{Owner, Task, Number};
  Job *Item = find(Task.m_Job);
  if (Item && Item->m_Shown >= StoredJobState::Completed) {
    Which.m_Superseded = Item->m_Shown == StoredJobState::Completed;
    settle(Which);
    return;
  }
  auto Place = Item ? placeOf(*Item, Task) : std::nullopt;
  if (!Place) {
    settle(Which);
    return;
  }
  Which.m_Superseded = Number < Item->m_Tasks[*Place].m_Number;
  if (Item->m_Tasks[*Place].m_State == TaskState::Done) {
    settle(Which);
    return;
  }
  if (Item->m_Progress.isOver()) {
    // The end is acknowledged only with the final state of the job: until that
    // is stored, a new keeper would run the task again.
    recordEnd(*Item, Which);
    return;
  }
  if (How == StoredRunEnd::Done) {
    takeDone(WallMs, *Item, *Place, Which);
    return;
  }
  if (How == StoredRunEnd::Failed) {
    takeFailed(WallMs, *Item, *Place, Which, Worker);
    return;
  }
  settle(Which);
  auto &Of = Item->m_Tasks[*Place];
  bool MayLive =
      Of.m_State == TaskState::Running || Of.m_State == TaskState::InDoubt;
  if (!MayLive || Of.m_Number != Number)
    return;
  if (How == StoredRunEnd::InDoubt) {
    set(*Item, *Place, TaskState::InDoubt,
        addMs(Now, m_Parameters.m_WorkerDoubtMs));
    return;
  }
  // A run that is stopped may have stalled; another worker may be faster.
  if (How == StoredRunEnd::Over && !Worker.empty())
    Of.m_Avoid.push_back(Worker);
  if (How == StoredRunEnd::Over)
    Of.m_Refusals = 0;
  pause(Now, *Item, *Place);
}

void JobLedger::pause(TimePoint Now, Job &Item, std::uint32_t Place) {
  Task &Which = Item.m_Tasks[Place];
  double Ms =
      std::min(m_Parameters.m_RefusalPauseMs * std::exp2(Which.m_Refusals),
               m_Parameters.m_MaxRefusalPauseMs);
  ++Which.m_Refusals;
  set(Item, Place, TaskState::Paused, addMs(Now, Ms));
}

void JobLedger::runFound(TimePoint, const std::string &Owner,
                         const TaskRef &Task, std::uint32_t Number) {
  Job *Item = find(Task.m_Job);
  auto Place = Item ? placeOf(*Item, Task) : std::nullopt;
  auto Refuse = [&] {
    m_Effects.emplace_back(LedgerRunStopped{Owner, Task, Number});
  };
  if (!Place || !mayRun(*Item, *Place)) {
    Refuse();
    return;
  }
  auto &Of = Item->m_Tasks[*Place];
  if (Of.m_State == TaskState::Running && Of.m_Number == Number)
    return;
  if (Of.m_State != TaskState::InDoubt || Of.m_Number > Number) {
    Refuse();
    return;
  }
  Of.m_Owner = Owner;
  Of.m_Number = Number;
  Item->m_HasStarted = true;
  set(*Item, *Place, TaskState::Running);
}

void JobLedger::ownerLost(TimePoint Now, const std::string &Owner) {
  TimePoint Until = addMs(Now, m_Parameters.m_OwnerDoubtMs);
  for (auto &[Id, Item] : m_Jobs)
    for (std::uint32_t Place = 0; Place < Item->m_Tasks.size(); ++Place) {
      const Task &Which = Item->m_Tasks[Place];
      if (Which.m_State == TaskState::Running && Which.m_Owner == Owner)
        set(*Item, Place, TaskState::InDoubt, Until);
    }
}

} // namespace auburnhub
