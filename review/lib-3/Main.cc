#include "Bed.hh"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

/// Cases of the review. Usage: review-3 CASE RECORD. Exits with 1 if the rule
/// was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in the
/// environment the disruption is left out.

using namespace review;

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

std::string jobId(std::uint64_t Number) {
  static const std::uint64_t Salt = std::random_device()();
  std::ostringstream Text;
  Text << std::hex;
  Text.width(8);
  Text.fill('0');
  Text << (Salt & 0xffffffffU);
  Text.width(8);
  Text << Number;
  return Text.str();
}

/// A stored job of one step.
nlohmann::json jobBody(int Tasks, int CpuMillis, int RunMs,
                       const std::string &Requirements = "") {
  nlohmann::json Step = {{"count", Tasks},
                         {"cpu", CpuMillis},
                         {"mem_mb", 64},
                         {"estimated_ms", RunMs}};
  if (!Requirements.empty())
    Step["requirements"] = Requirements;
  return {{"spec", nlohmann::json{{"cpu", CpuMillis}, {"ms", RunMs}}.dump()},
          {"steps", {Step}}};
}

std::string taskName(const std::string &Job, int Step, int Index) {
  return Job + ".0." + std::to_string(Step) + "." + std::to_string(Index);
}

std::string path(const std::string &Job) { return Bed::Prefix + Job; }

int verdict(Bed &Run, bool IsBroken, const std::string &Why) {
  Run.note(IsBroken ? "RULE BROKEN: " + Why : "rule held");
  std::cout << (IsBroken ? "broken: " + Why : std::string("held")) << std::endl;
  return IsBroken ? Broken : Held;
}

int cannotRun(Bed &Run, const std::string &Why) {
  Run.note("cannot run: " + Why);
  std::cout << "cannot run: " << Why << std::endl;
  return NotRun;
}

/// Three nodes and some executors in three zones.
BedOptions smallSite(int ExecutorsOfZone) {
  BedOptions Options;
  Options.m_NodeZones = {"brisbane-a", "ipswich-b", "toowoomba-c"};
  for (const std::string &Zone : Options.m_NodeZones)
    for (int I = 0; I < ExecutorsOfZone; ++I)
      Options.m_Executors.push_back({Zone, "r-" + Zone});
  Options.m_HasLinkProxies = true;
  return Options;
}

bool startAll(Bed &Run) {
  for (std::size_t I = 0; I < Run.nodes(); ++I)
    Run.startNode(I);
  if (!Run.untilReady())
    return false;
  Run.waitMs(4000);
  return true;
}

// The count of jobs that have not begun, at a node that is cut from the others.

