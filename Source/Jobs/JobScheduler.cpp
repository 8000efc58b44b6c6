#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {
namespace {

/// Number of successful runs of a queue after which its learned run time is
/// used instead of only the caller's estimate.
constexpr std::uint64_t MinQueueSamples = 8;

/// Size of a task assumed until the first one is submitted, in thousandths of a
/// core.
constexpr std::int64_t AssumedCpuMillis = 1000;

/// Weight of one step in the learned size of a typical task.
constexpr double TaskSizeWeight = 0.1;

} // namespace

JobScheduler::JobScheduler(const JobParameters &Parameters)
    : m_Parameters(Parameters), m_Workers(Parameters),
      m_EvacuationAge(Parameters.m_MaxEvacuationAgeMs) {
  m_TypicalTask.m_CpuMillis = AssumedCpuMillis;
  m_Workers.setSlotSize(AssumedCpuMillis);
}

void JobScheduler::putWorker(TimePoint Now, const WorkerSpec &Spec) {
  m_Workers.put(Now, Spec);
  m_HasLostWorkers = true;
  m_MustCheckEvacuated = true;
  giveUpLostTasks(Now);
  advance(Now);
}

void JobScheduler::refreshWorkers(TimePoint Now, TimePoint ReadAt) {
  allowStartsUntil(Now, addMs(ReadAt, m_Parameters.m_MaxWorkerAgeMs));
}

void JobScheduler::workersUnreadable(TimePoint Now, TimePoint TriedAt) {
  allowStartsUntil(Now,
                   addMs(TriedAt, m_Parameters.m_MaxWorkerAgeAfterFailureMs));
}

void JobScheduler::allowStartsUntil(TimePoint Now, TimePoint Until) {
  bool WereOutdated = areWorkersOutdated(Now);
  m_StartsUntil = m_StartsUntil ? std::max(*m_StartsUntil, Until) : Until;
  if (WereOutdated)
    advance(Now);
}

void JobScheduler::setReachable(TimePoint Now, const std::string &Worker,
                                bool Reachable) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (!Record || Record->m_Reachable == Reachable)
    return;
  Record->m_Reachable = Reachable;
  m_Workers.update(*Record);
  m_HasLostWorkers = m_HasLostWorkers || !Reachable;
  if (Reachable)
    advance(Now);
}

void JobScheduler::setIncarnation(TimePoint Now, const std::string &Worker,
                                  std::int64_t StartMs) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (!Record || Record->m_SessionStartMs == StartMs)
    return;
  Record->m_SessionStartMs = StartMs;
  m_Workers.update(*Record);
  if (Record->isDescribed())
    advance(Now);
}

void JobScheduler::setLeaseEnd(const std::string &Worker, TimePoint LeaseEnd) {
  if (WorkerRecord *Record = m_Workers.find(Worker))
    Record->m_LeaseEnd = std::max(Record->m_LeaseEnd, LeaseEnd);
}

void JobScheduler::removeWorker(const std::string &Worker) {
  m_Workers.erase(Worker);
  m_HasLostWorkers = true;
  m_MustCheckEvacuated = true;
}

void JobScheduler::reserve(const std::string &Worker, const Resources &Used) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (!Record)
    return;
  Record->m_Free -= Used;
  m_Workers.update(*Record);
}

void JobScheduler::release(TimePoint Now, const std::string &Worker,
                           const Resources &Used) {
  if (WorkerRecord *Record = m_Workers.find(Worker)) {
    Record->m_Free += Used;
    m_Workers.update(*Record);
  }
  advance(Now);
}

double JobScheduler::expectedMs(const QueuePolicy &Policy,
                                const JobStep &Step) const {
  auto Found = m_Queues.find(Policy.m_Queue);
  if (Found == m_Queues.end() || Found->second.m_Samples < MinQueueSamples)
    return std::max(1.0, Step.m_EstimatedMs);
  const QueueModel &Model = Found->second;
  if (Step.m_EstimatedMs <= 0 || Model.m_MeanEstimateMs <= 0)
    return std::max(1.0, Model.m_MeanMs);
  // The caller's estimate is rough. Only half of its deviation from the mean
  // estimate of the queue, on a logarithmic scale, is applied to the mean run
  // time of the queue.
  double Relative = Step.m_EstimatedMs / Model.m_MeanEstimateMs;
  return std::max(1.0, Model.m_MeanMs * std::sqrt(Relative));
}

