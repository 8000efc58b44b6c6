#define BOOST_TEST_MODULE AtMostOnce
#include "System/Support/RecordedRun.h"

using namespace auburnhub;
using namespace auburnhub::test;

// No task of a submission starts twice, even when it is submitted again.

namespace {

constexpr std::size_t Here = 0;  ///< A VM of the first data centre.
constexpr std::size_t There = 1; ///< A VM of the second one.
constexpr auto Proofs = "engraving-proofs";

ClusterOptions twoDataCentres(int VmsEach = 1) {
  ClusterOptions Options;
  Options.m_DataCentres = 2;
  Options.m_VmsPerDataCentre = VmsEach;
  return Options;
}

struct Fixture {
  explicit Fixture(const ClusterOptions &Options = twoDataCentres())
      : m_Run(Options) {}

  /// Submits and waits until the claim waits for an append that is held back.
  std::future<SubmitResult> submitHeld(const CallerSubmission &Sent) {
    m_Run.setFaults({{"hold_appends", true}});
    auto Reply = m_Run.submitLater(Here, Sent);
    m_Run.waitForClaims(Here, 1);
    return Reply;
  }

  void releaseAppends() { m_Run.setFaults({{"hold_appends", false}}); }

  void waitForClaimInLog(const std::string &Id) {
    waitUntil("the claim is in the log",
              [&] { return m_Run.claimsInLog(Id) != 0; });
  }

