#include "auburnhub/Base/SettingsReader.h"

#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

SettingsReader parse(const std::string &Text) {
  auto Reader = SettingsReader::parse(Text, "test.yaml");
  BOOST_REQUIRE(Reader.ok());
  return *Reader;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ASettingsReader)

BOOST_AUTO_TEST_SUITE(GivenAGoodDocument)

BOOST_AUTO_TEST_CASE(ReturnsEachValue) {
  SettingsReader Reader = parse("vm: a\n"
                                "http: {listen: '127.0.0.1:80'}\n"
                                "peers: ['127.0.0.1:1', '127.0.0.1:2']\n"
                                "items: [{n: 1}, {n: 2}]\n"
                                "areas: {routing: debug}\n");
  BOOST_TEST(Reader.requireString("vm") == "a");
  BOOST_TEST(Reader.section("http").requireAddress("listen").m_Port == 80);
  BOOST_TEST(Reader.getAddresses("peers").size() == 2u);
  for (SettingsReader &Item : Reader.list("items"))
    BOOST_TEST(Item.getInteger("n", 0, 1, 2) > 0);
  BOOST_TEST(Reader.getStringMap("areas").at("routing") == "debug");
  BOOST_TEST(Reader.getInteger("absent", 5, 0, 9) == 5);
  BOOST_TEST(Reader.finish().ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenSeveralFaults)

BOOST_AUTO_TEST_CASE(ReportsThemAllWithTheirPlaces) {
  SettingsReader Reader = parse("count: 12\n"
                                "http:\n"
                                "  listen: nowhere\n"
                                "  lisen: x\n");
  Reader.requireString("vm");
  Reader.getInteger("count", 1, 0, 9);
  Reader.section("http").requireAddress("listen");
  absl::Status Status = Reader.finish();
  BOOST_TEST((failureCode(Status) == FailureCode::BadSettings));
  std::string Text = failureDetail(Status);
  BOOST_TEST(Text.find("vm: is required") != std::string::npos);
  BOOST_TEST(Text.find("test.yaml:1:8: count: expected a whole number") !=
             std::string::npos);
  BOOST_TEST(Text.find("test.yaml:3:11: http.listen: expected HOST:PORT") !=
             std::string::npos);
  BOOST_TEST(Text.find("test.yaml:4:3: http.lisen: unknown key") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNoMapping) {
  BOOST_TEST(!SettingsReader::parse("- a\n", "test.yaml").ok());
  BOOST_TEST(!SettingsReader::parse("a: [\n", "test.yaml").ok());
  BOOST_TEST(!SettingsReader::load("/nonexistent.yaml").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
