#include "auburnhub/Node/QueueTable.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

QueueEntry entry(const std::string &Name, const std::string &Host,
                 const std::string &Prefix) {
  QueueEntry Result;
  Result.m_Policy.m_Queue = Name;
  Result.m_Host = Host;
  Result.m_PathPrefix = Prefix;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AQueueTable)

BOOST_AUTO_TEST_CASE(SelectsByHostAndLongestPrefix) {
  QueueTable Table;
  Table.m_Queues = {entry("short", "h", "/a/"), entry("long", "h", "/a/b/"),
                    entry("other", "g", "/a/b/c/")};
  BOOST_REQUIRE(Table.find("h", "/a/b/c/1"));
  BOOST_TEST(Table.find("h", "/a/b/c/1")->m_Policy.m_Queue == "long");
  BOOST_TEST(Table.find("h:80", "/a/x")->m_Policy.m_Queue == "short");
  BOOST_TEST(!Table.find("h", "/b/"));
  BOOST_TEST(!Table.find("i", "/a/"));
}

BOOST_AUTO_TEST_SUITE_END()
