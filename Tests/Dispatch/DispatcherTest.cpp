#include "Dispatcher.h"

#include "auburnhub/Http/HttpServer.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <future>

using namespace auburnhub;

namespace {

constexpr auto GenerousLimit = std::chrono::seconds(30);
constexpr PeerId Entry = 1;
constexpr PeerId Owner = 2;
constexpr Incarnation Self = 100;
constexpr Incarnation Other = 200;

/// An endpoint that answers with the task's bytes, and counts the starts.
struct EchoEndpoint {
  EchoEndpoint() {
    auto Started = HttpServer::start(
        {"127.0.0.1", 0}, {}, [this](const HttpRequest &Request) {
          m_Starts += Request.m_Path == "/v1/run";
          HttpResponse Response;
          for (const char *Name : {"Auburnhub-Call", "Auburnhub-Submission"})
            Response.m_Headers.set(Name,
                                   std::string(Request.m_Headers.get(Name)));
          Response.m_Body = Request.m_Body;
          return Response;
        });
    m_Server = std::move(*Started);
  }
  std::atomic<int> m_Starts{0};
  std::unique_ptr<HttpServer> m_Server;
};

/// An address that takes connections but never completes them: its queue of
/// connections is full.
struct UnresponsiveEndpoint {
  UnresponsiveEndpoint() {
    m_Socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    m_Socket.listen(/*backlog=*/1);
    for (Poco::Net::StreamSocket &Each : m_Queue)
      Each.connectNB(m_Socket.address());
  }
  std::string address() const { return m_Socket.address().toString(); }

  Poco::Net::ServerSocket m_Socket;
  std::array<Poco::Net::StreamSocket, 8> m_Queue;
};

/// A dispatcher whose links are recorded.
struct Fixture {
  Fixture() {
    auto Chart = StateChart::load(AUBURNHUB_SOURCE_DIR
                                  "/share/auburnhub/charts/task-life.yaml",
                                  TaskRunner::vocabulary());
    BOOST_REQUIRE(Chart.ok());
    Dispatcher::Links Links;
    Links.m_Answer = [this](PeerId, const Answer &Msg) {
      m_Answers.push_back(Msg);
      if (m_Awaited && m_Answers.size() == m_Awaited)
        m_Arrived.set_value();
    };
    Links.m_CancelReply = [this](PeerId, const CancelReply &Msg) {
      m_CancelReplies.push_back(Msg);
    };
    Links.m_Claim = [this](const ClaimRequest &Msg) {
      m_Claims.push_back(Msg);
      return m_ControlIsUp;
    };
    Links.m_FindOwner = [](Incarnation Wanted) {
      return Wanted == Other ? std::optional<PeerId>(Owner) : std::nullopt;
    };
    Links.m_ForwardSubmit = [this](PeerId, const Submit &Msg) {
      m_Forwarded.push_back(Msg);
    };
    Links.m_ForwardCancel = [](PeerId, const Cancel &) {};
    Links.m_EndpointLeaves = [](const std::string &) {};
    m_Dispatcher.emplace(m_Task, m_Timers, m_Metrics, Self, "vm",
                         std::move(*Chart), Links);
    DispatchConfiguration Configuration;
    Configuration.m_Body.m_Teams["club"] = {};
    Configuration.m_Body.m_Teams["shop"] = {};
    Configuration.m_Body.m_Services["proofs"] = {};
    Configuration.m_Body.m_Services["stock"].m_Repeatable = true;
    run([&] {
      m_Dispatcher->configure(Configuration);
      std::string Address = m_Endpoint.m_Server->address().str();
      m_Dispatcher->runner().setEndpoints(
          {{Address, "proofs", 8}, {Address, "stock", 8}},
          {{"proofs", 8}, {"stock", 8}});
    });
  }

  ~Fixture() {
    m_Timers.stop();
    m_Task.stop();
    m_Dispatcher->runner().stop();
  }

