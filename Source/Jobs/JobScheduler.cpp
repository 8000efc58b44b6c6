#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {
namespace {

/// Runs of a queue after which its learned run time is used.
constexpr std::uint64_t EnoughSamples = 8;

/// Size of a task assumed until the first one is submitted, in thousandths of a
/// core.
constexpr std::int64_t AssumedCpuMillis = 1000;

/// Weight of one step in the learned size of a typical task.
constexpr double SizeWeight = 0.1;

} // namespace

JobScheduler::JobScheduler(const JobParameters &Parameters)
    : m_Parameters(Parameters), m_Workers(Parameters) {
  m_TypicalTask.m_CpuMillis = AssumedCpuMillis;
}

void JobScheduler::putWorker(TimePoint Now, const WorkerSpec &Spec) {
  m_Workers.put(Spec);
  advance(Now);
}

void JobScheduler::setReachable(TimePoint Now, const std::string &Worker,
                                bool Reachable) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (!Record || Record->m_Reachable == Reachable)
    return;
  Record->m_Reachable = Reachable;
  if (Reachable)
    advance(Now);
}

void JobScheduler::removeWorker(const std::string &Worker) {
  m_Workers.erase(Worker);
}

void JobScheduler::reserve(const std::string &Worker, const Resources &Used) {
  if (WorkerRecord *Record = m_Workers.find(Worker))
    Record->m_Free -= Used;
}

void JobScheduler::release(TimePoint Now, const std::string &Worker,
                           const Resources &Used) {
  if (WorkerRecord *Record = m_Workers.find(Worker))
    Record->m_Free += Used;
  advance(Now);
}

double JobScheduler::expectedMs(const QueuePolicy &Policy,
                                const JobStep &Step) const {
  auto Found = m_Queues.find(Policy.m_Queue);
  if (Found == m_Queues.end() || Found->second.m_Samples < EnoughSamples)
    return std::max(1.0, Step.m_EstimatedMs);
  const QueueModel &Model = Found->second;
  if (Step.m_EstimatedMs <= 0 || Model.m_MeanEstimateMs <= 0)
    return std::max(1.0, Model.m_MeanMs);
  // The caller's estimate is rough. Only half of its deviation from the queue's
  // mean estimate, on a logarithmic scale, is applied to the queue's mean run
  // time.
  double Relative = Step.m_EstimatedMs / Model.m_MeanEstimateMs;
  return std::max(1.0, Model.m_MeanMs * std::sqrt(Relative));
}

std::unique_ptr<JobScheduler::Job>
JobScheduler::makeJob(TimePoint Now, JobRequest Request) const {
  auto Owned = std::make_unique<Job>();
  Job &Item = *Owned;
  Item.m_Request = std::move(Request);
  Item.m_Submitted = Now;
  Item.m_Deadline = addMs(Now, Item.m_Request.m_TimeLeftMs);
  for (const JobStep &Step : Item.m_Request.m_Steps)
    Item.m_ExpectedMs =
        std::max(Item.m_ExpectedMs, expectedMs(Item.m_Request.m_Policy, Step));
  const QueuePolicy &Policy = Item.m_Request.m_Policy;
  Item.m_ObjectiveMs =
      Policy.m_Stretch * Item.m_ExpectedMs + Policy.m_TargetLatencyMs;
  Item.m_WaitUntil =
      addMs(Now, std::max(0.0, m_Parameters.m_WaitShare * Item.m_ObjectiveMs -
                                   m_Parameters.m_PathMs));
  return Owned;
}

void JobScheduler::submit(TimePoint Now, JobRequest Request) {
  std::string Id = Request.m_Id;
  auto Owned = makeJob(Now, std::move(Request));
  Job &Item = *Owned;
  bool Fits = true;
  for (std::uint32_t S = 0; S < Item.m_Request.m_Steps.size(); ++S) {
    const JobStep &Step = Item.m_Request.m_Steps[S];
    Fits = Fits &&
           m_Workers.couldEverHold(Item.m_Request.m_Policy.m_Service, Step);
    learnSize(Step.m_Each);
    for (std::uint32_t I = 0; I < Step.m_Count; ++I) {
      Task &Added = Item.m_Tasks.emplace_back();
      Added.m_Ref = {Id, S, I};
      Added.m_Step = S;
    }
  }
  Item.m_Left = Item.m_Tasks.size();
  if (m_Jobs.contains(Id))
    cancel(Now, Id);
  bool Full = m_Jobs.size() >= m_Parameters.m_MaxJobs;
  m_Jobs[Id] = std::move(Owned);
  if (!Fits || Full) {
    finish(Now, Item, JobOutcome::NotRun,
           Fits ? JobReason::NoRoom : JobReason::NeverFits);
    return;
  }
  unblock(Item);
  advance(Now);
}

