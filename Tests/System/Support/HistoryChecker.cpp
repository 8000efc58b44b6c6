#include "System/Support/HistoryChecker.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <tuple>
#include <utility>

namespace auburnhub::test {
namespace {

constexpr std::array<std::string_view, 9> ViolationNames = {
    "task-started-twice", "partial-job",
    "wrong-content",      "false-not-run",
    "request-repeated",   "work-after-leaving",
    "cut-by-stop",        "configuration-reverted",
    "configuration-late"};

/// Problems that say that a process in between went away.
const std::set<std::string> CutProblems = {"connection-lost", "owner-gone",
                                           "shutting-down"};

using TaskKey = std::pair<std::string, std::size_t>;

/// A VM, the name of a process on it, and which one of that name.
struct ProcessKey {
  std::string m_Vm;
  std::string m_Process;
  int m_Life;

  bool operator<(const ProcessKey &Other) const {
    return std::tie(m_Vm, m_Process, m_Life) <
           std::tie(Other.m_Vm, Other.m_Process, Other.m_Life);
  }
};

class Checker {
public:
  Checker(const History &Run, const CheckerBounds &Bounds)
      : m_Run(Run), m_Bounds(Bounds) {}

  std::vector<Violation> check() {
    indexCalls();
    indexJournal();
    checkStarts();
    for (const Answer &Reply : m_Run.m_Answers)
      checkAnswer(Reply);
    checkLeaving(m_Run.m_Starts);
    checkLeaving(m_Run.m_Refusals);
    checkStops();
    checkConfigurations();
    return std::move(m_Found);
  }

private:
  void report(ViolationKind Kind, const std::string &Subject,
              const std::string &Detail) {
    m_Found.push_back({Kind, Subject, Detail});
  }

  // Indexes.

  void indexCalls() {
    for (const Invocation &Call : m_Run.m_Invocations) {
      m_Calls[Call.m_Call] = &Call;
      for (const std::string &Digest : Call.m_BodyDigests)
        m_CallsByDigest[Digest].insert(&Call);
      indexSubmission(Call, Call.m_Submission);
    }
    for (const Answer &Reply : m_Run.m_Answers)
      if (const Invocation *Call = findCall(Reply.m_Call))
        indexSubmission(*Call, Reply.m_Submission);
  }

  void indexSubmission(const Invocation &Call, const std::string &Id) {
    if (Id.empty())
      return;
    m_CallsBySubmission[Id].insert(&Call);
    m_CallsWithSubmission.insert(Call.m_Call);
  }

  void indexJournal() {
    for (const EndpointAction &Start : m_Run.m_Starts) {
      m_Starts[{Start.m_Submission, Start.m_Task}].push_back(&Start);
      m_StartedSubmissions.insert(Start.m_Submission);
      m_StartedDigests.insert(Start.m_BodyDigest);
    }
    for (const EndpointAction &Finish : m_Run.m_Finishes)
      if (Finish.m_Ok)
        m_Results[{Finish.m_Submission, Finish.m_Task}].insert(
            Finish.m_ResultDigest);
  }

  const Invocation *findCall(const std::string &Id) const {
    auto It = m_Calls.find(Id);
    return It == m_Calls.end() ? nullptr : It->second;
  }

  /// Returns the calls that may have caused a start: those with its id whose
  /// body it has, or else those without a known id that have its body.
  std::vector<const Invocation *> callsOf(const EndpointAction &Start) const {
    std::vector<const Invocation *> Found;
    if (auto It = m_CallsBySubmission.find(Start.m_Submission);
        It != m_CallsBySubmission.end())
      for (const Invocation *Call : It->second)
        if (hasBody(*Call, Start))
          Found.push_back(Call);
    if (!Found.empty())
      return Found;
    if (auto It = m_CallsByDigest.find(Start.m_BodyDigest);
        It != m_CallsByDigest.end())
      for (const Invocation *Call : It->second)
        if (!hasKnownSubmission(*Call) && hasBody(*Call, Start))
          Found.push_back(Call);
    return Found;
  }

  static bool hasBody(const Invocation &Call, const EndpointAction &Start) {
    return Start.m_Task < Call.m_BodyDigests.size() &&
           Call.m_BodyDigests[Start.m_Task] == Start.m_BodyDigest;
  }

  bool hasKnownSubmission(const Invocation &Call) const {
    return m_CallsWithSubmission.contains(Call.m_Call);
  }

  // Starts.

