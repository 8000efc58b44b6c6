#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace auburnhub;

namespace {

/// A task whose first run is out of reach and was presumed to have ended. A
/// second job is unfinished, so that ends are not late for all jobs.
struct PresumedDeadFixture : LedgerFixture {
  PresumedDeadFixture() {
    submit(twoSteps("a"));
    store();
    m_First = *start("unreachable-owner");
    m_Ledger->ownerLost(m_Now, "unreachable-owner");
    passDoubt(4000);
  }
  /// The owner is back and reports the end of the first run.
  void reportFirst(StoredRunEnd End) {
    m_AcknowledgedEnds.clear();
    endRun(m_First, End, "unreachable-owner");
    if (m_Ledger->hasRecords())
      store();
    BOOST_REQUIRE(isAcknowledged(m_First));
  }

  StoredTask m_First;
};

/// The task has been started again.
struct RestartedFixture : PresumedDeadFixture {
  RestartedFixture() : m_Second(*start("other")) {}
  StoredTask m_Second;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheLateEndOfARunThatWasPresumedDead)

BOOST_FIXTURE_TEST_SUITE(IsAcknowledgedWithTheLease, RestartedFixture)

BOOST_AUTO_TEST_CASE(AfterATakeoverIfTheNextRunHasSucceeded) {
  endRun(m_Second, StoredRunEnd::Done, "other");
  store();
  takeOver();
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AfterATakeoverWhileTheNextRunGoesOn) {
  takeOver();
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AfterATakeoverIfItHasFailed) {
  takeOver();
  reportFirst(StoredRunEnd::Failed);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AgainIfTheKeeperThatCountedItIsGone) {
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
  takeOver();
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AgainIfTheFirstAcknowledgementIsLost) {
  reportFirst(StoredRunEnd::Done);
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AfterASuccessThatFollowedALossOfTheNextRun) {
  loseRun(m_Second, {"worker", "10.0.0.1:80", m_WallMs}, "other");
  store();
  advanceTime(100);
  auto Third = start("other");
  BOOST_REQUIRE(Third.has_value());
  endRun(*Third, StoredRunEnd::Done, "other");
  store();
  takeOver();
  reportFirst(StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_CASE(AfterATakeoverIfAllThatWasStoredOfItWasItsLoss) {
  submit(twoSteps("b"));
  store();
  auto Lost = start();
  BOOST_REQUIRE(Lost.has_value());
  loseRun(*Lost, {"worker", "10.0.0.1:80", m_WallMs});
  store();
  advanceTime(100);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  takeOver();
  endRun(*Lost, StoredRunEnd::Failed);
  store();
  BOOST_TEST(isSuperseded(*Lost));
  m_Ledger->runReported(m_Now, "owner", Next->task(), Next->m_Number);
  endRun(*Next, StoredRunEnd::Done);
  store();
  takeOver();
  endRun(*Lost, StoredRunEnd::Done);
  BOOST_TEST(isSuperseded(*Lost));
}

// Guards against a start beyond the attempts: the failure was acknowledged at
// once, as that of a job that had failed.
BOOST_AUTO_TEST_CASE(IfItHasFailedAndItsJobToo) {
  endRun(m_Second, StoredRunEnd::Failed, "other");
  store();
  advanceTime(100);
  auto Third = start("other");
  BOOST_REQUIRE(Third.has_value());
  endRun(*Third, StoredRunEnd::Failed, "other");
  store();
  BOOST_REQUIRE((m_Ledger->state("a") == StoredJobState::Failed));
  reportFirst(StoredRunEnd::Failed);
  BOOST_TEST(isSuperseded(m_First));
  takeOver();
  reportFirst(StoredRunEnd::Failed);
  BOOST_TEST(isSuperseded(m_First));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AfterTwoTakeovers, LedgerFixture)

BOOST_AUTO_TEST_CASE(IsAcknowledgedWithTheLease) {
  submit(twoSteps("a"));
  store();
  auto First = start();
  takeOver();
  passDoubt(4500);
  BOOST_REQUIRE(start().has_value());
  takeOver();
  endRun(*First, StoredRunEnd::Done);
  store();
  BOOST_TEST(isSuperseded(*First));
}

BOOST_AUTO_TEST_CASE(IsNotTakenForARunThatGoesOn) {
  submit(twoSteps("a"));
  store();
  auto First = start();
  takeOver();
  passDoubt(4500);
  auto Second = start();
  BOOST_REQUIRE(Second.has_value());
  takeOver();
  m_Ledger->runReported(m_Now, "owner", First->task(), First->m_Number);
  m_Ledger->runReported(m_Now, "owner", Second->task(), Second->m_Number);
  collect();
  BOOST_REQUIRE(m_StoppedRuns.size() == 1U);
  BOOST_TEST(m_StoppedRuns.front().m_Number == First->m_Number);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheEndThatCounted)

BOOST_FIXTURE_TEST_CASE(IsAcknowledgedAtOnceAfterATakeover, LedgerFixture) {
  submit(twoSteps("a"));
  store();
  auto First = start();
  endRun(*First, StoredRunEnd::Done);
  store();
  takeOver();
  m_AcknowledgedEnds.clear();
  endRun(*First, StoredRunEnd::Done);
  BOOST_REQUIRE(isAcknowledged(*First));
  BOOST_TEST(!isSuperseded(*First));
}

BOOST_FIXTURE_TEST_CASE(IsAcknowledgedAtOnceOfTheLastRun, RestartedFixture) {
  endRun(m_Second, StoredRunEnd::Done);
  store();
  takeOver();
  m_AcknowledgedEnds.clear();
  endRun(m_Second, StoredRunEnd::Done);
  BOOST_REQUIRE(isAcknowledged(m_Second));
  BOOST_TEST(!isSuperseded(m_Second));
}

// {"done": [0], "state": 1} in CBOR: an earlier version of the product stored
// no numbers.
BOOST_FIXTURE_TEST_CASE(IsNotKnownFromARecordOfAnEarlierVersion,
                        LedgerFixture) {
  submit(twoSteps("a"));
  store();
  auto First = start();
  m_Log["progress/a"] = std::string("\xa2\x64"
                                    "done\x81\x00\x65"
                                    "state\x01",
                                    15);
  takeOver();
  BOOST_REQUIRE(m_LoadOk);
  endRun(*First, StoredRunEnd::Done);
  BOOST_REQUIRE(isAcknowledged(*First));
  BOOST_TEST(isSuperseded(*First));
  passDoubt(4500);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_StepNumber == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATaskWhoseRunMayStillBeAlive)

BOOST_FIXTURE_TEST_CASE(IsStartedAgainOnlyOnceThatIsStored, LedgerFixture) {
  submit(job("a", 1));
  store();
  auto First = start();
  m_Ledger->ownerLost(m_Now, "owner");
  advanceTime(4000);
  BOOST_TEST(!start().has_value());
  m_InFlight = m_Ledger->takeBatch();
  advanceTime(4000);
  m_Ledger->appendRefused();
  collect();
  BOOST_TEST(!start().has_value());
  store();
  auto Second = start();
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->m_Number > First->m_Number);
}

BOOST_FIXTURE_TEST_CASE(GoesOnIfItIsFoundMeanwhile, LedgerFixture) {
  submit(job("a", 1));
  store();
  auto First = start();
  m_Ledger->ownerLost(m_Now, "owner");
  advanceTime(4000);
  m_InFlight = m_Ledger->takeBatch();
  m_Ledger->runReported(m_Now, "owner", First->task(), First->m_Number);
  m_Ledger->appendSucceeded(m_Now);
  collect();
  BOOST_TEST(m_StoppedRuns.empty());
  BOOST_TEST(!start().has_value());
  endRun(*First, StoredRunEnd::Done);
  store();
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(IsStartedAtOnceIfItsLastRunHasEnded, LedgerFixture) {
  submit(job("a", 1));
  store();
  auto First = start();
  endRun(*First, StoredRunEnd::Over);
  advanceTime(1000);
  BOOST_TEST(!m_Ledger->hasRecords());
  BOOST_TEST(start().has_value());
}

// A keeper numbers the runs of its epoch above those of earlier ones, of which
// it reads no number as long as they are few.
BOOST_FIXTURE_TEST_CASE(GetsANewNumberHoweverOftenItWasRefused, LedgerFixture) {
  submit(job("a", 1));
  store();
  std::uint32_t Last = 0;
  for (int I = 0; I < 100; ++I) {
    auto Task = start();
    BOOST_REQUIRE(Task.has_value());
    Last = Task->m_Number;
    endRun(*Task, StoredRunEnd::NotRun);
    advanceTime(1000);
    if (m_Ledger->hasRecords())
      store();
  }
  takeOver();
  passDoubt(4500);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_Number > Last);
}

// Guards against two runs under one number: a start after a refusal of which
// the number was not stored.
BOOST_FIXTURE_TEST_CASE(GetsAStoredNumberIfOtherOwnersAreOfferedIt,
                        LedgerFixture) {
  submit(job("a", 1));
  store();
  std::uint32_t Last = 0;
  for (int I = 0; I < 100; ++I) {
    auto Task = start();
    BOOST_REQUIRE(Task.has_value());
    Last = Task->m_Number;
    m_Ledger->runEndReported(m_Now, m_WallMs,
                             {"owner", "worker", Task->task(), Task->m_Number,
                              StoredRunEnd::NotRun, WorkerIncarnation(),
                              /*m_MayRunElsewhere=*/true});
    m_Ledger->advance(m_Now, m_WallMs);
    if (m_Ledger->hasRecords())
      store();
  }
  takeOver();
  passDoubt(4500);
  auto Next = start();
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->m_Number > Last);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against what only the memory of one keeper holds.
BOOST_FIXTURE_TEST_SUITE(ATaskWhoseOwnersAndKeepersChangeTwice, LedgerFixture)

BOOST_AUTO_TEST_CASE(HasHigherNumbersAndItsEarlierEndsAreSuperseded) {
  submit(twoSteps("a"));
  store();
  std::vector<StoredTask> Runs;
  for (int Change = 0; Change < 2; ++Change) {
    for (const char *Owner : {"first", "second"}) {
      auto Task = start(Owner);
      BOOST_REQUIRE(Task.has_value());
      Runs.push_back(*Task);
      m_Ledger->ownerLost(m_Now, Owner);
      passDoubt(4000);
    }
    takeOver();
    passDoubt(4500);
  }
  auto Last = start("third");
  BOOST_REQUIRE(Last.has_value());
  Runs.push_back(*Last);
  for (std::size_t I = 1; I < Runs.size(); ++I)
    BOOST_TEST(Runs[I].m_Number > Runs[I - 1].m_Number);
  endRun(*Last, StoredRunEnd::Done, "third");
  store();
  Runs.pop_back();
  // The end of the task, and the ends that were confirmed, are known again.
  for (int Change = 0; Change < 2; ++Change) {
    takeOver();
    for (const StoredTask &Run : Runs) {
      endRun(Run, StoredRunEnd::Done, "first");
      BOOST_TEST(isSuperseded(Run));
    }
  }
}

BOOST_AUTO_TEST_CASE(FailsItsJobAtTheLastOfAllAttempts) {
  constexpr std::uint32_t Attempts = 3;
  submit(job("a", 1, Attempts));
  store();
  for (std::uint32_t Attempt = 1; Attempt <= Attempts; ++Attempt) {
    BOOST_TEST((m_Ledger->state("a") != StoredJobState::Failed));
    auto Task = start("owner" + std::to_string(Attempt));
    BOOST_REQUIRE(Task.has_value());
    endRun(*Task, StoredRunEnd::Failed, "owner" + std::to_string(Attempt));
    store();
    takeOver();
    passDoubt(4500);
  }
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Failed));
  BOOST_TEST(!start().has_value());
}

