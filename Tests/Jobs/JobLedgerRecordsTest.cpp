#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace auburnhub;

namespace {

/// A log that does not accept some records.
struct ChoosyLogFixture : LedgerFixture {
  /// Appends until nothing is left; false after too many appends.
  bool storeAll() {
    for (int Appends = 0; m_Ledger->hasRecords(); ++Appends) {
      if (Appends > MaxAppends)
        return false;
      m_InFlight = m_Ledger->takeBatch();
      bool IsRejected = std::any_of(
          m_InFlight.begin(), m_InFlight.end(),
          [&](const LedgerRecord &Record) {
            return Record.m_Key == m_RejectedKey &&
                   Record.m_Value.value_or("").size() >= m_RejectedBytes;
          });
      if (IsRejected) {
        m_Ledger->appendRejected(m_Now);
      } else {
        write();
        m_Ledger->appendSucceeded(m_Now);
      }
      collect();
    }
    return true;
  }

  /// Above twice the logarithm of the records of a batch.
  static constexpr int MaxAppends = 20;
  std::string m_RejectedKey;
  std::size_t m_RejectedBytes = 0;
};

/// 1,000 steps, most of them after 77 earlier ones: 258,636 bytes as sent.
JobRequest largeJob(const std::string &Id) {
  JobRequest Request = LedgerFixture::job(Id, 1);
  for (std::uint32_t I = 1; I < 1000; ++I) {
    JobStep Step;
    Step.m_Count = 1;
    Step.m_TaskResources = {500, 0, 0};
    for (std::uint32_t After = I - 77; I >= 256 && After < I; ++After)
      Step.m_DependsOn.push_back(After);
    Request.m_Steps.push_back(Step);
  }
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheRecordOfAJob)

BOOST_FIXTURE_TEST_CASE(IsNoLongerThanTheJobAsSent, LedgerFixture) {
  constexpr std::size_t BytesAsSent = 258636;
  auto Call = submit(largeJob("a"));
  store();
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST(m_Log.at("job/a").size() < BytesAsSent);
  takeOver();
  BOOST_REQUIRE(m_LoadOk);
  passDoubt(4500);
  auto Task = start();
  BOOST_REQUIRE(Task.has_value());
  BOOST_TEST((Task->m_Step.m_TaskResources == Resources{1000, 64, 0}));
  BOOST_TEST(Task->m_Policy.m_Stretch == 1.6);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->m_Step.m_TaskResources == Resources{500, 0, 0}));
  BOOST_TEST(Next->m_Step.m_Count == 1U);
}

BOOST_FIXTURE_TEST_CASE(HoldsOnlyTheStateOnceItHasFinished, LedgerFixture) {
  submit(job("a", 500));
  store();
  for (int I = 0; I < 500; ++I)
    endRun(*start(), StoredRunEnd::Done);
  store();
  BOOST_TEST(m_Log.at("progress/a").size() < 200U);
  takeOver();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AJobThatTheLogDoesNotAccept, ChoosyLogFixture)

// Guards against a record that is appended for ever.
BOOST_AUTO_TEST_CASE(IsRefusedAtOnceIfItsRecordIsTooLong) {
  JobRequest Request = job("a", 1);
  Request.m_Spec = std::string(JobLedgerParameters().m_MaxRecordBytes, 'x');
  for (int I = 0; I < 2; ++I) {
    auto Call = submit(Request);
    BOOST_TEST(isAnswered(Call, false));
    BOOST_TEST(!m_Ledger->hasRecords());
    BOOST_TEST(m_Ledger->jobs() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(IsRefusedAndTheOthersOfItsAppendAreAccepted) {
  std::vector<std::uint64_t> Others;
  for (const char *Id : {"a", "b", "c"})
    Others.push_back(submit(job(Id, 1)));
  auto Rejected = submit(job("d", 1));
  Others.push_back(submit(job("e", 1)));
  m_RejectedKey = "job/d";
  BOOST_TEST(storeAll());
  BOOST_TEST(isAnswered(Rejected, false));
  for (std::uint64_t Call : Others)
    BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST(!m_Ledger->knows("d"));
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(start().has_value());
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ProgressThatTheLogDoesNotAccept, ChoosyLogFixture)

BOOST_AUTO_TEST_CASE(HoldsUpNoOtherJob) {
  submit(job("a", 100));
  submit(job("b", 1));
  submit(job("c", 1));
  store();
  std::map<std::string, StoredTask> Tasks;
  for (int I = 0; I < 102; ++I) {
    auto Task = start();
    BOOST_REQUIRE(Task.has_value());
    Tasks[Task->task().str()] = *Task;
  }
  m_RejectedKey = "progress/a";
  m_RejectedBytes = 100; // The record of a finished job is shorter.
  for (int I = 1; I < 50; ++I)
    endRun(Tasks.at("a/0/" + std::to_string(I)), StoredRunEnd::Done);
  for (const char *Task : {"a/0/0", "b/0/0", "c/0/0"})
    endRun(Tasks.at(Task), StoredRunEnd::Done);
  BOOST_TEST(storeAll());
  BOOST_TEST((m_Ledger->state("b") == StoredJobState::Completed));
  BOOST_TEST((m_Ledger->state("c") == StoredJobState::Completed));
  BOOST_TEST(isAcknowledged(Tasks.at("b/0/0")));
  BOOST_TEST(!isAcknowledged(Tasks.at("a/0/0")));
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Running));
  auto Call = cancel("a");
  BOOST_TEST(storeAll());
  BOOST_TEST(isAnswered(Call, true));
  BOOST_TEST(isAcknowledged(Tasks.at("a/0/0")));
}

// Guards against a start under a number that the next keeper does not know.
BOOST_AUTO_TEST_CASE(ReservesNoNumber) {
  submit(job("a", 1));
  submit(job("b", 1));
  store();
  auto First = start("lost");
  auto Other = start("owner");
  m_Ledger->ownerLost(m_Now, "lost");
  m_RejectedKey = "progress/a";
  advanceTime(4000);
  BOOST_TEST(storeAll());
  BOOST_TEST(!start().has_value());
  endRun(*Other, StoredRunEnd::Done);
  BOOST_TEST(storeAll());
  BOOST_TEST(isAcknowledged(*Other));
  BOOST_TEST(!start().has_value());
}

// Guards against an append for each repetition of an end.
BOOST_AUTO_TEST_CASE(IsNotAppendedForAnEndThatIsReportedAgain) {
  submit(twoSteps("a"));
  store();
  auto Task = start();
  m_RejectedKey = "progress/a";
  endRun(*Task, StoredRunEnd::Done);
  BOOST_TEST(storeAll());
  endRun(*Task, StoredRunEnd::Done);
  BOOST_TEST(!m_Ledger->hasRecords());
}

BOOST_AUTO_TEST_CASE(IsAppendedForTheSuccessOfARunThatWasLost) {
  submit(twoSteps("a"));
  store();
  auto Task = start();
  m_RejectedKey = "progress/a";
  loseRun(*Task, {"worker", "10.0.0.1:80", m_WallMs});
  BOOST_TEST(storeAll());
  endRun(*Task, StoredRunEnd::Done);
  BOOST_TEST(m_Ledger->hasRecords());
  m_RejectedKey.clear();
  BOOST_TEST(storeAll());
  BOOST_TEST(m_AcknowledgedEnds.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