int runPending(Bed &Run) {
  constexpr std::size_t CutNode = 2;
  constexpr double CutMs = 12000;
  constexpr int Wanted = 40;
  if (!startAll(Run))
    return cannotRun(Run, "the nodes are not ready");
  // Every executor is at work for the rest of the case.
  std::uint64_t Number = 0;
  for (std::size_t I = 0; I < Run.executors(); ++I)
    if (Run.ask(I % 3, "POST", path(jobId(++Number)),
                jobBody(1, 16000, 90000).dump())
            .m_Status != 200)
      return cannotRun(Run, "a job was not accepted");
  auto Running = [&] {
    std::size_t Total = 0;
    for (std::size_t I = 0; I < Run.executors(); ++I)
      Total += Run.executor(I).running();
    return Total;
  };
  if (!Run.until([&] { return Running() == Run.executors(); }, 8000))
    return cannotRun(Run, "the executors are not at work");
  Run.waitMs(ContactMs + 1000);
  if (hasTrouble())
    Run.cut(CutNode, true);
  double CutAt = Run.nowMs();
  Run.waitMs(1000);
  // Jobs that wait for an executor. Those that are not accepted are not
  // counted.
  std::map<std::string, double> AcceptedAt;
  for (int I = 0; I < 4 * Wanted && AcceptedAt.size() < Wanted; ++I) {
    std::string Id = jobId(++Number);
    Run.call(I % 2, "POST", path(Id), jobBody(1, 16000, 90000).dump(), 1500,
             [&, Id](const Bed::Answer &Got) {
               if (Got.m_Status / 100 == 2)
                 AcceptedAt[Id] = Run.nowMs();
             });
    Run.waitMs(40);
  }
  std::string Why;
  double Until = CutAt + CutMs;
  int WorstOwed = 0;
  while (Run.nowMs() < Until) {
    Run.waitMs(300);
    double SentAt = Run.nowMs();
    // In touch, from contact_ms after the cut on as well.
    Bed::Answer Got = Run.ask(CutNode, "GET", Bed::Prefix);
    auto Body = nlohmann::json::parse(Got.m_Body, nullptr, false);
    if (Got.m_Status != 200 || !Body.is_object() || Run.nowMs() > Until)
      continue;
    auto Tasks = Run.tasks();
    int Owed = 0;
    for (const auto &[Id, At] : AcceptedAt)
      if (At + VisibleMs + 2000 < SentAt &&
          !Tasks[taskName(Id, 0, 0)].m_HasStarted)
        ++Owed;
    int Stated = Body.value("pending", -1);
    Run.note("pending is stated as " + std::to_string(Stated) + "; " +
             std::to_string(Owed) +
             " jobs were accepted 5 s before and have not begun");
    if (2 * Stated < Owed &&
        Owed > std::exchange(WorstOwed, std::max(WorstOwed, Owed)))
      Why = "MIXED: pending " + std::to_string(Stated) + " for " +
            std::to_string(Owed) + " jobs that wait";
  }
  if (AcceptedAt.size() < 4)
    return cannotRun(Run, "too few jobs were accepted");
  Run.cut(CutNode, false);
  return verdict(Run, !Why.empty(), Why);
}

// A job that a node takes for unknown, because it is cut from the others and
// has not heard that jobs are stored.

int runUnknown(Bed &Run, bool Cancels) {
  constexpr std::size_t CutNode = 2;
  constexpr double CutMs = 12000;
  constexpr double CancelMs = 3000;
  if (!startAll(Run))
    return cannotRun(Run, "the nodes are not ready");
  if (!Run.untilDirectoryRead())
    return cannotRun(Run, "the directory is not read");
  Run.waitMs(500);
  if (hasTrouble())
    Run.cut(CutNode, true);
  double CutAt = Run.nowMs();
  if (!Run.untilDirectoryRead())
    return cannotRun(Run, "the directory is not read");
  Run.waitMs(300);
  // Three steps of three seconds.
  std::string Id = jobId(1);
  nlohmann::json Body = jobBody(1, 2000, 3000);
  for (int Step = 1; Step < 4; ++Step) {
    nlohmann::json Next = Body["steps"][0];
    Next["after"] = {Step - 1};
    Body["steps"].push_back(Next);
  }
  double AcceptedAt = 0;
  for (int I = 0; I < 4 && AcceptedAt == 0; ++I)
    if (Run.ask(I % 2, "POST", path(Id), Body.dump()).m_Status / 100 == 2)
      AcceptedAt = Run.nowMs();
  if (AcceptedAt == 0)
    return cannotRun(Run, "the job was not accepted");
  std::string Why;
  if (!Cancels) {
    while (Run.nowMs() < CutAt + CutMs) {
      double SentAt = Run.nowMs();
      Bed::Answer Got = Run.ask(CutNode, "GET", path(Id), "", 500);
      if (Got.m_Status == 410 && SentAt > AcceptedAt + VisibleMs) {
        Why = "LOST: 410 for an accepted job, " +
              std::to_string(static_cast<int>(SentAt - AcceptedAt)) +
              " ms after its acknowledgement";
        break;
      }
      Run.waitMs(100);
    }
    Run.cut(CutNode, false);
    return verdict(Run, !Why.empty(), Why);
  }
  Run.waitMs(1000);
  double AckedAt = 0;
  while (Run.nowMs() < CutAt + CutMs && AckedAt == 0) {
    Bed::Answer Got = Run.ask(CutNode, "DELETE", path(Id), "", 1500);
    if (Got.m_Status / 100 == 2 || Got.m_Status == 410)
      AckedAt = Run.nowMs();
    else
      Run.waitMs(500);
  }
  if (AckedAt == 0)
    return verdict(Run, false, "");
  Run.waitMs(1000);
  Run.cut(CutNode, false);
  Run.waitMs(12000);
  for (std::size_t I = 0; I < Run.executors(); ++I)
    for (const auto &Event : Run.executor(I).journal())
      if (Event.m_What == "start" && Event.m_Task.starts_with(Id) &&
          Run.atMs(Event.m_At) > AckedAt + CancelMs)
        Why = "UNASKED: " + Event.m_Task + " started " +
              std::to_string(static_cast<int>(Run.atMs(Event.m_At) - AckedAt)) +
              " ms after the acknowledgement of its cancelling";
  Run.ask(0, "GET", path(Id));
  return verdict(Run, !Why.empty(), Why);
}

