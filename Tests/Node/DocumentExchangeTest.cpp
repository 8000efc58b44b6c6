#include "auburnhub/Node/DocumentExchange.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

struct Exchange {
  void advanceBy(double Ms) {
    m_Now = addMs(m_Now, Ms);
    m_Documents.retryTimedOut(m_Now);
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  std::vector<std::pair<std::string, DocumentRequest>> m_Requests;
  DocumentExchange m_Documents{
      [this](const std::string &Node, const DocumentRequest &Msg) {
        m_Requests.emplace_back(Node, Msg);
      }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestedDocument, Exchange)

BOOST_AUTO_TEST_CASE(IsRequestedFromOnePeerAtATime) {
  for (const char *Node : {"a", "b", "c"})
    m_Documents.setPeerVersions(Node, {{"workers", 7}});
  m_Documents.requestNewer(m_Now, "workers");
  m_Documents.requestNewer(m_Now, "workers");
  advanceBy(100);
  BOOST_TEST(m_Requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsRequestedFromThePeerWithTheNewestVersion) {
  m_Documents.setPeerVersions("a", {{"workers", 7}});
  m_Documents.setPeerVersions("b", {{"workers", 9}});
  m_Documents.requestNewer(m_Now, "workers");
  BOOST_REQUIRE(m_Requests.size() == 1U);
  BOOST_TEST(m_Requests[0].first == "b");
}

BOOST_AUTO_TEST_CASE(IsRequestedFromAnotherPeerAfterATimeout) {
  m_Documents.setPeerVersions("a", {{"workers", 7}});
  m_Documents.setPeerVersions("b", {{"workers", 9}});
  m_Documents.requestNewer(m_Now, "workers");
  advanceBy(700);
  BOOST_REQUIRE(m_Requests.size() == 2U);
  BOOST_TEST(m_Requests[1].first == "a");
}

BOOST_AUTO_TEST_CASE(IsRequestedFromAnotherPeerAfterADisconnect) {
  m_Documents.setPeerVersions("a", {{"workers", 7}});
  m_Documents.setPeerVersions("b", {{"workers", 9}});
  m_Documents.requestNewer(m_Now, "workers");
  m_Documents.removePeer("b");
  advanceBy(10);
  BOOST_REQUIRE(m_Requests.size() == 2U);
  BOOST_TEST(m_Requests[1].first == "a");
}

BOOST_AUTO_TEST_CASE(IsNotRequestedFromPeersWithoutANewerVersion) {
  m_Documents.set("workers", 9, "text");
  m_Documents.setPeerVersions("a", {{"workers", 9}});
  m_Documents.requestNewer(m_Now, "workers");
  advanceBy(1000);
  BOOST_TEST(m_Requests.empty());
}

BOOST_AUTO_TEST_CASE(IsAcceptedOnlyIfItIsNewer) {
  m_Documents.setPeerVersions("a", {{"workers", 9}});
  m_Documents.requestNewer(m_Now, "workers");
  BOOST_TEST(m_Documents.receive({"workers", 9, "text"}));
  m_Documents.set("workers", 9, "text");
  BOOST_TEST(!m_Documents.receive({"workers", 8, "text"}));
  advanceBy(1000);
  BOOST_TEST(m_Requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADocument, Exchange)

BOOST_AUTO_TEST_CASE(IsSentOnlyToPeersWithAnOlderVersion) {
  m_Documents.set("workers", 9, "text");
  BOOST_TEST(m_Documents.findNewer({"workers", 8}) != nullptr);
  BOOST_TEST(m_Documents.findNewer({"workers", 9}) == nullptr);
  BOOST_TEST(m_Documents.findNewer({"configuration", 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
