#include "auburnhub/Ctl/StatusTable.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

ProcessStatus control(int Schema) {
  nlohmann::json First = {{"vm", "brisbane-1"}, {"config_schema", 3}};
  nlohmann::json Second = {{"vm", "brisbane-2"}, {"config_schema", Schema}};
  ProcessStatus Result;
  Result.m_Address = "127.0.0.1:1";
  Result.m_Page["vm"] = "brisbane-1";
  Result.m_Page["process"] = "control";
  Result.m_Page["state"] = "ready";
  Result.m_Page["role"]["configuration"]["offset"] = 17;
  Result.m_Page["role"]["members"]["members"] =
      nlohmann::json::array({First, Second});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AStatusTable)

BOOST_AUTO_TEST_CASE(HasARowForEachProcessAlsoIfItDoesNotAnswer) {
  ProcessStatus Silent{"127.0.0.1:2", nullptr, "endpoint-refused"};
  std::string Table = formatStatusTable(std::vector{control(2), Silent});
  BOOST_TEST(Table.find("endpoint-refused") != std::string::npos);
  BOOST_TEST(Table.find("brisbane-1  -            control  ready") !=
             std::string::npos);
  BOOST_TEST(Table.find(" 17 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ListsTheMembersThatAControlSees) {
  std::string Table = formatMemberTables(std::vector{control(2)});
  BOOST_TEST(Table.find("Members as brisbane-1 sees them:\n") !=
             std::string::npos);
  BOOST_TEST(Table.find("brisbane-2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TellsTheOldestReaderOfAll) {
  auto Oldest = oldestReaderSchema(std::vector{control(3), control(2)});
  BOOST_TEST(Oldest.value_or(0) == 2);
  BOOST_TEST(!oldestReaderSchema({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
