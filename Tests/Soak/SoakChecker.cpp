#include "SoakChecker.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace auburnhub::soak {
namespace {

using Event = platform::FakeExecutor::Event;

/// The users' bounds, in milliseconds.
constexpr double CancelMs = 3000;
constexpr double DrainMs = 2000;
/// A machine counts as undisturbed once nothing has harmed it for so long.
constexpr double ContactMs = 3000;
/// Disturbances during which a node may miss that a worker has shrunk.
constexpr std::array<std::string_view, 3> OfTheStore = {
    "store-down", "turned-away", "cut-from-store"};
/// What a start may be late on its way to a worker.
constexpr double PathMs = 100;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

bool isEnd(const Event &Item) {
  return Item.m_What != "start" && Item.m_What != "acknowledged";
}

/// All events of one task, in the order of their times.
using TaskEvents = std::map<std::string, std::vector<Event>>;

TaskEvents eventsByTask(const SoakHistory &Seen) {
  TaskEvents Result;
  for (const ExecutorHistory &Executor : Seen.m_Executors)
    for (const Event &Item : Executor.m_Journal)
      Result[Item.m_Task].push_back(Item);
  for (auto &[Task, Events] : Result)
    std::stable_sort(
        Events.begin(), Events.end(),
        [](const Event &A, const Event &B) { return A.m_At < B.m_At; });
  return Result;
}

class Checker {
public:
  explicit Checker(const SoakHistory &Seen)
      : m_Seen(Seen), m_Tasks(eventsByTask(Seen)) {
    for (const SoakJob &Job : Seen.m_Jobs)
      m_Jobs[Job.m_Id] = &Job;
  }

  std::vector<Finding> run() {
    for (const auto &[Task, Events] : m_Tasks)
      checkTask(Task, Events);
    for (const ExecutorHistory &Executor : m_Seen.m_Executors)
      checkExecutor(Executor);
    for (const SoakJob &Job : m_Seen.m_Jobs)
      checkJob(Job);
    return std::move(m_Findings);
  }

private:
  void find(Breach What, std::string Detail) {
    m_Findings.push_back({What, std::move(Detail)});
  }

  /// Tells whether anything was harmed, other than by plan, near a time.
  bool isCalm(TimePoint From, TimePoint To) const {
    return std::none_of(m_Seen.m_Disturbances.begin(),
                        m_Seen.m_Disturbances.end(),
                        [&](const Disturbance &Each) {
                          return !Each.m_Planned && Each.m_Begin <= To &&
                                 addMs(Each.m_End, ContactMs) >= From;
                        });
  }

  /// Tells whether every node could read registrations before a time.
  bool couldReadStore(TimePoint Until) const {
    TimePoint From = Until - platform::FakeExecutor::CapacityNoticeTime;
    return std::none_of(m_Seen.m_Disturbances.begin(),
                        m_Seen.m_Disturbances.end(),
                        [&](const Disturbance &Each) {
                          return std::find(OfTheStore.begin(), OfTheStore.end(),
                                           Each.m_Kind) != OfTheStore.end() &&
                                 Each.m_Begin <= Until && Each.m_End >= From;
                        });
  }

  void checkTask(const std::string &Task, const std::vector<Event> &Events) {
    auto Found = m_Jobs.find(jobOf(Task));
    if (Found == m_Jobs.end()) {
      find(Breach::Unasked, Task);
      return;
    }
    const SoakJob &Job = *Found->second;
    int Alive = 0;
    std::set<std::uint32_t> Done;
    std::set<std::uint32_t> Failed;
    std::set<std::uint32_t> FailuresTaken;
    bool DoneTaken = false;
    for (const Event &Item : Events) {
      if (Item.m_What == "acknowledged") {
        DoneTaken = DoneTaken || Done.contains(Item.m_Run);
        if (Failed.contains(Item.m_Run))
          FailuresTaken.insert(Item.m_Run);
        continue;
      }
      if (isEnd(Item)) {
        --Alive;
        if (Item.m_What == "done")
          Done.insert(Item.m_Run);
        if (Item.m_What == "failed")
          Failed.insert(Item.m_Run);
        continue;
      }
      if (++Alive > 1)
        find(Breach::RanTwiceAtOnce, Task);
      if (Job.m_Stored && DoneTaken)
        find(Breach::RanAgainAfterDone, Task);
      if (Job.m_Stored && FailuresTaken.size() >= m_Seen.m_MaxAttempts)
        find(Breach::TriedTooOften, Task);
      checkStartAfterCancel(Job, Item);
    }
  }

  void checkStartAfterCancel(const SoakJob &Job, const Event &Start) {
    if (Job.m_CancelledAt &&
        millisecondsBetween(*Job.m_CancelledAt, Start.m_At) > CancelMs &&
        isCalm(*Job.m_CancelledAt, Start.m_At))
      find(Breach::RanAfterCancel, Start.m_Task);
  }

