#include "auburnhub/Policy/WorkModel.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace auburnhub;

namespace {
constexpr TimePoint Start{std::chrono::hours(1)};
} // namespace

BOOST_AUTO_TEST_SUITE(ARunTimeModel)

BOOST_AUTO_TEST_CASE(EstimatesQuantilesWithinTheWidthOfABin) {
  RunTimeModel Model(60000, Start);
  BOOST_TEST(Model.quantileMs(0.5) == 0);
  for (int Ms = 1; Ms <= 1000; ++Ms)
    Model.record(Start, Ms);
  BOOST_TEST(Model.quantileMs(0.5) == 500, boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.quantileMs(0.99) == 990, boost::test_tools::tolerance(0.1));
  BOOST_TEST(Model.meanMs() == 500.5, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(FollowsChangesAndForgetsOldRunTimes) {
  RunTimeModel Model(1000, Start);
  for (int I = 0; I < 100; ++I)
    Model.record(Start, 10);
  TimePoint Later = addMs(Start, 10000);
  for (int I = 0; I < 10; ++I)
    Model.record(Later, 100);
  BOOST_TEST(Model.quantileMs(0.5) == 100, boost::test_tools::tolerance(0.2));
  Model.decay(addMs(Later, 20000));
  BOOST_TEST(Model.weight() < 0.1);
}

BOOST_AUTO_TEST_CASE(ClampsRunTimesOutsideItsRange) {
  RunTimeModel Model(1000, Start);
  Model.record(Start, 0);
  Model.record(Start, 1e12);
  BOOST_TEST(std::isfinite(Model.meanMs()));
  BOOST_TEST(Model.quantileMs(1) <= 1e6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AWorkModel)

BOOST_AUTO_TEST_CASE(ClassifiesKindsAsShortOrLong) {
  WorkModel Model({}, Start);
  BOOST_TEST(std::isinf(Model.shortLimitMs()));
  for (int I = 0; I < 100; ++I)
    Model.record(Start, I % 10 == 0 ? "certify" : "check",
                 I % 10 == 0 ? 2000 : 50);
  BOOST_TEST(Model.shortLimitMs() == 500, boost::test_tools::tolerance(0.2));
  BOOST_TEST((Model.estimate(Start, "certify").m_Class == TaskClass::Long));
  BOOST_TEST((Model.estimate(Start, "check").m_Class == TaskClass::Short));
  BOOST_TEST((Model.estimate(Start, "new").m_Class == TaskClass::Short));
}

BOOST_AUTO_TEST_CASE(RecognizesALongKindBeforeItsFirstTaskEnds) {
  WorkModel Model({}, Start);
  for (int I = 0; I < 100; ++I)
    Model.record(Start, "check", 50);
  for (int I = 0; I < 3; ++I)
    Model.recordUnfinished(Start, "certify", 600);
  BOOST_TEST((Model.estimate(Start, "certify").m_Class == TaskClass::Long));
}

BOOST_AUTO_TEST_CASE(BoundsTheNumberOfKindsAndForgetsStaleOnes) {
  PolicyParameters Parameters;
  Parameters.m_MaxKinds = 2;
  WorkModel Model(Parameters, Start);
  for (const char *Kind : {"a", "b", "c"})
    Model.record(Start, Kind, 50);
  BOOST_TEST(Model.kindCount() == 2u);
  Model.forgetStale(addMs(Start, 3600000));
  BOOST_TEST(Model.kindCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
