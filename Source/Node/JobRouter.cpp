#include "auburnhub/Node/JobRouter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// Fraction of its latency objective that a job may wait for an owner. A caller
/// that is refused later would have been better served elsewhere. Beyond it,
/// the job is sent to a further owner only if that one is known to have free
/// capacity.
constexpr double OwnerWaitShare = 0.2;

/// Minimum time that a job may wait for an owner, in milliseconds.
constexpr double MinOwnerWaitMs = 5;

/// Time reserved for sending the answer to the caller, in milliseconds.
constexpr double ReplyMarginMs = 10;

/// Time that an owner's answer may be late before the call is abandoned here,
/// in milliseconds.
constexpr double OwnerGraceMs = 5;

/// Retry delay for a refused caller, in milliseconds.
constexpr double RetryAfterMs = 1000;

} // namespace

JobRouter::JobRouter(EventLoop &Loop, std::string DataCentre,
                     CallNumbers Numbers, MetricsRegistry &Metrics,
                     RouterEffects Effects)
    : m_Loop(Loop), m_Effects(std::move(Effects)),
      m_Owners(std::move(DataCentre)), m_Numbers(Numbers), m_Metrics(Metrics),
      m_Latency(Metrics.latency("auburnhub_job_seconds",
                                "From receipt of a job to its answer")) {}

void JobRouter::ownerUp(const std::string &Name,
                        const std::string &DataCentre) {
  if (m_Owners.put(Name, DataCentre))
    routeWaiting();
}

void JobRouter::updateOwnerLoad(const std::string &Name,
                                std::uint64_t FreeSlots,
                                std::uint64_t WaitingTasks) {
  m_Owners.setLoad(Name, FreeSlots, WaitingTasks);
}

void JobRouter::ownerClosed(const std::string &Name) { m_Owners.erase(Name); }

void JobRouter::ownerLost(const std::string &Name) {
  m_Owners.erase(Name);
  std::vector<std::uint64_t> Lost;
  for (const auto &[Id, OpenCall] : m_Calls)
    if (OpenCall.m_Owner == Name)
      Lost.push_back(Id);
  for (std::uint64_t Id : Lost)
    finish(Id, {JobOutcome::Abandoned, JobReason::OwnerLost, 0});
}

std::uint64_t JobRouter::submit(JobRequest Job, Done Answer,
                                IsConnected IsCallerConnected) {
  std::uint64_t Id = m_Numbers.next();
  Call &OpenCall = m_Calls[Id];
  OpenCall.m_ReceivedAt = EventLoop::now();
  OpenCall.m_Done = std::move(Answer);
  OpenCall.m_IsCallerConnected = std::move(IsCallerConnected);
  double LongestStepMs = 0;
  for (const JobStep &Step : Job.m_Steps) {
    LongestStepMs = std::max(LongestStepMs, Step.m_EstimatedMs);
    OpenCall.m_TaskCount += Step.m_Count;
  }
  double LatencyObjectiveMs =
      Job.m_Policy.m_Stretch * LongestStepMs + Job.m_Policy.m_TargetLatencyMs;
  OpenCall.m_OwnerWaitUntil =
      addMs(OpenCall.m_ReceivedAt,
            std::max(MinOwnerWaitMs, OwnerWaitShare * LatencyObjectiveMs));
  OpenCall.m_StartUntil =
      addMs(OpenCall.m_ReceivedAt, LatencyObjectiveMs - LongestStepMs);
  OpenCall.m_Job = std::move(Job);
  m_ById[OpenCall.m_Job.m_Id] = Id;
  if (!m_Effects.m_FitsRegisteredWorkers(OpenCall.m_Job)) {
    finish(Id, {JobOutcome::Failed, JobReason::NeverFits, 0});
    return Id;
  }
  route(Id);
  return Id;
}

