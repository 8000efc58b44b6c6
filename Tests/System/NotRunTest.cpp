#define BOOST_TEST_MODULE NotRun
#include "System/Support/RecordedRun.h"

using namespace auburnhub;
using namespace auburnhub::test;

// A refusal that says "not run" is true, for the whole run: nothing under its
// id starts, however often it is submitted again.

namespace {

constexpr std::size_t Here = 0;
constexpr std::size_t There = 1;
constexpr auto Proofs = "engraving-proofs";
constexpr auto Orders = "tile-orders";
constexpr int MaxQueued = 4;

ClusterOptions oneSlot() {
  ClusterOptions Options;
  Options.m_DataCentres = 2;
  Options.m_MaxQueued = MaxQueued;
  Options.m_Services = {{Proofs, false, 1, 1}, {Orders, true, 1, 1}};
  return Options;
}

struct Fixture {
  explicit Fixture(const ClusterOptions &Options = oneSlot())
      : m_Run(Options) {}

  /// Occupies every slot of a service in both data centres; returns when they
  /// run.
  void holdSlots(const std::string &Service = Proofs) {
    m_Held = Service;
    for (std::size_t Vm : {Here, There}) {
      CallerSubmission Sent =
          onceOnly(m_Run.ticket(Vm),
                   nlohmann::json{{"hold", true}, {"echo", Vm}}.dump());
      Sent.m_Service = Service;
      Sent.m_Timeout = Milliseconds(60000);
      m_Waiting.push_back(m_Run.submitLater(Vm, Sent));
      m_Run.waitForEndpoints(Service, "running",
                             static_cast<std::int64_t>(m_Waiting.size()));
    }
  }

  /// Queues requests at a VM until a team's quota is full.
  void fillQueue(std::size_t Vm) {
    for (int I = 0; I != MaxQueued; ++I) {
      const std::string Name = "fill-" + std::to_string(Vm) + std::to_string(I);
      CallerSubmission Sent = onceOnly(m_Run.ticket(Vm), Name);
      Sent.m_Service = m_Held;
      Sent.m_Timeout = Milliseconds(60000);
      m_Waiting.push_back(m_Run.submitLater(Vm, Sent));
    }
    waitForQueue(Vm, MaxQueued);
  }

  void waitForQueue(std::size_t Vm, int Tasks) {
    waitUntil("tasks are queued", [&] {
      return m_Run.cluster().status(Vm, Role::Dispatch)["queued"] == Tasks;
    });
  }

  /// Ends what is held and checks that all of it is done.
  void releaseSlots() {
    m_Run.setModes(m_Held, "ok");
    for (auto &Reply : m_Waiting)
      BOOST_TEST(statusOf(Reply.get()) == 200);
    m_Waiting.clear();
  }

  /// Submits by a ticket and by a caller's id.
  std::vector<SubmitResult>
  submitBoth(const std::string &Name,
             Milliseconds Timeout = Milliseconds(60000)) {
    std::vector<SubmitResult> Replies;
    for (const std::string &Id : {m_Run.ticket(Here), m_Run.callerId()}) {
      m_Refused.push_back(onceOnly(Id, Name + Id));
      m_Refused.back().m_Timeout = Timeout;
      Replies.push_back(m_Run.submit(Here, m_Refused.back()));
    }
    return Replies;
  }

  /// Submits all that was refused again to each VM, and checks the run.
  void submitAgainAndCheck() {
    for (CallerSubmission &Sent : m_Refused) {
      Sent.m_Timeout = Milliseconds(10000);
      for (std::size_t Vm : {Here, There})
        (void)m_Run.submit(Vm, Sent);
    }
    m_Run.checkHolds();
  }