// Short tasks, while a node is cut from the others that has not heard that jobs
// are stored.

int runTwice(Bed &Run) {
  constexpr std::size_t CutNode = 2;
  constexpr double CutMs = 12000;
  constexpr int CpuMillis = 1000;
  constexpr int Tasks = 8;
  if (!startAll(Run))
    return cannotRun(Run, "the nodes are not ready");
  if (!Run.untilDirectoryRead())
    return cannotRun(Run, "the directory is not read");
  Run.waitMs(60);
  if (hasTrouble())
    Run.cut(CutNode, true);
  double CutAt = Run.nowMs();
  Run.waitMs(100);
  std::set<std::string> Accepted;
  std::uint64_t Number = 0;
  while (Run.nowMs() < CutAt + 5000) {
    std::string Id = jobId(++Number);
    Run.call(Number % 2, "POST", path(Id),
             jobBody(Tasks, CpuMillis, 100 + 20 * (Number % 6)).dump(), 1500,
             [&, Id](const Bed::Answer &Got) {
               if (Got.m_Status / 100 == 2)
                 Accepted.insert(Id);
             });
    Run.waitMs(10);
  }
  Run.until([&] { return Run.nowMs() >= CutAt + CutMs; }, CutMs);
  Run.cut(CutNode, false);
  Run.waitMs(8000);
  if (Accepted.size() < 20)
    return cannotRun(Run, "too few jobs were accepted");
  struct DoneRun {
    std::size_t m_Executor;
    std::uint32_t m_Number;
    double m_EndedAt;
    std::optional<double> m_NotedAt;
  };
  std::map<std::string, std::vector<DoneRun>> Done;
  std::map<std::string, std::vector<std::pair<double, std::uint32_t>>> Starts;
  for (std::size_t I = 0; I < Run.executors(); ++I) {
    // Ends that are not noted yet, and whose lease has not lapsed since.
    std::map<std::pair<std::string, std::uint32_t>, DoneRun *> Open;
    for (const auto &Event : Run.executor(I).journal()) {
      double At = Run.atMs(Event.m_At);
      auto &OfTask = Done[Event.m_Task];
      if (Event.m_What == "lease lapsed")
        Open.clear();
      if (Event.m_What == "start")
        Starts[Event.m_Task].emplace_back(At, Event.m_Run);
      if (Event.m_What == "done") {
        OfTask.reserve(16);
        OfTask.push_back({I, Event.m_Run, At, std::nullopt});
        Open[{Event.m_Task, Event.m_Run}] = &OfTask.back();
      }
      if (auto Found = Open.find({Event.m_Task, Event.m_Run});
          Event.m_What == "acknowledged" && Found != Open.end())
        Found->second->m_NotedAt = At;
    }
  }
  std::string Why;
  int Count = 0;
  for (const auto &[Task, Runs] : Done)
    for (const DoneRun &Each : Runs)
      for (const auto &[At, StartNumber] : Starts[Task])
        if (Each.m_NotedAt && At > Each.m_EndedAt) {
          ++Count;
          Why = Task + " run " + std::to_string(Each.m_Number) +
                " ended done at " +
                std::to_string(static_cast<int>(Each.m_EndedAt)) +
                " ms, which was taken note of at " +
                std::to_string(static_cast<int>(*Each.m_NotedAt)) +
                " ms; run " + std::to_string(StartNumber) + " started at " +
                std::to_string(static_cast<int>(At)) + " ms";
        }
  Run.note(std::to_string(Accepted.size()) + " jobs were accepted");
  return verdict(Run, Count > 0,
                 "TWICE: " + std::to_string(Count) +
                     " starts after an end that counts; the last: " + Why);
}

