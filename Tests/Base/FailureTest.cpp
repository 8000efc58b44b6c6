#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(AFailure)

BOOST_AUTO_TEST_CASE(KeepsItsCodeAndDetail) {
  absl::Status Status = makeFailure(FailureCode::QuotaExceeded, "too many");
  BOOST_TEST((failureCode(Status) == FailureCode::QuotaExceeded));
  BOOST_TEST(failureDetail(Status) == "too many");
  BOOST_TEST(absl::IsResourceExhausted(Status));
}

BOOST_AUTO_TEST_CASE(IsFoundByEachOfItsNames) {
  for (int I = 0; I <= static_cast<int>(FailureCode::Internal); ++I) {
    auto Code = static_cast<FailureCode>(I);
    auto Found = failureFromName(failureName(Code));
    BOOST_TEST_REQUIRE(Found.has_value());
    BOOST_TEST((*Found == Code));
  }
}

BOOST_AUTO_TEST_SUITE_END()