void JobScheduler::submit(TimePoint Now, const StoredTask &Stored) {
  JobRequest Request;
  Request.m_Id = Stored.task().str();
  Request.m_Policy = Stored.m_Policy;
  Request.m_Spec = Stored.m_Spec;
  Request.m_Steps = {Stored.m_Step};
  Request.m_Steps.front().m_Count = 1;
  Request.m_TimeLeftMs = m_Parameters.m_StoredTaskMs;
  std::string Id = Request.m_Id;
  auto Owned = makeJob(Now, std::move(Request));
  Job &Item = *Owned;
  Item.m_Stored = true;
  Item.m_StoredNumber = Stored.m_Number;
  // The age of the job counts for its rank, not for how long the task may wait.
  Item.m_Submitted = addMs(Now, -Stored.m_AgeMs);
  Item.m_WaitUntil = addMs(Now, m_Parameters.m_StoredWaitMs);
  Task &Only = Item.m_Tasks.emplace_back();
  Only.m_Ref = Stored.task();
  Only.m_LastNumber = Stored.m_Number - 1;
  Only.m_Avoid.insert(Stored.m_Avoid.begin(), Stored.m_Avoid.end());
  Item.m_Left = 1;
  bool Fits = m_Workers.couldEverHold(Stored.m_Policy.m_Service, Stored.m_Step);
  bool Refused =
      m_Jobs.contains(Id) || !Fits || m_Jobs.size() >= m_Parameters.m_MaxJobs;
  if (Refused) {
    m_Effects.emplace_back(
        StoredTaskOver{Only.m_Ref, Stored.m_Number, StoredRunEnd::NotRun,
                       Fits ? JobReason::NoRoom : JobReason::NeverFits, ""});
    return;
  }
  learnSize(Stored.m_Step.m_Each);
  m_Jobs[Id] = std::move(Owned);
  unblock(Item);
  advance(Now);
}

void JobScheduler::cancel(TimePoint Now, const TaskRef &StoredTask) {
  auto Found = m_Jobs.find(StoredTask.str());
  if (Found == m_Jobs.end())
    return;
  Job &Item = *Found->second;
  auto Run = m_Runs.find(Item.m_Tasks.front().m_Run);
  if (Item.m_Tasks.front().m_Run == 0 || Run == m_Runs.end())
    finishStored(Item, StoredRunEnd::NotRun, JobReason::Cancelled, "");
  else
    stopRun(Run->second, Run->first, JobReason::Cancelled);
  advance(Now);
}

void JobScheduler::finishStored(Job &Item, StoredRunEnd How, JobReason Reason,
                                const std::string &Worker) {
  m_Effects.emplace_back(StoredTaskOver{
      Item.m_Tasks.front().m_Ref, Item.m_StoredNumber, How, Reason, Worker});
  m_Jobs.erase(Item.m_Request.m_Id);
}

void JobScheduler::learnSize(const Resources &Each) {
  auto Seen = static_cast<double>(Each.m_CpuMillis);
  auto Typical = static_cast<double>(m_TypicalTask.m_CpuMillis);
  double Weight = std::exchange(m_SizeKnown, true) ? SizeWeight : 1;
  m_TypicalTask.m_CpuMillis =
      static_cast<std::int64_t>(Typical + Weight * (Seen - Typical));
}

void JobScheduler::unblock(Job &Item) {
  std::vector<std::size_t> LeftOfStep(Item.m_Request.m_Steps.size());
  for (const Task &T : Item.m_Tasks)
    if (T.m_State != TaskState::Done)
      ++LeftOfStep[T.m_Step];
  for (Task &T : Item.m_Tasks) {
    if (T.m_State != TaskState::Blocked)
      continue;
    const auto &After = Item.m_Request.m_Steps[T.m_Step].m_After;
    // A ledger sends a stored task only after its earlier steps are done.
    if (Item.m_Stored ||
        std::all_of(After.begin(), After.end(),
                    [&](std::uint32_t S) { return LeftOfStep[S] == 0; })) {
      T.m_State = TaskState::Waiting;
      ++Item.m_Waiting;
    }
  }
}

bool JobScheduler::cancel(TimePoint Now, const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return false;
  Job &Item = *Found->second;
  finish(Now, Item,
         Item.m_PossibleStarts > 0 ? JobOutcome::GivenUp : JobOutcome::NotRun,
         JobReason::Cancelled);
  return true;
}