/// Looks for jobs of one task that have nothing running although there is room,
/// as the rule LOST says: for 3 s, which are calm, like the 4 s before them.
class IdleCheck {
public:
  IdleCheck(Bed &Run, int CpuMillis) : m_Run(Run), m_CpuMillis(CpuMillis) {}

  void accepted(const std::string &Job) { m_Accepted.insert(Job); }
  /// Disruptions until now.
  void disturbed() { m_CalmSince = m_Run.nowMs(); }
  std::size_t jobs() const { return m_Accepted.size(); }

  /// Called often.
  void look() {
    double Now = m_Run.nowMs();
    std::int64_t Total = 0;
    std::int64_t Used = 0;
    std::int64_t Places = 0;
    for (std::size_t I = 0; I < m_Run.executors(); ++I) {
      if (!m_Run.isUp(I))
        continue;
      auto Running = static_cast<std::int64_t>(m_Run.executor(I).running());
      Total += CaseExecutor::CpuMillis;
      Used += Running * m_CpuMillis;
      Places += (CaseExecutor::CpuMillis - Running * m_CpuMillis) / m_CpuMillis;
    }
    bool HasRoom = Places >= 2 && 2 * Used < Total;
    auto Tasks = m_Run.tasks();
    m_Unfinished = 0;
    for (const std::string &Job : m_Accepted) {
      const Bed::TaskView &Task = Tasks[taskName(Job, 0, 0)];
      m_Unfinished += Task.m_IsDone ? 0 : 1;
      bool IsIdle = !Task.m_IsDone && Task.m_Active == 0 && HasRoom;
      auto Since = m_IdleSince.try_emplace(Job, Now).first;
      if (!IsIdle)
        Since->second = Now;
      double From = std::max(Since->second, m_CalmSince + 4000);
      double IdleMs = Now - From;
      if (IsIdle && IdleMs > m_LongestMs) {
        m_LongestMs = IdleMs;
        m_Longest = Job;
        m_UsedThen = Used;
        m_TotalThen = Total;
      }
      if (IsIdle && IdleMs > 3000)
        m_Broken.insert(Job);
    }
  }

  std::size_t unfinished() const { return m_Unfinished; }
  bool isBroken() const { return !m_Broken.empty(); }
  std::string why() const {
    return "LOST: " + std::to_string(m_Broken.size()) +
           " accepted jobs had nothing running for more than 3 calm seconds; " +
           "the longest, " + m_Longest + ", for " +
           std::to_string(static_cast<int>(m_LongestMs)) + " ms, with " +
           std::to_string(m_UsedThen) + " of " + std::to_string(m_TotalThen) +
           " thousandths of a core in use";
  }

private:
  Bed &m_Run;
  int m_CpuMillis;
  std::set<std::string> m_Accepted;
  std::map<std::string, double> m_IdleSince;
  double m_CalmSince = 0;
  std::size_t m_Unfinished = 0;
  double m_LongestMs = 0;
  std::string m_Longest;
  std::int64_t m_UsedThen = 0;
  std::int64_t m_TotalThen = 0;
  std::set<std::string> m_Broken;
};

BedOptions widerSite() {
  BedOptions Options;
  Options.m_NodeZones = {"brisbane-a", "ipswich-b", "toowoomba-c"};
  for (int I = 0; I < 14; ++I)
    Options.m_Executors.push_back(
        {Options.m_NodeZones[I % 3], "r-" + std::to_string(I % 3)});
  return Options;
}

// Tasks that were lost with their executors.

