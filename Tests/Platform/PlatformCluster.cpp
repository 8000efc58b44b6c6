#include "PlatformCluster.h"

#include "StoreWatch.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace auburnhub::platform {
namespace {

/// Time after which until() reports failure.
constexpr double ConditionTimeoutMs = 20000;

/// Returns a loopback address that only this process uses, so that no outgoing
/// connection takes a port before a node listens on it.
std::string processLoopbackHost() {
  constexpr int Values = 250;
  int Pid = getpid();
  return "127." + std::to_string(1 + Pid / Values % Values) + "." +
         std::to_string(1 + Pid % Values) + ".1";
}

void require(bool Condition, const char *Error) {
  if (!Condition)
    throw std::runtime_error(Error);
}

nlohmann::json jobBody(int Tasks, const std::string &Spec = "text") {
  return {{"spec", Spec},
          {"steps",
           {{{"count", Tasks},
             {"cpu", 6000},
             {"mem_mb", 64},
             {"estimated_ms", 20}}}}};
}

} // namespace

PlatformCluster::PlatformCluster(const PlatformClusterOptions &Options)
    : m_Options(Options), m_Store(m_Loop), m_Client(m_Loop) {
  require(m_Store.listen({"127.0.0.1", 0}).ok(),
          "the stand-in of the store cannot listen on a loopback port");
  publishConfiguration(1);
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "auburnhub-test-XXXXXX")
          .string();
  require(mkdtemp(Pattern.data()) != nullptr,
          "cannot create a temporary folder for the nodes' settings");
  m_Folder = Pattern;
}

PlatformCluster::~PlatformCluster() {
  m_Nodes.clear();
  std::filesystem::remove_all(m_Folder);
}

FakeExecutor &PlatformCluster::addExecutor(const std::string &Zone) {
  std::string Id = "i-" + std::to_string(m_Executors.size());
  m_Executors.push_back(std::make_unique<FakeExecutor>(m_Loop, Id));
  FakeExecutor &Added = *m_Executors.back();
  require(Added.listen({"127.0.0.1", 0}).ok(),
          "the stand-in of an executor cannot listen on a loopback port");
  if (m_Options.m_UsesProxies) {
    m_ExecutorProxies.push_back(std::make_unique<FaultyProxy>(m_Loop));
    m_ExecutorProxies.back()->setTarget(*parseAddress(Added.address()));
    Added.setPublicAddress(m_ExecutorProxies.back()->address());
  }
  Added.setAwayHandler(
      [this, Index = m_Executors.size() - 1, Zone](bool IsAway) {
        onExecutorAway(Index, IsAway, Zone);
      });
  registerExecutor(Added, "ready", Zone);
  m_RegisteredIds.push_back(Id);
  return Added;
}

void PlatformCluster::onExecutorAway(std::size_t Index, bool IsAway,
                                     const std::string &Zone) {
  if (m_Options.m_UsesProxies) {
    FaultyProxy::Faults Faults;
    Faults.m_Refuse = IsAway;
    executorProxy(Index).set(Faults);
    executorProxy(Index).resetConnections();
  }
  if (IsAway)
    return;
  const FakeExecutor &Executor = *m_Executors[Index];
  if (Executor.id() != m_RegisteredIds[Index])
    m_Store.put("keyed.servers", m_RegisteredIds[Index], std::nullopt);
  m_RegisteredIds[Index] = Executor.id();
  registerExecutor(Executor, "ready", Zone);
}

void PlatformCluster::resizeExecutor(std::size_t Index,
                                     std::int64_t CpuMillis) {
  m_Executors[Index]->setCpuMillis(CpuMillis);
  registerExecutor(*m_Executors[Index]);
}

void PlatformCluster::registerExecutor(const FakeExecutor &Executor,
                                       const std::string &State,
                                       const std::string &Zone) {
  m_Store.put("keyed.servers", Executor.id(),
              Executor.registration(Service, Zone, State));
}

void PlatformCluster::publishConfiguration(std::uint64_t Version,
                                           const std::string &PathPrefix) {
  m_Store.put("keyed.op", "config",
              configurationRecord(Version, Host, PathPrefix, Service).dump());
}

bool PlatformCluster::publishLimits(std::uint64_t Version,
                                    const nlohmann::json &Limits) {
  nlohmann::json Record = configurationRecord(Version, Host, Prefix, Service);
  Record["limits"] = Limits;
  m_Store.put("keyed.op", "config", Record.dump());
  const std::string Applied = "\"version\":" + std::to_string(Version);
  auto IsApplied = [&](const std::string &Line) {
    return Line.find("configuration_in_force") != std::string::npos &&
           Line.find(Applied) != std::string::npos;
  };
  for (std::size_t I = 0; I < m_Nodes.size(); ++I)
    if (!until([&] {
          std::vector<std::string> Lines = log(I);
          return std::any_of(Lines.begin(), Lines.end(), IsApplied);
        }))
      return false;
  return true;
}

