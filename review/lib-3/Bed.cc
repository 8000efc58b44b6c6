#include "Bed.hh"

#include "StoreWatch.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <random>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace review {

using namespace auburnhub;
using namespace auburnhub::platform;
using Tcp = boost::asio::ip::tcp;

namespace {

/// The command of deploy/system.toml.
constexpr const char *Program = "target/bin/auburnhub-node";
constexpr const char *MetricsPort = "9464";

constexpr int HeartbeatMs = 1500;
constexpr int StoreAnswerMs = 4;

void require(bool Condition, const std::string &Error) {
  if (!Condition)
    throw std::runtime_error(Error);
}

/// A loopback host that only this case uses, so that each node has its ports
/// for itself, as on a machine of its own.
std::string nodeHost(std::size_t I) {
  int Pid = getpid();
  return "127." + std::to_string(1 + Pid / 250 % 250) + "." +
         std::to_string(1 + Pid % 250) + "." + std::to_string(10 + I);
}

Address freeAddress(EventLoop &Loop, const std::string &Host) {
  static std::set<std::uint16_t> Taken;
  while (true) {
    Tcp::acceptor Probe(Loop.io(),
                        Tcp::endpoint(boost::asio::ip::make_address(Host), 0));
    std::uint16_t Port = Probe.local_endpoint().port();
    if (Taken.insert(Port).second)
      return {Host, Port};
  }
}

} // namespace

Bed::Bed(BedOptions Options)
    : m_Options(std::move(Options)), m_Store(m_Loop), m_StorePath(m_Loop),
      m_Client(m_Loop), m_Begin(EventLoop::now()) {
  require(m_Store.listen({"127.0.0.1", 0}).ok(), "the store cannot listen");
  // Counts the reads of the directory.
  m_Store.delayReads(DirectoryTopic, EventLoop::Duration(0));
  m_StorePath.setTarget(m_Store.address());
  FaultyProxy::Faults Path;
  Path.m_Delay = EventLoop::Duration(StoreAnswerMs / 2);
  m_StorePath.set(Path);
  m_Store.put("keyed.op", "config",
              configurationRecord(1, Host, Prefix, Service).dump());
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "auburnhub-case-XXXXXX")
          .string();
  require(mkdtemp(Pattern.data()) != nullptr, "no temporary folder");
  m_Folder = Pattern;
  m_Executors.resize(m_Options.m_Executors.size());
  for (std::size_t I = 0; I < m_Executors.size(); ++I) {
    ExecutorSlot &Slot = m_Executors[I];
    Slot.m_Place = m_Options.m_Executors[I];
    Slot.m_Executor =
        std::make_unique<CaseExecutor>(m_Loop, "e-" + std::to_string(I));
    require(Slot.m_Executor->listen({"127.0.0.1", 0}).ok(),
            "an executor cannot listen");
    Slot.m_Executor->setRack(Slot.m_Place.m_Rack);
    Slot.m_Executor->setAwayHandler([this, I](bool IsAway) {
      m_Executors[I].m_IsDown = IsAway;
      if (IsAway)
        return;
      note("executor " + m_Executors[I].m_Executor->id() + " is back");
      beat(I);
    });
    beat(I);
    Slot.m_Beat = m_Loop.every(EventLoop::Duration(HeartbeatMs), [this, I] {
      if (!m_Executors[I].m_IsDown)
        beat(I);
    });
  }
  m_Nodes.resize(m_Options.m_NodeZones.size());
  for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
    NodeSlot &Node = m_Nodes[I];
    Node.m_Name = "front-" + std::to_string(I);
    Node.m_Zone = m_Options.m_NodeZones[I];
    std::string NodeHost = nodeHost(I);
    Node.m_Addresses = {freeAddress(m_Loop, NodeHost),
                        freeAddress(m_Loop, NodeHost),
                        freeAddress(m_Loop, NodeHost)};
    if (m_Options.m_HasLinkProxies)
      Node.m_Links = std::make_unique<LinkProxy>(
          m_Loop, Node.m_Addresses.m_Links, static_cast<int>(I),
          [this](std::uint16_t Port, std::uint16_t ProxyPort) {
            return findDialer(Port, ProxyPort);
          },
          [this](int From, int To) {
            return From != To &&
                   (m_Cut.contains(static_cast<std::size_t>(From)) ||
                    m_Cut.contains(static_cast<std::size_t>(To)));
          });
  }
}

