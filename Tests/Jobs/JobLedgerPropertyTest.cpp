#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

/// Longest time in milliseconds that a run continues unobserved by its keeper.
constexpr double MaxUnobservedRunMs = StoredRunLimitMs;

/// Machines on which workers run, one incarnation after the other.
constexpr int Machines = 4;

/// Most starts of a task in finish() that crashes or cuts off each worker: the
/// pauses allow for about one each second until they have grown.
constexpr std::uint32_t MaxHarmfulStarts = 16;

/// What the first task of a job does to each worker that runs it.
enum class Harm { None, Crash, CutOff };

/// Drives a ledger, its log, its owners and their workers with random events,
/// including takeovers, and checks the invariants after each.
class RandomLedger : public LedgerFixture {
public:
  void step() {
    switch (*rc::gen::inRange(0, 18)) {
    case 0:
    case 1:
      submitJob();
      break;
    case 2:
      if (!m_Ids.empty())
        cancel(*rc::gen::elementOf(m_Ids));
      break;
    case 3:
      advanceTime(*rc::gen::inRange(1, 1500));
      expireRuns();
      break;
    case 4:
    case 5:
      startTask();
      break;
    case 6:
    case 7:
      endLiveRun();
      break;
    case 8:
      reportEnd();
      break;
    case 9:
      beginAppend();
      break;
    case 10:
      endAppend();
      break;
    case 11:
    case 12:
      loseLiveRun();
      break;
    case 13:
    case 14:
      reportLoss();
      break;
    case 15:
      restartWorker();
      break;
    case 16:
      loseOwner();
      break;
    default:
      if (*rc::gen::inRange(0, 4) == 0)
        crash();
    }
    recordAcknowledgedEnds();
    checkInvariants();
  }

  /// Lets everything take its course without further faults, except those of
  /// harmful tasks. Every other job must end; harmful tasks must be started
  /// less and less often, and their jobs can be cancelled.
  void finish() {
    std::map<TaskRef, std::uint32_t> Starts;
    for (int Second = 0; Second < 110; ++Second) {
      while (auto Task = startTask())
        RC_ASSERT(++Starts[*Task] <= MaxHarmfulStarts ||
                  harmOf(*Task) == Harm::None);
      while (!m_LiveRuns.empty())
        endRun(m_LiveRuns.begin());
      for (const EndedRun &Report : std::vector(m_EndedRuns))
        reportEnd(Report);
      for (const Loss &Lost : std::vector(m_Losses))
        reportLoss(Lost);
      if (m_Ledger->isAppending() || m_Ledger->hasRecords()) {
        beginAppend();
        endAppend(/*IsRefused=*/false);
      }
      recordAcknowledgedEnds();
      checkInvariants();
      restartWorkers();
      advanceTime(1000);
    }
    for (const std::string &Id : m_AcceptedJobs) {
      bool IsHarmful = m_Harm.at(Id) != Harm::None;
      auto State = m_Ledger->state(Id);
      RC_ASSERT(IsHarmful || !State || *State >= StoredJobState::Completed);
      RC_ASSERT(!IsHarmful || State != StoredJobState::Completed);
      if (IsHarmful)
        cancel(Id);
    }
    beginAppend();
    endAppend(/*IsRefused=*/false);
    for (const std::string &Id : m_AcceptedJobs) {
      auto State = m_Ledger->state(Id);
      RC_ASSERT(!State || *State >= StoredJobState::Completed);
    }
  }

private:
  using RunKey = std::pair<TaskRef, std::uint32_t>;
  struct Run {
    StoredTask m_Task;
    TimePoint m_LapsesAt = TimePoint::max();
  };
  using LiveRuns = std::map<RunKey, Run>;
  struct EndedRun {
    StoredTask m_Task;
    StoredRunEnd m_EndKind = StoredRunEnd::Done;
  };
  struct Loss {
    StoredTask m_Task;
    WorkerIncarnation m_On;
  };

  void submitJob() {
    std::string Id = "job" + std::to_string(m_Ids.size());
    m_Ids.push_back(Id);
    m_Harm[Id] = *rc::gen::element(Harm::None, Harm::None, Harm::None,
                                   Harm::Crash, Harm::CutOff);
    m_SubmittedJobs[submit(*rc::gen::arbitrary<bool>()
                               ? twoSteps(Id)
                               : job(Id, *rc::gen::inRange(1U, 4U)))] = Id;
  }
  Harm harmOf(const TaskRef &Task) const {
    bool IsFirst = Task.m_Step == 0 && Task.m_Index == 0;
    return IsFirst ? m_Harm.at(Task.m_Job) : Harm::None;
  }