std::unique_ptr<JobScheduler::ActiveJob>
JobScheduler::makeJob(TimePoint Now, JobRequest Request,
                      RunLimit RunUntil) const {
  auto Owned = std::make_unique<ActiveJob>();
  ActiveJob &Job = *Owned;
  Job.m_RunUntil = std::move(RunUntil);
  Job.m_Request = std::move(Request);
  Job.m_Submitted = Now;
  Job.m_Deadline = addMs(Now, Job.m_Request.m_TimeLeftMs);
  for (const JobStep &Step : Job.m_Request.m_Steps)
    Job.m_ExpectedMs =
        std::max(Job.m_ExpectedMs, expectedMs(Job.m_Request.m_Policy, Step));
  const QueuePolicy &Policy = Job.m_Request.m_Policy;
  Job.m_ObjectiveMs =
      Policy.m_Stretch * Job.m_ExpectedMs + Policy.m_TargetLatencyMs;
  Job.m_WaitUntil =
      addMs(Now, std::max(0.0, m_Parameters.m_WaitShare * Job.m_ObjectiveMs -
                                   m_Parameters.m_PathLatencyMs));
  return Owned;
}

void JobScheduler::submit(TimePoint Now, JobRequest Request,
                          RunLimit RunUntil) {
  std::string Id = Request.m_Id;
  auto Owned = makeJob(Now, std::move(Request), std::move(RunUntil));
  ActiveJob &Job = *Owned;
  bool Fits = true;
  for (std::uint32_t S = 0; S < Job.m_Request.m_Steps.size(); ++S) {
    const JobStep &Step = Job.m_Request.m_Steps[S];
    Fits = Fits &&
           m_Workers.fitsAnyIdleWorker(Job.m_Request.m_Policy.m_Service, Step);
    learnTaskSize(Step.m_TaskResources);
    for (std::uint32_t I = 0; I < Step.m_Count; ++I) {
      ActiveTask &Added = Job.m_Tasks.emplace_back();
      Added.m_Ref = {Id, S, I};
      Added.m_Step = S;
    }
  }
  Job.m_UnfinishedTasks = Job.m_Tasks.size();
  if (m_Jobs.contains(Id))
    cancel(Now, Id);
  bool IsFull = m_Jobs.size() >= m_Parameters.m_MaxJobs;
  addJob(Job, std::move(Owned));
  if (!Fits || IsFull) {
    finish(Now, Job, JobOutcome::NotRun,
           Fits ? JobReason::NoRoom : JobReason::NeverFits);
    return;
  }
  updateDue(Job);
  reportEarlierRuns(Now, Job);
  unblockTasks(Now, Job);
  advance(Now);
  refuseIfEvacuated(Now, Id);
  refuseUnlessStarted(Now, Id);
  auto Found = m_Jobs.find(Id);
  if (Found != m_Jobs.end() && !Found->second->m_NearbyDecideAt)
    refuseIfHopeless(Now, *Found->second);
}

void JobScheduler::refuseUnlessStarted(TimePoint Now, const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end() || Found->second->m_Request.m_MayWait)
    return;
  ActiveJob &Job = *Found->second;
  // Held tasks wait for runs of an earlier submission, which end nowhere else.
  if (!Job.m_FirstStart && !m_HeldJobs.contains(Id) && !Job.m_NearbyDecideAt)
    finish(Now, Job, JobOutcome::NotRun, JobReason::NoRoom);
}

void JobScheduler::learnTaskSize(const Resources &TaskSize) {
  auto SubmittedCpu = static_cast<double>(TaskSize.m_CpuMillis);
  auto TypicalCpu = static_cast<double>(m_TypicalTask.m_CpuMillis);
  double Weight = std::exchange(m_HasTypicalTask, true) ? TaskSizeWeight : 1;
  m_TypicalTask.m_CpuMillis = static_cast<std::int64_t>(
      TypicalCpu + Weight * (SubmittedCpu - TypicalCpu));
  m_Workers.setSlotSize(m_TypicalTask.m_CpuMillis);
}

void JobScheduler::unblockTasks(TimePoint Now, ActiveJob &Job) {
  m_HeldJobs.erase(Job.m_Request.m_Id);
  std::size_t WaitingBefore = Job.m_Waiting;
  std::vector<std::size_t> UnfinishedOfStep(Job.m_Request.m_Steps.size());
  for (const ActiveTask &T : Job.m_Tasks)
    if (T.m_State != TaskState::Done)
      ++UnfinishedOfStep[T.m_Step];
  for (ActiveTask &T : Job.m_Tasks) {
    if (T.m_State != TaskState::Blocked)
      continue;
    const auto &After = Job.m_Request.m_Steps[T.m_Step].m_DependsOn;
    // A ledger sends a stored task only after the steps it depends on are done.
    if (!Job.m_Stored &&
        !std::all_of(After.begin(), After.end(),
                     [&](std::uint32_t S) { return UnfinishedOfStep[S] == 0; }))
      continue;
    if (m_EarlierRuns.mayBeActive(Now, T.m_Ref)) {
      m_HeldJobs.insert(Job.m_Request.m_Id);
      continue;
    }
    if (!Job.m_Stored)
      T.m_LastNumber =
          std::max(T.m_LastNumber, m_EarlierRuns.lastNumber(T.m_Ref));
    T.m_State = TaskState::Waiting;
    ++Job.m_Waiting;
    ++m_WaitingTasks;
  }
  if (Job.m_Waiting > WaitingBefore)
    enqueue(Now, Job);
}

