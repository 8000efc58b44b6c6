#include "auburnhub/Ctl/ConfigurationFile.h"
#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

const std::string Valid =
    "services:\n"
    "  stock.check:\n"
    "    repeatable: true\n"
    "    endpoints:\n"
    "      - {address: \"127.0.0.1:1\", slots: 8, data_centre: a, vm: \"1\"}\n"
    "teams:\n"
    "  club-desk: {weight: 1}\n";

std::string faultsOf(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  auto Body = parseConfigurationText(Text, "body.yaml", 1);
  BOOST_REQUIRE(!Body.ok());
  return failureDetail(Body.status());
}

} // namespace

BOOST_AUTO_TEST_SUITE(AConfigurationFile)

BOOST_AUTO_TEST_CASE(KeepsTheTypesOfItsValues) {
  auto Body = parseConfigurationText(Valid, "body.yaml", 1);
  BOOST_REQUIRE(Body.ok());
  const nlohmann::json &Service = (*Body)["services"]["stock.check"];
  BOOST_TEST((Service["repeatable"] == true));
  BOOST_TEST((Service["endpoints"][0]["slots"] == 8));
  BOOST_TEST((Service["endpoints"][0]["vm"] == "1"));
}

BOOST_AUTO_TEST_CASE(MayBeJson) {
  auto Body = parseConfigurationText("{\"teams\": {\"a\": {\"weight\": 2}}}",
                                     "body.json", 1);
  BOOST_REQUIRE(Body.ok());
  BOOST_TEST(((*Body)["teams"]["a"]["weight"] == 2));
}

BOOST_AUTO_TEST_SUITE(WithAFault)

BOOST_AUTO_TEST_CASE(NamesFileLineAndWhatWasExpected) {
  BOOST_TEST(faultsOf(Valid, "slots: 8", "slots: 0")
                 .starts_with("body.yaml:5: "
                              "services.stock.check.endpoints[0].slots: "
                              "expected"));
}

BOOST_AUTO_TEST_CASE(NamesTheLineOfAnUnknownKey) {
  BOOST_TEST(faultsOf(Valid, "weight: 1", "wieght: 1") ==
             "body.yaml:7: teams.club-desk.wieght: unknown key");
}

BOOST_AUTO_TEST_CASE(NamesAKeyThatOccursTwice) {
  BOOST_TEST(faultsOf(Valid, "{weight: 1}", "{weight: 1, weight: 2}") ==
             "body.yaml:7: weight: the key occurs twice; expected it once");
}

BOOST_AUTO_TEST_CASE(SaysThatBrokenSyntaxIsNeitherYamlNorJson) {
  std::string Faults = faultsOf(Valid, "{weight: 1}", "{weight: 1");
  BOOST_TEST(Faults.starts_with("body.yaml:"));
  BOOST_TEST(Faults.find("expected YAML or JSON") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
