#include "SoakLoad.h"

#include <utility>

namespace auburnhub::soak {
namespace {

constexpr int MostTasks = 4;
constexpr double ShortestTaskMs = 20;
constexpr double MeanTaskMs = 60;
constexpr double LongestTaskMs = 1500;
constexpr int CpuOfTask = 6000;
constexpr int BestEffortDeadlineMs = 1500;
constexpr int StoredDeadlineMs = 5000;
/// A caller without an answer sends its job again after this time.
constexpr EventLoop::Duration ResendTime{1300};
constexpr EventLoop::Duration StatePeriod{900};
constexpr int MostTries = 4;

bool isRefusal(int Status) { return Status == 503 || Status == 429; }

} // namespace

SoakLoad::SoakLoad(platform::PlatformCluster &Cluster,
                   const SoakLoadSettings &Settings, std::uint64_t Seed)
    : m_Cluster(Cluster), m_Settings(Settings), m_Random(Seed) {
  for (std::size_t I = 0; I < Settings.m_Callers; ++I)
    m_Clients.push_back(std::make_unique<LoopHttpClient>(Cluster.loop()));
}

void SoakLoad::start() {
  m_Sending = true;
  sendLater();
}

void SoakLoad::stop() {
  m_Sending = false;
  m_Next.reset();
}

void SoakLoad::sendLater() {
  double PauseMs = std::exponential_distribution<>(m_Settings.m_JobsPerSecond /
                                                   1000)(m_Random);
  m_Next = m_Cluster.loop().once(
      EventLoop::Duration(static_cast<int>(PauseMs) + 1), [this] {
        sendJob();
        if (m_Sending)
          sendLater();
      });
}

void SoakLoad::sendJob() {
  std::string Id(16, '0');
  for (char &Digit : Id)
    Digit = "0123456789abcdef"[pick(16)];
  SoakJob &Job = m_Jobs[Id];
  Job.m_Id = Id;
  Job.m_Stored = chance(m_Settings.m_StoredShare);
  Job.m_Tasks = static_cast<int>(1 + pick(MostTasks));
  Job.m_TaskMs =
      std::min(LongestTaskMs, ShortestTaskMs + std::exponential_distribution<>(
                                                   1 / MeanTaskMs)(m_Random));
  handIn(Id);
  if (chance(m_Settings.m_CancelShare))
    m_Timers[Id + "/cancel"] = m_Cluster.loop().once(
        EventLoop::Duration(30 + pick(200)), [this, Id] { cancel(Id); });
}

std::string SoakLoad::bodyOf(const SoakJob &Job) const {
  nlohmann::json Spec = {{"ms", Job.m_TaskMs}, {"cpu", CpuOfTask}};
  nlohmann::json Body = {{"spec", Spec.dump()},
                         {"steps",
                          {{{"count", Job.m_Tasks},
                            {"cpu", CpuOfTask},
                            {"mem_mb", 64},
                            {"estimated_ms", Job.m_TaskMs}}}}};
  if (!Job.m_Stored)
    Body["best_effort"] = true;
  return Body.dump();
}

void SoakLoad::call(
    const std::string &Id, const std::string &Method, std::string Body,
    int DeadlineMs,
    const std::function<void(SoakJob &, const SoakCall &)> &Done) {
  SoakCall Call;
  Call.m_Method = Method;
  Call.m_Node = pick(m_Cluster.nodes());
  Call.m_Sent = EventLoop::now();
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = platform::PlatformCluster::Prefix + Id;
  Request.m_Headers.set("Host", platform::PlatformCluster::Host);
  Request.m_Headers.set("X-Deadline-Ms", std::to_string(DeadlineMs));
  Request.m_Body = std::move(Body);
  ++m_OpenCalls;
  m_Clients[pick(m_Clients.size())]->call(
      m_Cluster.addresses(Call.m_Node).m_Callers, std::move(Request),
      EventLoop::Duration(DeadlineMs),
      [this, Id, Call, Done](const absl::StatusOr<HttpResponse> &Answer) {
        --m_OpenCalls;
        SoakCall Ended = Call;
        Ended.m_Ended = EventLoop::now();
        if (Answer.ok()) {
          Ended.m_Status = Answer->m_Status;
          auto Json = nlohmann::json::parse(Answer->m_Body, nullptr, false);
          if (Json.is_object())
            Ended.m_State = Json.value("state", "");
        } else if (absl::IsUnavailable(Answer.status())) {
          Ended.m_Status = NoConnection;
        } else if (absl::IsAborted(Answer.status())) {
          Ended.m_Status = ConnectionBroke;
        }
        SoakJob &Job = m_Jobs.at(Id);
        Job.m_Calls.push_back(Ended);
        if (!Ended.m_State.empty())
          Job.m_State = Ended.m_State;
        Done(Job, Ended);
      });
}

void SoakLoad::handIn(const std::string &Id) {
  SoakJob &Job = m_Jobs.at(Id);
  ++Job.m_HandedIn;
  call(Id, "POST", bodyOf(Job),
       Job.m_Stored ? StoredDeadlineMs : BestEffortDeadlineMs,
       [this](SoakJob &Of, const SoakCall &Call) { onHandedIn(Of, Call); });
}

void SoakLoad::onHandedIn(SoakJob &Job, const SoakCall &Call) {
  std::string Id = Job.m_Id;
  if (Call.m_Status == 200 && Job.m_Stored) {
    if (!Job.m_AcceptedAt)
      Job.m_AcceptedAt = Call.m_Ended;
    if (chance(m_Settings.m_RepeatShare))
      handIn(Id);
    followLater(Id);
    return;
  }
  if (Call.m_Status == 200 || isRefusal(Call.m_Status) || Job.m_AcceptedAt ||
      Job.m_CancelSentAt || Job.m_HandedIn >= MostTries || !m_Sending)
    return;
  m_Timers[Id] = m_Cluster.loop().once(ResendTime, [this, Id] { handIn(Id); });
}

void SoakLoad::cancel(const std::string &Id) {
  m_Jobs.at(Id).m_CancelSentAt = EventLoop::now();
  call(Id, "DELETE", "", BestEffortDeadlineMs,
       [](SoakJob &Job, const SoakCall &Call) {
         if (Call.m_Status == 200)
           Job.m_CancelledAt = Call.m_Ended;
       });
}

void SoakLoad::followLater(const std::string &Id) {
  m_Timers[Id] =
      m_Cluster.loop().once(StatePeriod, [this, Id] { askForState(Id); });
}

void SoakLoad::askForState(const std::string &Id) {
  call(Id, "GET", "", BestEffortDeadlineMs,
       [this](SoakJob &Job, const SoakCall &) {
         if (!Job.isOver())
           followLater(Job.m_Id);
       });
}

bool SoakLoad::allOver() const {
  for (const auto &[Id, Job] : m_Jobs)
    if (Job.m_AcceptedAt && !Job.isOver())
      return false;
  return true;
}

void SoakLoad::askForStates() {
  for (const auto &[Id, Job] : m_Jobs)
    if (Job.m_AcceptedAt && !Job.isOver() && !m_Timers.contains(Id))
      followLater(Id);
}

} // namespace auburnhub::soak
