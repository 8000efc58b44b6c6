#define BOOST_TEST_MODULE OwnAnswer
#include "System/Support/RecordedRun.h"

#include <random>

using namespace auburnhub;
using namespace auburnhub::test;

// Each caller gets the whole answer to its own request, or none.

namespace {

constexpr std::size_t Here = 0;
constexpr std::size_t There = 1;
constexpr auto Proofs = "engraving-proofs";
constexpr auto Orders = "tile-orders";
constexpr int Callers = 16;

struct Fixture {
  Fixture() : m_Run(options()) {}

  static ClusterOptions options() {
    ClusterOptions Options;
    Options.m_DataCentres = 2;
    Options.m_Teams = {"club-desk", "collectors", "order-desk"};
    // An endpoint in a bad mode is still given work.
    Options.m_Policy = {{"eject_after_failures", 1000}};
    return Options;
  }

  /// Lets many callers submit requests of their own at once.
  std::vector<SubmitResult> submitMany(const std::string &Name) {
    std::vector<std::future<SubmitResult>> Waiting;
    Waiting.reserve(Callers);
    for (int I = 0; I != Callers; ++I) {
      CallerSubmission Sent = onceOnly("", Name + "-" + std::to_string(I));
      Sent.m_Repeatable = I % 2 == 0;
      Sent.m_Service = Sent.m_Repeatable ? Orders : Proofs;
      Waiting.push_back(m_Run.submitLater(I % 4 == 3 ? 1 : 0, Sent));
    }
    std::vector<SubmitResult> Replies;
    Replies.reserve(Waiting.size());
    for (auto &Reply : Waiting)
      Replies.push_back(Reply.get());
    return Replies;
  }

  /// Lets callers meet endpoints in a mode, then sound ones on the same
  /// connections. Returns how many got an answer in the first round.
  int submitInMode(const std::string &Mode, double Factor = 1) {
    int Answered = 0;
    for (const char *Service : {Orders, Proofs})
      m_Run.setModes(Service, Mode, Factor);
    for (int Round = 0; Round != 2; ++Round)
      for (const auto &Reply : submitMany(Mode + std::to_string(Round))) {
        const int Status = statusOf(Reply);
        Answered += Status == 200 ? 1 : 0;
        BOOST_TEST((Status == 200 || outcomeOf(Reply) == "unknown"));
      }
    for (const char *Service : {Orders, Proofs})
      m_Run.setModes(Service, "ok");
    for (const auto &Reply : submitMany(Mode + "-sound"))
      BOOST_TEST(statusOf(Reply) == 200);
    m_Run.checkHolds();
    return Answered;
  }