void JobRouter::route(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  Call &OpenCall = Found->second;
  if (!OpenCall.m_IsCallerConnected()) {
    callerDisconnected(Id);
    return;
  }
  std::optional<OwnerTable::Choice> Chosen = m_Owners.chooseForJob(
      OpenCall.m_Job.m_Id, OpenCall.m_TaskCount, OpenCall.m_TriedOwners);
  TimePoint Now = EventLoop::now();
  if (!Chosen) {
    bool CanWait = OpenCall.m_TriedOwners.empty() &&
                   Now < OpenCall.m_OwnerWaitUntil && !m_AllEvacuated;
    if (!CanWait) {
      // The retry delay of a forecast is better than a constant one.
      bool HasForecast =
          OpenCall.m_LastRefusal && !m_AllEvacuated &&
          OpenCall.m_LastRefusal->m_Reason == JobReason::WouldBeLate;
      finish(Id, HasForecast
                     ? JobResult(*OpenCall.m_LastRefusal)
                     : JobResult{JobOutcome::NotRun, noOwnerReason(OpenCall),
                                 RetryAfterMs});
      return;
    }
    auto Delay =
        std::chrono::ceil<EventLoop::Duration>(OpenCall.m_OwnerWaitUntil - Now);
    OpenCall.m_Timer = m_Loop.once(Delay, [this, Id] {
      auto Waiting = m_Calls.find(Id);
      if (Waiting != m_Calls.end() && Waiting->second.m_Owner.empty())
        route(Id);
    });
    return;
  }
  const std::string Owner = Chosen->m_Owner;
  m_Owners.addSentTasks(Owner, OpenCall.m_TaskCount);
  const OwnerTable::Owner &OwnerState = m_Owners.at(Owner);
  OpenCall.m_Owner = Owner;
  OpenCall.m_TriedOwners.insert(Owner);
  startDeadlineTimer(Id, OpenCall);
  JobRequest Job = OpenCall.m_Job;
  Job.m_MayWait = Chosen->m_MayWait;
  Job.m_TimeLeftMs -=
      millisecondsBetween(OpenCall.m_ReceivedAt, Now) + ReplyMarginMs;
  m_Log.info("job_routed",
             {{"job", Job.m_Id},
              {"queue", Job.m_Policy.m_Queue},
              {"owner", Owner},
              {"tasks", OpenCall.m_TaskCount},
              {"free_slots", OwnerState.m_FreeSlots},
              {"waiting_tasks", OwnerState.m_WaitingTasks},
              {"sent_since", OwnerState.m_TasksSentSinceLoad},
              {"taken_by_others", std::round(OwnerState.m_TakenByOthers)},
              {"may_wait", Job.m_MayWait},
              {"owners", m_Owners.size()},
              {"time_left_ms", std::round(Job.m_TimeLeftMs)}});
  // m_Submit may answer before it returns, which destroys OpenCall.
  m_Effects.m_Submit(Owner, Id, Job);
}

JobReason JobRouter::noOwnerReason(const Call &OpenCall) const {
  if (m_AllEvacuated)
    return JobReason::Evacuated;
  return OpenCall.m_TriedOwners.empty() ? JobReason::NoOwner
                                        : JobReason::NoRoom;
}

void JobRouter::setAllEvacuated(bool Value) {
  if (!std::exchange(m_AllEvacuated, Value) && Value)
    routeWaiting();
}

void JobRouter::startDeadlineTimer(std::uint64_t Id, Call &OpenCall) {
  TimePoint Deadline =
      addMs(OpenCall.m_ReceivedAt,
            OpenCall.m_Job.m_TimeLeftMs - ReplyMarginMs + OwnerGraceMs);
  auto Delay = std::max(
      EventLoop::Duration(0),
      std::chrono::ceil<EventLoop::Duration>(Deadline - EventLoop::now()));
  OpenCall.m_Timer = m_Loop.once(Delay, [this, Id] {
    auto Found = m_Calls.find(Id);
    if (Found == m_Calls.end())
      return;
    m_Effects.m_Cancel(Found->second.m_Owner, Id, Found->second.m_Job.m_Id);
    finish(Id, {JobOutcome::Abandoned, JobReason::TimedOut, 0});
  });
}

void JobRouter::routeWaiting() {
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Id, OpenCall] : m_Calls)
    if (OpenCall.m_Owner.empty())
      Waiting.push_back(Id);
  for (std::uint64_t Id : Waiting)
    route(Id);
}

void JobRouter::answered(const std::string &Owner, const JobAnswer &Answer) {
  auto Found = m_Calls.find(Answer.m_Call);
  if (Found == m_Calls.end())
    return;
  Call &OpenCall = Found->second;
  bool IsForJob = Answer.m_Job.empty() || Answer.m_Job == OpenCall.m_Job.m_Id;
  if (Owner != OpenCall.m_Owner || !IsForJob) {
    m_Log.info("answer_ignored",
               {{"call", Answer.m_Call},
                {"job", Answer.m_Job},
                {"owner", Owner},
                {"outcome", jobOutcomeName(Answer.m_Outcome)}});
    return;
  }
  updateOwnerLoad(OpenCall.m_Owner, Answer.m_FreeSlots, Answer.m_WaitingTasks);
  if (Answer.m_Outcome == JobOutcome::NotRun &&
      Answer.m_Reason != JobReason::Cancelled && !Answer.m_HasEarlierRuns &&
      mayTryNextOwner(OpenCall)) {
    if (Answer.m_Reason == JobReason::Stopping ||
        Answer.m_Reason == JobReason::NoOwner)
      ownerClosed(OpenCall.m_Owner);
    OpenCall.m_Owner.clear();
    OpenCall.m_LastRefusal = {Answer.m_Outcome, Answer.m_Reason,
                              Answer.m_RetryAfterMs};
    route(Answer.m_Call);
    return;
  }
  finish(Answer.m_Call,
         {Answer.m_Outcome, Answer.m_Reason, Answer.m_RetryAfterMs});
}

