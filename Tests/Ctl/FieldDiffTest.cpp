#include "auburnhub/Ctl/FieldDiff.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(AFieldDiff)

BOOST_AUTO_TEST_CASE(NamesWhatWasAddedRemovedAndChanged) {
  nlohmann::json Old = {{"a", 1}, {"b", {{"c", 2}}}};
  nlohmann::json New = {{"b", {{"c", 3}}}, {"d", "x"}};
  BOOST_TEST(compareFields(Old, Old).empty());
  BOOST_TEST(formatChanges(compareFields(Old, New)) ==
             "- a: 1\n~ b.c: 2 -> 3\n+ d: \"x\"\n");
}

BOOST_AUTO_TEST_CASE(PairsEndpointsByAddressAndNotByPlace) {
  nlohmann::json First = {{"address", "127.0.0.1:1"}, {"slots", 1}};
  nlohmann::json Second = {{"address", "127.0.0.1:2"}, {"slots", 2}};
  nlohmann::json Faster = {{"address", "127.0.0.1:2"}, {"slots", 9}};
  nlohmann::json Old = {{"endpoints", nlohmann::json::array({First, Second})}};
  nlohmann::json New = {{"endpoints", nlohmann::json::array({Faster, First})}};
  BOOST_TEST(formatChanges(compareFields(Old, New)) ==
             "~ endpoints[127.0.0.1:2].slots: 2 -> 9\n");
}

BOOST_AUTO_TEST_SUITE_END()