  RecordedRun m_Run;
};

CallerSubmission heldRequest(const std::string &Name) {
  CallerSubmission Sent;
  Sent.m_Bodies = {nlohmann::json{{"hold", true}, {"echo", Name}}.dump()};
  return Sent;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ACallerGetsItsOwnWholeAnswer, Fixture)

BOOST_AUTO_TEST_SUITE(OrNoneFromEndpoints)

BOOST_AUTO_TEST_CASE(ThatNameAnotherCall) {
  BOOST_TEST(submitInMode("wrong_call") == 0);
}

BOOST_AUTO_TEST_CASE(ThatRepeatTheAnswerBefore) {
  // The first answer of each endpoint has none before it.
  BOOST_TEST(submitInMode("stale") <=
             static_cast<int>(m_Run.cluster().endpoints().size()));
}

BOOST_AUTO_TEST_CASE(ThatCutTheAnswerShort) {
  BOOST_TEST(submitInMode("truncate") == 0);
}

BOOST_AUTO_TEST_CASE(ThatSendTooMuch) {
  constexpr double TooManyMebibytes = 9;
  BOOST_TEST(submitInMode("oversize", TooManyMebibytes) == 0);
}

BOOST_AUTO_TEST_CASE(ThatResetTheConnection) {
  for (const char *Mode : {"reset_before", "reset_during", "reset_after"})
    BOOST_TEST(submitInMode(Mode) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AfterALateAnswer)

BOOST_AUTO_TEST_CASE(OfTheEndpointToARequestThatTimedOut) {
  HttpConnection Connection(m_Run.cluster().http(Here, Role::Entry));
  for (int I = 0; I != 4; ++I) {
    CallerSubmission Late = heldRequest("late-" + std::to_string(I));
    Late.m_Timeout = Milliseconds(200);
    const SubmitResult None = m_Run.caller().submit(Connection, Late);
    BOOST_TEST(outcomeOf(None) == "unknown");
    BOOST_TEST(problemOf(None) == "timeout");
    m_Run.setModes(Orders, "ok"); // Lets the endpoint answer now.
    CallerSubmission Next;
    Next.m_Bodies = {"next-" + std::to_string(I)};
    const SubmitResult Own = m_Run.caller().submit(Connection, Next);
    BOOST_TEST_REQUIRE(statusOf(Own) == 200);
    BOOST_TEST(Own->m_Body == Next.m_Bodies[0]);
  }
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(OfADispatcherThatWasPaused) {
  HttpConnection Connection(m_Run.cluster().http(Here, Role::Entry));
  CallerSubmission Late = heldRequest("paused");
  Late.m_Timeout = Milliseconds(1500);
  auto Waiting = std::async(std::launch::async, [&] {
    return m_Run.caller().submit(Connection, Late);
  });
  m_Run.waitForEndpoints(Orders, "running", 1);
  m_Run.require(m_Run.cluster().pauseProcess(Here, Role::Dispatch));
  m_Run.setModes(Orders, "ok");
  BOOST_TEST(problemOf(Waiting.get()) == "timeout");
  m_Run.cluster().resumeProcess(Here, Role::Dispatch);
  m_Run.require(m_Run.cluster()
                    .process(Here, Role::Entry)
                    .waitForEvent("late_answer")
                    .status());
  CallerSubmission Next;
  Next.m_Bodies = {"after-the-pause"};
  const SubmitResult Own = m_Run.caller().submit(Connection, Next);
  BOOST_TEST_REQUIRE(statusOf(Own) == 200);
  BOOST_TEST(Own->m_Body == Next.m_Bodies[0]);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Among)

BOOST_AUTO_TEST_CASE(TeamsThatUseAnIdAfterItsOwner) {
  for (const std::string &Id : {m_Run.ticket(Here), m_Run.callerId()}) {
    // The price of one shop must not reach another that asks the same.
    const CallerSubmission Sent = onceOnly(Id, "price-" + Id);
    BOOST_TEST(statusOf(m_Run.submit(Here, Sent)) == 200);
    std::vector<std::future<SubmitResult>> Owners;
    std::vector<std::future<SubmitResult>> Others;
    for (std::size_t Vm : {Here, There}) {
      Owners.push_back(m_Run.submitLater(Vm, Sent));
      for (const char *Team : {"collectors", "order-desk"}) {
        CallerSubmission Foreign = Sent;
        Foreign.m_Team = Team;
        Others.push_back(m_Run.submitLater(Vm, Foreign));
      }
    }
    for (auto &Waiting : Owners)
      BOOST_TEST(statusOf(Waiting.get()) == 200);
    for (auto &Waiting : Others)
      BOOST_TEST(statusOf(Waiting.get()) == 404);
  }
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(TeamsThatUseTheSameIdAtOnce) {
  for (int I = 0; I != 8; ++I) {
    const CallerSubmission Sent =
        onceOnly(m_Run.callerId(), "race-" + std::to_string(I));
    std::map<std::string, std::vector<std::future<SubmitResult>>> Waiting;
    for (std::size_t Vm : {Here, There})
      for (const char *Team : {"club-desk", "collectors", "order-desk"}) {
        CallerSubmission Own = Sent;
        Own.m_Team = Team;
        Waiting[Team].push_back(m_Run.submitLater(Vm, Own));
      }
    int TeamsAnswered = 0;
    for (auto &[Team, Replies] : Waiting) {
      bool IsAnswered = false;
      for (auto &Each : Replies) {
        const SubmitResult Reply = Each.get();
        IsAnswered = IsAnswered || statusOf(Reply) == 200;
        // Also the team that wins is told 404 where another came before it.
        BOOST_TEST((statusOf(Reply) == 200 || statusOf(Reply) == 404));
      }
      TeamsAnswered += IsAnswered ? 1 : 0;
    }
    BOOST_TEST(TeamsAnswered == 1);
    BOOST_TEST(m_Run.starts(Sent.m_Key) == 1u);
  }
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(ManyCallersOfEndpointsThatAnswerOutOfOrder) {
  constexpr int RequestsEach = 20;
  constexpr unsigned Seed = 4711;
  std::vector<std::future<int>> Waiting;
  for (int Caller = 0; Caller != Callers; ++Caller)
    Waiting.push_back(std::async(std::launch::async, [this, Caller] {
      std::mt19937 Random(Seed + static_cast<unsigned>(Caller));
      HttpConnection Connection(
          m_Run.cluster().http(Random() % 2, Role::Entry));
      int Own = 0;
      for (int I = 0; I != RequestsEach; ++I) {
        const std::string Name =
            std::to_string(Caller) + "-" + std::to_string(I);
        CallerSubmission Sent;
        Sent.m_Bodies = {
            nlohmann::json{{"run_ms", Random() % 12}, {"echo", Name}}.dump()};
        const SubmitResult Reply = m_Run.caller().submit(Connection, Sent);
        Own += statusOf(Reply) == 200 && Reply->json()["echo"] == Name ? 1 : 0;
      }
      return Own;
    }));
  for (auto &Own : Waiting)
    BOOST_TEST(Own.get() == RequestsEach);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
