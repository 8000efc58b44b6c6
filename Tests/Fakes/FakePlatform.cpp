#include "Fakes/FakePlatform.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>
#include <optional>

namespace auburnhub::test {
namespace {

constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view StreamSuffix = "/records";
constexpr std::int64_t DefaultReadLimit = 1000;
constexpr std::int64_t MaxReadLimit = 10000;
constexpr std::int64_t MaxWaitMs = 60000;

/// Returns the stream's name in the path of its records.
std::optional<std::string> streamOf(std::string_view Path) {
  if (!Path.starts_with(StreamPrefix) || !Path.ends_with(StreamSuffix))
    return std::nullopt;
  if (Path.size() <= StreamPrefix.size() + StreamSuffix.size())
    return std::nullopt;
  Path.remove_prefix(StreamPrefix.size());
  Path.remove_suffix(StreamSuffix.size());
  return std::string(Path);
}

} // namespace

FakePlatform::FakePlatform(const FakePlatformOptions &Options)
    : m_Options(Options), m_NextAppend(TimerService::now()) {}

void FakePlatform::handle(Exchange &Call) {
  if (Call.path().starts_with("/test/"))
    handleTest(Call);
  else
    handleService(Call);
}

void FakePlatform::handleService(Exchange &Call) {
  if (refuses(Call.header("Auburnhub-Vm")))
    return Call.abandon();
  Milliseconds Slow{0};
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Slow = m_Faults.m_Slow;
  }
  waitUntil(TimerService::now() + Slow);
  if (isDown()) {
    Call.readBody();
    return Call.replyJson(503, {{"error", "the platform is down"}});
  }
  if (Call.path() == "/v1/vms")
    return listVms(Call);
  std::optional<std::string> Stream = streamOf(Call.path());
  if (Stream && Call.method() == "POST")
    return append(Call, *Stream);
  if (Stream && Call.method() == "GET")
    return read(Call, *Stream);
  Call.readBody();
  Call.replyJson(404, {{"error", "no such resource"}});
}

void FakePlatform::append(Exchange &Call, const std::string &Name) {
  std::string Text = Call.readBody();
  nlohmann::json Body = nlohmann::json::parse(Text, nullptr, false);
  if (!Body.is_object() || !Body["records"].is_array())
    return Call.replyJson(400, {{"error", "a list of records was expected"}});
  std::vector<nlohmann::json> Records = Body["records"];
  waitUntil(reserveAppend());
  waitWhileHeld();
  std::int64_t First = 0;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    First = stream(Name).append(TimerService::wallMilliseconds(), Records);
    ++m_Appends;
    m_Records += Records.size();
    m_BytesIn += Text.size();
  }
  m_Changed.notify_all();
  if (takeLostReply())
    return Call.abandon();
  Call.replyJson(200, {{"first", First}, {"count", Records.size()}});
}

void FakePlatform::read(Exchange &Call, const std::string &Name) {
  const std::int64_t From = Call.queryNumber("from", 0);
  const std::int64_t Limit = std::clamp<std::int64_t>(
      Call.queryNumber("limit", DefaultReadLimit), 0, MaxReadLimit);
  const Milliseconds Wait(
      std::clamp<std::int64_t>(Call.queryNumber("wait_ms", 0), 0, MaxWaitMs));
  const MonotonicTime Due = TimerService::now() + Wait;
  const std::string Vm = Call.header("Auburnhub-Vm");
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_Changed.wait_until(Lock, Due, [&] {
    return m_Faults.m_Down || m_Faults.m_RefuseFrom.contains(Vm) ||
           stream(Name).end() > From;
  });
  if (m_Faults.m_RefuseFrom.contains(Vm)) {
    Lock.unlock();
    return Call.abandon();
  }
  if (m_Faults.m_Down) {
    Lock.unlock();
    return Call.replyJson(503, {{"error", "the platform is down"}});
  }
  const std::string Reply =
      stream(Name).read(From, static_cast<std::size_t>(Limit)).dump();
  ++m_Reads;
  m_BytesOut += Reply.size();
  Lock.unlock();
  Call.reply(200, Reply, "application/json");
}

