#include "SchedulerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(AScheduler)

BOOST_FIXTURE_TEST_SUITE(ThatAdmitsATask, SchedulerFixture)

BOOST_AUTO_TEST_CASE(StartsItOnAFreeSlotAndReportsTheDecision) {
  setSlots({1, 1});
  BOOST_TEST(admit(1).ok());
  std::vector<PlacementDecision> Placed = place();
  BOOST_TEST_REQUIRE(Placed.size() == 1u);
  BOOST_TEST(Placed[0].m_Task == 1u);
  BOOST_TEST(Placed[0].m_Endpoint == "e1");
  BOOST_TEST(Placed[0].m_Candidates == 2u);
  BOOST_TEST(Placed[0].m_Rejected == "e2");
  BOOST_TEST(Placed[0].m_Policy == "least-expected-completion");
}

BOOST_AUTO_TEST_CASE(KeepsItWaitingWhileEverySlotIsTaken) {
  setSlots({1});
  (void)admit(1);
  (void)admit(2);
  BOOST_TEST(place().size() == 1u);
  BOOST_TEST(place().empty());
  BOOST_TEST(m_Scheduler.finishTask(m_Now, 1, TaskResult::Ok));
  BOOST_TEST(place().size() == 1u);
  BOOST_TEST(!m_Scheduler.finishTask(m_Now, 1, TaskResult::Ok));
}

BOOST_AUTO_TEST_CASE(RemovesItWhenItIsCancelledInTheQueue) {
  setSlots({0});
  (void)admit(1);
  BOOST_TEST((m_Scheduler.cancel(1) == CancelResult::Removed));
  BOOST_TEST((m_Scheduler.cancel(1) == CancelResult::Unknown));
  BOOST_TEST(m_Scheduler.queuedTasks() == 0u);
}

BOOST_AUTO_TEST_CASE(ReturnsItOnceItsDeadlineCannotBeMet) {
  setSlots({0});
  (void)admit(1, "check", "club-desk", 100);
  BOOST_TEST(m_Scheduler.expire(m_Now).empty());
  advance(101);
  BOOST_TEST((m_Scheduler.expire(m_Now) == std::vector<TaskKey>{1}));
  setSlots({1});
  BOOST_TEST(place().empty());
}