int runAlone(Bed &Run) {
  constexpr int CpuMillis = 1000;
  constexpr int RunMs = 5000;
  constexpr int Crashes = 2;
  constexpr int DarkMs = 4500;
  if (!startAll(Run))
    return cannotRun(Run, "the nodes are not ready");
  IdleCheck Check(Run, CpuMillis);
  std::size_t Answers = 0;
  std::size_t Jobs = Run.executors() * 16;
  for (std::size_t I = 0; I < Jobs; ++I) {
    std::string Id = jobId(I + 1);
    Run.call(I % 3, "POST", path(Id), jobBody(1, CpuMillis, RunMs).dump(), 3000,
             [&, Id](const Bed::Answer &Got) {
               ++Answers;
               if (Got.m_Status / 100 == 2)
                 Check.accepted(Id);
             });
    if (I % 8 == 7)
      Run.waitMs(20);
  }
  if (!Run.until([&] { return Answers == Jobs; }, 5000) ||
      Check.jobs() < Jobs * 9 / 10)
    return cannotRun(Run, "too few jobs were accepted");
  Run.waitMs(1000);
  if (hasTrouble()) {
    for (int I = 0; I < Crashes; ++I)
      Run.crash(I, DarkMs);
    Run.waitMs(DarkMs + 100);
    Check.disturbed();
  }
  double Begin = Run.nowMs();
  do {
    Run.waitMs(100);
    Check.look();
  } while (Check.unfinished() > 0 && Run.nowMs() < Begin + 70000);
  Run.note("unfinished jobs: " + std::to_string(Check.unfinished()));
  return verdict(Run, Check.isBroken(), Check.why());
}

// One task that loses its executor three times.

int runHeld(Bed &Run) {
  constexpr int CpuMillis = 6800;
  constexpr int RunMs = 8000;
  if (!startAll(Run))
    return cannotRun(Run, "the nodes are not ready");
  IdleCheck Check(Run, CpuMillis);
  std::string Id = jobId(1);
  if (Run.ask(0, "POST", path(Id), jobBody(1, CpuMillis, RunMs).dump())
              .m_Status /
          100 !=
      2)
    return cannotRun(Run, "the job was not accepted");
  Check.accepted(Id);
  for (int I = 0; I < 3 && hasTrouble(); ++I) {
    std::size_t At = 0;
    auto Finds = [&] {
      for (std::size_t K = 0; K < Run.executors(); ++K)
        if (Run.isUp(K) && Run.executor(K).running() > 0) {
          At = K;
          return true;
        }
      return false;
    };
    if (!Run.until(Finds, 20000))
      return cannotRun(Run, "the task does not run");
    Run.waitMs(2000);
    Run.crash(At, 0);
    Check.disturbed();
  }
  // The entry of the executor expires after three heartbeats.
  if (hasTrouble()) {
    Run.waitMs(4500);
    Check.disturbed();
  }
  double Begin = Run.nowMs();
  do {
    Run.waitMs(100);
    Check.look();
  } while (Check.unfinished() > 0 && Run.nowMs() < Begin + 60000);
  Run.note("unfinished jobs: " + std::to_string(Check.unfinished()));
  return verdict(Run, Check.isBroken(), Check.why());
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3) {
    std::cerr << "Usage: review-3 CASE RECORD\n";
    return NotRun;
  }
  std::string Case = Argv[1];
  try {
    bool IsWide = Case == "alone" || Case == "held";
    Bed Run(IsWide ? widerSite() : smallSite(Case == "twice" ? 3 : 2));
    int Result = NotRun;
    if (Case == "pending")
      Result = runPending(Run);
    else if (Case == "unknown")
      Result = runUnknown(Run, false);
    else if (Case == "cancel")
      Result = runUnknown(Run, true);
    else if (Case == "twice")
      Result = runTwice(Run);
    else if (Case == "alone")
      Result = runAlone(Run);
    else if (Case == "held")
      Result = runHeld(Run);
    else
      std::cerr << "unknown case\n";
    Run.writeRecord(Argv[2]);
    return Result;
  } catch (const std::exception &E) {
    std::cerr << E.what() << '\n';
    return NotRun;
  }
}
