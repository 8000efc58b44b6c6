#include "FakeExecutor.h"

#include <algorithm>
#include <utility>

namespace auburnhub::platform {
namespace {

constexpr std::int64_t MaxLeaseMs = 1000;
/// What the clock of the first incarnation is ahead of those of later ones.
constexpr double FirstUptimeMs = 60000;

HttpResponse jsonResponse(int Status, const nlohmann::json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

} // namespace

FakeExecutor::FakeExecutor(EventLoop &Loop, std::string Id)
    : m_Loop(Loop), m_Id(std::move(Id)),
      m_Server(Loop, [this](const HttpExchange &E) { onCall(E); }),
      m_IncarnationStart(addMs(EventLoop::now(), -FirstUptimeMs)),
      m_Capacities({{m_IncarnationStart, CpuMillis}}) {}

std::string FakeExecutor::registration(const std::string &Service,
                                       const std::string &Zone,
                                       const std::string &State) const {
  nlohmann::json Entry = {
      {"service", Service},
      {"address", m_PublicAddress.empty() ? address() : m_PublicAddress},
      {"zone", Zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", State},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", m_Capacities.back().second}, {"mem_mb", 32768}, {"gpu", 0}}},
      {"labels", {"a", "r1-3"}},
      {"sequence", 4},
      {"born", m_Incarnation}};
  return Entry.dump();
}

std::size_t FakeExecutor::starts() const {
  return static_cast<std::size_t>(
      std::count_if(m_Journal.begin(), m_Journal.end(),
                    [](const Event &E) { return E.m_What == "start"; }));
}

std::int64_t FakeExecutor::clockMs() const {
  return static_cast<std::int64_t>(
      m_Behaviour.m_ClockRate *
      millisecondsBetween(m_IncarnationStart, EventLoop::now()));
}

std::int64_t FakeExecutor::cpuMillisInUse() const {
  std::int64_t Total = 0;
  for (const auto &[Task, Item] : m_Running)
    Total += Item.m_CpuMillis;
  return Total;
}

std::int64_t FakeExecutor::noticedCpuMillis() const {
  TimePoint NoticedSince = EventLoop::now() - CapacityNoticeTime;
  std::int64_t Highest = 0;
  for (std::size_t I = 0; I < m_Capacities.size(); ++I)
    if (I + 1 == m_Capacities.size() ||
        m_Capacities[I + 1].first > NoticedSince)
      Highest = std::max(Highest, m_Capacities[I].second);
  return Highest;
}

void FakeExecutor::setCpuMillis(std::int64_t Value) {
  m_Capacities.emplace_back(EventLoop::now(), Value);
}

void FakeExecutor::resume() {
  m_Behaviour.m_Hangs = false;
  for (auto &[Task, Item] : m_Running) {
    if (Item.m_Timer)
      continue;
    Item.m_Started = EventLoop::now();
    scheduleEnd(Task, Item);
  }
}

void FakeExecutor::scheduleEnd(const std::string &Task, Running &Run) {
  bool Fails = m_Behaviour.m_Fails || Run.m_Fails;
  Run.m_Timer = m_Loop.once(
      EventLoop::Duration(static_cast<int>(Run.m_DurationMs)),
      [this, Task, Fails] { end(Task, Fails ? "failed" : "done"); });
}

void FakeExecutor::crash() {
  TimePoint Now = EventLoop::now();
  for (const auto &[Task, Item] : std::exchange(m_Running, {}))
    m_Journal.push_back({Task, Item.m_Run, "crashed", Now});
  m_Ended.clear();
  m_HighestRun.clear();
  m_LeaseTimer.reset();
  m_LeaseUntilMs = 0;
  m_LastSequence = 0;
  m_Token = 0;
  m_CrashTimer.reset();
  m_IncarnationStart = Now;
  ++m_Incarnation;
}

void FakeExecutor::crashAndRestart() {
  crash();
  for (const auto &[Exchange, Timer] : std::exchange(m_Renewals, {}))
    m_Unanswered.push_back(Exchange);
  m_IsAway = true;
  if (m_AwayHandler)
    m_AwayHandler(true);
  m_RestartTimer = m_Loop.once(m_Behaviour.m_RestartTime, [this] {
    m_IsAway = false;
    m_IncarnationStart = EventLoop::now();
    if (m_Behaviour.m_RestartsUnderNewId)
      m_Id += "'";
    if (m_AwayHandler)
      m_AwayHandler(false);
  });
}