  /// Runs a call on the dispatcher's task and waits for it.
  template <typename Call> void run(Call Body) {
    std::promise<void> Done;
    m_Task.post([&] {
      Body();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  /// Submits and waits until so many answers have come in all.
  void submit(const Submit &Msg, std::size_t Answers) {
    m_Arrived = std::promise<void>();
    std::future<void> Arrived = m_Arrived.get_future();
    bool IsThere = false;
    run([&] {
      m_Awaited = Answers;
      IsThere = m_Answers.size() >= Answers;
      m_Dispatcher->submit(Entry, Msg);
    });
    if (!IsThere && Answers != 0)
      BOOST_REQUIRE(Arrived.wait_for(GenerousLimit) ==
                    std::future_status::ready);
    run([&] { m_Awaited = 0; });
  }

  EchoEndpoint m_Endpoint;
  SerialTask m_Task{"test"};
  TimerService m_Timers;
  MetricsRegistry m_Metrics;
  bool m_ControlIsUp = true;
  std::size_t m_Awaited = 0;
  std::promise<void> m_Arrived;
  std::vector<Answer> m_Answers;
  std::vector<CancelReply> m_CancelReplies;
  std::vector<ClaimRequest> m_Claims;
  std::vector<Submit> m_Forwarded;
  std::optional<Dispatcher> m_Dispatcher;
};

Submit makeSubmit(const SubmissionId &Id = {}) {
  Submit Msg;
  Msg.m_Call = 5;
  Msg.m_Id = Id;
  Msg.m_Team = "club";
  Msg.m_Service = "proofs";
  Msg.m_Tasks = {Bytes{"a"}};
  Msg.m_TimeoutMs = 30000;
  return Msg;
}

/// Returns an id that no other call returns.
SubmissionId callerId(std::int64_t AgeMs = 0) {
  static std::uint64_t Count = 0;
  return SubmissionId::makeCallerId(TimerService::wallMilliseconds() - AgeMs, 1,
                                    ++Count);
}

ClaimReply makeClaimReply(const ClaimRequest &Claim, Incarnation Winner) {
  ClaimReply Reply;
  Reply.m_Call = Claim.m_Call;
  Reply.m_Id = Claim.m_Id;
  Reply.m_Winner = Winner;
  Reply.m_Team = Claim.m_Team;
  Reply.m_Digest = Claim.m_Digest;
  return Reply;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADispatcher, Fixture)

BOOST_AUTO_TEST_SUITE(GivenNoId)

BOOST_AUTO_TEST_CASE(RunsTheRequestAndAnswersIt) {
  submit(makeSubmit(), 1);
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::Complete));
  BOOST_TEST(m_Answers[0].m_Call == 5u);
  BOOST_TEST(m_Answers[0].m_Results[0].m_Data == "a");
}

BOOST_AUTO_TEST_CASE(ReturnsAJobsResultsInOrder) {
  Submit Job = makeSubmit();
  Job.m_Job = true;
  Job.m_Tasks.clear();
  for (int I = 0; I != 100; ++I)
    Job.m_Tasks.push_back({std::to_string(I)});
  submit(Job, 1);
  BOOST_TEST((m_Answers[0].m_Results == Job.m_Tasks));
  BOOST_TEST(m_Endpoint.m_Starts == 100);
}

BOOST_AUTO_TEST_CASE(RefusesAnUnknownServiceAsNotRun) {
  Submit Msg = makeSubmit();
  Msg.m_Service = "nothing";
  submit(Msg, 1);
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST(m_Answers[0].m_Failure == "unknown-service");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenATimeoutThatPassesDuringAttempts)

BOOST_AUTO_TEST_CASE(SaysNotRunWhenNoneOfThemHadAConnection) {
  constexpr int Tasks = 64;
  UnresponsiveEndpoint Silent;
  run([&] {
    m_Dispatcher->runner().setEndpoints({{Silent.address(), "proofs", Tasks}},
                                        {{"proofs", Tasks}});
  });
  Submit Job = makeSubmit();
  Job.m_Job = true;
  Job.m_Tasks.assign(Tasks, Bytes{"a"});
  Job.m_TimeoutMs = 100;
  submit(Job, 1);
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST(m_Answers[0].m_Failure == "timeout");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenATicket)

BOOST_AUTO_TEST_CASE(StartsItOnceAndRemembersTheAnswer) {
  MintTickets Wanted;
  Wanted.m_Team = "club";
  SubmissionId Ticket;
  run([&] { Ticket = m_Dispatcher->mint(Wanted).m_Ids[0]; });
  submit(makeSubmit(Ticket), 1);
  submit(makeSubmit(Ticket), 2);
  BOOST_TEST((m_Answers[1].m_Outcome == Outcome::Complete));
  BOOST_TEST(m_Endpoint.m_Starts == 1);

  Submit OtherBody = makeSubmit(Ticket);
  OtherBody.m_Tasks = {Bytes{"b"}};
  submit(OtherBody, 3);
  BOOST_TEST(m_Answers[2].m_Failure == "id-mismatch");

  Submit OtherTeam = makeSubmit(Ticket);
  OtherTeam.m_Team = "shop";
  submit(OtherTeam, 4);
  BOOST_TEST(m_Answers[3].m_Failure == "unknown-submission");
  BOOST_TEST(m_Answers[3].m_Results.empty());
}

BOOST_AUTO_TEST_CASE(SpendsATicketThatItRefusesAsNotRun) {
  MintTickets Wanted;
  Wanted.m_Team = "club";
  SubmissionId Ticket;
  run([&] { Ticket = m_Dispatcher->mint(Wanted).m_Ids[0]; });
  Submit Msg = makeSubmit(Ticket);
  Msg.m_Service = "nothing";
  submit(Msg, 1);
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::NotRun));
  submit(makeSubmit(Ticket), 2);
  BOOST_TEST((m_Answers[1].m_Outcome == Outcome::Unknown));
  BOOST_TEST(m_Endpoint.m_Starts == 0);
}

