#include "Fakes/FakeEndpoint.h"

#include "Fakes/ContentDigest.h"

#include <array>
#include <cstdlib>
#include <utility>

namespace auburnhub::test {
namespace {

constexpr std::size_t BytesPerMebibyte = std::size_t{1} << 20;

constexpr std::array<std::pair<std::string_view, EndpointMode>, 14> ModeNames =
    {{{"ok", EndpointMode::Ok},
      {"fail", EndpointMode::Fail},
      {"fail_all_fast", EndpointMode::FailAllFast},
      {"hang", EndpointMode::Hang},
      {"reset_before", EndpointMode::ResetBefore},
      {"reset_during", EndpointMode::ResetDuring},
      {"reset_after", EndpointMode::ResetAfter},
      {"truncate", EndpointMode::Truncate},
      {"oversize", EndpointMode::Oversize},
      {"wrong_call", EndpointMode::WrongCall},
      {"stale", EndpointMode::Stale},
      {"refuse", EndpointMode::Refuse},
      {"leaving", EndpointMode::Leaving},
      {"slow", EndpointMode::Slow}}};

/// Returns a task's body as a JSON object; an empty one if it is none.
nlohmann::json instructions(const std::string &Body) {
  nlohmann::json Parsed = nlohmann::json::parse(Body, nullptr, false);
  return Parsed.is_object() ? Parsed : nlohmann::json::object();
}

} // namespace

std::optional<EndpointMode> endpointModeFromName(std::string_view Name) {
  for (const auto &[Known, Mode] : ModeNames)
    if (Known == Name)
      return Mode;
  return std::nullopt;
}

FakeEndpoint::FakeEndpoint(const FakeEndpointOptions &Options,
                           EndpointJournal &Journal)
    : m_Options(Options), m_Journal(Journal) {}

void FakeEndpoint::handle(Exchange &Call) {
  if (Call.path() == "/v1/run" && Call.method() == "POST")
    return handleRun(Call);
  if (Call.path() == "/healthz")
    return replyHealth(Call);
  Call.readBody();
  Call.reply(404, "");
}

void FakeEndpoint::handleRun(Exchange &Call) {
  const Behaviour How = behaviour();
  if (How.m_Mode == EndpointMode::ResetBefore)
    return Call.abandon();
  const Task Work = {
      Call.header("Auburnhub-Service"), Call.header("Auburnhub-Submission"),
      Call.header("Auburnhub-Task"),    Call.header("Auburnhub-Attempt"),
      Call.header("Auburnhub-Call"),    Call.readBody()};
  if (!Call.isWhole(Work.m_Body))
    return Call.abandon();
  if (!takeSlot(How))
    return refuse(Call, Work);
  runTask(Call, Work, How);
}

void FakeEndpoint::runTask(Exchange &Call, const Task &Work,
                           const Behaviour &How) {
  m_Journal.write(journalLine("start", Work));
  if (How.m_Mode == EndpointMode::ResetDuring) {
    releaseSlot();
    return Call.abandon();
  }
  waitForRun(Work, How);
  const Result Done = makeResult(Work, How);
  nlohmann::json Line = journalLine("finish", Work);
  Line["ok"] = !Done.m_Failed;
  Line["result_digest"] = contentDigest(Done.m_Body);
  m_Journal.write(std::move(Line));
  releaseSlot();
  if (How.m_Mode == EndpointMode::ResetAfter ||
      How.m_Mode == EndpointMode::Hang)
    return Call.abandon();
  sendResult(Call, Done, How);
}

void FakeEndpoint::replyHealth(Exchange &Call) {
  const EndpointMode Mode = behaviour().m_Mode;
  if (Mode == EndpointMode::Leaving)
    Call.setHeader("Auburnhub-Leaving", "yes");
  const bool TakesWork =
      Mode != EndpointMode::Leaving && Mode != EndpointMode::Refuse;
  Call.reply(TakesWork ? 200 : 503, "");
}

void FakeEndpoint::refuse(Exchange &Call, const Task &Work) {
  m_Journal.write(journalLine("refusal", Work));
  Call.setHeader("Auburnhub-Started", "no");
  Call.setHeader("Auburnhub-Call", Work.m_Call);
  Call.setHeader("Auburnhub-Submission", Work.m_Submission);
  if (behaviour().m_Mode == EndpointMode::Leaving)
    Call.setHeader("Auburnhub-Leaving", "yes");
  Call.reply(503, "");
}

bool FakeEndpoint::takeSlot(const Behaviour &How) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (How.m_Mode == EndpointMode::Refuse ||
      How.m_Mode == EndpointMode::Leaving || m_Running >= m_Options.m_Slots) {
    ++m_Refusals;
    return false;
  }
  ++m_Running;
  ++m_Starts;
  return true;
}