  void checkStarts() {
    for (const auto &[Key, Starts] : m_Starts) {
      for (const EndpointAction *Start : Starts)
        if (callsOf(*Start).empty())
          report(ViolationKind::WrongContent, Key.first,
                 "task " + std::to_string(Key.second) +
                     " started with a body that its caller did not send");
      if (Starts.size() > 1)
        checkRepeatedStart(Key, Starts);
    }
  }

  void checkRepeatedStart(const TaskKey &Key,
                          const std::vector<const EndpointAction *> &Starts) {
    const std::vector<const Invocation *> Calls = callsOf(*Starts.front());
    const std::string Detail = "task " + std::to_string(Key.second) +
                               " started " + std::to_string(Starts.size()) +
                               " times";
    const bool IsJob = std::ranges::any_of(Calls, [](const Invocation *Call) {
      return Call->m_Kind == SubmissionKind::Job;
    });
    const bool Repeatable =
        !Calls.empty() &&
        std::ranges::all_of(
            Calls, [](const Invocation *Call) { return Call->m_Repeatable; });
    if (IsJob)
      report(ViolationKind::TaskStartedTwice, Key.first, Detail);
    else if (!Repeatable)
      report(ViolationKind::RequestRepeated, Key.first, Detail);
  }

  // Answers.

  void checkAnswer(const Answer &Reply) {
    const Invocation *Call = findCall(Reply.m_Call);
    if (!Call)
      return report(ViolationKind::WrongContent, Reply.m_Call,
                    "an answer without a call");
    if (!m_Answered.insert(Reply.m_Call).second)
      report(ViolationKind::WrongContent, Reply.m_Call,
             "a call was answered twice");
    if (!Call->m_Submission.empty() && !Reply.m_Submission.empty() &&
        Call->m_Submission != Reply.m_Submission)
      report(ViolationKind::WrongContent, Reply.m_Call,
             "the answer names another submission");
    if (Reply.m_Outcome == "not_run")
      checkNotRun(*Call, Reply);
    if (Reply.m_Status != 200)
      return;
    checkTeam(*Call, Reply);
    checkResults(*Call, Reply);
  }

  void checkTeam(const Invocation &Call, const Answer &Reply) {
    if (Reply.m_Submission.empty())
      return;
    auto [It, New] =
        m_AnsweredTeams.try_emplace(Reply.m_Submission, Call.m_Team);
    if (!New && It->second != Call.m_Team)
      report(ViolationKind::WrongContent, Reply.m_Submission,
             "answered to the teams " + It->second + " and " + Call.m_Team);
  }

  void checkNotRun(const Invocation &Call, const Answer &Reply) {
    const std::string &Id =
        Reply.m_Submission.empty() ? Call.m_Submission : Reply.m_Submission;
    const bool Started =
        Id.empty() ? startedByDigest(Call) : m_StartedSubmissions.contains(Id);
    if (Started)
      report(ViolationKind::FalseNotRun, Id.empty() ? Call.m_Call : Id,
             "call " + Call.m_Call + " was told not_run, but a task started");
  }

  /// Returns whether a body that only this call sent was started.
  bool startedByDigest(const Invocation &Call) const {
    return std::ranges::any_of(Call.m_BodyDigests,
                               [&](const std::string &Digest) {
                                 return m_StartedDigests.contains(Digest) &&
                                        m_CallsByDigest.at(Digest).size() == 1;
                               });
  }

  void checkResults(const Invocation &Call, const Answer &Reply) {
    const std::string &Id =
        Reply.m_Submission.empty() ? Call.m_Submission : Reply.m_Submission;
    const bool IsJob = Call.m_Kind == SubmissionKind::Job;
    if (Reply.m_ResultDigests.size() != Call.m_Tasks)
      return report(
          IsJob ? ViolationKind::PartialJob : ViolationKind::WrongContent, Id,
          std::to_string(Reply.m_ResultDigests.size()) + " results for " +
              std::to_string(Call.m_Tasks) + " tasks");
    for (std::size_t Task = 0; Task < Call.m_Tasks; ++Task)
      checkResult(Call, Id, Task, Reply.m_ResultDigests[Task]);
  }

