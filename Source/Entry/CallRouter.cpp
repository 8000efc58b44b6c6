#include "CallRouter.h"

#include "CallerResponse.h"

namespace auburnhub {
namespace {

/// What an answer may take beyond the caller's timeout, so that the
/// dispatcher's own word on a timeout, which knows more, comes first.
constexpr Milliseconds AnswerGrace{250};
constexpr Milliseconds StatusPeriod{1000};
/// Bounds of Retry-After, spread so that refused callers do not come back
/// together.
constexpr std::int64_t ShortestRetryMs = 500;
constexpr std::int64_t LongestRetryMs = 2500;

Hello greetingOf(const ProcessContext &Context) {
  Hello Self;
  Self.m_Role = "entry";
  Self.m_Vm = Context.m_Common.m_Vm;
  Self.m_DataCentre = Context.m_Common.m_DataCentre;
  Self.m_Incarnation = Context.m_Incarnation;
  Self.m_HttpAddress = Context.m_Common.m_Http.str();
  return Self;
}

bool isSubmission(const CallerRequest &Request) {
  return Request.m_Action == CallerAction::Request ||
         Request.m_Action == CallerAction::Job;
}

std::string_view actionName(CallerAction Action) {
  switch (Action) {
  case CallerAction::Request:
    return "request";
  case CallerAction::Job:
    return "job";
  case CallerAction::Cancel:
    return "cancel";
  case CallerAction::MintTickets:
    return "mint_tickets";
  }
  return "";
}

bool isWorthRetrying(FailureCode Code) {
  return Code == FailureCode::ShuttingDown ||
         Code == FailureCode::NoConfiguration ||
         Code == FailureCode::NoDispatcher;
}

} // namespace

CallRouter::CallRouter(const ProcessContext &Context, Address Control)
    : m_Context(Context), m_Control(std::move(Control)), m_Task("entry"),
      m_Choice(Context.m_Common.m_Vm, Context.m_Common.m_DataCentre),
      m_Random(Context.m_Incarnation),
      m_WaitingGauge(
          Context.m_Metrics.gauge("auburnhub_entry_waiting_calls",
                                  "Calls that wait for a dispatcher's answer")),
      m_OffsetGauge(
          Context.m_Metrics.gauge("auburnhub_configuration_offset",
                                  "Offset of the configuration in force")),
      m_Mismatches(Context.m_Metrics.counter(
          "auburnhub_entry_answer_mismatches_total",
          "Answers refused because they fit no call sent to their sender")),
      m_LateAnswers(Context.m_Metrics.counter(
          "auburnhub_entry_late_answers_total",
          "Answers dropped because their call had been given up")),
      m_CutCalls(Context.m_Metrics.counter(
          "auburnhub_entry_cut_calls_total",
          "Calls answered as unknown because the drain time ended")),
      m_Hub(m_Task, Context.m_Timers, greetingOf(Context),
            LinkEvents{[this](PeerId Peer, const Hello &Greeting) {
                         onPeerUp(Peer, Greeting);
                       },
                       [this](PeerId Peer, const Hello &Greeting) {
                         onPeerDown(Peer, Greeting);
                       },
                       [this](PeerId Peer, const Envelope &Received) {
                         onReceived(Peer, Received);
                       }}) {
  m_OffsetGauge.set(-1);
}

CallRouter::~CallRouter() { stop(); }

void CallRouter::start() {
  m_Task.post([this] { m_Hub.keep(m_Control); });
  m_Context.m_Timers.every(StatusPeriod, m_Task, [this] { sendStatus(); });
}

std::future<CallResult> CallRouter::call(CallerRequest Request) {
  std::promise<CallResult> Promise;
  std::future<CallResult> Result = Promise.get_future();
  auto Shared = std::make_shared<const CallerRequest>(std::move(Request));
  m_Task.post([this, Shared = std::move(Shared), Promise = std::move(Promise),
               Received = TimerService::now()]() mutable {
    accept(std::move(Shared), Received, std::move(Promise));
  });
  return Result;
}

nlohmann::json CallRouter::status() {
  std::promise<nlohmann::json> Promise;
  std::future<nlohmann::json> Result = Promise.get_future();
  m_Task.post([this, Promise = std::move(Promise)]() mutable {
    Promise.set_value(describe());
  });
  try {
    return Result.get();
  } catch (const std::future_error &) {
    return {{"stopped", true}};
  }
}

void CallRouter::beginStop(std::function<void(bool)> Drained) {
  m_Task.post([this, Drained = std::move(Drained)]() mutable {
    m_Stopping = true;
    m_Drained = std::move(Drained);
    refreshReady();
    m_Context.m_Timers.once(m_Configuration.m_DrainTime, m_Task,
                            [this] { onDrainEnd(); });
    checkDrained(/*InTime=*/true);
  });
}

void CallRouter::stop() {
  m_Hub.stop();
  m_Task.post([this] {
    m_Stopping = true;
    failAll(m_Calls.calls(),
            {FailureCode::ShuttingDown,
             "the entry stopped before the answer came", Outcome::Unknown, 0});
  });
  m_Task.stop();
}

void CallRouter::accept(std::shared_ptr<const CallerRequest> Shared,
                        MonotonicTime Received,
                        std::promise<CallResult> Promise) {
  const CallerRequest &Request = *Shared;
  absl::Status Checked = check(Request);
  if (Checked.ok()) {
    absl::StatusOr<ChosenDispatcher> Chosen =
        m_Choice.choose(m_View, Request.m_Id, m_Random);
    if (Chosen.ok()) {
      WaitingCall Call;
      Call.m_Action = Request.m_Action;
      Call.m_Id = Request.m_Id;
      Call.m_Request = std::move(Shared);
      Call.m_Received = Received;
      Call.m_Done = [Promise = std::move(Promise)](CallReply Reply) mutable {
        Promise.set_value({std::move(Reply), true});
      };
      forward(std::move(Call), *Chosen);
      return;
    }
    Checked = Chosen.status();
  }
  m_RoutingLog.info(
      "refused",
      {{"submission", Request.m_Id.isNil() ? "" : Request.m_Id.str()},
       {"action", actionName(Request.m_Action)},
       {"service", Request.m_Service},
       {"team", Request.m_Team},
       {"reason", failureName(failureCode(Checked))},
       {"detail", failureDetail(Checked)}});
  bool IsKnown = m_Configuration.m_Services.contains(Request.m_Service);
  Promise.set_value({refusal(Request, Checked), IsKnown});
}

absl::Status CallRouter::check(const CallerRequest &Request) const {
  // A cancellation helps the drain.
  if (m_Stopping && Request.m_Action != CallerAction::Cancel)
    return makeFailure(FailureCode::ShuttingDown, "the entry is stopping");
  if (!m_Configuration.isKnown())
    return makeFailure(FailureCode::NoConfiguration,
                       "no configuration has been accepted yet");
  if (isSubmission(Request) &&
      !m_Configuration.m_Services.contains(Request.m_Service))
    return makeFailure(FailureCode::UnknownService,
                       "the configuration has no service \"" +
                           Request.m_Service + "\"");
  if (!m_Configuration.m_Teams.contains(Request.m_Team))
    return makeFailure(FailureCode::UnknownTeam,
                       "the configuration has no team \"" + Request.m_Team +
                           "\"");
  return absl::OkStatus();
}

CallFailure CallRouter::refusal(const CallerRequest &Request,
                                const absl::Status &Why) {
  std::uniform_int_distribution<std::int64_t> Spread(ShortestRetryMs,
                                                     LongestRetryMs);
  FailureCode Code = failureCode(Why);
  return {Code, failureDetail(Why), outcomeOfRefusal(Request.m_Id),
          isWorthRetrying(Code) ? Spread(m_Random) : 0};
}

void CallRouter::forward(WaitingCall Call, const ChosenDispatcher &Chosen) {
  std::shared_ptr<const CallerRequest> Shared = Call.m_Request;
  const CallerRequest &Request = *Shared;
  Milliseconds Timeout =
      Request.m_Timeout.value_or(m_Configuration.m_DefaultTimeout);
  auto Spent = std::chrono::duration_cast<Milliseconds>(TimerService::now() -
                                                        Call.m_Received);
  Milliseconds Left = std::max(Timeout - Spent, Milliseconds(1));
  Call.m_Peer = m_View[Chosen.m_Index].m_Peer;
  PeerId To = Call.m_Peer;
  CallNumber Number = m_Calls.add(std::move(Call));
  m_Calls.find(Number)->m_Timer = m_Context.m_Timers.once(
      Left + AnswerGrace, m_Task, [this, Number] { onTimeout(Number); });
  countCall(To, 1);
  logForwarded(Request, Number, Chosen);
  send(Request, Number, To, Left);
}

void CallRouter::logForwarded(const CallerRequest &Request, CallNumber Number,
                              const ChosenDispatcher &Chosen) const {
  if (!m_RoutingLog.enabled(LogLevel::Info))
    return;
  m_RoutingLog.info(
      "forwarded",
      {{"submission", Request.m_Id.isNil() ? "" : Request.m_Id.str()},
       {"call", Number},
       {"action", actionName(Request.m_Action)},
       {"service", Request.m_Service},
       {"team", Request.m_Team},
       {"dispatcher", m_View[Chosen.m_Index].m_Vm},
       {"reason", choiceReasonName(Chosen.m_Reason)},
       {"alternatives", Chosen.m_Alternatives}});
}

void CallRouter::send(const CallerRequest &Request, CallNumber Number,
                      PeerId To, Milliseconds Timeout) {
  if (Request.m_Action == CallerAction::Cancel) {
    m_Hub.send(To, Cancel{Number, Request.m_Id, Request.m_Team, 0});
    return;
  }
  if (Request.m_Action == CallerAction::MintTickets) {
    m_Hub.send(To, MintTickets{Number, Request.m_Team, Request.m_TicketCount});
    return;
  }
  Submit Msg;
  Msg.m_Call = Number;
  Msg.m_Id = Request.m_Id;
  Msg.m_Team = Request.m_Team;
  Msg.m_Service = Request.m_Service;
  Msg.m_Kind = Request.m_Kind;
  Msg.m_Job = Request.m_Action == CallerAction::Job;
  Msg.m_NoRepeat = Request.m_NoRepeat;
  Msg.m_Tasks = Request.m_Tasks;
  Msg.m_TimeoutMs = Timeout.count();
  m_Hub.send(To, Msg);
}

void CallRouter::onTimeout(CallNumber Number) {
  std::optional<WaitingCall> Call = m_Calls.giveUp(Number);
  if (!Call)
    return;
  Outcome Lost = outcomeOfLostCall(Call->m_Action);
  finish(std::move(Call),
         CallFailure{FailureCode::Timeout,
                     "no answer came within the caller's timeout", Lost, 0});
}

void CallRouter::onDrainEnd() {
  std::vector<CallNumber> Cut = m_Calls.calls();
  if (Cut.empty())
    return;
  m_CutCalls.add(Cut.size());
  m_CallsLog.warning("drain_expired", {{"calls", Cut.size()}});
  std::function<void(bool)> Drained = std::exchange(m_Drained, nullptr);
  failAll(Cut, {FailureCode::ShuttingDown,
                "the entry's drain time ended before the answer came",
                Outcome::Unknown, 0});
  if (Drained)
    Drained(false);
}

void CallRouter::finish(std::optional<WaitingCall> Call, CallReply Reply) {
  if (!Call)
    return;
  m_Context.m_Timers.cancel(Call->m_Timer);
  countCall(Call->m_Peer, -1);
  Call->m_Done(std::move(Reply));
  checkDrained(/*InTime=*/true);
}

void CallRouter::failAll(std::span<const CallNumber> Numbers,
                         const CallFailure &Why) {
  for (CallNumber Number : Numbers) {
    std::optional<WaitingCall> Call = m_Calls.giveUp(Number);
    CallFailure Failure = Why;
    if (Call)
      Failure.m_Outcome = outcomeOfLostCall(Call->m_Action);
    finish(std::move(Call), std::move(Failure));
  }
}

void CallRouter::countCall(PeerId Peer, int Change) {
  for (DispatcherCandidate &Each : m_View)
    if (Each.m_Peer == Peer)
      Each.m_Calls += Change;
  m_WaitingGauge.set(static_cast<double>(m_Calls.size()));
}

void CallRouter::refreshView() {
  std::map<Incarnation, PeerId> Linked;
  for (const auto &[Peer, Greeting] : m_Hub.peers())
    if (Greeting.m_Role == "dispatch")
      Linked[Greeting.m_Incarnation] = Peer;
  m_View.clear();
  for (const Member &Each : m_Members) {
    if (Each.m_DispatchAddress.empty())
      continue;
    auto Found = Linked.find(Each.m_DispatchIncarnation);
    PeerId Peer = Found == Linked.end() ? 0 : Found->second;
    std::size_t Calls = Peer == 0 ? 0 : m_Calls.callsAt(Peer).size();
    m_View.push_back({Each.m_Vm, Each.m_DataCentre, Each.m_DispatchIncarnation,
                      Each.m_DispatchReady && !m_DrainingPeers.contains(Peer),
                      Peer, Calls});
  }
  refreshReady();
}

void CallRouter::refreshReady() {
  bool CanForward =
      std::ranges::any_of(m_View, [](const DispatcherCandidate &Each) {
        return Each.m_Ready && Each.m_Peer != 0;
      });
  bool IsReady = !m_Stopping && m_Configuration.isKnown() && CanForward;
  if (m_IsReady.exchange(IsReady) != IsReady)
    sendStatus();
}

void CallRouter::sendStatus() {
  if (m_ControlPeer == 0)
    return;
  LocalStatus Status;
  Status.m_Role = "entry";
  Status.m_HttpAddress = m_Context.m_Common.m_Http.str();
  Status.m_Incarnation = m_Context.m_Incarnation;
  Status.m_Ready = m_IsReady;
  Status.m_ConfigurationOffset = m_Configuration.m_Offset;
  m_Hub.send(m_ControlPeer, Status);
}

void CallRouter::checkDrained(bool InTime) {
  if (!m_Stopping || !m_Drained || m_Calls.size() != 0)
    return;
  std::exchange(m_Drained, nullptr)(InTime);
}

nlohmann::json CallRouter::describe() const {
  nlohmann::json Dispatchers = nlohmann::json::array();
  for (const DispatcherCandidate &Each : m_View)
    Dispatchers.push_back({{"vm", Each.m_Vm},
                           {"data_centre", Each.m_DataCentre},
                           {"ready", Each.m_Ready},
                           {"linked", Each.m_Peer != 0},
                           {"waiting_calls", Each.m_Calls}});
  return {{"control_linked", m_ControlPeer != 0},
          {"configuration_offset", m_Configuration.m_Offset},
          {"waiting_calls", m_Calls.size()},
          {"stopping", m_Stopping},
          {"dispatchers", std::move(Dispatchers)}};
}

} // namespace auburnhub
