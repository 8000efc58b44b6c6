#include "auburnhub/Node/DocumentExchange.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

struct Exchange {
  void pass(double Ms) {
    m_Now = addMs(m_Now, Ms);
    m_Documents.advance(m_Now);
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  std::vector<std::pair<std::string, DocumentRequest>> m_Asked;
  DocumentExchange m_Documents{
      [this](const std::string &Node, const DocumentRequest &Msg) {
        m_Asked.emplace_back(Node, Msg);
      }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AWantedDocument, Exchange)

BOOST_AUTO_TEST_CASE(IsAskedOfOnePeerAtATime) {
  for (const char *Node : {"a", "b", "c"})
    m_Documents.peerHas(Node, {{"workers", 7}});
  m_Documents.want(m_Now, "workers");
  m_Documents.want(m_Now, "workers");
  pass(100);
  BOOST_TEST(m_Asked.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IsAskedOfThePeerWithTheNewest) {
  m_Documents.peerHas("a", {{"workers", 7}});
  m_Documents.peerHas("b", {{"workers", 9}});
  m_Documents.want(m_Now, "workers");
  BOOST_REQUIRE(m_Asked.size() == 1U);
  BOOST_TEST(m_Asked[0].first == "b");
}

BOOST_AUTO_TEST_CASE(IsAskedOfAnotherIfThereIsNoAnswer) {
  m_Documents.peerHas("a", {{"workers", 7}});
  m_Documents.peerHas("b", {{"workers", 9}});
  m_Documents.want(m_Now, "workers");
  pass(700);
  BOOST_REQUIRE(m_Asked.size() == 2U);
  BOOST_TEST(m_Asked[1].first == "a");
}

BOOST_AUTO_TEST_CASE(IsAskedOfAnotherIfThePeerIsLost) {
  m_Documents.peerHas("a", {{"workers", 7}});
  m_Documents.peerHas("b", {{"workers", 9}});
  m_Documents.want(m_Now, "workers");
  m_Documents.peerLost("b");
  pass(10);
  BOOST_REQUIRE(m_Asked.size() == 2U);
  BOOST_TEST(m_Asked[1].first == "a");
}

BOOST_AUTO_TEST_CASE(IsNotAskedOfPeersThatHaveNothingNewer) {
  m_Documents.set("workers", 9, "text");
  m_Documents.peerHas("a", {{"workers", 9}});
  m_Documents.want(m_Now, "workers");
  pass(1000);
  BOOST_TEST(m_Asked.empty());
}

BOOST_AUTO_TEST_CASE(IsTakenOnceIfItIsNewer) {
  m_Documents.peerHas("a", {{"workers", 9}});
  m_Documents.want(m_Now, "workers");
  BOOST_TEST(m_Documents.arrived({"workers", 9, "text"}));
  m_Documents.set("workers", 9, "text");
  BOOST_TEST(!m_Documents.arrived({"workers", 8, "text"}));
  pass(1000);
  BOOST_TEST(m_Asked.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADocument, Exchange)

BOOST_AUTO_TEST_CASE(IsHandedToThoseWhoHaveAnOlderOne) {
  m_Documents.set("workers", 9, "text");
  BOOST_TEST(m_Documents.answer({"workers", 8}) != nullptr);
  BOOST_TEST(m_Documents.answer({"workers", 9}) == nullptr);
  BOOST_TEST(m_Documents.answer({"configuration", 0}) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
