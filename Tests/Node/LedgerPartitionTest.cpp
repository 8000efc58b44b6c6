#include "auburnhub/Node/LedgerPartition.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <vector>

using namespace auburnhub;

namespace {

/// A log that queues open and append calls; the test answers them one by one.
class ScriptedLog {
public:
  using Done = std::function<void(absl::Status)>;

  void join(LedgerEpoch,
            const std::function<void(absl::StatusOr<JobLogMembership>)> &) {}
  void leave(const Done &) {}
  void open(std::uint32_t, LedgerEpoch, Done Call) {
    m_Calls.push_back(std::move(Call));
  }
  void read(std::uint32_t, std::string_view,
            const std::function<void(absl::StatusOr<JobLogPage>)> &Call) {
    Call(JobLogPage());
  }
  void append(std::uint32_t, LedgerEpoch, std::uint64_t,
              const std::vector<LedgerRecord> &, Done Call) {
    m_Calls.push_back(std::move(Call));
  }
  void markInUse(const Done &) {}

  std::deque<Done> m_Calls;
};

struct PartitionFixture {
  PartitionFixture() {
    m_Owners.put("owner", "a");
    m_Owners.setLoad("owner", 4, 0);
    m_Partition.begin();
    answer(absl::OkStatus());
    call(LedgerCallKind::Submit);
  }

  /// Makes a call about the job.
  void call(LedgerCallKind Kind) {
    m_Outcome.reset();
    LedgerCall Call;
    Call.m_Call = 7;
    Call.m_Kind = Kind;
    Call.m_Id = "a";
    Call.m_Job.m_Id = "a";
    Call.m_Job.m_Steps.resize(1);
    Call.m_Job.m_Steps[0].m_Count = 1;
    m_Partition.onCall("entry", Call);
  }

  /// Waits up to 10 s for a call to the log and answers the oldest one.
  void answer(const absl::Status &Status) {
    TimePoint Begin = EventLoop::now();
    while (m_Log.m_Calls.empty() &&
           millisecondsBetween(Begin, EventLoop::now()) < 10000) {
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(5));
    }
    BOOST_REQUIRE(!m_Log.m_Calls.empty());
    auto Call = std::move(m_Log.m_Calls.front());
    m_Log.m_Calls.pop_front();
    Call(Status);
  }

  /// Runs the partition, at most for 10 s, until the condition holds.
  bool advanceUntil(const std::function<bool()> &Condition) {
    TimePoint Begin = EventLoop::now();
    while (!Condition()) {
      if (millisecondsBetween(Begin, EventLoop::now()) > 10000)
        return false;
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(5));
      m_Partition.advance();
    }
    return true;
  }

  EventLoop m_Loop;
  ScriptedLog m_Log;
  OwnerTable m_Owners{"a"};
  std::optional<LedgerCallOutcome> m_Outcome;
  bool m_MayStart = true;
  int m_StartedRuns = 0;
  StoredRun m_LastRun;
  std::string m_LastOwner; ///< Of m_LastRun.
  StoredJobState m_State = StoredJobState::Queued;
  std::vector<WorkerIncarnation> m_Workers;
  std::vector<LedgerOpened> m_Questions; ///< Sent to single owners.
  std::vector<StoredRunsConfirmed> m_Confirmations;
  int m_AcknowledgedEnds = 0;
  int m_StopOrders = 0;
  const TimePoint m_ConfirmedAt = addMs(EventLoop::now(), -200);
  double m_OrderConfirmedAtMs = 0;
  StateChart m_Chart = *StateChart::load(
      AUBURNHUB_SOURCE_DIR "/share/auburnhub/charts/ledger-partition.yaml",
      LedgerPartition<ScriptedLog>::vocabulary());
  LedgerPartition<ScriptedLog> m_Partition{
      m_Loop,
      m_Log,
      m_Chart,
      LedgerPartitionSettings(),
      LedgerClaim{0, 3},
      m_Owners,
      {[this](const std::string &To, const StoredJobMessage &Msg) {
         if (std::holds_alternative<RunStoredTask>(Msg))
           m_LastOwner = To;
         if (const auto *Answer = std::get_if<LedgerCallAnswer>(&Msg))
           m_Outcome = Answer->m_Outcome;
         if (const auto *Answer = std::get_if<LedgerCallAnswer>(&Msg))
           m_State = Answer->m_State;
         if (const auto *Confirmed = std::get_if<StoredRunsConfirmed>(&Msg))
           m_Confirmations.push_back(*Confirmed);
         if (const auto *Order = std::get_if<RunStoredTask>(&Msg))
           m_OrderConfirmedAtMs = Order->m_ConfirmedAtMs;
         if (const auto *Order = std::get_if<RunStoredTask>(&Msg))
           m_LastRun = {Order->m_Task.task(), Order->m_Task.m_Number};
         m_StartedRuns += std::holds_alternative<RunStoredTask>(Msg) ? 1 : 0;
         m_AcknowledgedEnds +=
             std::holds_alternative<StoredEndConfirmed>(Msg) ? 1 : 0;
         m_StopOrders += std::holds_alternative<StopStoredRun>(Msg) ? 1 : 0;
         if (const auto *Question = std::get_if<LedgerOpened>(&Msg))
           m_Questions.push_back(*Question);
       },
       [](const StoredJobMessage &) {}, [] {}, [this] { return m_MayStart; },
       [this] { return m_ConfirmedAt; },
       [](const std::string &, TimePoint At) {
         return millisecondsBetween(TimePoint(), At);
       },
       [this] { return m_Workers; }}};
};