BOOST_AUTO_TEST_CASE(DoesNotExpireAnotherTaskThatHasItsKey) {
  setSlots({0});
  (void)admit(1, "check", "club-desk", 100);
  m_Scheduler.cancel(1);
  (void)admit(1, "check", "club-desk", 1000);
  advance(500);
  BOOST_TEST(m_Scheduler.expire(m_Now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatRefusesATask, SchedulerFixture)

BOOST_AUTO_TEST_CASE(NamesTheReason) {
  BOOST_TEST((failureCode(admit(1).m_Status) == FailureCode::NoEndpoint));
  setSlots({1});
  BOOST_TEST((failureCode(admit(1, "check", "nobody").m_Status) ==
              FailureCode::UnknownTeam));
  BOOST_TEST((failureCode(admit(1, "check", "club-desk", 0).m_Status) ==
              FailureCode::Timeout));
}

BOOST_AUTO_TEST_CASE(SpreadsTheRetryTimes) {
  const TeamSpec Teams[] = {{"club-desk", 1, 0}};
  m_Scheduler.setTeams(Teams);
  setSlots({1});
  std::set<std::int64_t> Times;
  for (TaskKey Key = 1; Key <= 20; ++Key) {
    Admission Refused = admit(Key);
    BOOST_TEST((failureCode(Refused.m_Status) == FailureCode::QuotaExceeded));
    BOOST_TEST(Refused.m_RetryAfterMs >= 500);
    Times.insert(Refused.m_RetryAfterMs);
  }
  BOOST_TEST(Times.size() > 10u);
}

BOOST_AUTO_TEST_CASE(BoundsTheQueueInTime) {
  setSlots({1});
  for (TaskKey Key = 1; Key <= 10; ++Key)
    runOne(Key, "check", 100);
  TaskKey Key = 100;
  while (admit(Key, "check", "club-desk", 1000).ok())
    ++Key;
  BOOST_TEST(Key >= 105u);
  BOOST_TEST(Key <= 115u);
  BOOST_TEST((failureCode(admit(Key, "check", "club-desk", 1000).m_Status) ==
              FailureCode::Overloaded));
}

BOOST_AUTO_TEST_CASE(ReservesTimeToEndOnASlowEndpoint) {
  setSlots({1});
  TaskKey Key = 0;
  while (Key < 40) {
    ++Key;
    runOne(Key, "check", Key % 10 == 0 ? 200 : 100);
  }
  (void)admit(100, "check");
  (void)place();
  BOOST_TEST(admit(101, "check", "club-desk", 1000).ok());
  advance(700);
  BOOST_TEST(m_Scheduler.expire(m_Now).empty());
  advance(150); // Reserving only the median would allow a start until 900 ms.
  BOOST_TEST(m_Scheduler.expire(m_Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(CountsOnTheSlotsThatItExpectsToBorrow) {
  setSlots({1});
  for (TaskKey Key = 1; Key <= 10; ++Key)
    runOne(Key, "check", 100);
  m_Scheduler.setExpectedSlots(m_Now, "tiles", 10);
  TaskKey Key = 100;
  while (admit(Key, "check", "club-desk", 1000).ok())
    ++Key;
  BOOST_TEST(Key >= 150u);
}

BOOST_AUTO_TEST_CASE(RefusesAllTasksOfAJobTogether) {
  const TeamSpec Teams[] = {{"club-desk", 1, 2}};
  m_Scheduler.setTeams(Teams);
  setSlots({1});
  std::vector<TaskRequest> Job;
  for (TaskKey Key = 1; Key <= 3; ++Key)
    Job.push_back({Key, "club-desk", "tiles", "check", addMs(m_Now, 1000), {}});
  BOOST_TEST(!m_Scheduler.admit(m_Now, Job, m_Random).ok());
  BOOST_TEST(m_Scheduler.queuedTasks() == 0u);
  BOOST_TEST(place().empty());
}

BOOST_AUTO_TEST_CASE(AdmitsAKindAgainOnceItsEstimateIsTooOld) {
  setSlots({1});
  for (TaskKey Key = 1; Key <= 10; ++Key)
    runOne(Key, "proof", 2000);
  BOOST_TEST((failureCode(admit(20, "proof", "club-desk", 1000).m_Status) ==
              FailureCode::Timeout));
  advance(2500);
  BOOST_TEST(admit(21, "proof", "club-desk", 1000).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithShortAndLongWork, SchedulerFixture)

BOOST_AUTO_TEST_CASE(LearnsLongKindsAndLimitsThemOnEachEndpoint) {
  setSlots({8});
  for (TaskKey Key = 1; Key <= 20; ++Key)
    runOne(Key, "check", 50);
  for (TaskKey Key = 21; Key <= 26; ++Key)
    runOne(Key, "certify", 3000);
  for (TaskKey Key = 100; Key < 120; ++Key)
    (void)admit(Key, "certify");
  std::vector<PlacementDecision> Placed = place();
  BOOST_TEST(Placed.size() == 6u);
  for (const PlacementDecision &D : Placed)
    BOOST_TEST((D.m_Class == TaskClass::Long));
  (void)admit(200, "check");
  BOOST_TEST(place().size() == 1u);
}

BOOST_AUTO_TEST_CASE(CountsATaskThatExceedsTheShortLimitAsLong) {
  setSlots({8});
  for (TaskKey Key = 1; Key <= 20; ++Key)
    runOne(Key, "check", 50);
  (void)admit(100, "unknown");
  BOOST_TEST((place()[0].m_Class == TaskClass::Short));
  advance(1000);
  m_Scheduler.tick(m_Now);
  BOOST_TEST(endpoint("e1").m_RunningLong == 1);
  std::vector<PolicyEvent> Events = m_Scheduler.takeEvents();
  BOOST_TEST_REQUIRE(Events.size() == 1u);
  BOOST_TEST((Events[0].m_Kind == PolicyEventKind::Demoted));
  m_Scheduler.finishTask(m_Now, 100, TaskResult::Ok);
  BOOST_TEST(endpoint("e1").m_RunningLong == 0);
}

BOOST_AUTO_TEST_CASE(StartsLongWorkWhileShortWorkNeverEnds) {
  setSlots({1});
  for (TaskKey Key = 1; Key <= 20; ++Key)
    runOne(Key, "check", 50);
  for (TaskKey Key = 21; Key <= 26; ++Key)
    runOne(Key, "certify", 3000);
  (void)admit(100, "certify");
  TaskKey Key = 200;
  bool LongRan = false;
  for (int Round = 0; Round < 5 && !LongRan; ++Round) {
    (void)admit(++Key, "check");
    for (const PlacementDecision &D : place()) {
      LongRan |= D.m_Task == 100;
      advance(50);
      m_Scheduler.finishTask(m_Now, D.m_Task, TaskResult::Ok);
    }
  }
  BOOST_TEST(LongRan);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WithEndpointsThatDiffer, SchedulerFixture)

BOOST_AUTO_TEST_CASE(PrefersTheOneThatItHasLearnedIsFaster) {
  setSlots({1, 1});
  for (TaskKey Key = 1; Key <= 40; Key += 2) {
    (void)admit(Key);
    (void)admit(Key + 1);
    std::vector<PlacementDecision> Placed = place();
    BOOST_TEST_REQUIRE(Placed.size() == 2u);
    bool FirstOnE2 = Placed[0].m_Endpoint == "e2";
    advance(50);
    m_Scheduler.finishTask(m_Now, Placed[FirstOnE2 ? 0 : 1].m_Task,
                           TaskResult::Ok);
    advance(150);
    m_Scheduler.finishTask(m_Now, Placed[FirstOnE2 ? 1 : 0].m_Task,
                           TaskResult::Ok);
  }
  (void)admit(100);
  std::vector<PlacementDecision> Placed = place();
  BOOST_TEST(Placed[0].m_Endpoint == "e2");
  BOOST_TEST(Placed[0].m_RejectedExpectedMs > 2 * Placed[0].m_ExpectedMs);
}

BOOST_AUTO_TEST_CASE(ChoosesByTheConfiguredPlacement) {
  SchedulerFixture F;
  F.setSlots({4, 4});
  PolicyParameters Parameters;
  for (const char *Name : {"round-robin", "least-expected-completion"}) {
    Parameters.m_Placement = Name;
    F.m_Scheduler.setParameters(F.m_Now, Parameters);
    (void)F.admit(Parameters.m_Placement.size());
    std::vector<PlacementDecision> Placed = F.place();
    BOOST_TEST_REQUIRE(Placed.size() == 1u);
    BOOST_TEST(Placed.front().m_Policy == Name);
    BOOST_TEST(Placed.front().m_Candidates == 2u);
  }
}

BOOST_AUTO_TEST_CASE(EjectsOneThatAlwaysFailsAndProbesItWithOneTask) {
  setSlots({4, 4});
  TaskKey Key = 0;
  for (int I = 0; I < 200; ++I) {
    (void)admit(++Key);
    for (const PlacementDecision &D : place()) {
      bool OnE1 = D.m_Endpoint == "e1";
      m_Scheduler.finishTask(m_Now, D.m_Task,
                             OnE1 ? TaskResult::Failed : TaskResult::Ok);
    }
  }
  BOOST_TEST((endpoint("e1").m_Health == HealthState::Ejected));
  BOOST_TEST((endpoint("e2").m_Health == HealthState::Healthy));
  advance(1001);
  for (int I = 0; I < 4; ++I)
    (void)admit(++Key);
  int Probes = 0;
  TaskKey Probe = 0;
  for (const PlacementDecision &D : place()) {
    Probes += D.m_Endpoint == "e1";
    if (D.m_Reason == PlacementReason::Probe)
      Probe = D.m_Task;
  }
  BOOST_TEST(Probes == 1);
  m_Scheduler.finishTask(m_Now, Probe, TaskResult::Ok);
  BOOST_TEST((endpoint("e1").m_Health == HealthState::Healthy));
}

BOOST_AUTO_TEST_CASE(NeverEjectsMoreThanTheAllowedShare) {
  setSlots({2, 2, 2, 2});
  TaskKey Key = 0;
  for (int I = 0; I < 100; ++I) {
    (void)admit(++Key);
    for (const PlacementDecision &D : place())
      m_Scheduler.finishTask(m_Now, D.m_Task, TaskResult::Failed);
  }
  int Ejected = 0;
  for (const EndpointSnapshot &S : m_Scheduler.snapshot())
    Ejected += S.m_Health != HealthState::Healthy;
  BOOST_TEST(Ejected == 1);
}

BOOST_AUTO_TEST_CASE(StartsNothingMoreOnOneThatLeaves) {
  setSlots({1, 1});
  m_Scheduler.markLeaving(m_Now, "e1");
  (void)admit(1);
  (void)admit(2);
  std::vector<PlacementDecision> Placed = place();
  BOOST_TEST_REQUIRE(Placed.size() == 1u);
  BOOST_TEST(Placed[0].m_Endpoint == "e2");
  setSlots({1, 1});
  BOOST_TEST(place().empty());
  m_Scheduler.clearLeaving(m_Now, "e1");
  BOOST_TEST(place().size() == 1u);
}

BOOST_AUTO_TEST_CASE(LetsTasksEndOnOneThatIsNoLongerListed) {
  setSlots({1});
  (void)admit(1);
  (void)place();
  m_Scheduler.setEndpoints(m_Now, {});
  BOOST_TEST(m_Scheduler.snapshot().size() == 1u);
  BOOST_TEST(m_Scheduler.finishTask(m_Now, 1, TaskResult::Ok));
  BOOST_TEST(m_Scheduler.snapshot().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatQueuesATaskAgain, SchedulerFixture)

BOOST_AUTO_TEST_CASE(AvoidsTheEndpointThatRefusedIt) {
  setSlots({1, 1});
  PlacementDecision First =
      runOne(1, "check", 1, TaskResult::RefusedNotStarted);
  BOOST_TEST(m_Scheduler.requeue(m_Now, 1).ok());
  advance(1000);
  std::vector<PlacementDecision> Placed = place();
  BOOST_TEST_REQUIRE(Placed.size() == 1u);
  BOOST_TEST(Placed[0].m_Endpoint != First.m_Endpoint);
}

BOOST_AUTO_TEST_CASE(StopsWhenItHasLostTooManyEndpoints) {
  setSlots({4, 4, 4, 4});
  (void)admit(1);
  int Starts = 0;
  do {
    Starts += static_cast<int>(place().size());
    m_Scheduler.finishTask(m_Now, 1, TaskResult::Lost);
  } while (m_Scheduler.requeue(m_Now, 1).ok());
  BOOST_TEST(Starts == 3);
  BOOST_TEST((m_Scheduler.cancel(1) == CancelResult::Unknown));
}

BOOST_AUTO_TEST_CASE(StopsWhenTheRetryBudgetIsSpent) {
  setSlots({8, 8, 8, 8, 8, 8});
  int Retried = 0;
  for (TaskKey Key = 1; Key <= 30; ++Key) {
    runOne(Key, "check", 1, TaskResult::Failed);
    if (!m_Scheduler.requeue(m_Now, Key).ok())
      continue;
    ++Retried;
    m_Scheduler.cancel(Key);
  }
  BOOST_TEST(Retried >= 10);
  BOOST_TEST(Retried <= 13);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ThatLendsAndBorrowsSlots, SchedulerFixture)

BOOST_AUTO_TEST_CASE(LendsOnlyIdleSlots) {
  setSlots({4});
  (void)admit(1);
  (void)place();
  BOOST_TEST(m_Scheduler.idleSlots("tiles") == 3);
  std::vector<EndpointSlots> Lent = m_Scheduler.lend(m_Now, "tiles", 10);
  BOOST_TEST_REQUIRE(Lent.size() == 1u);
  BOOST_TEST(Lent[0].m_Slots == 3);
  (void)admit(2);
  BOOST_TEST(place().empty());
  BOOST_TEST(m_Scheduler.lend(m_Now, "tiles", 10).empty());
  m_Scheduler.reclaimSlots(m_Now, "tiles", Lent);
  BOOST_TEST(place().size() == 1u);
}

BOOST_AUTO_TEST_CASE(UsesBorrowedSlotsUntilTheLoanExpires) {
  setSlots({0});
  (void)admit(1);
  (void)admit(2);
  m_Scheduler.addBorrowed(m_Now, {"peer", "tiles", 1}, addMs(m_Now, 100));
  BOOST_TEST(place().size() == 1u);
  advance(50);
  m_Scheduler.finishTask(m_Now, 1, TaskResult::Ok);
  BOOST_TEST(m_Scheduler.idleBorrowed("tiles").size() == 1u);
  advance(50);
  BOOST_TEST(place().empty());
  BOOST_TEST(endpoint("peer").m_Address.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