void JobScheduler::finish(TimePoint Now, Job &Item, JobOutcome Outcome,
                          JobReason Reason) {
  JobOver Over;
  Over.m_Job = Item.m_Request.m_Id;
  Over.m_Result = {Outcome, Reason, 0};
  if (Outcome == JobOutcome::NotRun)
    Over.m_Result.m_RetryAfterMs = m_Parameters.m_RetryAfterMs;
  Over.m_TookMs = millisecondsBetween(Item.m_Submitted, Now);
  if (Item.m_FirstStart)
    Over.m_WaitedMs = millisecondsBetween(Item.m_Submitted, *Item.m_FirstStart);
  Over.m_ObjectiveMs = Item.m_ObjectiveMs;
  Over.m_Runs = Item.m_Runs;
  m_Effects.emplace_back(std::move(Over));
  for (Task &T : Item.m_Tasks) {
    auto Found = m_Runs.find(T.m_Run);
    if (T.m_Run == 0 || Found == m_Runs.end())
      continue;
    Found->second.m_Detached = true;
    stopRun(Found->second, T.m_Run, Reason);
  }
  m_Jobs.erase(Item.m_Request.m_Id);
}

void JobScheduler::stopRun(Run &Item, RunId Id, JobReason Why) {
  if (Item.m_Stopping)
    return;
  Item.m_Stopping = true;
  m_Effects.emplace_back(StopRun{Id, Why});
}

void JobScheduler::checkDeadlines(TimePoint Now) {
  std::vector<std::pair<Job *, JobReason>> Over;
  for (auto &[Id, Item] : m_Jobs) {
    if (Now >= Item->m_Deadline && !Item->m_Stored)
      Over.emplace_back(Item.get(), JobReason::TimedOut);
    else if (!Item->m_FirstStart && Now >= Item->m_WaitUntil)
      Over.emplace_back(Item.get(), JobReason::NoRoom);
  }
  for (auto [Item, Reason] : Over)
    if (Item->m_Stored)
      finishStored(*Item, StoredRunEnd::NotRun, Reason, "");
    else
      finish(Now, *Item,
             Item->m_PossibleStarts > 0 ? JobOutcome::GivenUp
                                        : JobOutcome::NotRun,
             Reason);
}

void JobScheduler::advance(TimePoint Now) {
  checkStalled(Now);
  startWaiting(Now);
  checkDeadlines(Now);
}

JobScheduler::Rank JobScheduler::rank(TimePoint Now, const Job &Item,
                                      double BestSpeed) const {
  double Elapsed = millisecondsBetween(Item.m_Submitted, Now);
  double Needs = Item.m_ExpectedMs / BestSpeed;
  Rank Result;
  Result.m_SlackMs = Item.m_ObjectiveMs - Elapsed - Needs;
  if (Result.m_SlackMs >= 0)
    return Result;
  double LateSlack =
      std::min(m_Parameters.m_LateFactor * Item.m_ObjectiveMs - Elapsed,
               millisecondsBetween(Now, Item.m_Deadline)) -
      Needs;
  Result.m_Tier = LateSlack >= 0 ? 1 : 2;
  return Result;
}

void JobScheduler::startWaiting(TimePoint Now) {
  std::vector<std::pair<Rank, Job *>> Order;
  std::map<std::string_view, double> Speeds;
  for (auto &[Id, Item] : m_Jobs) {
    if (Item->m_Waiting == 0)
      continue;
    std::string_view Service = Item->m_Request.m_Policy.m_Service;
    auto [Speed, Added] = Speeds.try_emplace(Service, 0);
    if (Added)
      Speed->second = m_Workers.bestSpeed(Now, Service);
    Order.emplace_back(rank(Now, *Item, Speed->second), Item.get());
  }
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return std::tie(A.first.m_Tier, A.first.m_SlackMs,
                    A.second->m_Request.m_Id) <
           std::tie(B.first.m_Tier, B.first.m_SlackMs,
                    B.second->m_Request.m_Id);
  });
  for (auto &[Place, Item] : Order)
    startTasks(Now, *Item);
}

bool JobScheduler::startTasks(TimePoint Now, Job &Item) {
  for (std::size_t I = 0; I < Item.m_Tasks.size(); ++I)
    if (Item.m_Tasks[I].m_State == TaskState::Waiting &&
        !startTask(Now, Item, I))
      return false;
  return true;
}