BOOST_AUTO_TEST_CASE(ForwardsThatOfAnotherIncarnation) {
  std::int64_t Now = TimerService::wallMilliseconds();
  submit(makeSubmit(SubmissionId::makeTicket(Now, Other, 1)), 0);
  BOOST_TEST(m_Forwarded.size() == 1u);
  submit(makeSubmit(SubmissionId::makeTicket(Now, 300, 1)), 1);
  BOOST_TEST(m_Answers[0].m_Failure == "owner-gone");
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::Unknown));
  BOOST_TEST(m_Endpoint.m_Starts == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenACallersId)

BOOST_AUTO_TEST_CASE(StartsNothingBeforeItsClaimIsTheFirst) {
  submit(makeSubmit(callerId()), 0);
  BOOST_TEST_REQUIRE(m_Claims.size() == 1u);
  BOOST_TEST(m_Endpoint.m_Starts == 0);
  m_Arrived = std::promise<void>();
  run([&] {
    m_Awaited = 1;
    m_Dispatcher->onClaimReply(makeClaimReply(m_Claims[0], Self));
  });
  BOOST_REQUIRE(m_Arrived.get_future().wait_for(GenerousLimit) ==
                std::future_status::ready);
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::Complete));
}

BOOST_AUTO_TEST_CASE(ForwardsToTheWinnerOfTheClaim) {
  submit(makeSubmit(callerId()), 0);
  run([&] { m_Dispatcher->onClaimReply(makeClaimReply(m_Claims[0], Other)); });
  BOOST_TEST_REQUIRE(m_Forwarded.size() == 1u);
  Answer Reply;
  Reply.m_Call = m_Forwarded[0].m_Call;
  Reply.m_Id = m_Forwarded[0].m_Id;
  Reply.m_Outcome = Outcome::Complete;
  run([&] { m_Dispatcher->onForwardedAnswer(Owner, Reply); });
  BOOST_TEST_REQUIRE(m_Answers.size() == 1u);
  BOOST_TEST(m_Answers[0].m_Call == 5u);
  BOOST_TEST(m_Endpoint.m_Starts == 0);
}

BOOST_AUTO_TEST_CASE(LetsTheClaimDecideBetweenTeams) {
  Submit Foreign = makeSubmit(callerId());
  Foreign.m_Team = "shop";
  Submit Own = makeSubmit(Foreign.m_Id);
  Own.m_Call = 6;
  submit(Foreign, 0);
  submit(Own, 0);
  BOOST_TEST(m_Answers.empty());
  ClaimReply Decided = makeClaimReply(m_Claims[0], Other);
  Decided.m_Team = Own.m_Team;
  run([&] { m_Dispatcher->onClaimReply(Decided); });
  // The team that lost learns nothing, the other's claim is asked for again.
  BOOST_TEST_REQUIRE(m_Answers.size() == 1u);
  BOOST_TEST(m_Answers[0].m_Call == Foreign.m_Call);
  BOOST_TEST(m_Answers[0].m_Failure == "unknown-submission");
  BOOST_TEST_REQUIRE(m_Claims.size() == 2u);
  run([&] { m_Dispatcher->onClaimReply(Decided); });
  BOOST_TEST_REQUIRE(m_Forwarded.size() == 1u);
  BOOST_TEST(m_Forwarded[0].m_Team == Own.m_Team);
}

BOOST_AUTO_TEST_CASE(NeverSaysNotRunWhileItsClaimIsOpen) {
  Submit Msg = makeSubmit(callerId());
  Msg.m_TimeoutMs = 1;
  submit(Msg, 1);
  BOOST_TEST(m_Answers[0].m_Failure == "timeout");
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::Unknown));
  // The claim that is won later starts nothing.
  run([&] { m_Dispatcher->onClaimReply(makeClaimReply(m_Claims[0], Self)); });
  BOOST_TEST(m_Endpoint.m_Starts == 0);
}

BOOST_AUTO_TEST_CASE(RefusesAsUnknownWhatMayNotRepeatWhenTheLogIsDown) {
  m_ControlIsUp = false;
  submit(makeSubmit(callerId()), 1);
  BOOST_TEST(m_Answers[0].m_Failure == "platform-unavailable");
  BOOST_TEST((m_Answers[0].m_Outcome == Outcome::Unknown));
  BOOST_TEST(m_Endpoint.m_Starts == 0);
  Submit Repeatable = makeSubmit(callerId());
  Repeatable.m_Service = "stock";
  submit(Repeatable, 2);
  BOOST_TEST((m_Answers[1].m_Outcome == Outcome::Complete));
}

BOOST_AUTO_TEST_CASE(RefusesIdsOutsideTheWindow) {
  constexpr std::int64_t HourMs = 3600000;
  submit(makeSubmit(callerId(HourMs)), 1);
  BOOST_TEST(m_Answers[0].m_Failure == "id-expired");
  submit(makeSubmit(callerId(-HourMs)), 2);
  BOOST_TEST(m_Answers[1].m_Failure == "id-from-future");
  BOOST_TEST((m_Answers[1].m_Outcome == Outcome::Unknown));
  BOOST_TEST(m_Claims.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