void FakeExecutor::respondConflict(const HttpExchange &Exchange,
                                   const std::string &Reason) const {
  Exchange.respond(
      jsonResponse(409, {{"clock_ms", clockMs()}, {"reason", Reason}}));
}

void FakeExecutor::onCall(const HttpExchange &Exchange) {
  if (m_Behaviour.m_IsUnresponsive || m_IsAway) {
    m_Unanswered.push_back(Exchange);
    return;
  }
  const HttpRequest &Request = Exchange.request();
  auto Body = nlohmann::json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange.respond(jsonResponse(400, nlohmann::json::object()));
    return;
  }
  if (Request.m_Headers.get("X-Expected-Instance") != m_Id) {
    Exchange.respond(jsonResponse(421, nlohmann::json::object()));
    return;
  }
  if (Request.m_Path == "/run-start" && m_Behaviour.m_DelayedStarts > 0) {
    --m_Behaviour.m_DelayedStarts;
    m_Unanswered.push_back(Exchange);
    m_DelayTimers.push_back(
        m_Loop.once(m_Behaviour.m_StartDelay, [this, Exchange, Body] {
          auto Token = Body.value("fencing_token", std::uint64_t{0});
          if (Token < m_Token)
            return;
          m_Token = Token;
          onStart(Exchange, Body);
        }));
    return;
  }
  std::uint64_t Token = Body.value("fencing_token", std::uint64_t{0});
  if (Token < m_Token) {
    respondConflict(Exchange, "fence");
    return;
  }
  m_Token = Token;
  if (Request.m_Path == "/run-start")
    onStart(Exchange, Body);
  else if (Request.m_Path == "/run-stop")
    onStop(Exchange, Body);
  else if (Request.m_Path == "/hold")
    onRenew(Exchange, Body);
  else
    Exchange.respond(jsonResponse(404, nlohmann::json::object()));
}

void FakeExecutor::extendLease(const nlohmann::json &Body) {
  if (!Body.contains("until_ms"))
    return;
  std::int64_t UntilMs =
      std::min(Body["until_ms"].get<std::int64_t>(), clockMs() + MaxLeaseMs);
  m_LeaseUntilMs = std::max(m_LeaseUntilMs, UntilMs);
  auto Remaining = EventLoop::Duration(
      static_cast<std::int64_t>(static_cast<double>(std::max<std::int64_t>(
                                    0, m_LeaseUntilMs - clockMs())) /
                                m_Behaviour.m_ClockRate));
  m_LeaseTimer = m_Loop.once(Remaining, [this] {
    m_LapsedLeases.push_back(EventLoop::now());
    std::vector<std::string> Tasks;
    for (const auto &[Task, Item] : m_Running)
      Tasks.push_back(Task);
    for (const std::string &Task : Tasks)
      end(Task, "lapsed");
  });
}

void FakeExecutor::onStart(const HttpExchange &Exchange,
                           const nlohmann::json &Body) {
  std::string Task = Body["task"];
  auto Run = Body["run"].get<std::uint32_t>();
  auto Known = m_Running.find(Task);
  if (Known != m_Running.end() && Known->second.m_Run == Run) {
    Exchange.respond(jsonResponse(200, {{"clock_ms", clockMs()}}));
    return;
  }
  if (Body["until_ms"].get<std::int64_t>() <= clockMs()) {
    respondConflict(Exchange, "late");
    return;
  }
  if (Run <= m_HighestRun[Task] || Known != m_Running.end()) {
    respondConflict(Exchange, "old");
    return;
  }
  auto Spec = nlohmann::json::parse(Body.value("spec", ""), nullptr, false);
  bool HasSpec = Spec.is_object();
  std::int64_t Cpu = HasSpec ? Spec.value("cpu", std::int64_t{0}) : 0;
  bool Fits = cpuMillisInUse() + Cpu <= m_Capacities.back().second;
  if (!Fits && m_Behaviour.m_GuardsCapacity) {
    respondConflict(Exchange, "room");
    return;
  }
  if (cpuMillisInUse() + Cpu > noticedCpuMillis())
    m_StartsOverCapacity.push_back(EventLoop::now());
  auto RunTime = static_cast<double>(m_Behaviour.m_RunTime.count());
  Running &Added = m_Running[Task];
  Added.m_Run = Run;
  Added.m_Started = EventLoop::now();
  Added.m_CpuMillis = Cpu;
  Added.m_Fails = HasSpec && Spec.value("fails", false);
  Added.m_DurationMs = m_Behaviour.m_RunTimeFactor *
                       (HasSpec ? Spec.value("ms", RunTime) : RunTime);
  m_PeakCpuMillis = std::max(m_PeakCpuMillis, cpuMillisInUse());
  m_Journal.push_back({Task, Run, "start", EventLoop::now()});
  if (!m_Behaviour.m_Hangs)
    scheduleEnd(Task, Added);
  std::string CrashingTask = HasSpec ? Spec.value("crash", "") : "";
  if (!CrashingTask.empty() && Task.ends_with(".0." + CrashingTask))
    m_CrashTimer =
        m_Loop.once(m_Behaviour.m_CrashDelay, [this] { crashAndRestart(); });
  extendLease(Body);
  Exchange.respond(jsonResponse(200, {{"clock_ms", clockMs()}}));
}

