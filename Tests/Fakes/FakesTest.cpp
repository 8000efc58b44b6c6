#define BOOST_TEST_MODULE Fakes
#include "System/Support/FreePort.h"
#include "System/Support/History.h"
#include "System/Support/HttpCall.h"
#include "System/Support/ProcessRunner.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/TemporaryFile.h>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <sstream>

using namespace auburnhub;
using namespace auburnhub::test;
using Json = nlohmann::json;

namespace {

/// A stand-in program that has said where it listens.
class StandIn {
public:
  StandIn(const std::string &Name, const std::vector<std::string> &Arguments) {
    auto Started = ProcessRunner::start(
        std::string(AUBURNHUB_BINARY_DIR) + "/" + Name, Arguments);
    BOOST_TEST_REQUIRE(Started.ok(), Started.status().ToString());
    m_Runner = std::move(*Started);
    auto Line = m_Runner->waitForEvent("listening");
    BOOST_TEST_REQUIRE(Line.ok(), Line.status().ToString());
    m_Http = (*Line)["http"];
  }

  ProcessRunner &runner() { return *m_Runner; }
  std::string address(std::size_t Index = 0) const {
    return m_Http.is_array() ? m_Http[Index] : m_Http;
  }
  Json post(const std::string &Path, const Json &Body) const {
    auto Reply = postJson(address(), Path, Body);
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    return *Reply;
  }
  Json get(const std::string &Path) const {
    auto Reply = callHttp(address(), {"GET", Path, {}, ""});
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    BOOST_TEST_REQUIRE(Reply->m_Status == 200);
    return Reply->json();
  }

private:
  std::unique_ptr<ProcessRunner> m_Runner;
  Json m_Http;
};

const std::string Records = "/v1/streams/claims/records";

struct Platform : StandIn {
  explicit Platform(const std::vector<std::string> &Arguments = {})
      : StandIn("fake-platform", Arguments) {}

  int status(const HttpRequest &Request) const {
    auto Reply = callHttp(address(), Request);
    return Reply.ok() ? Reply->m_Status : 0;
  }
};

/// Comes before the stand-in that writes to it.
struct JournalFile {
  Poco::TemporaryFile m_Journal;
};

struct Endpoints : JournalFile, StandIn {
  explicit Endpoints(std::vector<std::string> Arguments = {"--count", "2"})
      : StandIn("fake-endpoint", withJournal(std::move(Arguments))) {}

  std::vector<std::string> withJournal(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.end(), {"--journal", m_Journal.path()});
    return Arguments;
  }

  absl::StatusOr<HttpReply> run(const std::string &Call,
                                const std::string &Body = "x") const {
    return callHttp(address(), {"POST",
                                "/v1/run",
                                {{"Auburnhub-Service", "tile-orders"},
                                 {"Auburnhub-Submission", "s-" + Call},
                                 {"Auburnhub-Task", "3"},
                                 {"Auburnhub-Attempt", "1"},
                                 {"Auburnhub-Call", Call}},
                                Body});
  }

  absl::StatusOr<HttpReply> runIn(const std::string &Mode) const {
    post("/test/mode", {{"endpoint", 0}, {"mode", Mode}});
    return run(Mode);
  }