  void checkResult(const Invocation &Call, const std::string &Id,
                   std::size_t Task, const std::string &Digest) {
    const std::string Detail =
        "call " + Call.m_Call + ", task " + std::to_string(Task) + ": ";
    auto Results = m_Results.find({Id, Task});
    if (Results == m_Results.end())
      return report(Call.m_Kind == SubmissionKind::Job
                        ? ViolationKind::PartialJob
                        : ViolationKind::WrongContent,
                    Id, Detail + "answered, but it never finished");
    if (!Results->second.contains(Digest))
      return report(ViolationKind::WrongContent, Id,
                    Detail + "the result is not its own");
    const auto &Starts = m_Starts[{Id, Task}];
    if (std::ranges::none_of(Starts, [&](const EndpointAction *Start) {
          return hasBody(Call, *Start);
        }))
      report(ViolationKind::WrongContent, Id,
             Detail + "the result is that of another body");
  }

  // Leaving endpoints.

  void checkLeaving(const std::vector<EndpointAction> &Actions) {
    for (const EndpointAction &Action : Actions)
      if (std::optional<std::int64_t> Since = leavingSince(Action);
          Since && Action.m_TimeMs > *Since + m_Bounds.m_LeavingMs)
        report(ViolationKind::WorkAfterLeaving, Action.m_Endpoint,
               "given " + Action.m_Submission + " " +
                   std::to_string(Action.m_TimeMs - *Since) +
                   " ms after its sign");
  }

  /// Returns the first sign of the departure that is under way at an action.
  std::optional<std::int64_t> leavingSince(const EndpointAction &At) const {
    std::map<std::int64_t, bool> Signs;
    for (const EndpointSign &Sign : m_Run.m_Signs)
      if (Sign.m_Endpoint == At.m_Endpoint && Sign.m_TimeMs <= At.m_TimeMs)
        Signs[Sign.m_TimeMs] = Sign.m_Leaving;
    std::optional<std::int64_t> Since;
    for (const auto &[TimeMs, Leaving] : Signs)
      if (!Leaving)
        Since.reset();
      else if (!Since)
        Since = TimeMs;
    return Since;
  }

  // Planned stops.

  void checkStops() {
    std::map<std::string, const Answer *> Answers;
    for (const Answer &Reply : m_Run.m_Answers)
      Answers[Reply.m_Call] = &Reply;
    for (const Invocation &Call : m_Run.m_Invocations) {
      auto It = Answers.find(Call.m_Call);
      checkCut(Call, It == Answers.end() ? nullptr : It->second);
    }
  }

  /// Returns whether a process that stops refused a new call. Under a caller's
  /// id that is `unknown`, for an earlier call may have run; but a call of
  /// which something started was in progress.
  bool wasRefused(const Answer &Reply) const {
    return Reply.m_Problem == "shutting-down" && Reply.m_RetryAfter &&
           !m_StartedSubmissions.contains(Reply.m_Submission);
  }

  void checkCut(const Invocation &Call, const Answer *Reply) {
    const bool Cut =
        !Reply || Reply->m_Status == 0 ||
        (Reply->m_Outcome == "unknown" &&
         CutProblems.contains(Reply->m_Problem) && !wasRefused(*Reply));
    if (!Cut)
      return;
    const std::int64_t EndMs = Reply ? Reply->m_TimeMs : m_Run.endMs();
    for (const Isolation &Away : m_Run.m_Isolations)
      if (Away.m_TimeMs <= EndMs && Away.m_UntilMs >= Call.m_TimeMs)
        return; // So may a VM that cannot be reached.
    const ProcessEnd *Stop = nullptr;
    for (const ProcessEnd &End : m_Run.m_Ends) {
      if (End.m_TimeMs < Call.m_TimeMs || End.m_TimeMs > EndMs)
        continue;
      if (!End.m_Planned)
        return; // A kill may cut calls.
      Stop = &End;
    }
    if (Stop)
      report(ViolationKind::CutByStop, Call.m_Call,
             "in progress while " + Stop->m_Process + " of " + Stop->m_Vm +
                 " stopped");
  }

  // Configurations.

  struct ConfigurationReport {
    std::int64_t m_TimeMs;
    std::int64_t m_Offset;
  };
  struct ProcessLife {
    std::vector<ConfigurationReport> m_Reports;
    std::int64_t m_EndMs = 0;
  };

  void checkConfigurations() {
    std::map<std::int64_t, std::int64_t> FirstSeen;
    for (const ConfigurationInForce &Config : m_Run.m_Configurations) {
      auto [It, New] = FirstSeen.try_emplace(Config.m_Offset, Config.m_TimeMs);
      if (!New)
        It->second = std::min(It->second, Config.m_TimeMs);
    }
    for (const auto &[Process, Life] : processLives()) {
      checkOrder(Process, Life);
      for (const auto &[Offset, TimeMs] : FirstSeen)
        checkFollows(Process, Life, Offset, TimeMs);
    }
  }

