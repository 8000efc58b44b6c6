#include "auburnhub/Policy/PolicyParameters.h"
#include "auburnhub/Base/Failure.h"
#include "auburnhub/Messages/Codec.h"
#include "auburnhub/Policy/RetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <limits>
#include <sstream>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(ThePolicysParameters)

BOOST_AUTO_TEST_CASE(AreValidByDefault) {
  BOOST_TEST(PolicyParameters().validate().ok());
}

BOOST_AUTO_TEST_CASE(AreReadFromTheConfiguration) {
  auto Read = fromJson<PolicyParameters>({{"long_share", 0.5}});
  BOOST_TEST_REQUIRE(Read.ok());
  BOOST_TEST(Read->m_LongShare == 0.5);
  BOOST_TEST(Read->m_MaxLosses == 3);
}

BOOST_AUTO_TEST_CASE(AreRefusedOutOfRangeByName) {
  PolicyParameters Parameters;
  Parameters.m_LongShare = std::numeric_limits<double>::quiet_NaN();
  absl::Status Status = Parameters.validate();
  BOOST_TEST((failureCode(Status) == FailureCode::BadSettings));
  BOOST_TEST(failureDetail(Status).find("policy.long_share") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(AreRefusedForAnUnknownPlacement) {
  PolicyParameters Parameters;
  Parameters.m_Placement = "nearest";
  BOOST_TEST((failureCode(Parameters.validate()) == FailureCode::BadSettings));
}

BOOST_AUTO_TEST_CASE(AreDocumentedWithTheirDefaults) {
  std::ifstream File(AUBURNHUB_SOURCE_DIR "/docs/POLICY.md");
  std::stringstream Page;
  Page << File.rdbuf();
  nlohmann::json Defaults = toJson(PolicyParameters());
  for (const auto &[Name, Value] : Defaults.items()) {
    std::ostringstream Row;
    Row << "| `" << Name << "` | ";
    if (Value.is_number())
      Row << Value.get<double>() << " |";
    else
      Row << (Value.is_string() ? Value.get<std::string>() : Value.dump())
          << " |";
    BOOST_TEST(Page.str().find(Row.str()) != std::string::npos, Row.str());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARetryBudget)

BOOST_AUTO_TEST_CASE(AllowsARatioOfFirstAttemptsAndAReserve) {
  RetryBudget Budget(0.1, 5);
  int Allowed = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.deposit();
    Allowed += Budget.tryWithdraw();
  }
  BOOST_TEST(Allowed >= 100);
  BOOST_TEST(Allowed <= 105);
}

BOOST_AUTO_TEST_SUITE_END()
