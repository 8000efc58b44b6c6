#include "TaskRunner.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr std::size_t MaxCallThreads = 1024;
constexpr double MsPerSecond = 1000;

double secondsSince(MonotonicTime Begin) {
  return std::chrono::duration<double>(TimerService::now() - Begin).count();
}

Milliseconds timeLeft(MonotonicTime Deadline) {
  return std::chrono::duration_cast<Milliseconds>(Deadline -
                                                  TimerService::now());
}

TaskResult policyResult(CallEnd End) {
  switch (End) {
  case CallEnd::Done:
    return TaskResult::Ok;
  case CallEnd::TaskFailed:
  case CallEnd::Broken:
    return TaskResult::Failed;
  case CallEnd::NotStarted:
    return TaskResult::RefusedNotStarted;
  case CallEnd::Lost:
    return TaskResult::Lost;
  }
  return TaskResult::Lost;
}

std::string_view chartEvent(CallEnd End) {
  switch (End) {
  case CallEnd::Done:
    return "done";
  case CallEnd::TaskFailed:
    return "task_failed";
  case CallEnd::NotStarted:
    return "not_started";
  case CallEnd::Broken:
    return "broken";
  case CallEnd::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace

StateChart::Vocabulary TaskRunner::vocabulary() {
  return {{"has_time_left", "may_repeat"},
          {"call_endpoint", "remove_from_queue", "refuse_submission",
           "fail_submission", "note_end", "forget", "requeue", "store_result"}};
}

TaskRunner::TaskRunner(SerialTask &Owner, SubmissionTable &Submissions,
                       MetricsRegistry &Metrics, StateChart Chart,
                       std::string IncarnationText, Events Reports)
    : m_Owner(Owner), m_Submissions(Submissions), m_Chart(std::move(Chart)),
      m_IncarnationText(std::move(IncarnationText)),
      m_Reports(std::move(Reports)),
      m_Scheduler(PolicyParameters(), TimerService::now()),
      m_Caller(MaxCallThreads),
      m_Leaving(
          {[this](const std::string &Endpoint, bool Leaving) {
             onLeavingChanged(Endpoint, Leaving);
           },
           [this](const std::string &Endpoint) { m_Prober.ask(Endpoint); }}),
      m_Prober(Owner,
               [this](const std::string &Endpoint, bool TakesWork) {
                 m_Leaving.onAnswer(Endpoint, TakesWork);
                 pump();
               }),
      m_Starts(Metrics.counter("auburnhub_task_starts_total",
                               "Attempts to run a task that were sent.")),
      m_Retries(Metrics.counter("auburnhub_task_retries_total",
                                "Attempts after the first of a task.")),
      m_NotStarted(Metrics.counter("auburnhub_task_not_started_total",
                                   "Attempts that surely started nothing.")),
      m_Lost(Metrics.counter("auburnhub_task_lost_total",
                             "Attempts without an answer to trust.")),
      m_RunSeconds(Metrics.latency("auburnhub_task_run_seconds",
                                   "Time from placement to answer.")),
      m_WaitSeconds(Metrics.latency("auburnhub_task_wait_seconds",
                                    "Time from arrival to placement.")) {}

void TaskRunner::configure(const DispatchConfiguration &Configuration) {
  m_Scheduler.setParameters(TimerService::now(), Configuration.m_Policy);
  std::vector<TeamSpec> Teams;
  for (const auto &[Name, Team] : Configuration.m_Body.m_Teams)
    Teams.push_back({Name, static_cast<double>(Team.m_Weight),
                     static_cast<std::size_t>(Team.m_MaxQueued)});
  m_Scheduler.setTeams(Teams);
}

void TaskRunner::setEndpoints(const std::vector<EndpointSpec> &Owned,
                              const std::map<std::string, int> &Expected) {
  MonotonicTime Now = TimerService::now();
  m_Scheduler.setEndpoints(Now, Owned);
  std::set<std::string> Addresses;
  for (const EndpointSpec &Item : Owned)
    Addresses.insert(Item.m_Address);
  m_Leaving.setEndpoints(Addresses);
  for (const auto &[Service, Slots] : Expected)
    m_Scheduler.setExpectedSlots(Now, Service, Slots);
  pump();
}

void TaskRunner::onLeavingChanged(const std::string &Endpoint, bool Leaving) {
  MonotonicTime Now = TimerService::now();
  if (Leaving)
    m_Scheduler.markLeaving(Now, Endpoint);
  else
    m_Scheduler.clearLeaving(Now, Endpoint);
  m_Log.info(Leaving ? "endpoint_leaving" : "endpoint_takes_work",
             {{"endpoint", Endpoint}});
}

Admission TaskRunner::admit(Submission &Added) {
  std::vector<TaskRequest> Requests;
  Added.m_Tasks.resize(Added.m_Bodies.size());
  for (SubmissionTask &Task : Added.m_Tasks) {
    Task.m_Key = ++m_LastKey;
    Task.m_State = m_Chart.initial();
    Requests.push_back({Task.m_Key,
                        Added.m_Team,
                        Added.m_Service,
                        Added.m_Kind,
                        Added.m_Deadline,
                        {}});
  }
  Admission Result = m_Scheduler.admit(TimerService::now(), Requests, m_Random);
  if (!Result.ok()) {
    Added.m_Tasks.clear();
    return Result;
  }
  Added.m_TasksLeft = Added.m_Tasks.size();
  Added.m_Results.resize(Added.m_Tasks.size());
  for (std::size_t I = 0; I != Added.m_Tasks.size(); ++I)
    m_Tasks[Added.m_Tasks[I].m_Key] = {Added.m_Id, I};
  return Result;
}

void TaskRunner::cancel(Submission &Over) {
  for (std::size_t I = 0; I != Over.m_Tasks.size(); ++I) {
    Happening What{Over, I, Over.m_Tasks[I].m_Key, nullptr, nullptr, {}};
    fire(What, "cancelled");
  }
}

void TaskRunner::pump() {
  MonotonicTime Now = TimerService::now();
  for (TaskKey Key : m_Scheduler.expire(Now)) {
    std::optional<Happening> Storage;
    Happening *What = findTask(Key, Storage);
    if (!What)
      continue;
    What->m_Failure =
        makeFailure(FailureCode::Overloaded,
                    "it cannot be done within the caller's timeout");
    fire(*What, "expired");
  }
  m_Decisions.clear();
  m_Scheduler.nextPlacements(Now, m_Random, m_Decisions);
  std::vector<PlacementDecision> Decisions = std::move(m_Decisions);
  for (const PlacementDecision &Decision : Decisions) {
    std::optional<Happening> Storage;
    Happening *What = findTask(Decision.m_Task, Storage);
    if (!What)
      continue;
    What->m_Decision = &Decision;
    fire(*What, "placed");
  }
  m_Decisions = std::move(Decisions);
  logPolicyEvents();
}

TaskRunner::Happening *TaskRunner::findTask(TaskKey Key,
                                            std::optional<Happening> &Storage) {
  auto Place = m_Tasks.find(Key);
  if (Place == m_Tasks.end())
    return nullptr;
  Submission *Owner = m_Submissions.find(Place->second.m_Submission);
  if (!Owner)
    return nullptr;
  Storage.emplace(
      Happening{*Owner, Place->second.m_Index, Key, nullptr, nullptr, {}});
  return &*Storage;
}

void TaskRunner::fire(Happening &What, std::string_view Event) {
  SubmissionTask &Task = What.m_Submission.m_Tasks[What.m_Index];
  auto EventId = m_Chart.findEvent(Event);
  const StateChart::Transition *Taken =
      m_Chart.next(Task.m_State, *EventId,
                   [&](std::string_view Guard) { return holds(What, Guard); });
  if (!Taken)
    return;
  Task.m_State = Taken->m_To;
  TaskKey Key = What.m_Key;
  bool IsOver = m_Chart.isFinal(Taken->m_To);
  for (const std::string &Action : Taken->m_Actions)
    act(What, Action);
  // The actions may have removed the submission; only the key is safe now.
  if (IsOver)
    m_Tasks.erase(Key);
}

bool TaskRunner::holds(const Happening &What, std::string_view Guard) const {
  const Submission &Owner = What.m_Submission;
  bool HasTime = TimerService::now() < Owner.m_Deadline;
  if (Guard == "has_time_left")
    return HasTime;
  if (Guard == "may_repeat")
    return HasTime && Owner.m_Repeatable;
  return false;
}

void TaskRunner::act(Happening &What, std::string_view Action) {
  if (Action == "call_endpoint")
    callEndpoint(What);
  else if (Action == "remove_from_queue")
    m_Scheduler.cancel(What.m_Key);
  else if (Action == "note_end")
    noteEnd(What);
  else if (Action == "forget")
    m_Scheduler.forget(What.m_Key);
  else if (Action == "requeue")
    requeue(What);
  else if (Action == "store_result")
    storeResult(What);
  else if (Action == "refuse_submission")
    m_Reports.m_TaskFailed(What.m_Submission, What.m_Failure,
                           CallEnd::NotStarted);
  else if (Action == "fail_submission")
    m_Reports.m_TaskFailed(
        What.m_Submission,
        What.m_Reply ? What.m_Reply->m_Failure : What.m_Failure,
        What.m_Reply ? What.m_Reply->m_End : CallEnd::NotStarted);
}

void TaskRunner::callEndpoint(Happening &What) {
  Submission &Owner = What.m_Submission;
  SubmissionTask &Task = Owner.m_Tasks[What.m_Index];
  const PlacementDecision &Decision = *What.m_Decision;
  ++Task.m_Attempt;
  ++Owner.m_MayHaveStarted;
  ++Owner.m_InProgress;
  Task.m_Endpoint = Decision.m_Endpoint;
  Task.m_PlacedAt = TimerService::now();
  m_Starts.add();
  if (Task.m_Attempt > 1)
    m_Retries.add();
  m_WaitSeconds.add(Decision.m_WaitedMs / MsPerSecond);

  EndpointCall Call;
  Call.m_Endpoint = *parseAddress(Decision.m_Endpoint);
  Call.m_Service = Owner.m_Service;
  Call.m_Submission = Owner.m_Id;
  Call.m_Task = What.m_Index;
  Call.m_Attempt = Task.m_Attempt;
  Call.m_CallId = m_IncarnationText + "-" + std::to_string(++m_LastCall);
  Call.m_Body = Owner.m_Bodies[What.m_Index].m_Data;
  Call.m_Timeout = timeLeft(Owner.m_Deadline);
  m_Log.info("placed",
             {{"submission", Owner.m_Id.str()},
              {"task", What.m_Index},
              {"attempt", Task.m_Attempt},
              {"call", Call.m_CallId},
              {"service", Owner.m_Service},
              {"team", Owner.m_Team},
              {"endpoint", Decision.m_Endpoint},
              {"reason", placementReasonName(Decision.m_Reason)},
              {"policy", Decision.m_Policy},
              {"class", taskClassName(Decision.m_Class)},
              {"expected_ms", Decision.m_ExpectedMs},
              {"waited_ms", Decision.m_WaitedMs},
              {"candidates", Decision.m_Candidates},
              {"rejected", Decision.m_Rejected},
              {"rejected_expected_ms", Decision.m_RejectedExpectedMs}});
  m_Caller.start(
      std::move(Call),
      [this, Key = What.m_Key, Attempt = Task.m_Attempt](EndpointReply Reply) {
        m_Owner.post([this, Key, Attempt, Reply = std::move(Reply)]() mutable {
          onReply(Key, Attempt, std::move(Reply));
        });
      });
}

void TaskRunner::stop() {
  m_Prober.stop();
  m_Caller.stop();
}

void TaskRunner::onReply(TaskKey Key, int Attempt, EndpointReply Reply) {
  std::optional<Happening> Storage;
  Happening *What = findTask(Key, Storage);
  if (!What) {
    releaseSlot(Key, Reply.m_End);
    return;
  }
  if (What->m_Submission.m_Tasks[What->m_Index].m_Attempt != Attempt)
    return;
  const SubmissionTask &Task = What->m_Submission.m_Tasks[What->m_Index];
  if (Reply.m_Leaving && m_Leaving.noteSaid(Task.m_Endpoint))
    m_Reports.m_EndpointLeaves(Task.m_Endpoint);
  nlohmann::json Fields = {
      {"submission", What->m_Submission.m_Id.str()},
      {"task", What->m_Index},
      {"attempt", Attempt},
      {"endpoint", Task.m_Endpoint},
      {"result", chartEvent(Reply.m_End)},
      {"run_ms", secondsSince(Task.m_PlacedAt) * MsPerSecond}};
  if (!Reply.m_Failure.ok())
    Fields["detail"] = failureDetail(Reply.m_Failure);
  m_Log.info("task_finished", std::move(Fields));
  What->m_Reply = &Reply;
  fire(*What, chartEvent(Reply.m_End));
  pump();
}

void TaskRunner::releaseSlot(TaskKey Key, CallEnd End) {
  m_Scheduler.finishTask(TimerService::now(), Key, policyResult(End));
  m_Scheduler.forget(Key);
  m_Tasks.erase(Key);
  pump();
}

void TaskRunner::noteEnd(Happening &What) {
  CallEnd End = What.m_Reply->m_End;
  const SubmissionTask &Task = What.m_Submission.m_Tasks[What.m_Index];
  --What.m_Submission.m_InProgress;
  if (End == CallEnd::NotStarted) {
    --What.m_Submission.m_MayHaveStarted;
    m_NotStarted.add();
  }
  if (End == CallEnd::Lost)
    m_Lost.add();
  m_RunSeconds.add(secondsSince(Task.m_PlacedAt));
  m_Scheduler.finishTask(TimerService::now(), What.m_Key, policyResult(End));
}

void TaskRunner::requeue(Happening &What) {
  absl::Status Queued = m_Scheduler.requeue(TimerService::now(), What.m_Key);
  const SubmissionTask &Task = What.m_Submission.m_Tasks[What.m_Index];
  if (Queued.ok()) {
    m_Log.info("retry", {{"submission", What.m_Submission.m_Id.str()},
                         {"task", What.m_Index},
                         {"attempt", Task.m_Attempt},
                         {"endpoint", Task.m_Endpoint},
                         {"cause", chartEvent(What.m_Reply->m_End)}});
    return;
  }
  What.m_Reply->m_Failure = Queued;
  fire(What, "requeue_refused");
}

void TaskRunner::storeResult(Happening &What) {
  Submission &Owner = What.m_Submission;
  Owner.m_Results[What.m_Index].m_Data = std::move(What.m_Reply->m_Result);
  --Owner.m_TasksLeft;
  m_Reports.m_TaskDone(Owner);
}

void TaskRunner::logPolicyEvents() {
  for (const PolicyEvent &Event : m_Scheduler.takeEvents()) {
    nlohmann::json Fields = {{"endpoint", Event.m_Endpoint}};
    auto Place = m_Tasks.find(Event.m_Task);
    if (Place != m_Tasks.end()) {
      Fields["submission"] = Place->second.m_Submission.str();
      Fields["task"] = Place->second.m_Index;
    }
    m_Log.info(policyEventName(Event.m_Kind), std::move(Fields));
  }
}

} // namespace auburnhub