/// The task of the job has a run, and crashes its workers.
struct CrashFixture : PartitionFixture {
  CrashFixture() {
    answer(absl::OkStatus());
    m_Owners.setLoad("owner", 4, 0);
  }

  /// Reports that the worker of the current run was lost, and stores that.
  void loseRun(const WorkerIncarnation &On) {
    StoredTaskReport Report;
    Report.m_Run = m_LastRun;
    Report.m_EndKind = StoredRunEnd::Over;
    Report.m_Worker = On.m_Worker;
    Report.m_LostWith = On;
    m_Partition.onReport("owner", Report);
    answer(absl::OkStatus());
  }
  /// Waits up to 10 s for a number of started runs.
  void waitForRuns(int Count) {
    TimePoint Begin = EventLoop::now();
    while (m_StartedRuns < Count &&
           millisecondsBetween(Begin, EventLoop::now()) < 10000) {
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(5));
      m_Partition.advance();
    }
    BOOST_REQUIRE(m_StartedRuns == Count);
  }
  /// The second crash is known: the next run begins after a pause, and the job
  /// has not failed.
  void checkPause() {
    TimePoint Begin = EventLoop::now();
    BOOST_TEST(m_StartedRuns == 2);
    waitForRuns(3);
    BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) >=
               JobLedgerParameters().m_CrashPauseMs - TimerSlackMs);
    BOOST_TEST((m_Partition.ledger().state("a") == StoredJobState::Running));
  }

  /// From the beginning of the pause until the test sees it.
  static constexpr double TimerSlackMs = 200;
  std::int64_t m_StartMs = EventLoop::wallMilliseconds() - 60000;
  const WorkerIncarnation m_First{"w1", "10.0.0.1:80", m_StartMs};
  const WorkerIncarnation m_Second{"w2", "10.0.0.2:80", m_StartMs};
  const WorkerIncarnation m_FirstAgain{"w3", "10.0.0.1:80", m_StartMs + 9000};
  const WorkerIncarnation m_SecondAgain{"w4", "10.0.0.2:80", m_StartMs + 9000};
};

/// The task was given to the owner in the keeper's data centre; another one has
/// room, too.
struct TwoOwners : PartitionFixture {
  TwoOwners() {
    m_Owners.setLoad("owner", 40, 0);
    m_Owners.put("other", "b");
    m_Owners.setLoad("other", 40, 0);
    answer(absl::OkStatus());
  }

