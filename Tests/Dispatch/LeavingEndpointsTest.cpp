#include "LeavingEndpoints.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace auburnhub;

namespace {

struct Fixture {
  Fixture()
      : m_Leaving({[this](const std::string &Endpoint, bool Leaving) {
                     m_Seen.push_back(Endpoint + (Leaving ? "-" : "+"));
                   },
                   [this](const std::string &Endpoint) {
                     m_Asked.push_back(Endpoint);
                   }}) {}

  /// Lists an endpoint that takes work.
  void list(const std::string &Endpoint) {
    m_Leaving.setEndpoints({Endpoint});
    m_Leaving.onAnswer(Endpoint, true);
    m_Seen.clear();
    m_Asked.clear();
  }

  std::vector<std::string> m_Seen;
  std::vector<std::string> m_Asked;
  LeavingEndpoints m_Leaving;
};

using Strings = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnEndpoint, Fixture)

BOOST_AUTO_TEST_CASE(IsAskedBeforeItsFirstTask) {
  m_Leaving.setEndpoints({"a", "b"});
  BOOST_TEST(m_Asked == (Strings{"a", "b"}));
  BOOST_TEST(m_Leaving.isLeaving("a"));
  m_Leaving.onAnswer("a", true);
  m_Leaving.onAnswer("b", false);
  BOOST_TEST(!m_Leaving.isLeaving("a"));
  BOOST_TEST(m_Leaving.isLeaving("b"));
}

BOOST_AUTO_TEST_CASE(LeavesOnItsOwnWordUntilItTakesWorkAgain) {
  list("a");
  BOOST_TEST(m_Leaving.noteSaid("a"));
  BOOST_TEST(!m_Leaving.noteSaid("a"));
  m_Leaving.askAgain();
  BOOST_TEST(m_Asked == Strings{"a"});
  m_Leaving.onAnswer("a", false);
  BOOST_TEST(m_Leaving.isLeaving("a"));
  m_Leaving.onAnswer("a", true);
  BOOST_TEST(m_Seen == (Strings{"a-", "a+"}));
}

BOOST_AUTO_TEST_CASE(LeavesWhileItsVmIsListedWhateverItSays) {
  list("a");
  m_Leaving.setListed({"a"});
  m_Leaving.noteSaid("a");
  m_Leaving.onAnswer("a", true);
  BOOST_TEST(m_Leaving.isLeaving("a"));
  m_Leaving.setListed({});
  BOOST_TEST(m_Seen == (Strings{"a-", "a+"}));
}

BOOST_AUTO_TEST_CASE(IsForgottenWhenItIsNotConfiguredAnyMore) {
  list("a");
  m_Leaving.noteSaid("a");
  m_Leaving.setEndpoints({});
  BOOST_TEST(!m_Leaving.isLeaving("a"));
  BOOST_TEST(!m_Leaving.noteSaid("a"));
}

BOOST_AUTO_TEST_SUITE_END()
