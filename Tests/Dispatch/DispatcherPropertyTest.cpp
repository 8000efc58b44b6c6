#include "Dispatcher.h"

#include "auburnhub/Http/HttpServer.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <condition_variable>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

using namespace auburnhub;

namespace {

constexpr Incarnation Self = 100;
constexpr Incarnation Other = 200;
constexpr PeerId Entry = 1;
constexpr std::size_t Submissions = 4;
constexpr auto GenerousLimit = std::chrono::seconds(60);

/// What the endpoint does with a task is its body.
constexpr std::array<const char *, 4> Bodies = {"ok", "fail", "refuse",
                                                "wrong-call"};

/// An endpoint that counts starts and keeps tasks until their gate is open.
class GatedEndpoint {
public:
  GatedEndpoint() {
    auto Started = HttpServer::start(
        {"127.0.0.1", 0}, {},
        [this](const HttpRequest &Request) { return handle(Request); });
    m_Server = std::move(*Started);
  }

  std::string address() const { return m_Server->address().str(); }

  void open(const std::string &Submission) {
    std::lock_guard Lock(m_Mutex);
    m_Open.insert(Submission);
    m_Changed.notify_all();
  }

  /// Returns the starts of a submission's tasks by their index.
  std::map<std::string, int> starts(const std::string &Submission) {
    std::lock_guard Lock(m_Mutex);
    return m_Starts[Submission];
  }

private:
  HttpResponse handle(const HttpRequest &Request) {
    if (Request.m_Path == "/healthz")
      return {};
    const std::string Id(Request.m_Headers.get("Auburnhub-Submission"));
    HttpResponse Response;
    for (const char *Name : {"Auburnhub-Call", "Auburnhub-Submission"})
      Response.m_Headers.set(Name, std::string(Request.m_Headers.get(Name)));
    const bool IsFirst = Request.m_Headers.get("Auburnhub-Attempt") == "1";
    if (Request.m_Body == "refuse" && IsFirst) {
      Response.m_Headers.set("Auburnhub-Started", "no");
      Response.m_Status = 503;
      return Response;
    }
    std::unique_lock Lock(m_Mutex);
    ++m_Starts[Id][std::string(Request.m_Headers.get("Auburnhub-Task"))];
    m_Changed.wait(Lock, [&] { return m_Open.contains(Id); });
    if (Request.m_Body == "wrong-call")
      Response.m_Headers.set("Auburnhub-Call", "another");
    if (Request.m_Body == "fail")
      Response.m_Status = 500;
    Response.m_Body = Request.m_Body;
    return Response;
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::set<std::string> m_Open;
  std::map<std::string, std::map<std::string, int>> m_Starts;
  std::unique_ptr<HttpServer> m_Server;
};

/// A dispatcher whose claims the test decides.
class Bench {
public:
  Bench() {
    auto Chart = StateChart::load(AUBURNHUB_SOURCE_DIR
                                  "/share/auburnhub/charts/task-life.yaml",
                                  TaskRunner::vocabulary());
    BOOST_REQUIRE(Chart.ok());
    Dispatcher::Links Links;
    Links.m_Answer = [this](PeerId, const Answer &Msg) {
      m_Answers.push_back(Msg);
    };
    Links.m_CancelReply = [](PeerId, const CancelReply &) {};
    Links.m_Claim = [this](const ClaimRequest &Msg) {
      m_Claims.push_back(Msg);
      return true;
    };
    Links.m_FindOwner = [](Incarnation) { return std::optional<PeerId>(); };
    Links.m_ForwardSubmit = [](PeerId, const Submit &) {};
    Links.m_ForwardCancel = [](PeerId, const Cancel &) {};
    Links.m_EndpointLeaves = [](const std::string &) {};
    m_Dispatcher.emplace(m_Task, m_Timers, m_Metrics, Self, "vm",
                         std::move(*Chart), Links);
    DispatchConfiguration Configuration;
    Configuration.m_Body.m_Teams["club"] = {};
    Configuration.m_Body.m_Services["proofs"] = {};
    run([&] {
      m_Dispatcher->configure(Configuration);
      m_Dispatcher->runner().setEndpoints({{m_Endpoint.address(), "proofs", 8}},
                                          {{"proofs", 8}});
    });
    m_Timers.every(Dispatcher::TickPeriod, m_Task,
                   [this] { m_Dispatcher->tick(); });
  }

  ~Bench() {
    m_Timers.stop();
    m_Task.stop();
    m_Dispatcher->runner().stop();
  }