  /// The owner of the last run has not started it.
  void refuse(JobReason Reason) {
    StoredTaskReport Report;
    Report.m_Run = m_LastRun;
    Report.m_EndKind = StoredRunEnd::NotRun;
    Report.m_Reason = Reason;
    m_Partition.onReport(m_LastOwner, Report);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AJobSubmittedToAPartition, PartitionFixture)

BOOST_AUTO_TEST_CASE(IsAcknowledgedOnceItIsStored) {
  BOOST_TEST(!m_Outcome.has_value());
  answer(absl::OkStatus());
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(StartsOnceItIsStored) {
  BOOST_TEST(m_StartedRuns == 0);
  answer(absl::OkStatus());
  BOOST_TEST(m_StartedRuns == 1);
}

BOOST_AUTO_TEST_CASE(DoesNotStartOnceAnotherNodeMayKeepIt) {
  // The process was paused until its membership had expired, and reads the
  // log's answer before its next check.
  m_MayStart = false;
  answer(absl::OkStatus());
  BOOST_TEST(m_StartedRuns == 0);
}

// Guards against 503, "never runs", for a job that is being stored.
BOOST_AUTO_TEST_CASE(IsNotRefusedAgainWhileTheAppendOfItsFirstCallIsLate) {
  TimePoint Begin = EventLoop::now();
  BOOST_REQUIRE(advanceUntil(
      [&] { return millisecondsBetween(Begin, EventLoop::now()) > 600; }));
  call(LedgerCallKind::Submit);
  BOOST_TEST(!m_Outcome.has_value());
  answer(absl::OkStatus());
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

// Guards against answers from the records of a keeper that was replaced.
BOOST_AUTO_TEST_CASE(HasNoStateAtANodeThatMayNotBeItsKeeper) {
  answer(absl::OkStatus());
  m_MayStart = false;
  call(LedgerCallKind::State);
  BOOST_TEST((m_Outcome == LedgerCallOutcome::NotKeeper));
}

BOOST_AUTO_TEST_CASE(WasNotStoredIfAnotherKeeperFencedItsOnlyAppend) {
  answer(absl::FailedPreconditionError("fenced"));
  BOOST_TEST((m_Outcome == LedgerCallOutcome::NotKeeper));
}

// Guards against an append that is repeated for ever, and its partition with
// it.
BOOST_AUTO_TEST_CASE(IsRefusedOnceIfTheLogWillNeverAcceptIt) {
  answer(absl::DeadlineExceededError("no answer"));
  answer(absl::InvalidArgumentError("too long"));
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Refused));
  TimePoint Begin = EventLoop::now();
  BOOST_REQUIRE(advanceUntil(
      [&] { return millisecondsBetween(Begin, EventLoop::now()) > 200; }));
  BOOST_TEST(m_Log.m_Calls.empty());
  call(LedgerCallKind::Submit);
  answer(absl::OkStatus());
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Done));
}