bool JobScheduler::cancel(TimePoint Now, const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return false;
  ActiveJob &Job = *Found->second;
  finish(Now, Job,
         Job.m_PossibleStarts > 0 ? JobOutcome::Abandoned : JobOutcome::NotRun,
         JobReason::Cancelled);
  return true;
}

void JobScheduler::finish(TimePoint Now, ActiveJob &Job, JobOutcome Outcome,
                          JobReason Reason) {
  JobFinished Finished;
  Finished.m_Job = Job.m_Request.m_Id;
  Finished.m_Queue = Job.m_Request.m_Policy.m_Queue;
  Finished.m_Result = {Outcome, Reason, 0};
  Finished.m_Forecast = Job.m_Forecast;
  if (Outcome == JobOutcome::NotRun) {
    Finished.m_Result.m_RetryAfterMs = retryAfterMs(Job);
    Finished.m_Result.m_HasEarlierRuns = hasEarlierRuns(Now, Finished.m_Job);
  }
  Finished.m_TookMs = millisecondsBetween(Job.m_Submitted, Now);
  if (Job.m_FirstStart)
    Finished.m_WaitedMs =
        millisecondsBetween(Job.m_Submitted, *Job.m_FirstStart);
  Finished.m_ObjectiveMs = Job.m_ObjectiveMs;
  Finished.m_Runs = Job.m_Runs;
  m_Effects.emplace_back(std::move(Finished));
  for (ActiveTask &T : Job.m_Tasks) {
    auto Found = m_Runs.find(T.m_Run);
    if (T.m_Run == 0 || Found == m_Runs.end())
      continue;
    Found->second.m_Detached = true;
    m_EarlierRuns.add(T.m_Ref, T.m_LastNumber);
    stopRun(Found->second, T.m_Run, Reason);
  }
  eraseJob(Job);
}

void JobScheduler::stopRun(ActiveRun &Run, RunId Id, JobReason Reason) {
  if (Run.m_Stopping)
    return;
  Run.m_Stopping = true;
  m_Effects.emplace_back(StopRun{Id, Reason});
}

void JobScheduler::advance(TimePoint Now) {
  m_AdvancedAt = Now;
  checkStalled(Now);
  releaseHeldTasks(Now);
  startWaitingTasks(Now);
  refuseEvacuatedJobs(Now);
  checkDeadlines(Now);
  if (releaseWorkersSetAside()) {
    startWaitingTasks(Now);
    checkDeadlines(Now);
  }
  eraseUnusedIsolations();
}

void JobScheduler::startTasks(TimePoint Now, ActiveJob &Job) {
  for (std::size_t I = 0; I < Job.m_Tasks.size(); ++I)
    if (Job.m_Tasks[I].m_State == TaskState::Waiting &&
        !startTask(Now, Job, I) && !mustRunAlone(Job.m_Tasks[I]) &&
        !Job.m_Tasks[I].m_NearbyWaitSince)
      break;
  updateNearbyWait(Job);
}

std::uint32_t JobScheduler::tasksOfStepOn(const ActiveTask &Task,
                                          const std::string &Worker) const {
  auto Runs = m_RunsOnWorker.find(Worker);
  if (Runs == m_RunsOnWorker.end())
    return 0;
  auto IsCounted = [&](RunId Id) {
    const TaskRef &Other = m_Runs.at(Id).m_Ref;
    return Other.m_Step == Task.m_Ref.m_Step && Other.m_Job == Task.m_Ref.m_Job;
  };
  return static_cast<std::uint32_t>(
      std::count_if(Runs->second.begin(), Runs->second.end(), IsCounted));
}

