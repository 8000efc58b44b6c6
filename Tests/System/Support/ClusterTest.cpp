#define BOOST_TEST_MODULE Cluster
#include "System/Support/Cluster.h"
#include "System/Support/HttpCall.h"
#include "System/Support/RecordingCaller.h"

#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;
using namespace auburnhub::test;
using Json = nlohmann::json;

namespace {

/// A cluster whose data centres have endpoints but no entry VMs.
struct Surroundings {
  Surroundings() {
    ClusterOptions Options;
    Options.m_Binaries = AUBURNHUB_BINARY_DIR;
    Options.m_DataCentres = 2;
    Options.m_VmsPerDataCentre = 0;
    auto Started = Cluster::start(Options);
    BOOST_TEST_REQUIRE(Started.ok(), Started.status().ToString());
    m_Cluster = std::move(*Started);
  }

  Json get(const std::string &Path) const {
    auto Reply = callHttp(m_Cluster->platform(), {"GET", Path, {}, ""});
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    return Reply->json();
  }

  std::unique_ptr<Cluster> m_Cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AClusterWithoutEntryVms, Surroundings)

BOOST_AUTO_TEST_CASE(PublishesItsConfigurationAndVms) {
  BOOST_TEST(m_Cluster->endpoints().size() == 8U);
  Json Stream = get("/v1/streams/configuration/records");
  BOOST_TEST_REQUIRE(Stream["records"].size() == 1U);
  Json Record = Stream["records"][0]["data"];
  BOOST_TEST(Record["base"] == -1);
  BOOST_TEST(Record["body"] == m_Cluster->configuration());
  BOOST_TEST(Record["body"]["services"]["tile-orders"]["endpoints"].size() ==
             4U);
  BOOST_TEST(m_Cluster->publish(Record["body"], 0).value() == 1);
  const std::string First = m_Cluster->endpoints()[0].m_Name;
  BOOST_TEST(m_Cluster->publishVms({First}).ok());
  Json Vms = get("/v1/vms")["vms"];
  BOOST_TEST_REQUIRE(Vms.size() == 8U);
  BOOST_TEST(Vms[0]["state"] == "leaving");
  BOOST_TEST(Vms[1]["state"] == "live");
}

BOOST_AUTO_TEST_CASE(CollectsWhatItsEndpointsSaw) {
  const ClusterEndpoint &Last = m_Cluster->endpoints().back();
  auto Reply = callHttp(Last.m_Address,
                        {"POST", "/v1/run", {{"Auburnhub-Call", "c"}}, "x"});
  BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
  BOOST_TEST(m_Cluster->setMode(7, "leaving").ok());
  History Run;
  BOOST_TEST(m_Cluster->collect(Run).ok());
  BOOST_TEST_REQUIRE(Run.m_Starts.size() == 1U);
  BOOST_TEST(Run.m_Starts[0].m_Endpoint == Last.m_Name);
  BOOST_TEST_REQUIRE(Run.m_Signs.size() == 1U);
  BOOST_TEST(Run.m_Signs[0].m_Endpoint == Last.m_Name);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARecordingCaller)

BOOST_FIXTURE_TEST_CASE(RecordsAnswersButNoRefusedConnections, Surroundings) {
  RecordingCaller Caller;
  CallerSubmission Sent;
  Sent.m_Bodies = {"x"};
  // An endpoint does not know the callers' interface.
  auto Reply = Caller.submit(m_Cluster->endpoints()[0].m_Address, Sent);
  BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
  BOOST_TEST(Reply->m_Status == 404);
  auto Refused = Caller.submit("127.0.0.1:1", Sent);
  BOOST_TEST((failureCode(Refused.status()) == FailureCode::NoEndpoint));
  History Run = Caller.history();
  BOOST_TEST(Run.m_Invocations.size() == 1U);
  BOOST_TEST_REQUIRE(Run.m_Answers.size() == 1U);
  BOOST_TEST(Run.m_Answers[0].m_Status == 404);
}

BOOST_AUTO_TEST_SUITE_END()