bool JobRouter::mayTryNextOwner(const Call &OpenCall) const {
  TimePoint Now = EventLoop::now();
  if (Now < OpenCall.m_OwnerWaitUntil)
    return true;
  return Now < OpenCall.m_StartUntil &&
         m_Owners.hasCapacityFor(OpenCall.m_TaskCount, OpenCall.m_TriedOwners);
}

void JobRouter::callerDisconnected(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  m_Log.info("caller_left",
             {{"job", Found->second.m_Job.m_Id},
              {"owner", Found->second.m_Owner},
              {"since_received_ms",
               std::round(millisecondsBetween(Found->second.m_ReceivedAt,
                                              EventLoop::now()))}});
  Found->second.m_Done = nullptr;
  if (!Found->second.m_Owner.empty())
    m_Effects.m_Cancel(Found->second.m_Owner, Id, Found->second.m_Job.m_Id);
  finish(Id, {JobOutcome::Abandoned, JobReason::Cancelled, 0});
}

bool JobRouter::cancel(const std::string &Job) {
  auto Found = m_ById.find(Job);
  if (Found == m_ById.end())
    return false;
  std::uint64_t Id = Found->second;
  const std::string Owner = m_Calls.at(Id).m_Owner;
  if (!Owner.empty())
    m_Effects.m_Cancel(Owner, Id, Job);
  finish(Id, {Owner.empty() ? JobOutcome::NotRun : JobOutcome::Abandoned,
              JobReason::Cancelled, Owner.empty() ? RetryAfterMs : 0});
  return true;
}

void JobRouter::checkCallers() {
  std::vector<std::uint64_t> Left;
  for (const auto &[Id, OpenCall] : m_Calls)
    if (!OpenCall.m_IsCallerConnected())
      Left.push_back(Id);
  for (std::uint64_t Id : Left)
    callerDisconnected(Id);
}

std::map<std::string, std::vector<std::uint64_t>>
JobRouter::callsByOwner() const {
  std::map<std::string, std::vector<std::uint64_t>> Result;
  for (const auto &[Id, OpenCall] : m_Calls)
    if (!OpenCall.m_Owner.empty())
      Result[OpenCall.m_Owner].push_back(Id);
  return Result;
}

void JobRouter::abandonAllCalls() {
  while (!m_Calls.empty()) {
    auto First = m_Calls.begin();
    bool IsRouted = !First->second.m_Owner.empty();
    if (IsRouted)
      m_Effects.m_Cancel(First->second.m_Owner, First->first,
                         First->second.m_Job.m_Id);
    finish(First->first, {IsRouted ? JobOutcome::Abandoned : JobOutcome::NotRun,
                          JobReason::Stopping, RetryAfterMs});
  }
}

void JobRouter::finish(std::uint64_t Id, const JobResult &Result) {
  auto Extracted = m_Calls.extract(Id);
  if (Extracted.empty()) {
    m_Log.info("call_already_over",
               {{"call", Id}, {"outcome", jobOutcomeName(Result.m_Outcome)}});
    return;
  }
  Call OpenCall = std::move(Extracted.mapped());
  auto Known = m_ById.find(OpenCall.m_Job.m_Id);
  if (Known != m_ById.end() && Known->second == Id)
    m_ById.erase(Known);
  double TookMs = millisecondsBetween(OpenCall.m_ReceivedAt, EventLoop::now());
  m_Latency.add(TookMs / 1000);
  m_Metrics
      .counter("auburnhub_jobs_total", "Jobs by outcome",
               {{"outcome", std::string(jobOutcomeName(Result.m_Outcome))},
                {"reason", std::string(jobReasonName(Result.m_Reason))}})
      .add();
  m_Log.info("job_answered", {{"job", OpenCall.m_Job.m_Id},
                              {"queue", OpenCall.m_Job.m_Policy.m_Queue},
                              {"outcome", jobOutcomeName(Result.m_Outcome)},
                              {"reason", jobReasonName(Result.m_Reason)},
                              {"owner", OpenCall.m_Owner},
                              {"owners_tried", OpenCall.m_TriedOwners.size()},
                              {"took_ms", std::round(TookMs)}});
  if (OpenCall.m_Done)
    OpenCall.m_Done(Result);
}

} // namespace auburnhub
