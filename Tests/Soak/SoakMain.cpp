#include "SoakChecker.h"
#include "SoakFaults.h"
#include "SoakLoad.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace auburnhub;
using namespace auburnhub::soak;

namespace po = boost::program_options;

namespace {

/// Bounds of the users' pages, in milliseconds: from the end of all harm until
/// jobs are served again, and until every accepted job has ended.
constexpr double RecoveryMs = 12000;
constexpr double FinishMs = 14000;
constexpr double AcknowledgeMs = 4000;
constexpr double StartMs = 10000;

struct SoakSettings {
  std::uint64_t m_Seed = 1;
  double m_Seconds = 15;
  std::size_t m_Nodes = 4;
  std::size_t m_Executors = 8;
  double m_FaultPauseMs = 500;
  std::string m_Folder;
};

/// One soak: load and faults for a while, then a time to recover, then checks.
class Soak {
public:
  explicit Soak(SoakSettings Settings)
      : m_Settings(std::move(Settings)),
        m_Cluster({/*m_UsesProxies=*/true, m_Settings.m_Folder}),
        m_Load(m_Cluster, {}, m_Settings.m_Seed),
        m_Faults(m_Cluster, m_Load, m_Settings.m_Seed + 1) {}

  std::vector<Finding> run() {
    for (std::size_t I = 0; I != m_Settings.m_Executors; ++I) {
      // A lease may be measured 2 % slow.
      constexpr double SlowClock = 0.98;
      m_Cluster.addExecutor().behaviour().m_ClockRate =
          I % 3 == 0 ? SlowClock : 1;
      m_Cluster.executor(I).behaviour().m_GuardsCapacity = I % 2 == 0;
    }
    for (std::size_t I = 0; I != m_Settings.m_Nodes; ++I)
      m_Cluster.addNode();
    if (!within(StartMs, [this] { return allReady(); }))
      find(Breach::NotServedAgain, "the nodes did not become ready");
    m_Load.start();
    m_Faults.start(m_Settings.m_FaultPauseMs);
    within(1000 * m_Settings.m_Seconds, [] { return false; });
    m_Faults.stop();
    while (!m_Faults.isOver())
      turn();
    checkRecovery();
    finishJobs();
    checkHistory();
    stopNodes();
    return m_Findings;
  }

  void print(std::ostream &Out) const {
    std::size_t Accepted = 0;
    std::map<std::string, int> Answers;
    for (const auto &[Id, Job] : m_Load.jobs()) {
      Accepted += Job.m_AcceptedAt ? 1 : 0;
      for (const SoakCall &Call : Job.m_Calls)
        if (Call.m_Method == "POST")
          ++Answers[std::to_string(Call.m_Status)];
    }
    nlohmann::json Found = nlohmann::json::array();
    for (const Finding &Each : m_Findings)
      Found.push_back(std::string(breachName(Each.m_What)) + ": " +
                      Each.m_Detail);
    Out << nlohmann::json{{"seed", m_Settings.m_Seed},
                          {"seconds", m_Settings.m_Seconds},
                          {"jobs", m_Load.jobs().size()},
                          {"stored", Accepted},
                          {"answers", Answers},
                          {"starts", m_Cluster.totalStarts()},
                          {"faults", m_Faults.disturbances().size()},
                          {"recovered_ms", m_RecoveredMs},
                          {"findings", Found}}
               .dump()
        << std::endl;
  }