void PlatformCluster::trimTopics() {
  for (const char *Topic : {"keyed.op", "keyed.servers", DirectoryTopic})
    m_Store.trim(Topic);
}

Address PlatformCluster::freeAddress() {
  using boost::asio::ip::tcp;
  tcp::endpoint Any(boost::asio::ip::make_address(processLoopbackHost()), 0);
  while (true) {
    tcp::acceptor Probe(m_Loop.io(), Any);
    std::uint16_t Port = Probe.local_endpoint().port();
    // A port that is free now may already be assigned to a node that does not
    // listen yet.
    if (m_Ports.insert(Port).second)
      return {processLoopbackHost(), Port};
  }
}

std::string PlatformCluster::writeSettings(const NodeProcess &Node) const {
  Address Store = Node.m_StoreProxy
                      ? Node.m_StoreProxy->address()
                      : m_Store.listenerAddress(Node.m_StoreListener);
  NodeDescription Described{Node.m_Name,        Node.m_Zone,
                            Node.m_Addresses,   {},
                            std::move(Store),   m_StopGraceSeconds,
                            m_StoreRecordBytes, !Node.m_Process};
  const NodeProcess &First = m_Nodes.front();
  if (&First != &Node)
    Described.m_Seeds.push_back(First.m_LinkProxy ? First.m_LinkProxy->address()
                                                  : First.m_Addresses.m_Links);
  std::string Path = m_Folder + "/" + Node.m_Name + ".yaml";
  nlohmann::json Settings = settingsFile(Described);
  Settings["limits"].update(m_Options.m_MachineLimits);
  std::ofstream(Path) << Settings.dump();
  return Path;
}

void PlatformCluster::addNode(const std::string &Zone) {
  NodeProcess &Added = m_Nodes.emplace_back();
  Added.m_Name = "node-" + std::to_string(m_Nodes.size() - 1);
  Added.m_Zone = Zone;
  Added.m_Addresses = {freeAddress(), freeAddress(), freeAddress(),
                       freeAddress()};
  auto Listener = m_Store.addListener();
  require(Listener.ok(),
          "the stand-in of the store cannot open a further listener");
  Added.m_StoreListener = *Listener;
  if (m_Options.m_UsesProxies) {
    Added.m_LinkProxy = std::make_unique<FaultyProxy>(m_Loop);
    Added.m_LinkProxy->setTarget(Added.m_Addresses.m_Links);
    Added.m_StoreProxy = std::make_unique<FaultyProxy>(m_Loop);
    Added.m_StoreProxy->setTarget(m_Store.listenerAddress(*Listener));
  }
  start(Added);
}

void PlatformCluster::start(NodeProcess &Node) {
  const std::string Charts = AUBURNHUB_SOURCE_DIR "/share/auburnhub/charts";
  std::vector<std::string> Arguments = {
      "--settings",       writeSettings(Node),
      "--charts",         Charts,
      "--interface-port", std::to_string(Node.m_Addresses.m_Interface.m_Port)};
  if (Node.m_LinkProxy) {
    Arguments.emplace_back("--advertise");
    Arguments.push_back(Node.m_LinkProxy->address().str());
  }
  std::string LogPath =
      m_Options.m_LogFolder.empty()
          ? ""
          : m_Options.m_LogFolder + "/" + Node.m_Name + ".log";
  auto Started = test::ProcessRunner::start(
      AUBURNHUB_BINARY_DIR "/auburnhub-node", Arguments, LogPath);
  require(Started.ok(), "cannot start the process auburnhub-node");
  Node.m_Process = *std::move(Started);
}

void PlatformCluster::restartNode(std::size_t Index) { start(m_Nodes[Index]); }

nlohmann::json PlatformCluster::waitForLogField(std::size_t Index,
                                                const std::string &Job,
                                                const std::string &Event,
                                                const std::string &Field) {
  nlohmann::json Found;
  until([&] {
    for (const std::string &Text : log(Index)) {
      auto Line = nlohmann::json::parse(Text, nullptr, false);
      if (Line.is_object() && Line.value("event", "") == Event &&
          Text.find(Job) != std::string::npos)
        Found = Line.value(Field, nlohmann::json());
    }
    return !Found.is_null();
  });
  return Found;
}