BOOST_AUTO_TEST_CASE(IsStoppedByEachKeeperOnceItsJobIsCancelled) {
  submit(job("a", 1));
  store();
  auto Task = start();
  cancel("a");
  store();
  BOOST_TEST(m_StoppedRuns.size() == 1U);
  for (std::size_t Keeper = 2; Keeper <= 3; ++Keeper) {
    takeOver();
    m_Ledger->runReported(m_Now, "owner", Task->task(), Task->m_Number);
    collect();
    BOOST_TEST(m_StoppedRuns.size() == Keeper);
    passDoubt(4500);
    BOOST_TEST(!start().has_value());
  }
}

// A silent owner neither starts the task nor reports it.
BOOST_AUTO_TEST_CASE(IsStartedElsewhereThoughTwoOwnersAreSilent) {
  submit(job("a", 1));
  store();
  std::uint32_t LastNumber = 0;
  for (const char *Owner : {"first", "second"}) {
    auto Task = start(Owner);
    BOOST_REQUIRE(Task.has_value());
    BOOST_TEST(Task->m_Number > LastNumber);
    LastNumber = Task->m_Number;
    advanceTime(JobLedgerParameters().m_UnreportedRunMs);
    BOOST_TEST(m_Ledger->ownersToQuery(m_Now).contains(Owner));
    m_Ledger->runsReported(m_Now, m_Now, Owner);
    passDoubt(JobLedgerParameters().m_OwnerDoubtMs);
  }
  auto Third = start("third");
  BOOST_REQUIRE(Third.has_value());
  BOOST_TEST(Third->m_Number > LastNumber);
}

BOOST_AUTO_TEST_SUITE_END()