  /// Writes what callers and executors have seen, to trace a finding.
  void writeHistory() const {
    std::ofstream Out(m_Settings.m_Folder + "/history.log");
    auto At = [this](TimePoint Time) {
      return millisecondsBetween(m_Begin, Time);
    };
    for (const Disturbance &Each : m_Faults.disturbances())
      Out << At(Each.m_Begin) << " fault " << Each.m_Kind << " until "
          << At(Each.m_End)
          << (Each.m_Node ? " node " + std::to_string(*Each.m_Node) : "")
          << '\n';
    for (const auto &[Id, Job] : m_Load.jobs())
      for (const SoakCall &Call : Job.m_Calls)
        Out << At(Call.m_Sent) << " call " << Id << ' ' << Call.m_Method
            << " node " << Call.m_Node << " until " << At(Call.m_Ended)
            << " status " << Call.m_Status << ' ' << Call.m_State
            << (Job.m_Stored ? " stored" : "") << '\n';
    for (std::size_t I = 0; I != m_Cluster.executors(); ++I)
      for (const auto &Event : m_Cluster.executor(I).journal())
        Out << At(Event.m_At) << " executor " << I << ' ' << Event.m_Task
            << " run " << Event.m_Run << ' ' << Event.m_What << '\n';
  }

private:
  void find(Breach What, std::string Detail) {
    m_Findings.push_back({What, std::move(Detail)});
  }

  void turn() {
    m_Cluster.loop().io().restart();
    m_Cluster.loop().io().run_one_for(std::chrono::milliseconds(20));
    for (std::size_t Node : m_Faults.unexpectedEnds()) {
      find(Breach::NodeEndedByItself, "node " + std::to_string(Node));
      m_Cluster.restartNode(Node);
    }
  }

  template <typename Condition> bool within(double LimitMs, Condition Holds) {
    TimePoint Begin = EventLoop::now();
    while (!Holds()) {
      if (millisecondsBetween(Begin, EventLoop::now()) > LimitMs)
        return false;
      turn();
    }
    return true;
  }

  bool allReady() {
    for (std::size_t I = 0; I != m_Cluster.nodes(); ++I)
      if (!m_Cluster.isReady(I))
        return false;
    return true;
  }

  /// After the harm every node serves both sorts of jobs again.
  void checkRecovery() {
    TimePoint Begin = EventLoop::now();
    for (std::size_t Node = 0; Node != m_Cluster.nodes(); ++Node) {
      auto Served = [&, Try = 0]() mutable {
        std::string Id = "ffffffffffff" + std::to_string(1000 + ++Try);
        Id[0] = static_cast<char>('0' + Node);
        auto Reply = m_Cluster.submit(Node, Id, 1, 1500);
        m_Probes.insert(Id);
        while (!Reply->m_Answer)
          turn();
        return Reply->has(200);
      };
      if (!within(RecoveryMs, Served))
        find(Breach::NotServedAgain, "node " + std::to_string(Node));
    }
    m_RecoveredMs = millisecondsBetween(Begin, EventLoop::now());
  }

  void finishJobs() {
    m_Load.stop();
    m_Load.askForStates();
    within(FinishMs, [this] { return m_Load.allOver() && m_Load.isIdle(); });
    bool Acknowledged = within(AcknowledgeMs, [this] {
      std::size_t Open = m_Cluster.totalRunning();
      for (std::size_t I = 0; I != m_Cluster.executors(); ++I)
        Open += m_Cluster.executor(I).unacknowledgedEnds();
      return Open == 0;
    });
    if (!Acknowledged)
      find(Breach::EndNotAcknowledged, "after the end of all jobs");
  }

  void checkHistory() {
    SoakHistory Seen;
    for (const auto &[Id, Job] : m_Load.jobs())
      Seen.m_Jobs.push_back(Job);
    for (const std::string &Id : m_Probes) {
      SoakJob &Probe = Seen.m_Jobs.emplace_back();
      Probe.m_Id = Id;
    }
    for (std::size_t I = 0; I != m_Cluster.executors(); ++I)
      Seen.m_Executors.push_back(
          {m_Cluster.executor(I).id(), m_Cluster.executor(I).journal(),
           m_Cluster.executor(I).peakCpuMillis(), m_Faults.drainingSince(I),
           m_Cluster.executor(I).startsOverCapacity()});
    Seen.m_Disturbances = m_Faults.disturbances();
    for (Finding &Each : checkSoak(Seen))
      m_Findings.push_back(std::move(Each));
  }

