#define BOOST_TEST_MODULE NoRepeat
#include "System/Support/RecordedRun.h"

using namespace auburnhub;
using namespace auburnhub::test;

// A request that may not be repeated runs at most once.

namespace {

constexpr std::size_t Here = 0;
constexpr std::size_t There = 1;
constexpr auto Proofs = "engraving-proofs";
constexpr auto Orders = "tile-orders";
constexpr int Requests = 8;

struct Fixture {
  Fixture() : m_Run(options()) {}

  static ClusterOptions options() {
    ClusterOptions Options;
    Options.m_DataCentres = 2;
    // An endpoint in a bad mode is still tried.
    Options.m_Policy = {{"eject_after_failures", 1000}};
    return Options;
  }

  /// Returns a request that the service allows to repeat, but not its caller.
  CallerSubmission strict(const std::string &Id, const std::string &Body) {
    CallerSubmission Sent = onceOnly(Id, Body);
    Sent.m_Service = Orders;
    return Sent;
  }

  /// Submits several requests at once, by tickets and by callers' ids, and
  /// then all of them again to both VMs. Returns the first answers.
  std::vector<SubmitResult> submitAll(const std::string &Name) {
    std::vector<CallerSubmission> Sent;
    for (int I = 0; I != Requests; ++I) {
      const std::string Id = I % 2 == 0 ? m_Run.callerId() : m_Run.ticket(Here);
      const std::string Body = Name + "-" + std::to_string(I);
      Sent.push_back(I % 4 < 2 ? onceOnly(Id, Body) : strict(Id, Body));
    }
    std::vector<std::future<SubmitResult>> Waiting;
    Waiting.reserve(Sent.size());
    for (const CallerSubmission &Each : Sent)
      Waiting.push_back(m_Run.submitLater(Here, Each));
    std::vector<SubmitResult> Replies;
    Replies.reserve(Waiting.size());
    for (auto &Reply : Waiting)
      Replies.push_back(Reply.get());
    m_Run.setModes(Proofs, "ok");
    m_Run.setModes(Orders, "ok");
    for (const CallerSubmission &Each : Sent)
      for (std::size_t Vm : {Here, There})
        (void)m_Run.submit(Vm, Each);
    for (const CallerSubmission &Each : Sent)
      m_Ids.push_back(Each.m_Key);
    return Replies;
  }

  void setModes(const std::string &Mode) {
    m_Run.setModes(Proofs, Mode);
    m_Run.setModes(Orders, Mode);
  }

  /// Checks that all answers are `unknown` and how often each id started.
  void checkAll(const std::vector<SubmitResult> &Replies, std::size_t Starts) {
    for (const SubmitResult &Reply : Replies)
      BOOST_TEST(outcomeOf(Reply) == "unknown");
    for (const std::string &Id : m_Ids)
      BOOST_TEST(m_Run.starts(Id) == Starts);
    m_Run.checkHolds();
  }