void FakeEndpoint::releaseSlot() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  --m_Running;
  ++m_Finishes;
}

void FakeEndpoint::waitForRun(const Task &Work, const Behaviour &How) {
  if (How.m_Mode == EndpointMode::FailAllFast)
    return;
  const double Declared =
      instructions(Work.m_Body)
          .value("run_ms", static_cast<double>(m_Options.m_DefaultRun.count()));
  const double Factor = How.m_Mode == EndpointMode::Slow ? How.m_Factor : 1;
  const std::chrono::duration<double, std::milli> Run(Declared * Factor /
                                                      m_Options.m_Speed);
  const MonotonicTime Due =
      TimerService::now() +
      std::chrono::duration_cast<MonotonicTime::duration>(Run);
  const bool IsHeld = How.m_Mode == EndpointMode::Hang ||
                      instructions(Work.m_Body).value("hold", false);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (IsHeld)
    m_Changed.wait(Lock,
                   [&] { return m_Behaviour.m_Version != How.m_Version; });
  else
    m_Changed.wait_until(Lock, Due, [&] { return TimerService::now() >= Due; });
}

FakeEndpoint::Result FakeEndpoint::makeResult(const Task &Work,
                                              const Behaviour &How) const {
  Result Done{Work.m_Submission, Work.m_Call, Work.m_Body, false};
  const nlohmann::json Told = instructions(Work.m_Body);
  if (!Told.empty()) {
    nlohmann::json Reply = {{"endpoint", m_Options.m_Name}};
    Reply["echo"] = Told.contains("echo") ? Told["echo"] : nlohmann::json();
    Done.m_Body = Reply.dump();
  }
  Done.m_Failed = How.m_Mode == EndpointMode::Fail ||
                  How.m_Mode == EndpointMode::FailAllFast ||
                  Told.value("fail", false);
  return Done;
}

void FakeEndpoint::sendResult(Exchange &Call, const Result &Done,
                              const Behaviour &How) {
  Result Sent = Done;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (How.m_Mode == EndpointMode::Stale && m_Previous)
      Sent = *m_Previous;
    m_Previous = Done;
  }
  if (How.m_Mode == EndpointMode::WrongCall)
    Sent.m_Call += "-other";
  Call.setHeader("Auburnhub-Call", Sent.m_Call);
  Call.setHeader("Auburnhub-Submission", Sent.m_Submission);
  if (behaviour().m_Mode == EndpointMode::Leaving)
    Call.setHeader("Auburnhub-Leaving", "yes");
  if (How.m_Mode == EndpointMode::Truncate)
    return Call.replyTruncated(Sent.m_Body);
  if (How.m_Mode == EndpointMode::Oversize)
    return Call.replyFiller(static_cast<std::size_t>(How.m_Factor) *
                            BytesPerMebibyte);
  Call.reply(Sent.m_Failed ? 500 : 200, Sent.m_Body);
}

nlohmann::json FakeEndpoint::journalLine(std::string_view Event,
                                         const Task &Work) const {
  return {{"event", Event},
          {"endpoint", m_Options.m_Name},
          {"submission", Work.m_Submission},
          {"task", std::atoi(Work.m_Index.c_str())},
          {"attempt", std::atoi(Work.m_Attempt.c_str())},
          {"call", Work.m_Call},
          {"service", Work.m_Service},
          {"body_digest", contentDigest(Work.m_Body)}};
}

void FakeEndpoint::setMode(EndpointMode Mode, double Factor) {
  bool WasLeaving = false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    WasLeaving = m_Behaviour.m_Mode == EndpointMode::Leaving;
    m_Behaviour.m_Mode = Mode;
    m_Behaviour.m_Factor = Factor;
    ++m_Behaviour.m_Version;
  }
  m_Changed.notify_all();
  const bool IsLeaving = Mode == EndpointMode::Leaving;
  if (IsLeaving != WasLeaving)
    m_Journal.write({{"event", IsLeaving ? "leaving" : "joined"},
                     {"endpoint", m_Options.m_Name}});
}

nlohmann::json FakeEndpoint::stats() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return {{"endpoint", m_Options.m_Name},
          {"starts", m_Starts},
          {"finishes", m_Finishes},
          {"refusals", m_Refusals},
          {"running", m_Running}};
}

FakeEndpoint::Behaviour FakeEndpoint::behaviour() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Behaviour;
}

} // namespace auburnhub::test