Bed::~Bed() {
  for (NodeSlot &Node : m_Nodes)
    if (Node.m_Pid > 0) {
      kill(Node.m_Pid, SIGCONT);
      kill(Node.m_Pid, SIGKILL);
      waitpid(Node.m_Pid, nullptr, 0);
    }
  if (const char *Keep = std::getenv("KEEP_LOGS"); Keep != nullptr)
    std::filesystem::copy(
        m_Folder, Keep,
        std::filesystem::copy_options::recursive |
            std::filesystem::copy_options::overwrite_existing);
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

void Bed::beat(std::size_t I) {
  ExecutorSlot &Slot = m_Executors[I];
  m_Store.put(
      "keyed.servers", Slot.m_Executor->id(),
      Slot.m_Executor->registration(Service, Slot.m_Place.m_Zone, "ready"));
}

std::string Bed::writeSettings(std::size_t I) const {
  const NodeSlot &Node = m_Nodes[I];
  NodeDescription Described{
      Node.m_Name,           Node.m_Zone, Node.m_Addresses, {},
      m_StorePath.address(), 6,           262144,           !Node.m_HasStarted};
  for (const NodeSlot &Other : m_Nodes)
    Described.m_Seeds.push_back(Other.m_Links ? Other.m_Links->address()
                                              : Other.m_Addresses.m_Links);
  nlohmann::json Settings = settingsFile(Described);
  Settings["limits"] = {{"cpu_share", 0.5},  {"cores", 1},
                        {"memory_mb", 650},  {"max_fds", 10250},
                        {"link_mbps", 2500}, {"disk_mb", 0}};
  Settings["heartbeat_ms"] = HeartbeatMs;
  Settings["bounds"] = {{"contact_ms", 3000},  {"ack_ms", 4000},
                        {"catch_up_s", 4},     {"drain_ms", 2000},
                        {"grace_s", 6},        {"lost_slack_ms", 200},
                        {"status_s", 120},     {"config_apply_ms", 2000},
                        {"max_skew_ms", 5000}, {"recovery_s", 12},
                        {"hold_max_ms", 1000}, {"stop_timeout_ms", 50},
                        {"cancel_ms", 3000},   {"visible_ms", 3000},
                        {"finish_s", 14},      {"far_factor", 3},
                        {"lease_ms", 3000},    {"resend_ms", 1300}};
  std::string Path = m_Folder + "/" + Node.m_Name + ".yaml";
  std::ofstream(Path) << Settings.dump();
  return Path;
}

void Bed::startNode(std::size_t I) {
  NodeSlot &Node = m_Nodes[I];
  std::string Settings = writeSettings(I);
  std::vector<std::string> Words = {Program, "--metrics-port", MetricsPort};
  if (Node.m_Links) {
    // Lets the other nodes' connections pass the proxy.
    Words.emplace_back("--advertise");
    Words.push_back(Node.m_Links->address().str());
  }
  std::vector<char *> Argv;
  for (std::string &Word : Words)
    Argv.push_back(Word.data());
  Argv.push_back(nullptr);
  std::string Log = m_Folder + "/" + Node.m_Name + ".log";
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  for (int Fd : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&Actions, Fd, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  setenv("AUBURNHUB_BOOT", Settings.c_str(), 1);
  int Failed = posix_spawn(&Node.m_Pid, Program, &Actions, nullptr, Argv.data(),
                           environ);
  posix_spawn_file_actions_destroy(&Actions);
  require(Failed == 0, std::string("cannot start ") + Program);
  Node.m_HasStarted = true;
  Node.m_StartedAt = EventLoop::now();
  note("node " + Node.m_Name + " started");
}

void Bed::signal(std::size_t I, int Number) {
  note("node " + m_Nodes[I].m_Name + " gets signal " + std::to_string(Number));
  if (m_Nodes[I].m_Pid > 0)
    kill(m_Nodes[I].m_Pid, Number);
}

bool Bed::running(std::size_t I) const {
  return m_Nodes[I].m_Pid > 0 &&
         waitpid(m_Nodes[I].m_Pid, nullptr, WNOHANG) == 0;
}

int Bed::findDialer(std::uint16_t Port, std::uint16_t ProxyPort) const {
  // The table of the system names the socket, its owner has it open.
  std::ifstream Table("/proc/net/tcp");
  auto Suffix = [](std::uint16_t Number) {
    std::ostringstream Text;
    Text << ":" << std::uppercase << std::hex << std::setw(4)
         << std::setfill('0') << Number;
    return Text.str();
  };
  std::string Line;
  std::string Inode;
  while (Inode.empty() && std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Number, Local, Remote, Skipped;
    Fields >> Number >> Local >> Remote;
    if (!Local.ends_with(Suffix(Port)) || !Remote.ends_with(Suffix(ProxyPort)))
      continue;
    for (int K = 0; K < 6; ++K)
      Fields >> Skipped;
    Fields >> Inode;
    if (Inode == "0")
      Inode.clear();
  }
  if (Inode.empty())
    return -1;
  for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
    std::string Folder = "/proc/" + std::to_string(m_Nodes[I].m_Pid) + "/fd";
    std::error_code Ec;
    for (const auto &Entry : std::filesystem::directory_iterator(Folder, Ec))
      if (auto Link = std::filesystem::read_symlink(Entry, Ec);
          !Ec && Link.string() == "socket:[" + Inode + "]")
        return static_cast<int>(I);
  }
  return -1;
}

void Bed::cut(std::size_t I, bool Value) {
  note("node " + m_Nodes[I].m_Name +
       (Value ? " is cut from all other nodes" : " is connected again"));
  if (Value)
    m_Cut.insert(I);
  else
    m_Cut.erase(I);
  for (NodeSlot &Node : m_Nodes)
    if (Node.m_Links)
      Node.m_Links->resume();
}

void Bed::crash(std::size_t I, int DarkMs) {
  constexpr int Forever = 3600 * 1000;
  CaseExecutor &Executor = executor(I);
  note("executor " + Executor.id() + " crashes" +
       (DarkMs > 0 ? "" : ", for good"));
  Executor.behaviour().m_RestartTime =
      EventLoop::Duration(DarkMs > 0 ? DarkMs : Forever);
  Executor.crashAndRestart();
  // Its entry expires after three heartbeats of silence.
  std::string Id = Executor.id();
  m_Executors[I].m_Expiry =
      m_Loop.once(EventLoop::Duration(3 * HeartbeatMs), [this, I, Id] {
        if (m_Executors[I].m_IsDown)
          m_Store.put("keyed.servers", Id, std::nullopt);
      });
}

void Bed::call(std::size_t Node, const std::string &Method,
               const std::string &Path, const std::string &Body, int DeadlineMs,
               Done OnAnswer) {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Headers.set("Host", Host);
  Request.m_Headers.set("Content-Type", "application/json");
  Request.m_Headers.set("X-Deadline-Ms", std::to_string(DeadlineMs));
  Request.m_Body = Body;
  std::string What = Method + " " + Path + " at " + m_Nodes[Node].m_Name;
  note("client sends " + What + (Body.empty() ? "" : " " + Body));
  m_Client.call(m_Nodes[Node].m_Addresses.m_Callers, std::move(Request),
                EventLoop::Duration(DeadlineMs),
                [this, What, OnAnswer = std::move(OnAnswer)](
                    const absl::StatusOr<HttpResponse> &Response) {
                  Answer Got;
                  if (Response.ok())
                    Got = {Response->m_Status, Response->m_Body};
                  note("client gets " + std::to_string(Got.m_Status) + " " +
                       Got.m_Body + " to " + What);
                  OnAnswer(Got);
                });
}

Bed::Answer Bed::ask(std::size_t Node, const std::string &Method,
                     const std::string &Path, const std::string &Body,
                     int DeadlineMs) {
  auto Got = std::make_shared<std::optional<Answer>>();
  call(Node, Method, Path, Body, DeadlineMs,
       [Got](const Answer &Given) { *Got = Given; });
  until([&] { return Got->has_value(); }, DeadlineMs + 500);
  return Got->value_or(Answer());
}

bool Bed::until(const std::function<bool()> &Condition, double LimitMs) {
  TimePoint Begin = EventLoop::now();
  while (!Condition()) {
    if (millisecondsBetween(Begin, EventLoop::now()) > LimitMs)
      return false;
    m_Loop.io().restart();
    m_Loop.io().run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

void Bed::waitMs(double Ms) {
  until([] { return false; }, Ms);
}

bool Bed::untilReady(double LimitMs) {
  std::vector<bool> Ready(m_Nodes.size(), false);
  std::vector<bool> Asked(m_Nodes.size(), false);
  return until(
      [&] {
        bool All = true;
        for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
          All = All && Ready[I];
          if (Ready[I] || Asked[I])
            continue;
          Asked[I] = true;
          HttpRequest Request;
          Request.m_Path = "/readiness";
          m_Client.call(m_Nodes[I].m_Addresses.m_Readiness, Request,
                        EventLoop::Duration(500),
                        [&, I](const absl::StatusOr<HttpResponse> &Response) {
                          Asked[I] = false;
                          Ready[I] = Response.ok() && Response->m_Status == 200;
                        });
        }
        return All;
      },
      LimitMs);
}

bool Bed::untilDirectoryRead() {
  std::deque<double> Reads;
  std::size_t Seen = m_Store.delayedReads();
  return until(
      [&] {
        for (; Seen < m_Store.delayedReads(); ++Seen)
          Reads.push_back(nowMs());
        while (!Reads.empty() && Reads.front() < nowMs() - 1000)
          Reads.pop_front();
        return Reads.size() >= m_Nodes.size();
      },
      12000);
}

double Bed::atMs(TimePoint At) const {
  return millisecondsBetween(m_Begin, At);
}

void Bed::note(const std::string &Text) { m_Notes.emplace_back(nowMs(), Text); }

void Bed::writeRecord(const std::string &Path) {
  auto Lines = m_Notes;
  for (const ExecutorSlot &Slot : m_Executors)
    for (const CaseExecutor::Event &Event : Slot.m_Executor->journal())
      Lines.emplace_back(
          atMs(Event.m_At),
          "executor " + Slot.m_Executor->id() + ": " + Event.m_What +
              (Event.m_Task.empty() ? ""
                                    : " " + Event.m_Task + " run " +
                                          std::to_string(Event.m_Run)));
  std::stable_sort(
      Lines.begin(), Lines.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::ofstream Out(Path);
  for (const auto &[At, Text] : Lines)
    Out << std::fixed << std::setprecision(0) << std::setw(7) << At << " ms  "
        << Text << "\n";
}

std::map<std::string, Bed::TaskView> Bed::tasks() const {
  std::map<std::string, TaskView> Result;
  for (const ExecutorSlot &Slot : m_Executors)
    for (const CaseExecutor::Event &Event : Slot.m_Executor->journal()) {
      if (Event.m_Task.empty())
        continue;
      TaskView &View = Result[Event.m_Task];
      if (Event.m_What == "start") {
        View.m_HasStarted = true;
        ++View.m_Active;
      } else if (Event.m_What != "acknowledged") {
        --View.m_Active;
        View.m_IsDone = View.m_IsDone || Event.m_What == "done";
      }
    }
  return Result;
}

} // namespace review