  template <typename Call> void run(Call Body) {
    std::promise<void> Done;
    m_Task.post([&] {
      Body();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  bool isIdle() {
    bool Result = false;
    run([&] {
      Result =
          m_Dispatcher->isIdle() && m_Dispatcher->runner().runningTasks() == 0;
    });
    return Result;
  }

  GatedEndpoint m_Endpoint;
  SerialTask m_Task{"test"};
  TimerService m_Timers;
  MetricsRegistry m_Metrics;
  std::vector<Answer> m_Answers;
  std::vector<ClaimRequest> m_Claims;
  std::optional<Dispatcher> m_Dispatcher;
};

/// Leads a few submissions through random steps.
class Walk {
public:
  Walk() {
    MintTickets Wanted;
    Wanted.m_Team = "club";
    Wanted.m_Count = Submissions / 2;
    const std::int64_t Now = TimerService::wallMilliseconds();
    m_Bench.run([&] { m_Ids = m_Bench.m_Dispatcher->mint(Wanted).m_Ids; });
    for (std::size_t I = m_Ids.size(); I != Submissions; ++I)
      m_Ids.push_back(SubmissionId::makeCallerId(Now, 1, I));
  }

  void step(int Choice, unsigned Value) {
    const std::size_t Index = Value % Submissions;
    const SubmissionId &Id = m_Ids[Index];
    switch (Choice) {
    case 0:
    case 1:
      return m_Bench.run([&] { submit(Index, Value); });
    case 2:
    case 3:
      return m_Bench.run([&] { decideClaims(Value / Submissions); });
    case 4:
      return m_Bench.run([&] {
        m_Bench.m_Dispatcher->cancel(Entry, {1, Id, "club", 0});
      });
    default:
      return m_Bench.m_Endpoint.open(Id.str());
    }
  }

  /// Ends everything and checks what was answered against what was started.
  void check() {
    for (const SubmissionId &Id : m_Ids)
      m_Bench.m_Endpoint.open(Id.str());
    m_Bench.run([&] { decideClaims(0); });
    const MonotonicTime Due = TimerService::now() + GenerousLimit;
    while (!m_Bench.isIdle() && TimerService::now() < Due)
      std::this_thread::yield();
    RC_ASSERT(m_Bench.isIdle());
    for (const SubmissionId &Id : m_Ids)
      for (const auto &[Task, Starts] : m_Bench.m_Endpoint.starts(Id.str()))
        RC_ASSERT(Starts == 1);
    m_Bench.run([&] {
      for (const Answer &Reply : m_Bench.m_Answers)
        check(Reply);
    });
  }

private:
  /// The tasks of a submission depend on its index only.
  std::vector<Bytes> tasksOf(std::size_t Index) const {
    return {Bytes{Bodies[Index]}, Bytes{"ok"}};
  }

  void submit(std::size_t Index, unsigned Value) {
    Submit Msg;
    Msg.m_Call = ++m_Calls;
    Msg.m_Id = m_Ids[Index];
    Msg.m_Team = "club";
    Msg.m_Service = Value % 16 == 15 ? "nothing" : "proofs";
    Msg.m_Job = true;
    Msg.m_Tasks = tasksOf(Index);
    Msg.m_TimeoutMs = Value % 3 == 0 ? 1 : 30000;
    m_Bench.m_Dispatcher->submit(Entry, Msg);
  }

  /// Answers the claims that wait; the first decision on an id stands.
  void decideClaims(unsigned Value) {
    for (const ClaimRequest &Claim : std::exchange(m_Bench.m_Claims, {})) {
      ClaimReply Reply;
      Reply.m_Call = Claim.m_Call;
      Reply.m_Id = Claim.m_Id;
      Reply.m_Team = Claim.m_Team;
      Reply.m_Digest = Claim.m_Digest;
      if (Value % 3 == 2)
        Reply.m_Failure = "platform-unavailable";
      else
        Reply.m_Winner =
            m_Winners.try_emplace(Claim.m_Id, Value % 3 == 1 ? Other : Self)
                .first->second;
      m_Bench.m_Dispatcher->onClaimReply(Reply);
    }
  }

  void check(const Answer &Reply) {
    const auto Starts = m_Bench.m_Endpoint.starts(Reply.m_Id.str());
    if (Reply.m_Outcome == Outcome::NotRun)
      RC_ASSERT(Starts.empty());
    if (Reply.m_Outcome == Outcome::Complete) {
      const auto Index = static_cast<std::size_t>(
          std::ranges::find(m_Ids, Reply.m_Id) - m_Ids.begin());
      RC_ASSERT(Reply.m_Results == tasksOf(Index));
    }
    auto Winner = m_Winners.find(Reply.m_Id);
    if (Winner != m_Winners.end() && Winner->second == Other)
      RC_ASSERT(Starts.empty());
  }

  Bench m_Bench;
  std::vector<SubmissionId> m_Ids;
  std::unordered_map<SubmissionId, Incarnation> m_Winners;
  CallNumber m_Calls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ADispatcherThroughAnyInterleaving)

BOOST_AUTO_TEST_CASE(StartsEachTaskOnceAndSaysNotRunOnlyOfWhatNeverStarts) {
  const bool Holds = rc::check([] {
    const auto Steps =
        *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0u, 1000u)));
    Walk Path;
    for (const auto &[Choice, Value] : Steps)
      Path.step(Choice, Value);
    Path.check();
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