std::uint32_t JobScheduler::tasksOfStepOn(const Task &Which,
                                          const std::string &Worker) const {
  auto IsCounted = [&](const auto &Entry) {
    const Run &Other = Entry.second;
    return Other.m_Worker == Worker && Other.m_Ref.m_Job == Which.m_Ref.m_Job &&
           Other.m_Ref.m_Step == Which.m_Ref.m_Step;
  };
  return static_cast<std::uint32_t>(
      std::count_if(m_Runs.begin(), m_Runs.end(), IsCounted));
}

bool JobScheduler::startTask(TimePoint Now, Job &Item, std::size_t Index) {
  Task &Which = Item.m_Tasks[Index];
  const JobStep &Step = Item.m_Request.m_Steps[Which.m_Step];
  TaskNeeds Needs;
  Needs.m_Service = Item.m_Request.m_Policy.m_Service;
  Needs.m_Step = &Step;
  Needs.m_ExpectedMs = expectedMs(Item.m_Request.m_Policy, Step);
  Needs.m_Avoid = &Which.m_Avoid;
  Needs.m_OnWorker = [&](const std::string &Worker) {
    return tasksOfStepOn(Which, Worker);
  };
  std::optional<WorkerChoice> Choice = m_Workers.choose(Now, Needs);
  if (!Choice && !Which.m_Avoid.empty()) {
    // No other worker is available: retry on a worker on which it failed.
    Needs.m_Avoid = nullptr;
    Choice = m_Workers.choose(Now, Needs);
  }
  if (!Choice)
    return false;
  WorkerRecord &Worker = *Choice->m_Worker;
  Worker.m_Free -= Step.m_Each;
  ++Worker.m_Running;
  Which.m_State = TaskState::Ordered;
  Which.m_Run = ++m_LastRun;
  --Item.m_Waiting;
  ++Item.m_Runs;
  ++Item.m_PossibleStarts;
  if (!Item.m_FirstStart)
    Item.m_FirstStart = Now;
  Run &Added = m_Runs[Which.m_Run];
  Added.m_Job = Item.m_Request.m_Id;
  Added.m_Ref = Which.m_Ref;
  Added.m_Task = Index;
  Added.m_Worker = Worker.m_Spec.m_Id;
  Added.m_Used = Step.m_Each;
  Added.m_BaseMs = Needs.m_ExpectedMs;
  Added.m_ExpectedMs = Choice->m_ExpectedMs;
  Added.m_Queue = Item.m_Request.m_Policy.m_Queue;
  Added.m_Started = Now;
  QueueModel &Model = m_Queues[Added.m_Queue];
  Model.m_MeanEstimateMs +=
      std::max(m_Parameters.m_RunTimeWeight,
               1 / (1 + static_cast<double>(Model.m_Samples))) *
      (Step.m_EstimatedMs - Model.m_MeanEstimateMs);
  StartRun Order;
  Order.m_Run = Which.m_Run;
  Order.m_Worker = Added.m_Worker;
  Order.m_Task = Which.m_Ref;
  Order.m_Number = ++Which.m_LastNumber;
  Order.m_Spec = Item.m_Request.m_Spec;
  Order.m_Queue = Added.m_Queue;
  Order.m_ExpectedMs = Added.m_ExpectedMs;
  Order.m_Candidates = Choice->m_Candidates;
  Order.m_WaitedMs = millisecondsBetween(Item.m_Submitted, Now);
  Order.m_Stored = Item.m_Stored;
  m_Effects.emplace_back(std::move(Order));
  return true;
}

std::optional<TimePoint> JobScheduler::nextDeadline(TimePoint Now) const {
  std::optional<TimePoint> Next;
  auto Consider = [&](TimePoint At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  for (const auto &[Id, Item] : m_Jobs) {
    if (!Item->m_Stored)
      Consider(Item->m_Deadline);
    if (!Item->m_FirstStart)
      Consider(Item->m_WaitUntil);
  }
  if (waitingTasks() > 0)
    for (const auto &[Id, Worker] : m_Workers.all()) {
      Consider(Worker.m_EjectedUntil);
      Consider(Worker.m_PausedUntil);
    }
  return Next;
}

std::vector<JobEffect> JobScheduler::takeEffects() {
  return std::exchange(m_Effects, {});
}

std::size_t JobScheduler::freeSlots(TimePoint Now) const {
  return m_Workers.freeSlots(Now, m_TypicalTask);
}

std::size_t JobScheduler::waitingTasks() const {
  std::size_t Total = 0;
  for (const auto &[Id, Item] : m_Jobs)
    Total += Item->m_Waiting;
  return Total;
}

} // namespace auburnhub