void FakeExecutor::onStop(const HttpExchange &Exchange,
                          const nlohmann::json &Body) {
  std::string Task = Body["task"];
  auto Run = Body["run"].get<std::uint32_t>();
  m_HighestRun[Task] = std::max(m_HighestRun[Task], Run);
  auto Found = m_Running.find(Task);
  if (Found != m_Running.end() && Found->second.m_Run <= Run) {
    if (m_Behaviour.m_StopTime.count() == 0)
      end(Task, "stopped");
    else
      Found->second.m_Timer = m_Loop.once(
          m_Behaviour.m_StopTime, [this, Task] { end(Task, "stopped"); });
  }
  Exchange.respond(jsonResponse(200, {{"clock_ms", clockMs()}}));
}

void FakeExecutor::end(const std::string &Task, const std::string &EndKind) {
  auto Found = m_Running.find(Task);
  if (Found == m_Running.end())
    return;
  std::uint32_t Run = Found->second.m_Run;
  m_Running.erase(Found);
  m_HighestRun[Task] = std::max(m_HighestRun[Task], Run);
  m_Ended.push_back({++m_LastSequence, Task, Run, EndKind});
  m_Journal.push_back({Task, Run, EndKind, EventLoop::now()});
  answerRenewals();
}

nlohmann::json FakeExecutor::encodeLists() const {
  nlohmann::json Running = nlohmann::json::array();
  TimePoint Now = EventLoop::now();
  for (const auto &[Task, Item] : m_Running) {
    double Share = millisecondsBetween(Item.m_Started, Now) /
                   std::max(1.0, Item.m_DurationMs);
    int Percent =
        Item.m_Timer ? static_cast<int>(std::min(99.0, 100 * Share)) : 0;
    Running.push_back({Task, Item.m_Run, "", Percent});
  }
  nlohmann::json Finished = nlohmann::json::array();
  for (const Ended &Item : m_Ended)
    Finished.push_back(
        {Item.m_Sequence, Item.m_Task, Item.m_Run, Item.m_EndKind, ""});
  return {{"clock_ms", clockMs()},
          {"born", m_Incarnation},
          {"running", Running},
          {"finished", Finished}};
}

void FakeExecutor::onRenew(const HttpExchange &Exchange,
                           const nlohmann::json &Body) {
  auto LastSeen = Body.value("last_seen", std::uint64_t{0});
  std::erase_if(m_Ended, [&](const Ended &Item) {
    bool IsSeen = Item.m_Sequence <= LastSeen;
    if (IsSeen)
      m_Journal.push_back(
          {Item.m_Task, Item.m_Run, "acknowledged", EventLoop::now()});
    return IsSeen;
  });
  extendLease(Body);
  int Wait = Body.value("wait_ms", 0);
  if (Wait == 0 || !m_Ended.empty()) {
    Exchange.respond(jsonResponse(200, encodeLists()));
    return;
  }
  m_Renewals.emplace_back(Exchange, m_Loop.once(EventLoop::Duration(Wait),
                                                [this] { answerRenewals(); }));
}

void FakeExecutor::answerRenewals() {
  auto Pending = std::exchange(m_Renewals, {});
  for (const auto &[Exchange, Timer] : Pending)
    Exchange.respond(jsonResponse(200, encodeLists()));
}

} // namespace auburnhub::platform