bool PlatformCluster::until(const std::function<bool()> &Condition) {
  TimePoint Begin = EventLoop::now();
  while (!Condition()) {
    if (millisecondsBetween(Begin, EventLoop::now()) > ConditionTimeoutMs)
      return false;
    m_Loop.io().restart();
    m_Loop.io().run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

bool PlatformCluster::untilReady() {
  return until([this] {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (running(I) && !isReady(I))
        return false;
    return true;
  });
}

bool PlatformCluster::isReady(std::size_t Node) {
  auto Answer = std::make_shared<Reply>();
  HttpRequest Request;
  Request.m_Path = "/readiness";
  m_Client.call(m_Nodes[Node].m_Addresses.m_Readiness, Request,
                std::chrono::milliseconds(1000),
                [Answer](absl::StatusOr<HttpResponse> Response) {
                  Answer->m_Answer = std::move(Response);
                });
  until([&] { return Answer->m_Answer.has_value(); });
  return Answer->has(200);
}

std::shared_ptr<PlatformCluster::Reply>
PlatformCluster::call(std::size_t Node, const std::string &Method,
                      const std::string &Path, std::string Body,
                      int DeadlineMs) {
  return callAt(m_Nodes[Node].m_Addresses.m_Callers, Method, Path,
                std::move(Body), DeadlineMs);
}

std::shared_ptr<PlatformCluster::Reply>
PlatformCluster::callAt(const Address &To, const std::string &Method,
                        const std::string &Path, std::string Body,
                        int DeadlineMs) {
  auto Answer = std::make_shared<Reply>();
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Headers.set("Host", Host);
  Request.m_Headers.set("X-Deadline-Ms", std::to_string(DeadlineMs));
  Request.m_Body = std::move(Body);
  m_Client.call(To, Request, std::chrono::milliseconds(DeadlineMs),
                [Answer](absl::StatusOr<HttpResponse> Response) {
                  Answer->m_Answer = std::move(Response);
                });
  return Answer;
}

std::shared_ptr<PlatformCluster::Reply>
PlatformCluster::submit(std::size_t Node, const std::string &Id, int Tasks,
                        int DeadlineMs) {
  nlohmann::json Body = jobBody(Tasks);
  Body["best_effort"] = true;
  return call(Node, "POST", Prefix + Id, Body.dump(), DeadlineMs);
}

std::shared_ptr<PlatformCluster::Reply>
PlatformCluster::submitStored(std::size_t Node, const std::string &Id,
                              int Tasks, const std::string &Spec) {
  return call(Node, "POST", Prefix + Id, jobBody(Tasks, Spec).dump());
}

std::shared_ptr<PlatformCluster::Reply>
PlatformCluster::submitStoredSpec(std::size_t Node, const std::string &Id,
                                  int Tasks, const nlohmann::json &Spec) {
  nlohmann::json Body = jobBody(Tasks, Spec.dump());
  Body["steps"][0]["cpu"] = Spec.at("cpu");
  Body["steps"][0]["estimated_ms"] = Spec.at("ms");
  return call(Node, "POST", Prefix + Id, Body.dump());
}

std::string PlatformCluster::state(std::size_t Node, const std::string &Id) {
  auto Answer = call(Node, "GET", Prefix + Id);
  until([&] { return Answer->m_Answer.has_value(); });
  if (!Answer->has(200))
    return "";
  return nlohmann::json::parse((*Answer->m_Answer)->m_Body).value("state", "");
}

std::size_t PlatformCluster::totalStarts() const {
  std::size_t Total = 0;
  for (const auto &Executor : m_Executors)
    Total += Executor->starts();
  return Total;
}

std::size_t PlatformCluster::totalRunning() const {
  std::size_t Total = 0;
  for (const auto &Executor : m_Executors)
    Total += Executor->running();
  return Total;
}

bool PlatformCluster::hasOverlappingRuns() const {
  std::vector<std::pair<TimePoint, FakeExecutor::Event>> Events;
  for (const auto &Executor : m_Executors)
    for (const FakeExecutor::Event &Event : Executor->journal())
      Events.emplace_back(Event.m_At, Event);
  std::stable_sort(
      Events.begin(), Events.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::map<std::string, int> ActiveRuns;
  bool Overlap = false;
  for (const auto &[At, Event] : Events) {
    if (Event.m_What == "acknowledged")
      continue;
    int &Count = ActiveRuns[Event.m_Task];
    Count += Event.m_What == "start" ? 1 : -1;
    Overlap = Overlap || Count > 1;
  }
  return Overlap;
}

} // namespace auburnhub::platform