  RecordedRun m_Run;
};

struct FourVms : Fixture {
  FourVms() : Fixture(twoDataCentres(2)) {}
};

struct ShortWindow : Fixture {
  ShortWindow() : Fixture(options()) {}
  static ClusterOptions options() {
    ClusterOptions Options = twoDataCentres();
    Options.m_Limits = {{"resubmission_window_ms", 500},
                        {"clock_bound_ms", 500}};
    return Options;
  }
};

/// Sends the same submission to every VM at once.
std::vector<SubmitResult> submitEverywhere(RecordedRun &Run,
                                           const CallerSubmission &Sent) {
  std::vector<std::future<SubmitResult>> Waiting;
  Waiting.reserve(Run.cluster().vms().size());
  for (std::size_t Vm = 0; Vm != Run.cluster().vms().size(); ++Vm)
    Waiting.push_back(Run.submitLater(Vm, Sent));
  std::vector<SubmitResult> Replies;
  Replies.reserve(Waiting.size());
  for (auto &Reply : Waiting)
    Replies.push_back(Reply.get());
  return Replies;
}

void checkUnknown(const SubmitResult &Reply, const std::string &Problem) {
  BOOST_TEST_REQUIRE(Reply.ok());
  BOOST_TEST(outcomeOf(Reply) == "unknown");
  BOOST_TEST(problemOf(Reply) == Problem, Reply->m_Body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ATaskStartsOnce)

BOOST_AUTO_TEST_SUITE(WhenItIsSubmittedAgain)

BOOST_FIXTURE_TEST_CASE(AtOnceAndLaterToEveryVmOfEachDataCentre, FourVms) {
  constexpr int Submissions = 6;
  for (int I = 0; I != Submissions; ++I) {
    const std::string Name = "again-" + std::to_string(I);
    const std::string Id = I % 2 == 0 ? m_Run.callerId() : m_Run.ticket(I % 4);
    const CallerSubmission Sent =
        I < 4 ? onceOnly(Id, Name) : makeJob(Id, Name, 20);
    std::vector<SubmitResult> Replies = submitEverywhere(m_Run, Sent);
    for (std::size_t Vm = 0; Vm != 4; ++Vm)
      Replies.push_back(m_Run.submit(Vm, Sent));
    for (const SubmitResult &Reply : Replies) {
      BOOST_TEST(statusOf(Reply) == 200);
      BOOST_TEST((Reply.ok() && Reply->m_Body == Replies[0]->m_Body));
    }
    BOOST_TEST(m_Run.starts(Id) == Sent.m_Bodies.size());
  }
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(AndTwoClaimsRace, Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "race");
  m_Run.setFaults({{"hold_appends", true}});
  auto First = m_Run.submitLater(Here, Sent);
  auto Second = m_Run.submitLater(There, Sent);
  m_Run.waitForClaims(Here, 1);
  m_Run.waitForClaims(There, 1);
  releaseAppends();
  BOOST_TEST(statusOf(First.get()) == 200);
  BOOST_TEST(statusOf(Second.get()) == 200);
  BOOST_TEST(m_Run.claimsInLog(Sent.m_Key) >= 2u);
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(AfterItWasForgottenAndTheWindowMadeLonger,
                        ShortWindow) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "longer-window");
  BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  waitUntil("the submission is forgotten", [&] {
    return m_Run.cluster().status(Here, Role::Dispatch)["submissions"] == 0;
  });
  nlohmann::json Longer = m_Run.cluster().configuration();
  Longer["limits"] = {{"resubmission_window_ms", 300000},
                      {"clock_bound_ms", 60000}};
  auto Offset = m_Run.cluster().publish(Longer, 0);
  m_Run.require(Offset.status());
  for (std::size_t Vm : {Here, There})
    for (Role Which : {Role::Dispatch, Role::Entry})
      waitUntil("the longer window is in force", [&] {
        const auto Status = m_Run.cluster().status(Vm, Which);
        return Status["configuration_offset"] == *Offset;
      });
  for (std::size_t Vm : {Here, There})
    BOOST_TEST(outcomeOf(m_Run.submit(Vm, Sent)) == "unknown");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsDispatcherIsKilled)

BOOST_FIXTURE_TEST_CASE(BeforeTheClaimIsAppended, Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "before-append");
  auto First = submitHeld(Sent);
  m_Run.kill(Here, Role::Dispatch);
  checkUnknown(First.get(), "connection-lost");
  // The control still appends for an incarnation that is gone.
  releaseAppends();
  waitForClaimInLog(Sent.m_Key);
  checkUnknown(m_Run.submit(There, Sent), "owner-gone");
  m_Run.restart(Here, Role::Dispatch);
  checkUnknown(m_Run.submit(Here, Sent), "owner-gone");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 0u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(AndItsControlBeforeTheClaimIsSent, Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "never-claimed");
  m_Run.setFaults({{"down", true}});
  auto First = m_Run.submitLater(Here, Sent);
  m_Run.waitForClaims(Here, 1);
  m_Run.kill(Here, Role::Control);
  m_Run.kill(Here, Role::Dispatch);
  BOOST_TEST(outcomeOf(First.get()) == "unknown");
  m_Run.setFaults({{"down", false}});
  BOOST_TEST(statusOf(m_Run.submit(There, Sent)) == 200);
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(AfterTheClaimIsAppendedAndBeforeTheStart, Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "after-append");
  auto First = submitHeld(Sent);
  m_Run.require(m_Run.cluster().pauseProcess(Here, Role::Dispatch));
  releaseAppends();
  waitForClaimInLog(Sent.m_Key);
  m_Run.kill(Here, Role::Dispatch);
  checkUnknown(First.get(), "connection-lost");
  checkUnknown(m_Run.submit(There, Sent), "owner-gone");
  m_Run.restart(Here, Role::Dispatch);
  checkUnknown(m_Run.submit(Here, Sent), "owner-gone");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 0u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(AfterTheStart, Fixture) {
  m_Run.setModes(Proofs, "hang");
  const CallerSubmission Claimed = onceOnly(m_Run.callerId(), "claimed");
  const CallerSubmission Ticketed = onceOnly(m_Run.ticket(Here), "ticketed");
  const CallerSubmission Unspent = onceOnly(m_Run.ticket(Here), "unspent");
  auto First = m_Run.submitLater(Here, Claimed);
  auto Second = m_Run.submitLater(Here, Ticketed);
  m_Run.waitForEndpoints(Proofs, "running", 2);
  m_Run.kill(Here, Role::Dispatch);
  checkUnknown(First.get(), "connection-lost");
  checkUnknown(Second.get(), "connection-lost");
  m_Run.setModes(Proofs, "ok");
  for (bool IsRestarted : {false, true}) {
    if (IsRestarted)
      m_Run.restart(Here, Role::Dispatch);
    for (const auto &Sent : {Claimed, Ticketed, Unspent})
      for (std::size_t Vm : {Here, There}) {
        const SubmitResult Again = m_Run.submit(Vm, Sent);
        BOOST_TEST(outcomeOf(Again) == "unknown");
      }
  }
  BOOST_TEST(m_Run.starts(Claimed.m_Key) == 1u);
  BOOST_TEST(m_Run.starts(Ticketed.m_Key) == 1u);
  BOOST_TEST(m_Run.starts(Unspent.m_Key) == 0u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenItsOwnerIsPausedBetweenClaimAndStart)

BOOST_FIXTURE_TEST_CASE(PastEveryTimeoutAndGoesOn, Fixture) {
  CallerSubmission Sent = onceOnly(m_Run.callerId(), "paused");
  // One that lives on and may start after the pause, and one that expires.
  CallerSubmission Short = onceOnly(m_Run.callerId(), "paused-short");
  Sent.m_Timeout = Milliseconds(60000);
  Short.m_Timeout = Milliseconds(1500);
  auto First = submitHeld(Sent);
  auto Second = m_Run.submitLater(Here, Short);
  m_Run.waitForClaims(Here, 2);
  m_Run.require(m_Run.cluster().pauseProcess(Here, Role::Dispatch));
  releaseAppends();
  waitForClaimInLog(Sent.m_Key);
  waitForClaimInLog(Short.m_Key);
  checkUnknown(Second.get(), "timeout");
  // The VM's other processes stand still until its peers have dropped it.
  m_Run.require(m_Run.cluster().pauseProcess(Here, Role::Control));
  auto Down =
      m_Run.cluster().process(There, Role::Control).waitForEvent("member_down");
  m_Run.require(Down.status());
  CallerSubmission Again = Sent;
  Again.m_Timeout = Milliseconds(300);
  BOOST_TEST(outcomeOf(m_Run.submit(There, Again)) == "unknown");
  BOOST_TEST(outcomeOf(m_Run.submit(There, Short)) == "unknown");
  m_Run.cluster().resumeProcess(Here, Role::Control);
  m_Run.cluster().resumeProcess(Here, Role::Dispatch);
  (void)First.get();
  m_Run.require(m_Run.cluster().waitReady(Here, Role::Entry));
  m_Run.waitUntilIdle(Here);
  for (std::size_t Vm : {Here, There}) {
    (void)m_Run.submit(Vm, Sent);
    (void)m_Run.submit(Vm, Short);
  }
  BOOST_TEST(m_Run.starts(Sent.m_Key) <= 1u);
  BOOST_TEST(m_Run.starts(Short.m_Key) <= 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheLog)

BOOST_FIXTURE_TEST_CASE(LosesTheRepliesToItsAppends, Fixture) {
  m_Run.setFaults({{"lose_append_replies", 3}});
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "lost-reply");
  BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  BOOST_TEST(statusOf(m_Run.submit(There, Sent)) == 200);
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(TakesAnAppendThatIsRepeatedBecauseItsReplyIsLate,
                        Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "late-reply");
  auto First = submitHeld(Sent);
  auto Second = m_Run.submitLater(There, Sent);
  // Both controls give up their first append and send another one.
  waitUntil("four appends are held", [&] {
    auto Stats =
        callHttp(m_Run.cluster().platform(), {"GET", "/test/stats", {}, ""});
    return Stats.ok() && Stats->json()["held"] == 4;
  });
  releaseAppends();
  BOOST_TEST(statusOf(First.get()) == 200);
  BOOST_TEST(statusOf(Second.get()) == 200);
  waitUntil("every append is in the log",
            [&] { return m_Run.claimsInLog(Sent.m_Key) >= 4; });
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(IsDownSoThatOnlyTicketsAndRepeatableWorkGoOn, Fixture) {
  const CallerSubmission Ticket = onceOnly(m_Run.ticket(Here), "down-ticket");
  CallerSubmission Claim = onceOnly(m_Run.callerId(), "down-claim");
  CallerSubmission Job = makeJob(m_Run.callerId(), "down-job", 10);
  Claim.m_Timeout = Job.m_Timeout = Milliseconds(500);
  CallerSubmission Repeatable;
  Repeatable.m_Bodies = {"down-repeatable"};
  m_Run.setFaults({{"down", true}});
  BOOST_TEST(statusOf(m_Run.submit(Here, Ticket)) == 200);
  BOOST_TEST(statusOf(m_Run.submit(There, Ticket)) == 200);
  BOOST_TEST(statusOf(m_Run.submit(Here, Repeatable)) == 200);
  for (std::size_t Vm : {Here, There}) {
    BOOST_TEST(outcomeOf(m_Run.submit(Vm, Claim)) == "unknown");
    BOOST_TEST(outcomeOf(m_Run.submit(Vm, Job)) == "unknown");
  }
  BOOST_TEST(m_Run.starts(Claim.m_Key) == 0u);
  BOOST_TEST(m_Run.starts(Job.m_Key) == 0u);
  m_Run.setFaults({{"down", false}});
  for (const CallerSubmission &Sent : {Claim, Job}) {
    submitEverywhere(m_Run, Sent);
    BOOST_TEST(m_Run.starts(Sent.m_Key) <= Sent.m_Bodies.size());
  }
  m_Run.checkHolds();
}

BOOST_FIXTURE_TEST_CASE(WasTrimmedBeforeAnotherVmReadTheClaim, Fixture) {
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "trimmed");
  BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  m_Run.kill(There, Role::Control);
  m_Run.require(m_Run.cluster().tellPlatform(
      "/test/trim", {{"stream", "claims"}, {"first", 1000}}));
  BOOST_TEST(m_Run.claimsInLog(Sent.m_Key) == 0u);
  m_Run.restart(There, Role::Control);
  m_Run.require(m_Run.cluster().waitReady(There, Role::Entry));
  // Until the dispatcher has found its control again, its entry may forward
  // to the owner.
  SubmitResult Again;
  waitUntil("the VM that cannot know the claim decides", [&] {
    Again = m_Run.submit(There, Sent);
    return problemOf(Again) == "claim-history-unread" ||
           m_Run.starts(Sent.m_Key) > 1;
  });
  checkUnknown(Again, "claim-history-unread");
  BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
