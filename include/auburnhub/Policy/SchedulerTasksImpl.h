#ifndef AUBURNHUB_POLICY_SCHEDULERTASKSIMPL_H
#define AUBURNHUB_POLICY_SCHEDULERTASKSIMPL_H

#include "auburnhub/Policy/Scheduler.h"

/// \file
/// Scheduler: admission, placement and end of tasks.

namespace auburnhub {
namespace detail {

/// The run time, in milliseconds, that is assumed for work without an estimate.
inline constexpr double DefaultRunTimeMs = 1;

inline double costMs(const WorkEstimate &Estimate) {
  return Estimate.m_MeanMs > 0 ? Estimate.m_MeanMs : DefaultRunTimeMs;
}

/// Returns the time, in milliseconds, that must remain for the run when a task
/// starts: the finish quantile of its kind, limited to half of LeftMs, the time
/// until the deadline, or to the median run time if that is longer. The limit
/// lets a task with a short timeout start in the first half of its timeout,
/// although the task may then miss its deadline.
inline double reservedRunMs(const WorkEstimate &Estimate, double LeftMs) {
  double Limit = std::max(Estimate.m_RecentMedianMs, LeftMs / 2);
  return std::min(Estimate.m_RecentFinishMs, Limit);
}

} // namespace detail

template <PlacementPolicy Placement>
template <std::uniform_random_bit_generator Rng>
Admission Scheduler<Placement>::admit(TimePoint Now,
                                      std::span<const TaskRequest> Tasks,
                                      Rng &Random) {
  m_Now = Now;
  Admission Result;
  std::size_t Admitted = 0;
  for (; Admitted < Tasks.size(); ++Admitted) {
    const TaskRequest &Request = Tasks[Admitted];
    Result.m_Status = checkRequest(Now, Request);
    if (Result.ok())
      Result.m_Status = checkWait(Now, Request, Result.m_ExpectedWaitMs);
    if (!Result.ok())
      break;
    Task &T = m_Tasks[Request.m_Key];
    T.m_Request = Request;
    T.m_Service = m_ServiceIndex.find(Request.m_Service)->second;
    T.m_Team = m_TeamIndex.find(Request.m_Team)->second;
    enqueue(Now, T, false);
  }
  if (Result.ok())
    return Result;
  for (std::size_t I = 0; I < Admitted; ++I)
    cancel(Tasks[I].m_Key);
  FailureCode Code = failureCode(Result.m_Status);
  if (Code == FailureCode::Overloaded || Code == FailureCode::QuotaExceeded)
    Result.m_RetryAfterMs =
        retryAfterMs(m_Parameters, Result.m_ExpectedWaitMs, Random);
  return Result;
}

/// Checks the conditions of admission that do not depend on estimates: the key,
/// the team and its quota, the service and the deadline.
template <PlacementPolicy Placement>
absl::Status
Scheduler<Placement>::checkRequest(TimePoint Now,
                                   const TaskRequest &Request) const {
  if (m_Tasks.contains(Request.m_Key))
    return makeFailure(FailureCode::BadRequest,
                       "a task with this key already exists");
  auto TeamIt = m_TeamIndex.find(Request.m_Team);
  if (TeamIt == m_TeamIndex.end() || !m_Teams[TeamIt->second].m_Configured)
    return makeFailure(FailureCode::UnknownTeam,
                       "no team " + Request.m_Team + " is configured");
  const Service *S = findService(Request.m_Service);
  if (!S || S->m_Endpoints.empty())
    return makeFailure(FailureCode::NoEndpoint,
                       "service " + Request.m_Service + " has no endpoint");
  if (Request.m_Deadline <= Now)
    return makeFailure(FailureCode::Timeout,
                       "the deadline passed before admission");
  const Team &T = m_Teams[TeamIt->second];
  if (T.m_Queued >= T.m_Spec.m_MaxQueued)
    return makeFailure(FailureCode::QuotaExceeded,
                       "team " + Request.m_Team + " has " +
                           std::to_string(T.m_Queued) +
                           " tasks queued, the maximum of its quota");
  return absl::OkStatus();
}

/// Checks that the task is expected to end before its deadline and that the
/// expected wait is within m_MaxQueueMs. Sets WaitMs to the expected wait.
template <PlacementPolicy Placement>
absl::Status Scheduler<Placement>::checkWait(TimePoint Now,
                                             const TaskRequest &Request,
                                             double &WaitMs) {
  Service &S = findOrAddService(Request.m_Service);
  WorkEstimate Estimate = S.m_Work.estimate(Now, Request.m_Kind);
  double LeftMs = millisecondsBetween(Now, Request.m_Deadline);
  if (Estimate.m_RecentMedianMs > LeftMs)
    return makeFailure(FailureCode::Timeout,
                       "the timeout is shorter than the median run time of "
                       "this kind of work");
  WaitMs = 0;
  const FairQueue &Q = S.queue(Estimate.m_Class);
  if (Q.empty())
    return absl::OkStatus();
  FairQueue::Team T = m_TeamIndex.find(Request.m_Team)->second;
  WaitMs = S.expectedWaitMs(Estimate.m_Class, T, m_Parameters);
  if (WaitMs + detail::reservedRunMs(Estimate, LeftMs) > LeftMs)
    return makeFailure(
        FailureCode::Overloaded,
        "the task is not expected to end before its deadline: the "
        "wait in the queue is too long");
  if (WaitMs > m_Parameters.m_MaxQueueMs)
    return makeFailure(FailureCode::Overloaded,
                       "the expected wait in the queue exceeds "
                       "policy.max_queue_ms");
  return absl::OkStatus();
}

/// Adds a task to the queue of its class: at the head of its team's tasks if
/// Front is set, otherwise at the end.
template <PlacementPolicy Placement>
void Scheduler<Placement>::enqueue(TimePoint Now, Task &T, bool Front) {
  Service &S = m_Services[T.m_Service];
  WorkEstimate Estimate = S.m_Work.estimate(Now, T.m_Request.m_Kind);
  double Cost = detail::costMs(Estimate);
  TaskKey Key = T.m_Request.m_Key;
  T.m_Phase = Phase::Queued;
  T.m_Class = Estimate.m_Class;
  T.m_QueuedAt = Now;
  double LeftMs = millisecondsBetween(Now, T.m_Request.m_Deadline);
  T.m_LatestStart =
      addMs(T.m_Request.m_Deadline, -detail::reservedRunMs(Estimate, LeftMs));
  T.m_Attempt = ++m_LastAttempt;
  FairQueue &Q = S.queue(T.m_Class);
  T.m_Handle =
      Front ? Q.pushFront(T.m_Team, Key, Cost) : Q.push(T.m_Team, Key, Cost);
  ++m_Teams[T.m_Team].m_Queued;
  ++m_Queued;
  m_Expiries.push(T.m_LatestStart, {Key, T.m_Attempt});
}

/// Removes a task from its queue without charging its team.
template <PlacementPolicy Placement>
void Scheduler<Placement>::dequeue(Task &T) {
  m_Services[T.m_Service].queue(T.m_Class).erase(T.m_Handle);
  --m_Teams[T.m_Team].m_Queued;
  --m_Queued;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::markExpired(Task &T) {
  dequeue(T);
  T.m_Phase = Phase::Expired;
  m_Expired.push_back(T.m_Request.m_Key);
}

template <PlacementPolicy Placement>
CancelResult Scheduler<Placement>::cancel(TaskKey Key) {
  auto It = m_Tasks.find(Key);
  if (It == m_Tasks.end())
    return CancelResult::Unknown;
  switch (It->second.m_Phase) {
  case Phase::Running:
    return CancelResult::Running;
  case Phase::Ended:
    m_Tasks.erase(Key);
    return CancelResult::Unknown;
  case Phase::Queued:
    dequeue(It->second);
    [[fallthrough]];
  case Phase::Expired:
    m_Tasks.erase(Key);
    return CancelResult::Removed;
  }
  return CancelResult::Unknown;
}

template <PlacementPolicy Placement>
std::vector<TaskKey> Scheduler<Placement>::expire(TimePoint Now) {
  while (std::optional<AttemptId> Due = m_Expiries.popDue(Now)) {
    auto It = m_Tasks.find(Due->m_Key);
    if (It == m_Tasks.end() || It->second.m_Phase != Phase::Queued ||
        It->second.m_Attempt != Due->m_Attempt)
      continue;
    markExpired(It->second);
  }
  std::vector<TaskKey> Expired;
  for (TaskKey Key : std::exchange(m_Expired, {})) {
    auto It = m_Tasks.find(Key);
    if (It == m_Tasks.end() || It->second.m_Phase != Phase::Expired)
      continue;
    m_Tasks.erase(Key);
    Expired.push_back(Key);
  }
  return Expired;
}

template <PlacementPolicy Placement>
typename Scheduler<Placement>::Task *
Scheduler<Placement>::findRunning(TaskKey Key) {
  auto It = m_Tasks.find(Key);
  if (It == m_Tasks.end() || It->second.m_Phase != Phase::Running)
    return nullptr;
  return &It->second;
}

template <PlacementPolicy Placement>
bool Scheduler<Placement>::finishTask(TimePoint Now, TaskKey Key,
                                      TaskResult Result) {
  Task *T = findRunning(Key);
  if (!T)
    return false;
  m_Now = Now;
  Service &S = m_Services[T->m_Service];
  recordRunTime(Now, *T, Result);
  recordHealthChange(T->m_Endpoint,
                     m_Endpoints[T->m_Endpoint]->m_Record.finish(
                         Now, Key, T->m_Class, Result, S.mayEject(m_Parameters),
                         m_Parameters));
  --m_Running;
  --S.m_Running;
  S.m_RunningLong -= T->m_Class == TaskClass::Long;
  refreshEndpoint(Now, T->m_Endpoint);
  T->m_Phase = Phase::Ended;
  T->m_Result = Result;
  if (Result == TaskResult::Lost)
    ++T->m_Losses.m_Losses;
  if (Result == TaskResult::Ok || Result == TaskResult::Cancelled)
    m_Tasks.erase(Key);
  else
    m_ForgetTimes.push(std::max(T->m_Request.m_Deadline, Now),
                       {Key, T->m_Attempt});
  return true;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::recordRunTime(TimePoint Now, const Task &T,
                                         TaskResult Result) {
  WorkModel &Work = m_Services[T.m_Service].m_Work;
  double RunMs = millisecondsBetween(T.m_StartedAt, Now);
  WorkEstimate Estimate = Work.estimate(Now, T.m_Request.m_Kind);
  double MedianMs = Estimate.m_MedianMs;
  if (Result == TaskResult::Ok) {
    m_Endpoints[T.m_Endpoint]->m_Record.estimate().record(
        RunMs, Estimate.m_GeometricMeanMs, m_Parameters.m_SpeedSmoothing);
    Work.record(Now, T.m_Request.m_Kind, RunMs);
  }
  // A task that was cancelled after more than the median run time would have
  // run even longer. Ignoring such tasks would bias the estimate towards short
  // runs.
  if (Result == TaskResult::Cancelled && MedianMs > 0 && RunMs > MedianMs)
    Work.recordUnfinished(Now, T.m_Request.m_Kind, RunMs);
}

template <PlacementPolicy Placement>
absl::Status Scheduler<Placement>::requeue(TimePoint Now, TaskKey Key) {
  auto It = m_Tasks.find(Key);
  if (It == m_Tasks.end() || It->second.m_Phase != Phase::Ended)
    return makeFailure(FailureCode::UnknownSubmission,
                       "the task is unknown or has not ended");
  Task &T = It->second;
  Service &S = m_Services[T.m_Service];
  absl::Status Status;
  LossLimits Limits;
  Limits.m_MaxLosses = static_cast<std::uint32_t>(m_Parameters.m_MaxLosses);
  if (Limits.areReached(T.m_Losses))
    Status = makeFailure(FailureCode::TaskFailed,
                         "the connection to the endpoint broke in "
                         "policy.max_losses attempts of the task");
  else if (T.m_Request.m_Deadline <= Now)
    Status = makeFailure(FailureCode::Timeout,
                         "the deadline passed before the retry");
  else if (T.m_Result != TaskResult::RefusedNotStarted &&
           !S.m_RetryBudget.tryWithdraw())
    Status = makeFailure(FailureCode::Overloaded,
                         "the retry budget of the service is exhausted");
  if (!Status.ok()) {
    m_Tasks.erase(Key);
    return Status;
  }
  T.m_IsRetry = true;
  enqueue(Now, T, true);
  return Status;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::forget(TaskKey Key) {
  auto It = m_Tasks.find(Key);
  if (It != m_Tasks.end() && It->second.m_Phase == Phase::Ended)
    m_Tasks.erase(Key);
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::tick(TimePoint Now) {
  m_Now = Now;
  while (std::optional<AttemptId> Due = m_Demotions.popDue(Now))
    demote(Now, *Due);
  while (std::optional<std::size_t> Index = m_Refreshes.popDue(Now))
    refreshEndpoint(Now, *Index);
  while (std::optional<AttemptId> Due = m_ForgetTimes.popDue(Now)) {
    auto It = m_Tasks.find(Due->m_Key);
    if (It != m_Tasks.end() && It->second.m_Attempt == Due->m_Attempt)
      forget(Due->m_Key);
  }
  forgetStaleWork(Now);
}

template <PlacementPolicy Placement>
std::optional<TimePoint> Scheduler<Placement>::nextEvent() const {
  std::optional<TimePoint> Next;
  for (std::optional<TimePoint> At : {m_Demotions.next(), m_Refreshes.next(),
                                      m_ForgetTimes.next(), m_Expiries.next()})
    if (At && (!Next || *At < *Next))
      Next = At;
  return Next;
}

/// Schedules the check whether a running short task has reached the short
/// limit. While no limit is known the check is repeated every
/// m_MinShortLimitMs.
template <PlacementPolicy Placement>
void Scheduler<Placement>::scheduleDemotion(TimePoint Now, const Task &T) {
  double LimitMs = m_Services[T.m_Service].m_Work.shortLimitMs();
  TimePoint At = std::isfinite(LimitMs)
                     ? addMs(T.m_StartedAt, LimitMs)
                     : addMs(Now, m_Parameters.m_MinShortLimitMs);
  constexpr auto MinDelay = std::chrono::milliseconds(1);
  m_Demotions.push(std::max(At, Now + MinDelay),
                   {T.m_Request.m_Key, T.m_Attempt});
}

/// Removes stale kinds of work, at most once per half-life.
template <PlacementPolicy Placement>
void Scheduler<Placement>::forgetStaleWork(TimePoint Now) {
  double SinceMs = millisecondsBetween(m_StaleCheckedAt, Now);
  if (SinceMs < m_Parameters.m_RunTimeHalfLifeMs)
    return;
  m_StaleCheckedAt = Now;
  for (Service &S : m_Services)
    S.m_Work.forgetStale(Now);
}

/// Changes a running task from short to long if it has reached the short limit.
template <PlacementPolicy Placement>
void Scheduler<Placement>::demote(TimePoint Now, const AttemptId &Id) {
  Task *T = findRunning(Id.m_Key);
  if (!T || T->m_Attempt != Id.m_Attempt || T->m_Class == TaskClass::Long)
    return;
  Service &S = m_Services[T->m_Service];
  double RunMs = millisecondsBetween(T->m_StartedAt, Now);
  if (RunMs < S.m_Work.shortLimitMs()) {
    scheduleDemotion(Now, *T);
    return;
  }
  T->m_Class = TaskClass::Long;
  ++S.m_RunningLong;
  S.m_Work.recordUnfinished(Now, T->m_Request.m_Kind, RunMs);
  EndpointRecord &Record = m_Endpoints[T->m_Endpoint]->m_Record;
  Record.demote();
  reindex(Now, T->m_Endpoint);
  recordEvent(PolicyEventKind::Demoted, Record.address(), Id.m_Key);
}

template <PlacementPolicy Placement>
template <std::uniform_random_bit_generator Rng>
void Scheduler<Placement>::nextPlacements(TimePoint Now, Rng &Random,
                                          std::vector<PlacementDecision> &Out) {
  tick(Now);
  for (Service &S : m_Services)
    while (placeOne(Now, S, Random, Out)) {
    }
}

/// Calls placeOfClass() for the class with priority and, if it does nothing,
/// for the other class. Returns false if it does nothing for either class.
template <PlacementPolicy Placement>
template <typename Rng>
bool Scheduler<Placement>::placeOne(TimePoint Now, Service &S, Rng &Random,
                                    std::vector<PlacementDecision> &Out) {
  bool LongFirst = S.longHasPriority(m_Parameters);
  TaskClass First = LongFirst ? TaskClass::Long : TaskClass::Short;
  TaskClass Second = LongFirst ? TaskClass::Short : TaskClass::Long;
  std::size_t Before = Out.size();
  bool Placed = placeOfClass(Now, S, First, Random, Out) ||
                placeOfClass(Now, S, Second, Random, Out);
  if (LongFirst && Out.size() > Before &&
      Out.back().m_Class == TaskClass::Long &&
      Out.back().m_Reason == PlacementReason::Policy)
    Out.back().m_Reason = PlacementReason::GuaranteedLong;
  return Placed;
}

/// Starts one task of a class, or removes one that has expired or belongs to
/// the other class. Returns false if neither is possible.
template <PlacementPolicy Placement>
template <typename Rng>
bool Scheduler<Placement>::placeOfClass(TimePoint Now, Service &S,
                                        TaskClass Class, Rng &Random,
                                        std::vector<PlacementDecision> &Out) {
  FairQueue &Q = S.queue(Class);
  if (Q.empty() || S.freeEndpoints(Class).size() == 0)
    return false;
  Task &First = m_Tasks.find(Q.front())->second;
  if (expireOrReclassify(Now, S, First) || tryStart(Now, S, First, Random, Out))
    return true;
  for (TaskKey Key : Q.heads(MaxHeadsTried)) {
    Task &T = m_Tasks.find(Key)->second;
    if (expireOrReclassify(Now, S, T) || tryStart(Now, S, T, Random, Out))
      return true;
  }
  return false;
}

/// Removes a queued task that can no longer meet its deadline, or moves the
/// task to the queue of the other class if its kind was reclassified. Returns
/// whether the task left its queue.
template <PlacementPolicy Placement>
bool Scheduler<Placement>::expireOrReclassify(TimePoint Now, Service &S,
                                              Task &T) {
  if (T.m_LatestStart <= Now) {
    markExpired(T);
    return true;
  }
  WorkEstimate Estimate = S.m_Work.estimate(Now, T.m_Request.m_Kind);
  if (Estimate.m_Class == T.m_Class)
    return false;
  S.queue(T.m_Class).erase(T.m_Handle);
  T.m_Class = Estimate.m_Class;
  T.m_Handle = S.queue(T.m_Class).push(T.m_Team, T.m_Request.m_Key,
                                       detail::costMs(Estimate));
  return true;
}

/// Returns whether a task excludes an endpoint. Exclusions are ignored if there
/// are at least as many of them as usable endpoints.
template <PlacementPolicy Placement>
bool Scheduler<Placement>::isExcluded(const Service &S, const Task &T,
                                      std::size_t Index) const {
  const std::vector<std::string> &Excluded = T.m_Request.m_Excluded;
  if (Excluded.empty() || Excluded.size() >= S.m_UsableEndpoints)
    return false;
  const std::string &Address = m_Endpoints[Index]->m_Record.address();
  return std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end();
}

template <PlacementPolicy Placement>
template <typename Rng>
bool Scheduler<Placement>::tryStart(TimePoint Now, Service &S, Task &T,
                                    Rng &Random,
                                    std::vector<PlacementDecision> &Out) {
  auto Accepts = [&](std::size_t Index) { return !isExcluded(S, T, Index); };
  std::optional<PlacementChoice> Choice =
      S.freeEndpoints(T.m_Class).choose(Random, Accepts);
  if (!Choice)
    return false;
  Out.push_back(makeDecision(Now, S, T, *Choice));
  start(Now, S, T, Choice->m_Endpoint, Out.back());
  return true;
}

template <PlacementPolicy Placement>
PlacementDecision
Scheduler<Placement>::makeDecision(TimePoint Now, Service &S, const Task &T,
                                   const PlacementChoice &Choice) const {
  double MeanMs = S.m_Work.estimate(Now, T.m_Request.m_Kind).m_MeanMs;
  const EndpointRecord &Chosen = m_Endpoints[Choice.m_Endpoint]->m_Record;
  PlacementDecision Decision;
  Decision.m_Task = T.m_Request.m_Key;
  Decision.m_Endpoint = Chosen.address();
  Decision.m_Class = T.m_Class;
  Decision.m_Policy = placementName(S.freeEndpoints(T.m_Class));
  Decision.m_ExpectedMs = MeanMs * Chosen.estimate().slowness();
  Decision.m_WaitedMs = millisecondsBetween(T.m_QueuedAt, Now);
  Decision.m_Candidates = S.freeEndpoints(T.m_Class).size();
  if (Choice.m_Rejected) {
    const EndpointRecord &Other = m_Endpoints[*Choice.m_Rejected]->m_Record;
    Decision.m_Rejected = Other.address();
    Decision.m_RejectedExpectedMs = MeanMs * Other.estimate().slowness();
  }
  return Decision;
}

template <PlacementPolicy Placement>
void Scheduler<Placement>::start(TimePoint Now, Service &S, Task &T,
                                 std::size_t Index,
                                 PlacementDecision &Decision) {
  S.queue(T.m_Class).serve(T.m_Handle);
  --m_Teams[T.m_Team].m_Queued;
  --m_Queued;
  ++m_Running;
  ++S.m_Running;
  S.m_RunningLong += T.m_Class == TaskClass::Long;
  S.m_LastStartWasLong = T.m_Class == TaskClass::Long;
  if (!T.m_IsRetry)
    S.m_RetryBudget.deposit();
  T.m_Phase = Phase::Running;
  T.m_StartedAt = Now;
  T.m_Endpoint = Index;
  EndpointRecord &Record = m_Endpoints[Index]->m_Record;
  T.m_Request.m_Excluded.push_back(Record.address());
  if (Record.start(T.m_Request.m_Key, T.m_Class))
    Decision.m_Reason = PlacementReason::Probe;
  reindex(Now, Index);
  if (T.m_Class == TaskClass::Short)
    scheduleDemotion(Now, T);
}

} // namespace auburnhub

#endif