  RecordedRun m_Run;
  std::vector<std::string> m_Ids;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestThatMayNotBeRepeated, Fixture)

BOOST_AUTO_TEST_SUITE(RunsAtMostOnceWhenItsConnectionIsReset)

BOOST_AUTO_TEST_CASE(BeforeTheBody) {
  setModes("reset_before");
  checkAll(submitAll("before"), 0);
}

BOOST_AUTO_TEST_CASE(DuringTheRun) {
  setModes("reset_during");
  checkAll(submitAll("during"), 1);
}

BOOST_AUTO_TEST_CASE(AfterTheRun) {
  setModes("reset_after");
  checkAll(submitAll("after"), 1);
}

BOOST_AUTO_TEST_CASE(InTheMiddleOfTheReply) {
  setModes("truncate");
  checkAll(submitAll("truncated"), 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RunsAtMostOnceWhenAProcessIsKilled)

BOOST_AUTO_TEST_CASE(TheEndpointAfterTheStart) {
  m_Run.setModes(Proofs, "hang");
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "endpoint-dies");
  auto Waiting = m_Run.submitLater(Here, Sent);
  m_Run.waitForEndpoints(Proofs, "running", 1);
  for (std::size_t I = 0; I != m_Run.cluster().endpoints().size(); ++I)
    if (m_Run.cluster().endpoints()[I].m_Service == Proofs &&
        m_Run.cluster().endpoints()[I].m_DataCentre ==
            m_Run.cluster().vms()[Here].m_DataCentre)
      m_Run.cluster().killEndpoint(I);
  BOOST_TEST(outcomeOf(Waiting.get()) == "unknown");
  m_Run.setModes(Proofs, "ok");
  for (std::size_t Vm : {Here, There})
    BOOST_TEST(outcomeOf(m_Run.submit(Vm, Sent)) == "unknown");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(TheDispatcherThatForwardedItToItsOwner) {
  m_Run.setModes(Proofs, "hang");
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "forwarder-dies");
  auto First = m_Run.submitLater(Here, Sent);
  m_Run.waitForEndpoints(Proofs, "running", 1);
  auto Second = m_Run.submitLater(There, Sent);
  m_Run.require(m_Run.cluster()
                    .process(There, Role::Dispatch)
                    .waitForEvent("forwarded_to_owner")
                    .status());
  m_Run.kill(There, Role::Dispatch);
  BOOST_TEST(outcomeOf(Second.get()) == "unknown");
  m_Run.restart(There, Role::Dispatch);
  m_Run.setModes(Proofs, "ok");
  // A hang ends as a lost connection, so that the outcome stays open.
  BOOST_TEST(outcomeOf(First.get()) == "unknown");
  for (std::size_t Vm : {Here, There})
    BOOST_TEST(outcomeOf(m_Run.submit(Vm, Sent)) == "unknown");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(TheOwnerToWhichItWasForwarded) {
  m_Run.setModes(Proofs, "hang");
  const CallerSubmission Sent = onceOnly(m_Run.callerId(), "owner-dies");
  auto First = m_Run.submitLater(Here, Sent);
  m_Run.waitForEndpoints(Proofs, "running", 1);
  auto Second = m_Run.submitLater(There, Sent);
  m_Run.require(m_Run.cluster()
                    .process(There, Role::Dispatch)
                    .waitForEvent("forwarded_to_owner")
                    .status());
  m_Run.kill(Here, Role::Dispatch);
  BOOST_TEST(outcomeOf(First.get()) == "unknown");
  const SubmitResult Forwarded = Second.get();
  BOOST_TEST(outcomeOf(Forwarded) == "unknown");
  BOOST_TEST(problemOf(Forwarded) == "connection-lost");
  m_Run.setModes(Proofs, "ok");
  BOOST_TEST(outcomeOf(m_Run.submit(There, Sent)) == "unknown");
  BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsToldFromOneThatMay)

BOOST_AUTO_TEST_CASE(WhichIsRetriedAfterAResetUntilItIsDone) {
  // One of the two endpoints nearby loses what it runs; the other is fine.
  m_Run.setModes(Orders, "reset_during");
  for (std::size_t I = 0; I != m_Run.cluster().endpoints().size(); ++I)
    if (m_Run.cluster().endpoints()[I].m_Service == Orders &&
        m_Run.cluster().endpoints()[I].m_Index == 1)
      m_Run.require(m_Run.cluster().setMode(I, "ok"));
  constexpr int Pairs = 6;
  std::size_t Repeated = 0;
  for (int I = 0; I != Pairs; ++I) {
    CallerSubmission Free;
    Free.m_Bodies = {"free-" + std::to_string(I)};
    const SubmitResult Reply = m_Run.submit(Here, Free);
    BOOST_TEST(statusOf(Reply) == 200);
    if (Reply.ok() && m_Run.starts(Reply->header("Auburnhub-Submission")) > 1)
      ++Repeated;
    const CallerSubmission Strict =
        strict(m_Run.ticket(Here), "strict-" + std::to_string(I));
    (void)m_Run.submit(Here, Strict);
    BOOST_TEST(m_Run.starts(Strict.m_Key) <= 1u);
  }
  BOOST_TEST(Repeated > 0u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