  RecordedRun m_Run;
  std::string m_Held;
  std::vector<std::future<SubmitResult>> m_Waiting;
  std::vector<CallerSubmission> m_Refused;
};

void checkNotRun(const SubmitResult &Reply, const std::string &Problem) {
  BOOST_TEST_REQUIRE(Reply.ok());
  BOOST_TEST(outcomeOf(Reply) == "not_run", Reply->m_Body);
  BOOST_TEST(problemOf(Reply) == Problem, Reply->m_Body);
}

struct ShortWindow : Fixture {
  ShortWindow() : Fixture(options()) {}
  static ClusterOptions options() {
    ClusterOptions Options = oneSlot();
    Options.m_Limits = {{"resubmission_window_ms", 1000},
                        {"clock_bound_ms", 1000}};
    return Options;
  }
};

/// Claims fail soon while the log is down.
struct FewClaims : Fixture {
  FewClaims() : Fixture(options()) {}
  static ClusterOptions options() {
    ClusterOptions Options = oneSlot();
    Options.m_ControlSettings = {{"claim_timeout_ms", 200}};
    return Options;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARefusalThatSaysNotRunIsTrue, Fixture)

BOOST_AUTO_TEST_SUITE(ForWorkThatIsRefusedAtOnce)

BOOST_AUTO_TEST_CASE(ByATeamsQuota) {
  holdSlots();
  fillQueue(Here);
  for (const SubmitResult &Reply : submitBoth("quota"))
    checkNotRun(Reply, "quota-exceeded");
  CallerSubmission Unnamed = onceOnly("", "quota-unnamed");
  checkNotRun(m_Run.submit(Here, Unnamed), "quota-exceeded");
  releaseSlots();
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_CASE(ForItsServiceOrTeam) {
  CallerSubmission Sent = onceOnly("", "no-service");
  Sent.m_Service = "nothing";
  checkNotRun(m_Run.submit(Here, Sent), "unknown-service");
  Sent = onceOnly("", "no-team");
  checkNotRun(m_Run.submitAs("nobody", Here, Sent), "unknown-team");
  // Under an id the entry cannot know what ran before.
  Sent = onceOnly(m_Run.callerId(), "named");
  BOOST_TEST(outcomeOf(m_Run.submitAs("nobody", Here, Sent)) == "unknown");
  BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(WhileItsDispatcherStops) {
  holdSlots();
  m_Run.cluster().stopProcess(Here, Role::Dispatch);
  m_Run.cluster().stopProcess(There, Role::Dispatch);
  for (std::size_t Vm : {Here, There})
    waitUntil("the dispatcher drains", [&] {
      return m_Run.cluster().status(Vm, Role::Dispatch)["draining"] == true;
    });
  for (int I = 0; I != 3; ++I) {
    const SubmitResult Reply =
        m_Run.submit(Here, onceOnly("", "draining-" + std::to_string(I)));
    BOOST_TEST(outcomeOf(Reply) == "not_run");
    const std::string Problem = problemOf(Reply);
    BOOST_TEST((Problem == "shutting-down" || Problem == "no-dispatcher"));
  }
  const CallerSubmission Named = onceOnly(m_Run.callerId(), "draining-named");
  BOOST_TEST(outcomeOf(m_Run.submit(Here, Named)) == "unknown");
  releaseSlots();
  for (std::size_t Vm : {Here, There}) {
    m_Run.require(m_Run.cluster().process(Vm, Role::Dispatch).wait().status());
    m_Run.restart(Vm, Role::Dispatch);
  }
  m_Refused.push_back(Named);
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForWorkThatWasQueued)

BOOST_AUTO_TEST_CASE(AndWhoseTimeoutIsTooShort) {
  holdSlots();
  for (int Ms : {1, 20, 200})
    for (const SubmitResult &Reply :
         submitBoth("late-" + std::to_string(Ms), Milliseconds(Ms))) {
      // A timeout may also pass while the claim is made.
      const std::string Outcome = outcomeOf(Reply);
      BOOST_TEST((Outcome == "not_run" || Outcome == "unknown"));
    }
  releaseSlots();
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_CASE(AndForWhichThereIsNoTimeByWhatWasLearned) {
  for (int I = 0; I != 5; ++I) {
    CallerSubmission Sent =
        onceOnly("", nlohmann::json{{"run_ms", 200}, {"echo", I}}.dump());
    BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
  }
  holdSlots();
  fillQueue(Here);
  std::size_t NotRun = 0;
  for (const char *Team : {"collectors", "club-desk"})
    for (int I = 0; I != 3; ++I) {
      CallerSubmission Sent =
          onceOnly(m_Run.ticket(Here, Team), Team + std::to_string(I));
      Sent.m_Team = Team;
      Sent.m_Timeout = Milliseconds(250);
      NotRun += outcomeOf(m_Run.submit(Here, Sent)) == "not_run" ? 1 : 0;
      m_Refused.push_back(Sent);
    }
  BOOST_TEST(NotRun == m_Refused.size());
  releaseSlots();
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_CASE(AndIsCancelled) {
  holdSlots();
  std::vector<std::future<SubmitResult>> Waiting;
  for (const std::string &Id : {m_Run.ticket(Here), m_Run.callerId()}) {
    m_Refused.push_back(onceOnly(Id, "cancelled-" + Id));
    Waiting.push_back(m_Run.submitLater(Here, m_Refused.back()));
  }
  waitForQueue(Here, 2);
  for (std::size_t I = 0; I != Waiting.size(); ++I) {
    BOOST_TEST(m_Run.cancel(Here, m_Refused[I].m_Key) == 202);
    checkNotRun(Waiting[I].get(), "cancelled");
  }
  releaseSlots();
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_CASE(ForEndpointsThatAllRefuseConnections) {
  for (std::size_t I = 0; I != m_Run.cluster().endpoints().size(); ++I)
    m_Run.cluster().killEndpoint(I);
  for (const SubmitResult &Reply :
       submitBoth("no-endpoint", Milliseconds(1000))) {
    BOOST_TEST_REQUIRE(Reply.ok());
    BOOST_TEST(outcomeOf(Reply) == "not_run", Reply->m_Body);
  }
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_CASE(ForEndpointsThatRefuseToStartIt) {
  m_Run.setModes(Proofs, "refuse");
  for (const SubmitResult &Reply : submitBoth("refused", Milliseconds(500)))
    BOOST_TEST(outcomeOf(Reply) == "not_run");
  m_Run.setModes(Proofs, "ok");
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AndIsNotSaid)

BOOST_FIXTURE_TEST_CASE(OfATicketThatIsForgotten, ShortWindow) {
  const CallerSubmission Ran = onceOnly(m_Run.ticket(Here), "ran");
  const CallerSubmission Never = onceOnly(m_Run.ticket(Here), "never");
  BOOST_TEST(statusOf(m_Run.submit(Here, Ran)) == 200);
  waitUntil("both tickets are forgotten", [&] {
    const auto Status = m_Run.cluster().status(Here, Role::Dispatch);
    return Status["open_tickets"] == 0 && Status["submissions"] == 0;
  });
  for (const CallerSubmission &Sent : {Ran, Never})
    for (std::size_t Vm : {Here, There}) {
      const SubmitResult Reply = m_Run.submit(Vm, Sent);
      BOOST_TEST(outcomeOf(Reply) == "unknown");
    }
  BOOST_TEST(m_Run.starts(Ran.m_Key) == 1u);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(OfARequestUnderACallersIdWhileTheLogIsDown) {
  m_Run.setFaults({{"down", true}});
  CallerSubmission Sent = onceOnly(m_Run.callerId(), "down");
  Sent.m_Timeout = Milliseconds(500);
  BOOST_TEST(outcomeOf(m_Run.submit(Here, Sent)) == "unknown");
  m_Run.setFaults({{"down", false}});
  m_Refused.push_back(Sent);
  submitAgainAndCheck();
}

BOOST_FIXTURE_TEST_CASE(OfWorkThatAnotherVmMayRunWithoutAClaim, FewClaims) {
  holdSlots(Orders);
  fillQueue(Here);
  m_Run.setFaults({{"down", true}});
  CallerSubmission Sent;
  Sent.m_Key = m_Run.callerId();
  Sent.m_Bodies = {"repeatable"};
  Sent.m_Timeout = Milliseconds(60000);
  auto Elsewhere = m_Run.submitLater(There, Sent);
  waitForQueue(There, 1);
  BOOST_TEST(outcomeOf(m_Run.submit(Here, Sent)) == "unknown");
  m_Run.setFaults({{"down", false}});
  releaseSlots();
  BOOST_TEST(statusOf(Elsewhere.get()) == 200);
  m_Refused.push_back(Sent);
  submitAgainAndCheck();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