  void stopNodes() {
    for (std::size_t Node : m_Faults.slowStops())
      find(Breach::StopTookTooLong, "node " + std::to_string(Node));
    for (std::size_t I = 0; I != m_Cluster.nodes(); ++I)
      m_Cluster.signal(I, SIGTERM);
    TimePoint Begin = EventLoop::now();
    double LimitMs = 1000.0 * m_Cluster.m_StopGraceSeconds;
    for (std::size_t I = 0; I != m_Cluster.nodes(); ++I)
      while (m_Cluster.running(I)) {
        if (millisecondsBetween(Begin, EventLoop::now()) > LimitMs) {
          find(Breach::StopTookTooLong, "node " + std::to_string(I));
          break;
        }
        m_Cluster.loop().io().restart();
        m_Cluster.loop().io().run_one_for(std::chrono::milliseconds(20));
      }
  }

  SoakSettings m_Settings;
  TimePoint m_Begin = EventLoop::now();
  platform::PlatformCluster m_Cluster;
  SoakLoad m_Load;
  SoakFaults m_Faults;
  std::set<std::string> m_Probes;
  std::vector<Finding> m_Findings;
  double m_RecoveredMs = 0;
};

/// Runs one seed; returns whether no promise was broken.
bool runSeed(SoakSettings Settings, const std::string &Root) {
  Settings.m_Folder = Root + "/seed-" + std::to_string(Settings.m_Seed);
  std::filesystem::create_directories(Settings.m_Folder);
  Soak Run(Settings);
  bool Held = Run.run().empty();
  Run.print(std::cout);
  if (Held)
    std::filesystem::remove_all(Settings.m_Folder);
  else
    Run.writeHistory();
  return Held;
}

po::options_description describeOptions(SoakSettings &Settings,
                                        std::uint64_t &Seeds,
                                        std::string &Folder) {
  po::options_description Options(
      "Usage: auburnhub-soak [options]\n\n"
      "Runs nodes as processes beside stand-ins, harms them at random and "
      "checks the users'\npromises. Exit status 1 if one was broken; then logs "
      "are kept.\n\nOptions");
  Options.add_options()("help", "show this text and exit") //
      ("seed", po::value(&Settings.m_Seed)->default_value(Settings.m_Seed),
       "first seed") //
      ("seeds", po::value(&Seeds)->default_value(1),
       "run so many seeds, one after the other") //
      ("seconds",
       po::value(&Settings.m_Seconds)->default_value(Settings.m_Seconds),
       "length of load and faults") //
      ("nodes", po::value(&Settings.m_Nodes)->default_value(Settings.m_Nodes),
       "nodes to start") //
      ("executors",
       po::value(&Settings.m_Executors)->default_value(Settings.m_Executors),
       "executors to stand in for") //
      ("pause",
       po::value(&Settings.m_FaultPauseMs)
           ->default_value(Settings.m_FaultPauseMs),
       "mean time between two faults, in milliseconds") //
      ("folder", po::value(&Folder)->default_value("soak"),
       "where logs of runs with findings are kept");
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  SoakSettings Settings;
  std::uint64_t Seeds = 1;
  std::string Folder;
  po::options_description Options = describeOptions(Settings, Seeds, Folder);
  po::variables_map Arguments;
  try {
    po::store(po::parse_command_line(Argc, Argv, Options), Arguments);
    po::notify(Arguments);
  } catch (const po::error &E) {
    std::cerr << "auburnhub-soak: " << E.what() << '\n';
    return 2;
  }
  if (Arguments.contains("help")) {
    std::cout << Options;
    return 0;
  }
  bool Held = true;
  for (std::uint64_t I = 0; I != Seeds; ++I, ++Settings.m_Seed)
    Held = runSeed(Settings, Folder) && Held;
  return Held ? 0 : 1;
}