  History journal() const {
    std::ifstream File(m_Journal.path());
    std::stringstream Text;
    Text << File.rdbuf();
    History Run;
    absl::Status Read = Run.addLines(Text.str());
    BOOST_TEST_REQUIRE(Read.ok(), Read.ToString());
    return Run;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AFakePlatform)

BOOST_FIXTURE_TEST_CASE(KeepsRecordsInOrder, Platform) {
  BOOST_TEST(post(Records, {{"records", {"a", "b"}}}) ==
             Json({{"first", 0}, {"count", 2}}));
  post(Records, {{"records", {"c"}}});
  Json Read = get(Records + "?from=1&limit=1");
  BOOST_TEST(Read["first"] == 0);
  BOOST_TEST(Read["end"] == 3);
  BOOST_TEST_REQUIRE(Read["records"].size() == 1U);
  BOOST_TEST(Read["records"][0]["offset"] == 1);
  BOOST_TEST(Read["records"][0]["data"] == "b");
  BOOST_TEST(get("/test/stats")["appends"] == 2);
}

BOOST_AUTO_TEST_CASE(ForgetsOldRecords) {
  Platform Short({"--keep", "2"});
  Short.post(Records, {{"records", {"a", "b", "c"}}});
  BOOST_TEST(Short.get(Records)["first"] == 1);
  Short.post("/test/trim", {{"stream", "claims"}, {"first", 2}});
  Json Read = Short.get(Records + "?from=0");
  BOOST_TEST(Read["first"] == 2);
  BOOST_TEST(Read["records"][0]["data"] == "c");
}

BOOST_FIXTURE_TEST_CASE(HoldsAReadUntilARecordComes, Platform) {
  auto Held = std::async(std::launch::async, [&] {
    return callHttp(address(), {"GET", Records + "?wait_ms=30000", {}, ""});
  });
  post(Records, {{"records", {"a"}}});
  auto Reply = Held.get();
  BOOST_TEST_REQUIRE(Reply.ok());
  BOOST_TEST(Reply->json()["records"].size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(LosesRepliesOfAppendsThatTakeEffect, Platform) {
  post("/test/faults", {{"lose_append_replies", 1}});
  auto Lost = callHttp(address(), {"POST", Records, {}, R"({"records":[1]})"});
  BOOST_TEST_REQUIRE(!Lost.ok());
  BOOST_TEST((failureCode(Lost.status()) == FailureCode::ConnectionLost));
  BOOST_TEST(get(Records)["end"] == 1);
  post(Records, {{"records", {2}}});
  BOOST_TEST(get(Records)["end"] == 2);
}

BOOST_FIXTURE_TEST_CASE(IsDownForAllOrForOneVm, Platform) {
  const HttpRequest Read{"GET", Records, {{"Auburnhub-Vm", "v1"}}, ""};
  post("/test/faults", {{"refuse_from", {"v1"}}});
  BOOST_TEST(status(Read) == 0);
  BOOST_TEST(status({"GET", Records, {{"Auburnhub-Vm", "v2"}}, ""}) == 200);
  post("/test/faults", {{"refuse_from", Json::array()}, {"down", true}});
  BOOST_TEST(status(Read) == 503);
  post("/test/faults", {{"down", false}, {"vms_down", true}});
  BOOST_TEST(status(Read) == 200);
  BOOST_TEST(status({"GET", "/v1/vms", {}, ""}) == 503);
}

BOOST_AUTO_TEST_CASE(ShowsVmsWithALag) {
  const Json List = {{"vms", {{{"vm", "v1"}, {"state", "live"}}}}};
  Platform Fresh;
  Fresh.post("/test/vms", List);
  BOOST_TEST(Fresh.get("/v1/vms") == List);
  Platform Late({"--vm-lag-ms", "3600000"});
  Late.post("/test/vms", List);
  BOOST_TEST(Late.get("/v1/vms")["vms"].empty());
}

BOOST_FIXTURE_TEST_CASE(RefusesMalformedInput, Platform) {
  BOOST_TEST(status({"POST", Records, {}, "{"}) == 400);
  BOOST_TEST(status({"POST", Records, {}, R"({"records":1})"}) == 400);
  BOOST_TEST(status({"POST", "/test/faults", {}, R"({"down":7})"}) == 400);
  BOOST_TEST(status({"GET", "/v1/nothing", {}, ""}) == 404);
}

BOOST_FIXTURE_TEST_CASE(EndsAtSigterm, Platform) {
  BOOST_TEST(runner().signal(SIGTERM));
  BOOST_TEST(runner().wait().value() == 0);
  BOOST_TEST(!runner().signal(SIGTERM));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AFakeEndpoint)

BOOST_FIXTURE_TEST_CASE(RunsTasksAndJournalsThem, Endpoints) {
  auto Reply = run("c1", R"({"run_ms":1,"echo":[1]})");
  BOOST_TEST_REQUIRE(Reply.ok());
  BOOST_TEST(Reply->m_Status == 200);
  BOOST_TEST(Reply->header("Auburnhub-Call") == "c1");
  BOOST_TEST(Reply->header("Auburnhub-Submission") == "s-c1");
  BOOST_TEST(Reply->json() ==
             Json({{"echo", {1}}, {"endpoint", "endpoint-0"}}));
  BOOST_TEST(run("c2", "plain")->m_Body == "plain");
  BOOST_TEST(run("c3", R"({"fail":true})")->m_Status == 500);
  History Run = journal();
  BOOST_TEST_REQUIRE(Run.m_Starts.size() == 3U);
  BOOST_TEST_REQUIRE(Run.m_Finishes.size() == 3U);
  BOOST_TEST(Run.m_Starts[0].m_Submission == "s-c1");
  BOOST_TEST(Run.m_Starts[0].m_Task == 3U);
  BOOST_TEST(Run.m_Finishes[1].m_Ok);
  BOOST_TEST(!Run.m_Finishes[2].m_Ok);
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsOverItsSlots) {
  Endpoints One({"--slots", "1"});
  One.post("/test/mode", {{"mode", "hang"}});
  auto Held = std::async(std::launch::async, [&] { return One.run("c1"); });
  while (One.get("/test/stats")["running"] == 0)
    std::this_thread::yield();
  auto Refused = One.run("c2");
  BOOST_TEST(Refused->m_Status == 503);
  BOOST_TEST(Refused->header("Auburnhub-Started") == "no");
  One.post("/test/mode", {{"mode", "ok"}});
  BOOST_TEST(!Held.get().ok());
  BOOST_TEST(One.run("c3")->m_Status == 200);
  BOOST_TEST(One.get("/test/stats")["refusals"] == 1);
  BOOST_TEST(One.journal().m_Starts.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ResetsConnectionsAtEachStage, Endpoints) {
  BOOST_TEST(!runIn("reset_before").ok());
  BOOST_TEST(journal().m_Starts.empty());
  BOOST_TEST(!runIn("reset_during").ok());
  BOOST_TEST(journal().m_Starts.size() == 1U);
  BOOST_TEST(journal().m_Finishes.empty());
  BOOST_TEST(!runIn("reset_after").ok());
  BOOST_TEST(journal().m_Finishes.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(BreaksTheProtocolAsTold, Endpoints) {
  BOOST_TEST(!runIn("truncate").ok());
  BOOST_TEST(runIn("wrong_call")->header("Auburnhub-Call") != "wrong_call");
  auto Stale = runIn("stale");
  BOOST_TEST(Stale->header("Auburnhub-Call") == "wrong_call");
  BOOST_TEST(runIn("oversize")->m_Body.size() == 1024U * 1024U);
}

BOOST_FIXTURE_TEST_CASE(FailsAndRefusesAsTold, Endpoints) {
  BOOST_TEST(runIn("fail")->m_Status == 500);
  BOOST_TEST(runIn("fail_all_fast")->header("Auburnhub-Started") == "");
  BOOST_TEST(runIn("refuse")->header("Auburnhub-Started") == "no");
  auto Leaving = runIn("leaving");
  BOOST_TEST(Leaving->header("Auburnhub-Started") == "no");
  BOOST_TEST(Leaving->header("Auburnhub-Leaving") == "yes");
  BOOST_TEST(callHttp(address(), {"GET", "/healthz", {}, ""})->m_Status == 503);
  BOOST_TEST(callHttp(address(1), {"GET", "/healthz", {}, ""})->m_Status ==
             200);
  BOOST_TEST(runIn("ok")->m_Status == 200);
  History Run = journal();
  BOOST_TEST(Run.m_Starts.size() == 3U);
  BOOST_TEST(Run.m_Refusals.size() == 2U);
  BOOST_TEST_REQUIRE(Run.m_Signs.size() == 2U);
  BOOST_TEST(Run.m_Signs[0].m_Leaving);
  BOOST_TEST(!Run.m_Signs[1].m_Leaving);
}

BOOST_FIXTURE_TEST_CASE(IsPausedResumedAndKilled, Endpoints) {
  BOOST_TEST(runner().signal(SIGSTOP));
  auto Held = std::async(std::launch::async, [&] { return run("c1"); });
  BOOST_TEST(runner().signal(SIGCONT));
  BOOST_TEST(Held.get()->m_Status == 200);
  BOOST_TEST(runner().signal(SIGKILL));
  BOOST_TEST(runner().wait().value() == 128 + SIGKILL);
  BOOST_TEST((failureCode(run("c2").status()) == FailureCode::NoEndpoint));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AFreePort)

BOOST_AUTO_TEST_CASE(IsNotGivenTwice) {
  auto First = takeFreePort();
  auto Second = takeFreePort();
  BOOST_TEST_REQUIRE(First.ok());
  BOOST_TEST_REQUIRE(Second.ok());
  BOOST_TEST(*First != *Second);
  BOOST_TEST(*First < 32768);
}

BOOST_AUTO_TEST_SUITE_END()