  /// Returns the reports of each process, in order of time, and its end.
  std::map<ProcessKey, ProcessLife> processLives() const {
    std::map<ProcessKey, ProcessLife> Lives;
    for (const ConfigurationInForce &Config : m_Run.m_Configurations) {
      const ProcessKey Key{Config.m_Vm, Config.m_Process, Config.m_Life};
      ProcessLife &Life =
          Lives.try_emplace(Key, ProcessLife{{}, m_Run.endMs()}).first->second;
      Life.m_Reports.push_back({Config.m_TimeMs, Config.m_Offset});
    }
    for (const ProcessEnd &End : m_Run.m_Ends)
      if (auto It = Lives.find({End.m_Vm, End.m_Process, End.m_Life});
          It != Lives.end())
        It->second.m_EndMs = std::min(It->second.m_EndMs, End.m_TimeMs);
    for (auto &[Key, Life] : Lives)
      std::ranges::stable_sort(Life.m_Reports, {},
                               &ConfigurationReport::m_TimeMs);
    return Lives;
  }

  void checkOrder(const ProcessKey &Process, const ProcessLife &Life) {
    std::int64_t Newest = -1;
    for (const ConfigurationReport &Report : Life.m_Reports) {
      if (Report.m_Offset < Newest)
        report(ViolationKind::ConfigurationReverted, nameOf(Process),
               "from offset " + std::to_string(Newest) + " to " +
                   std::to_string(Report.m_Offset));
      Newest = std::max(Newest, Report.m_Offset);
    }
  }

  /// Checks that a process that lives throughout the bound follows in it.
  void checkFollows(const ProcessKey &Process, const ProcessLife &Life,
                    std::int64_t Offset, std::int64_t FirstMs) {
    const std::int64_t SinceMs =
        std::max(FirstMs, Life.m_Reports.front().m_TimeMs);
    const std::int64_t DueMs = dueAfter(Process.m_Vm, SinceMs);
    if (Life.m_EndMs < DueMs)
      return;
    const bool Follows = std::ranges::any_of(
        Life.m_Reports, [&](const ConfigurationReport &Report) {
          return Report.m_Offset >= Offset && Report.m_TimeMs <= DueMs;
        });
    if (!Follows)
      report(ViolationKind::ConfigurationLate, nameOf(Process),
             "offset " + std::to_string(Offset) + " not in force within " +
                 std::to_string(DueMs - FirstMs) + " ms");
  }

  std::int64_t dueAfter(const std::string &Vm, std::int64_t SinceMs) const {
    std::int64_t DueMs = SinceMs + m_Bounds.m_ConfigurationMs;
    for (const Isolation &Cut : m_Run.m_Isolations)
      if (Cut.m_Vm == Vm && Cut.m_TimeMs <= DueMs && Cut.m_UntilMs >= SinceMs)
        DueMs = std::max(DueMs, Cut.m_UntilMs + m_Bounds.m_ConfigurationMs);
    return DueMs;
  }

  static std::string nameOf(const ProcessKey &Process) {
    return Process.m_Process + " of " + Process.m_Vm;
  }

  const History &m_Run;
  const CheckerBounds m_Bounds;
  std::vector<Violation> m_Found;
  std::map<std::string, const Invocation *> m_Calls;
  std::map<std::string, std::set<const Invocation *>> m_CallsByDigest;
  std::map<std::string, std::set<const Invocation *>> m_CallsBySubmission;
  std::map<TaskKey, std::vector<const EndpointAction *>> m_Starts;
  std::map<TaskKey, std::set<std::string>> m_Results;
  std::set<std::string> m_CallsWithSubmission;
  std::set<std::string> m_StartedSubmissions;
  std::set<std::string> m_StartedDigests;
  std::set<std::string> m_Answered;
  std::map<std::string, std::string> m_AnsweredTeams;
};

} // namespace

std::string_view violationName(ViolationKind Kind) {
  return ViolationNames[static_cast<std::size_t>(Kind)];
}

std::ostream &operator<<(std::ostream &Output, ViolationKind Kind) {
  return Output << violationName(Kind);
}

std::vector<Violation> checkHistory(const History &Run,
                                    const CheckerBounds &Bounds) {
  return Checker(Run, Bounds).check();
}

} // namespace auburnhub::test