BOOST_AUTO_TEST_CASE(MayBeStoredIfAnEarlierAttemptWasNotAnswered) {
  answer(absl::DeadlineExceededError("no answer"));
  answer(absl::FailedPreconditionError("fenced"));
  BOOST_TEST((m_Outcome == LedgerCallOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ATaskThatCrashesItsWorkers, CrashFixture)

BOOST_AUTO_TEST_CASE(IsStartedAgainAPauseAfterTheyRegisterAgain) {
  loseRun(m_First);
  waitForRuns(2);
  m_Partition.workerSeen(m_FirstAgain);
  answer(absl::OkStatus());
  loseRun(m_Second);
  m_Partition.workerSeen(m_SecondAgain);
  answer(absl::OkStatus());
  checkPause();
}

BOOST_AUTO_TEST_CASE(IsStartedAgainAPauseAfterTheReportIfTheyWereBackBefore) {
  m_Workers = {m_FirstAgain, m_SecondAgain};
  loseRun(m_First);
  waitForRuns(2);
  loseRun(m_Second);
  checkPause();
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against owners that go on with runs which their keeper has given up.
BOOST_FIXTURE_TEST_SUITE(AnOwnerOfRuns, PartitionFixture)

BOOST_AUTO_TEST_CASE(IsToldWhenTheKeeperWasConfirmed) {
  answer(absl::OkStatus());
  BOOST_TEST(m_OrderConfirmedAtMs ==
             millisecondsBetween(TimePoint(), m_ConfirmedAt));
  m_Partition.confirmRuns();
  BOOST_REQUIRE(m_Confirmations.size() == 1U);
  BOOST_TEST((m_Confirmations.front().m_Claim == LedgerClaim{0, 3}));
  BOOST_TEST((m_Confirmations.front().m_Runs == std::vector{m_LastRun}));
  BOOST_TEST(m_Confirmations.front().m_ConfirmedAtMs == m_OrderConfirmedAtMs);
}

BOOST_AUTO_TEST_CASE(IsToldNothingOfARunThatIsTakenForLost) {
  answer(absl::OkStatus());
  m_Partition.ownerLost("owner");
  m_Partition.confirmRuns();
  BOOST_TEST(m_Confirmations.empty());
}

BOOST_AUTO_TEST_CASE(IsToldNothingByAPartitionThatIsClosed) {
  answer(absl::OkStatus());
  m_Partition.close();
  m_Partition.confirmRuns();
  BOOST_TEST(m_Confirmations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against tasks that are offered again and again to the nearest owner.
BOOST_FIXTURE_TEST_SUITE(ATaskThatAnOwnerRefuses, TwoOwners)

BOOST_AUTO_TEST_CASE(IsGivenToAnotherOne) {
  for (JobReason Reason : {JobReason::NeverFits, JobReason::NoRoom}) {
    BOOST_TEST(m_LastOwner == "owner");
    refuse(Reason);
    BOOST_TEST(m_LastOwner == "other");
    refuse(Reason);
    // The next round begins after a pause.
    int Before = m_StartedRuns;
    BOOST_TEST(advanceUntil([&] { return m_StartedRuns > Before; }));
  }
}

BOOST_AUTO_TEST_CASE(IsNotOfferedAgainAtOnceOnceAllHaveRefused) {
  refuse(JobReason::NeverFits);
  refuse(JobReason::NeverFits);
  BOOST_TEST(m_StartedRuns == 2);
  m_Partition.advance();
  BOOST_TEST(m_StartedRuns == 2);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against ends that a keeper acknowledges which has lost its partition
// while its process was paused.
BOOST_FIXTURE_TEST_SUITE(ARunOfAJobThatAnotherNodeMayKeep, PartitionFixture)

BOOST_AUTO_TEST_CASE(HasNoEndThatIsAcknowledged) {
  answer(absl::OkStatus());
  StoredTaskReport Report;
  Report.m_Run = {{"unknown", 0, 0}, 1};
  Report.m_EndKind = StoredRunEnd::Done;
  m_MayStart = false;
  m_Partition.onReport("owner", Report);
  BOOST_TEST(m_AcknowledgedEnds == 0);
  m_MayStart = true;
  m_Partition.onReport("owner", Report);
  BOOST_TEST(m_AcknowledgedEnds == 0);
  answer(absl::OkStatus());
  BOOST_TEST(m_AcknowledgedEnds == 1);
}

// Guards against a keeper that was replaced without notice, and does not know
// the jobs that were stored since.
BOOST_AUTO_TEST_CASE(HasNoEndThatIsAcknowledgedIfTheLogHasALaterKeeper) {
  answer(absl::OkStatus());
  StoredTaskReport Report;
  Report.m_Run = {{"unknown", 0, 0}, 1};
  Report.m_EndKind = StoredRunEnd::Done;
  m_Partition.onReport("owner", Report);
  answer(absl::FailedPreconditionError("fenced"));
  BOOST_TEST(m_AcknowledgedEnds == 0);
  BOOST_TEST(!m_Partition.isServing());
}

BOOST_AUTO_TEST_CASE(IsNotStopped) {
  answer(absl::OkStatus());
  const LedgerRuns Unknown{{0, 3}, {{{"unknown", 0, 0}, 1}}, 0};
  m_MayStart = false;
  m_Partition.onRuns("owner", Unknown);
  BOOST_TEST(m_StopOrders == 0);
  m_MayStart = true;
  m_Partition.onRuns("owner", Unknown);
  BOOST_TEST(m_StopOrders == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ARunWhoseEndIsNotReported, PartitionFixture)

BOOST_AUTO_TEST_CASE(IsAskedForAtItsOwner) {
  answer(absl::OkStatus());
  BOOST_TEST(advanceUntil([this] { return !m_Questions.empty(); }));
}

BOOST_AUTO_TEST_CASE(IsStartedAgainIfItsOwnerDoesNotListIt) {
  answer(absl::OkStatus());
  BOOST_TEST(advanceUntil([this] {
    for (const LedgerOpened &Question : std::exchange(m_Questions, {}))
      m_Partition.onRuns("owner", {Question.m_Claim, {}, Question.m_Query});
    if (!m_Log.m_Calls.empty())
      answer(absl::OkStatus());
    return m_StartedRuns == 2;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