void FakePlatform::listVms(Exchange &Call) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (m_Faults.m_VmsDown) {
    Lock.unlock();
    return Call.replyJson(503, {{"error", "the VM list is down"}});
  }
  nlohmann::json Shown = nlohmann::json::array();
  for (const auto &[SetAt, Vms] : m_VmLists)
    if (SetAt + m_Options.m_VmLag <= TimerService::now())
      Shown = Vms;
  Lock.unlock();
  Call.replyJson(200, {{"vms", std::move(Shown)}});
}

void FakePlatform::handleTest(Exchange &Call) {
  const std::string Path = Call.path();
  if (Path == "/test/faults")
    return setFaults(Call);
  if (Path == "/test/vms")
    return setVms(Call);
  if (Path == "/test/trim")
    return trim(Call);
  if (Path == "/test/stats")
    return showStats(Call);
  Call.readBody();
  Call.replyJson(404, {{"error", "no such resource"}});
}

void FakePlatform::setFaults(Exchange &Call) {
  absl::StatusOr<nlohmann::json> Body = Call.readJson();
  if (!Body.ok())
    return Call.replyBad(Body.status());
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Faults.m_Down = Body->value("down", m_Faults.m_Down);
    m_Faults.m_VmsDown = Body->value("vms_down", m_Faults.m_VmsDown);
    m_Faults.m_Slow =
        Milliseconds(Body->value("slow_ms", m_Faults.m_Slow.count()));
    m_Faults.m_LoseAppendReplies =
        Body->value("lose_append_replies", m_Faults.m_LoseAppendReplies);
    m_Faults.m_HoldAppends =
        Body->value("hold_appends", m_Faults.m_HoldAppends);
    m_Faults.m_RefuseFrom = Body->value("refuse_from", m_Faults.m_RefuseFrom);
  }
  m_Changed.notify_all();
  Call.replyJson(200, nlohmann::json::object());
}

void FakePlatform::setVms(Exchange &Call) {
  absl::StatusOr<nlohmann::json> Body = Call.readJson();
  if (!Body.ok())
    return Call.replyBad(Body.status());
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_VmLists.emplace_back(TimerService::now(), (*Body)["vms"]);
  }
  Call.replyJson(200, nlohmann::json::object());
}

void FakePlatform::trim(Exchange &Call) {
  absl::StatusOr<nlohmann::json> Body = Call.readJson();
  if (!Body.ok())
    return Call.replyBad(Body.status());
  std::unique_lock<std::mutex> Lock(m_Mutex);
  PlatformStream &Stream = stream(Body->value("stream", ""));
  Stream.trim(Body->value("first", std::int64_t{0}));
  const std::int64_t First = Stream.first();
  Lock.unlock();
  Call.replyJson(200, {{"first", First}});
}

void FakePlatform::showStats(Exchange &Call) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  nlohmann::json Stats = {{"appends", m_Appends},
                          {"records", m_Records},
                          {"held", m_Held},
                          {"reads", m_Reads},
                          {"bytes_in", m_BytesIn},
                          {"bytes_out", m_BytesOut},
                          {"bytes", m_BytesIn + m_BytesOut}};
  Lock.unlock();
  Call.replyJson(200, Stats);
}

bool FakePlatform::refuses(const std::string &Vm) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Faults.m_RefuseFrom.contains(Vm);
}

bool FakePlatform::isDown() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Faults.m_Down;
}

bool FakePlatform::takeLostReply() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Faults.m_LoseAppendReplies <= 0)
    return false;
  --m_Faults.m_LoseAppendReplies;
  return true;
}

/// Returns when an append that begins as soon as the rate allows is synced.
MonotonicTime FakePlatform::reserveAppend() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  const MonotonicTime Begin = std::max(TimerService::now(), m_NextAppend);
  m_NextAppend = Begin + std::chrono::microseconds(std::chrono::seconds(1)) /
                             m_Options.m_AppendsPerSecond;
  return Begin + m_Options.m_AppendTime;
}

void FakePlatform::waitUntil(MonotonicTime Due) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_Changed.wait_until(Lock, Due, [&] { return TimerService::now() >= Due; });
}

void FakePlatform::waitWhileHeld() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  ++m_Held;
  m_Changed.wait(Lock, [this] { return !m_Faults.m_HoldAppends; });
  --m_Held;
}

PlatformStream &FakePlatform::stream(const std::string &Name) {
  return m_Streams.try_emplace(Name, m_Options.m_Keep).first->second;
}

} // namespace auburnhub::test