bool JobScheduler::startTask(TimePoint Now, ActiveJob &Job, std::size_t Index) {
  ActiveTask &Task = Job.m_Tasks[Index];
  const JobStep &Step = Job.m_Request.m_Steps[Task.m_Step];
  TaskRequirements Requirements;
  Requirements.m_Service = Job.m_Request.m_Policy.m_Service;
  Requirements.m_Step = &Step;
  Requirements.m_ExpectedMs = expectedMs(Job.m_Request.m_Policy, Step);
  Requirements.m_AvoidedWorkers = &Task.m_AvoidedWorkers;
  if (Job.m_RunUntil)
    Requirements.m_RunUntil = *Job.m_RunUntil;
  Requirements.m_TasksOnWorker = [&](const std::string &Worker) {
    return tasksOfStepOn(Task, Worker);
  };
  Requirements.m_RunsAlone = mustRunAlone(Task);
  if (Requirements.m_RunsAlone) {
    if (!mayIsolate(Job.m_Request.m_Policy.m_Service))
      return false;
    if (hasWorkerSetAside(Job, Index))
      Requirements.m_SetAsideWorker =
          m_Isolations.at(Job.m_Request.m_Policy.m_Service).m_Worker;
  }
  WorkerChoice Choice = m_Workers.choose(Now, Requirements);
  if (!Choice.m_Worker && !Task.m_AvoidedWorkers.empty()) {
    // No other worker is available: retry on a worker on which the task has
    // failed or stalled.
    Requirements.m_AvoidedWorkers = nullptr;
    Choice = m_Workers.choose(Now, Requirements);
  }
  if (!Choice.m_Worker && Job.m_MayBeEjected) {
    Requirements.m_MayBeEjected = true;
    Choice = m_Workers.choose(Now, Requirements);
  }
  if (!Choice.m_Worker) {
    if (Choice.m_IsLimitedByLease)
      Job.m_LeaseLimitedAt = Requirements.m_RunUntil;
    if (Requirements.m_RunsAlone)
      setWorkerAside(Now, Job, Index, Requirements);
    return false;
  }
  if (waitsNearby(Now, Job, Task, Choice, Requirements.m_ExpectedMs)) {
    if (Choice.m_IsLimitedByLease)
      Job.m_LeaseLimitedAt = Requirements.m_RunUntil;
    return false;
  }
  WorkerRecord &Worker = *Choice.m_Worker;
  m_Workers.beginRun(Worker, Step.m_TaskResources);
  Task.m_State = TaskState::Ordered;
  Task.m_Run = ++m_LastRun;
  --Job.m_Waiting;
  --m_WaitingTasks;
  ++Job.m_Runs;
  ++Job.m_PossibleStarts;
  if (!Job.m_FirstStart) {
    Job.m_FirstStart = Now;
    updateDue(Job);
    observeWait(Now, Job);
  }
  m_RunsOnWorker[Worker.m_Spec.m_Id].push_back(Task.m_Run);
  ActiveRun &Added = m_Runs[Task.m_Run];
  Added.m_Job = Job.m_Request.m_Id;
  Added.m_Ref = Task.m_Ref;
  Added.m_Task = Index;
  Added.m_Worker = Worker.m_Spec.m_Id;
  Added.m_Service = Job.m_Request.m_Policy.m_Service;
  Added.m_Used = Step.m_TaskResources;
  Added.m_BaseMs = Requirements.m_ExpectedMs;
  Added.m_ExpectedMs = Choice.m_ExpectedMs;
  ReleaseRate &Released = m_ReleasedPerMs[Added.m_Service];
  Released.m_CpuPerMs += releasedPerMs(Added);
  ++Released.m_Runs;
  Added.m_Queue = Job.m_Request.m_Policy.m_Queue;
  Added.m_Started = Now;
  if (Requirements.m_RunsAlone)
    beginIsolatedRun(Job, Index, Worker);
  QueueModel &Model = m_Queues[Added.m_Queue];
  Model.m_MeanEstimateMs +=
      std::max(m_Parameters.m_RunTimeWeight,
               1 / (1 + static_cast<double>(Model.m_Samples))) *
      (Step.m_EstimatedMs - Model.m_MeanEstimateMs);
  StartRun Order;
  Order.m_Run = Task.m_Run;
  Order.m_Worker = Added.m_Worker;
  Order.m_Task = Task.m_Ref;
  Order.m_Number = ++Task.m_LastNumber;
  Order.m_Spec = Job.m_Request.m_Spec;
  Order.m_Queue = Added.m_Queue;
  Order.m_ExpectedMs = Added.m_ExpectedMs;
  Order.m_Candidates = Choice.m_Candidates;
  Order.m_WaitedMs = millisecondsBetween(Job.m_Submitted, Now);
  Order.m_Stored = Job.m_Stored;
  Order.m_RunsAlone = Requirements.m_RunsAlone;
  Order.m_RunUntil = Job.m_RunUntil;
  m_Effects.emplace_back(std::move(Order));
  return true;
}

std::vector<JobEffect> JobScheduler::takeEffects() {
  for (WorkerHealthDecision &Decision : m_Workers.takeHealthDecisions())
    m_Effects.emplace_back(std::move(Decision));
  return std::exchange(m_Effects, {});
}

std::size_t JobScheduler::freeSlots(TimePoint Now) const {
  return m_Workers.freeSlots(Now);
}

} // namespace auburnhub