  void checkExecutor(const ExecutorHistory &Executor) {
    if (Executor.m_PeakCpuMillis > platform::FakeExecutor::CpuMillis)
      find(Breach::OverCapacity, Executor.m_Id);
    for (TimePoint At : Executor.m_StartsOverCapacity)
      if (couldReadStore(At))
        find(Breach::OverCapacity, Executor.m_Id + " after it has shrunk");
    if (!Executor.m_DrainingSince)
      return;
    for (const Event &Item : Executor.m_Journal)
      if (Item.m_What == "start" &&
          millisecondsBetween(*Executor.m_DrainingSince, Item.m_At) >
              DrainMs + PathMs &&
          isCalm(*Executor.m_DrainingSince, Item.m_At))
        find(Breach::RanWhileDraining, Executor.m_Id + " " + Item.m_Task);
  }

  std::size_t tasksDone(const SoakJob &Job, TimePoint By) const {
    std::size_t Count = 0;
    for (int Index = 0; Index < Job.m_Tasks; ++Index) {
      auto Found = m_Tasks.find(Job.m_Id + ".0.0." + std::to_string(Index));
      if (Found != m_Tasks.end() &&
          std::any_of(Found->second.begin(), Found->second.end(),
                      [&](const Event &Item) {
                        return Item.m_What == "done" && Item.m_At <= By;
                      }))
        ++Count;
    }
    return Count;
  }

  bool hasStarted(const SoakJob &Job) const {
    auto First = m_Tasks.lower_bound(Job.m_Id + ".");
    return First != m_Tasks.end() && jobOf(First->first) == Job.m_Id;
  }

  bool hasSpentAttempts(const SoakJob &Job) const {
    for (int Index = 0; Index < Job.m_Tasks; ++Index) {
      auto Found = m_Tasks.find(Job.m_Id + ".0.0." + std::to_string(Index));
      if (Found == m_Tasks.end())
        continue;
      auto Failures = std::count_if(
          Found->second.begin(), Found->second.end(),
          [](const Event &Item) { return Item.m_What == "failed"; });
      if (Failures >= static_cast<std::ptrdiff_t>(m_Seen.m_MaxAttempts))
        return true;
    }
    return false;
  }

  void checkJob(const SoakJob &Job) {
    bool AllRefused = Job.m_HandedIn > 0;
    for (const SoakCall &Call : Job.m_Calls) {
      bool HandsIn = Call.m_Method == "POST";
      bool Refused = Call.m_Status == 503 || Call.m_Status == 429 ||
                     Call.m_Status == NoConnection;
      AllRefused = AllRefused && (!HandsIn || Refused);
      checkState(Job, Call);
      checkCut(Job, Call);
    }
    if (AllRefused && hasStarted(Job))
      find(Breach::RanThoughRefused, Job.m_Id);
    if (Job.m_AcceptedAt && !Job.isOver())
      find(Breach::NeverEnded, Job.m_Id + " is " + Job.m_State);
  }

  void checkState(const SoakJob &Job, const SoakCall &Call) {
    if (Call.m_State == "completed" &&
        tasksDone(Job, Call.m_Ended) != static_cast<std::size_t>(Job.m_Tasks))
      find(Breach::SaidDoneTooEarly, Job.m_Id);
    if (Call.m_State == "failed" && !hasSpentAttempts(Job))
      find(Breach::FailedWithoutCause, Job.m_Id);
    if (Call.m_State == "canceled" && !Job.m_CancelSentAt)
      find(Breach::CancelledUnasked, Job.m_Id);
    bool Unknown = Call.m_Method == "GET" && Call.m_Status == 410;
    if (Unknown && Job.m_AcceptedAt && Call.m_Sent > *Job.m_AcceptedAt)
      find(Breach::Forgotten,
           Job.m_Id + " by node " + std::to_string(Call.m_Node));
  }

  /// A call that broke at a node that was being stopped while nothing else was
  /// harmed.
  void checkCut(const SoakJob &Job, const SoakCall &Call) {
    if (Call.m_Status != ConnectionBroke)
      return;
    bool IsStopping =
        std::any_of(m_Seen.m_Disturbances.begin(), m_Seen.m_Disturbances.end(),
                    [&](const Disturbance &Each) {
                      return Each.m_Planned && Each.m_Kind == "stop" &&
                             Each.m_Node == Call.m_Node &&
                             Each.m_Begin <= Call.m_Ended &&
                             Each.m_End >= Call.m_Sent;
                    });
    if (IsStopping && isCalm(Call.m_Sent, Call.m_Ended))
      find(Breach::CutByAStop, Job.m_Id + " " + Call.m_Method + " at node " +
                                   std::to_string(Call.m_Node));
  }

  const SoakHistory &m_Seen;
  TaskEvents m_Tasks;
  std::map<std::string, const SoakJob *> m_Jobs;
  std::vector<Finding> m_Findings;
};

} // namespace

std::string_view breachName(Breach What) {
  static constexpr std::array<std::string_view, 18> Names = {
      "ran-twice-at-once",
      "ran-again-after-done",
      "over-capacity",
      "unasked",
      "ran-though-refused",
      "ran-after-cancel",
      "ran-while-draining",
      "said-done-too-early",
      "failed-without-cause",
      "cancelled-unasked",
      "forgotten",
      "never-ended",
      "tried-too-often",
      "cut-by-a-stop",
      "not-served-again",
      "node-ended-by-itself",
      "stop-took-too-long",
      "end-not-acknowledged"};
  return Names[static_cast<std::size_t>(What)];
}

std::vector<Finding> checkSoak(const SoakHistory &Seen) {
  return Checker(Seen).run();
}

} // namespace auburnhub::soak