  std::optional<TaskRef> startTask() {
    auto Task = start();
    if (!Task)
      return std::nullopt;
    // A job whose keeper crashed may be stored although its call was not
    // answered.
    RC_ASSERT(!m_RefusedJobs.contains(Task->m_Job));
    RC_ASSERT(!m_DoneAcknowledged.contains(Task->task()));
    RC_ASSERT(m_FailuresAcknowledged[Task->task()] <
              Task->m_Policy.m_MaxAttempts);
    RC_ASSERT(Task->m_LostRuns >=
              std::min(m_LossesAcknowledged[Task->task()],
                       JobLedgerParameters().m_MaxLostRunsOfTask));
    RC_ASSERT(Task->m_LostRuns <= m_LossesReported[Task->task()].size());
    for (const auto &[Key, LiveRun] : m_LiveRuns)
      RC_ASSERT(!(Key.first == Task->task()));
    RC_ASSERT(Task->m_Number > m_HighestNumber[Task->task()]);
    m_HighestNumber[Task->task()] = Task->m_Number;
    recordEarlierEnds(*Task);
    m_LiveRuns[{Task->task(), Task->m_Number}] = {*Task, TimePoint::max()};
    return Task->task();
  }

  /// Records the ends of which the keeper did not know when it started a run:
  /// they may be acknowledged only when the lease of their worker has ended.
  void recordEarlierEnds(const StoredTask &Started) {
    std::set<RunKey> Failures;
    for (const EndedRun &E : m_EndedRuns) {
      if (E.m_Task.task() != Started.task())
        continue;
      if (E.m_EndKind == StoredRunEnd::Done)
        m_OvertakenSuccesses.insert({E.m_Task.task(), E.m_Task.m_Number});
      if (E.m_EndKind == StoredRunEnd::Failed)
        Failures.insert({E.m_Task.task(), E.m_Task.m_Number});
    }
    if (Failures.size() >= Started.m_Policy.m_MaxAttempts)
      m_OvertakenFailures.push_back(std::move(Failures));
  }

  /// An end was acknowledged without waiting for the lease.
  void checkAcknowledgedAtOnce(const RunKey &Ended) {
    RC_ASSERT(!m_OvertakenSuccesses.contains(Ended));
    m_AcknowledgedAtOnce.insert(Ended);
    for (const std::set<RunKey> &Failures : m_OvertakenFailures)
      RC_ASSERT(!std::includes(m_AcknowledgedAtOnce.begin(),
                               m_AcknowledgedAtOnce.end(), Failures.begin(),
                               Failures.end()));
  }

  /// Ends a run at its worker; its owner has not reported the end yet.
  void endLiveRun() {
    if (m_LiveRuns.empty())
      return;
    auto It = anyLiveRun();
    if (harmOf(It->first.first) != Harm::None) {
      endRun(It);
      return;
    }
    auto Outcome = *rc::gen::element(StoredRunEnd::Done, StoredRunEnd::Done,
                                     StoredRunEnd::Failed, StoredRunEnd::Over);
    m_EndedRuns.push_back({It->second.m_Task, Outcome});
    m_LiveRuns.erase(It);
  }

  /// Ends a run as its task would end it.
  void endRun(LiveRuns::iterator It) {
    Harm ByTask = harmOf(It->first.first);
    if (ByTask != Harm::None) {
      loseRuns(It, ByTask == Harm::Crash);
      return;
    }
    m_EndedRuns.push_back({It->second.m_Task, StoredRunEnd::Done});
    m_LiveRuns.erase(It);
  }

  LiveRuns::iterator anyLiveRun() {
    auto It = m_LiveRuns.begin();
    std::advance(It, *rc::gen::inRange<std::size_t>(0, m_LiveRuns.size()));
    return It;
  }

  /// Loses the worker of a run by a crash or a broken connection.
  void loseLiveRun() {
    if (!m_LiveRuns.empty())
      loseRuns(anyLiveRun(), *rc::gen::arbitrary<bool>());
  }

  /// Loses the worker of a run, and sometimes another run on it.
  void loseRuns(LiveRuns::iterator It, bool IsCrash) {
    int Machine = *rc::gen::inRange(0, Machines);
    auto Lose = [&](LiveRuns::iterator Run) {
      m_Losses.push_back({Run->second.m_Task, incarnation(Machine)});
      m_LiveRuns.erase(Run);
    };
    // A task with a lost run runs alone on its worker.
    bool IsAlone = It->second.m_Task.m_LostRuns > 0;
    Lose(It);
    if (IsCrash)
      m_CrashedMachines.insert(Machine);
    if (IsAlone || m_LiveRuns.empty() || !*rc::gen::arbitrary<bool>())
      return;
    if (auto Other = anyLiveRun(); Other->second.m_Task.m_LostRuns == 0)
      Lose(Other);
  }

