#include "auburnhub/Control/ControlSettings.h"
#include "auburnhub/Base/Failure.h"
#include "auburnhub/Program/ProcessContext.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(TheSettingsOfAControl)

BOOST_AUTO_TEST_CASE(AreReadFromTheSample) {
  auto Reader = SettingsReader::load(AUBURNHUB_SOURCE_DIR
                                     "/share/auburnhub/settings/control.yaml");
  BOOST_TEST_REQUIRE(Reader.ok());
  readCommonSettings(*Reader, "control");
  ControlSettings Settings = ControlSettings::read(*Reader);
  absl::Status Checked = Reader->finish();
  BOOST_TEST(Checked.ok(), failureDetail(Checked));
  BOOST_TEST(Settings.m_Link.str() == "127.0.0.1:8200");
}

BOOST_AUTO_TEST_CASE(AreRefusedWithAllFaults) {
  auto Reader = SettingsReader::parse("link: nowhere\nweight: 0\n"
                                      "heartbeat_ms: 2000\n",
                                      "test");
  BOOST_TEST_REQUIRE(Reader.ok());
  ControlSettings::read(*Reader);
  std::string Detail = failureDetail(Reader->finish());
  for (const char *Key : {"link", "platform", "weight", "heartbeat_timeout_ms"})
    BOOST_TEST(Detail.find(std::string(Key) + ": ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