  WorkerIncarnation incarnation(int Machine) const {
    auto Started = m_StartedAtMs.find(Machine);
    return {"worker", "10.0.0." + std::to_string(Machine) + ":80",
            Started == m_StartedAtMs.end() ? 1 : Started->second};
  }

  void restartWorker() {
    if (!m_CrashedMachines.empty())
      restartWorker(*rc::gen::elementOf(m_CrashedMachines));
  }
  void restartWorkers() {
    while (!m_CrashedMachines.empty())
      restartWorker(*m_CrashedMachines.begin());
  }
  void restartWorker(int Machine) {
    m_CrashedMachines.erase(Machine);
    m_StartedAtMs[Machine] =
        std::max(m_WallMs, incarnation(Machine).m_StartMs + 1);
    seeWorker(incarnation(Machine));
  }
  void seeAllWorkers() {
    for (int Machine = 0; Machine < Machines; ++Machine)
      seeWorker(incarnation(Machine));
  }

  /// Reports a lost run at an owner. The owner repeats the report until it is
  /// acknowledged.
  void reportLoss() {
    if (!m_Losses.empty())
      reportLoss(*rc::gen::elementOf(m_Losses));
  }
  void reportLoss(const Loss &Lost) {
    m_LossesReported[Lost.m_Task.task()][Lost.m_Task.m_Number] = Lost.m_On;
    loseRun(Lost.m_Task, Lost.m_On);
    seeAllWorkers();
  }

  /// Reports an end at an owner. The owner may repeat the report until the end
  /// is acknowledged.
  void reportEnd() {
    if (!m_EndedRuns.empty())
      reportEnd(*rc::gen::elementOf(m_EndedRuns));
  }
  void reportEnd(const EndedRun &Report) {
    LedgerFixture::endRun(Report.m_Task, Report.m_EndKind);
    if (Report.m_EndKind == StoredRunEnd::Over)
      std::erase_if(m_EndedRuns, [&](const EndedRun &E) {
        return E.m_Task.task() == Report.m_Task.task() &&
               E.m_Task.m_Number == Report.m_Task.m_Number;
      });
  }

  void beginAppend() {
    if (m_Ledger->isAppending() || !m_Ledger->hasRecords())
      return;
    m_InFlight = m_Ledger->takeBatch();
  }

  void endAppend() { endAppend(*rc::gen::inRange(0, 4) == 0); }
  void endAppend(bool IsRefused) {
    if (!m_Ledger->isAppending())
      return;
    if (IsRefused) {
      m_Ledger->appendRefused();
    } else {
      write();
      m_Ledger->appendSucceeded(m_Now);
    }
    collect();
    recordAnswers();
  }

  /// Crashes the keeper and takes over its partition. An append in flight may
  /// or may not take effect.
  void crash() {
    if (m_Ledger->isAppending() && *rc::gen::arbitrary<bool>())
      write();
    leaveRunsUnobserved();
    takeOver();
    RC_ASSERT(m_LoadOk);
    seeAllWorkers();
    reportSomeEnds();
    reportSomeRuns();
  }

  /// Breaks the connection to the owners. Some of them connect again.
  void loseOwner() {
    leaveRunsUnobserved();
    m_Ledger->ownerLost(m_Now, "owner");
    reportSomeRuns();
  }

  /// The keeper reaches some owners, which report the ends that are not
  /// acknowledged as far as they know.
  void reportSomeEnds() {
    for (const EndedRun &Report : std::vector(m_EndedRuns))
      if (*rc::gen::arbitrary<bool>())
        reportEnd(Report);
  }

  void leaveRunsUnobserved() {
    for (auto &[Key, LiveRun] : m_LiveRuns)
      LiveRun.m_LapsesAt =
          std::min(LiveRun.m_LapsesAt, addMs(m_Now, MaxUnobservedRunMs));
  }
  /// The keeper reaches some owners, which report their runs.
  void reportSomeRuns() {
    for (auto &[Key, LiveRun] : m_LiveRuns)
      if (*rc::gen::arbitrary<bool>()) {
        m_StoppedRuns.clear();
        m_Ledger->runReported(m_Now, "owner", Key.first, Key.second);
        collect();
        if (m_StoppedRuns.empty())
          LiveRun.m_LapsesAt = TimePoint::max();
      }
  }

  /// Ends the runs whose lease has expired.
  void expireRuns() {
    for (auto It = m_LiveRuns.begin(); It != m_LiveRuns.end();)
      It =
          It->second.m_LapsesAt <= m_Now ? m_LiveRuns.erase(It) : std::next(It);
  }

  void recordAnswers() {
    for (const auto &[Call, Done] : m_Answers)
      if (auto Found = m_SubmittedJobs.find(Call);
          Found != m_SubmittedJobs.end())
        (Done ? m_AcceptedJobs : m_RefusedJobs).insert(Found->second);
  }

  /// Records acknowledged ends. A worker discards them, so the ledger must not
  /// lose them.
  void recordAcknowledgedEnds() {
    for (const LedgerEndStored &End : std::exchange(m_AcknowledgedEnds, {})) {
      m_LossesAcknowledged[End.m_Task] +=
          std::erase_if(m_Losses, [&](const Loss &Lost) {
            return Lost.m_Task.task() == End.m_Task &&
                   Lost.m_Task.m_Number == End.m_Number;
          });
      for (const EndedRun &Report : m_EndedRuns) {
        if (Report.m_Task.task() != End.m_Task ||
            Report.m_Task.m_Number != End.m_Number)
          continue;
        if (!End.m_Superseded)
          checkAcknowledgedAtOnce({End.m_Task, End.m_Number});
        if (Report.m_EndKind == StoredRunEnd::Done)
          m_DoneAcknowledged.insert(End.m_Task);
        if (Report.m_EndKind == StoredRunEnd::Failed &&
            m_CountedFailures.insert({End.m_Task, End.m_Number}).second)
          ++m_FailuresAcknowledged[End.m_Task];
      }
    }
  }

  bool hasFailedAttempts(const std::string &Id) const {
    std::map<TaskRef, std::uint32_t> Failures;
    return std::any_of(
        m_EndedRuns.begin(), m_EndedRuns.end(), [&](const EndedRun &E) {
          return E.m_Task.m_Job == Id && E.m_EndKind == StoredRunEnd::Failed &&
                 ++Failures[E.m_Task.task()] >= E.m_Task.m_Policy.m_MaxAttempts;
        });
  }

  void checkInvariants() {
    recordAnswers();
    // Accepted jobs stay known because the simulated time is shorter than their
    // retention time.
    for (const std::string &Id : m_AcceptedJobs)
      RC_ASSERT(m_Ledger->state(Id).has_value());
    for (const std::string &Id : m_Ids)
      if (m_Ledger->state(Id) == StoredJobState::Failed)
        RC_ASSERT(hasFailedAttempts(Id));
    for (const std::string &Id : m_Ids)
      if (m_Ledger->state(Id) == StoredJobState::Completed)
        for (const auto &[Key, LiveRun] : m_LiveRuns)
          RC_ASSERT(Key.first.m_Job != Id);
  }

  std::vector<std::string> m_Ids;
  std::map<std::uint64_t, std::string> m_SubmittedJobs;
  std::set<std::string> m_AcceptedJobs;
  std::set<std::string> m_RefusedJobs;
  LiveRuns m_LiveRuns;
  std::vector<EndedRun> m_EndedRuns;
  std::map<std::string, Harm> m_Harm; ///< By job.
  /// Lost runs whose report is not acknowledged yet.
  std::vector<Loss> m_Losses;
  std::map<TaskRef, std::map<std::uint32_t, WorkerIncarnation>>
      m_LossesReported; ///< By number of the run.
  std::map<TaskRef, std::size_t> m_LossesAcknowledged;
  std::map<int, std::int64_t> m_StartedAtMs; ///< Of restarted workers.
  std::set<int> m_CrashedMachines;
  std::set<TaskRef> m_DoneAcknowledged;
  /// Ends with success after which the task was started again.
  std::set<RunKey> m_OvertakenSuccesses;
  /// By start beyond the attempts: the failures before it.
  std::vector<std::set<RunKey>> m_OvertakenFailures;
  std::set<RunKey> m_AcknowledgedAtOnce;
  std::set<RunKey> m_CountedFailures;
  std::map<TaskRef, std::uint32_t> m_FailuresAcknowledged;
  std::map<TaskRef, std::uint32_t> m_HighestNumber;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AJobLedgerUnderRandomEvents)

BOOST_AUTO_TEST_CASE(PreservesItsInvariants) {
  bool Passed = rc::check([] {
    RandomLedger Run;
    int Steps = *rc::gen::inRange(1, 150);
    for (int I = 0; I < Steps; ++I)
      Run.step();
    Run.finish();
  });
  BOOST_TEST(Passed);
}

BOOST_AUTO_TEST_SUITE_END()
