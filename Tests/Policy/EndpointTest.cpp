#include "auburnhub/Policy/EndpointEstimate.h"
#include "auburnhub/Policy/EndpointHealth.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {
constexpr TimePoint Start{std::chrono::hours(1)};
} // namespace

BOOST_AUTO_TEST_SUITE(AnEndpointsEstimate)

BOOST_AUTO_TEST_CASE(FollowsChangesOfTheSpeed) {
  EndpointEstimate Estimate;
  BOOST_TEST(Estimate.slowness() == 1);
  for (int I = 0; I < 100; ++I)
    Estimate.record(200, 50, 0.1);
  BOOST_TEST(Estimate.slowness() == 4, boost::test_tools::tolerance(0.01));
  for (int I = 0; I < 100; ++I)
    Estimate.record(25, 50, 0.1);
  BOOST_TEST(Estimate.slowness() == 0.5, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(IsNotDistortedByOneStraggler) {
  EndpointEstimate Estimate;
  Estimate.record(1e6, 50, 0.1);
  BOOST_TEST(Estimate.slowness() < 1.4);
  Estimate.record(100, 0, 0.1); // The expected run time is unknown.
  BOOST_TEST(Estimate.slowness() < 1.4);
}

BOOST_AUTO_TEST_CASE(ReleasesSlotsGraduallyInASlowStart) {
  EndpointEstimate Estimate;
  Estimate.beginSlowStart(Start, 1000);
  BOOST_TEST(Estimate.usableSlots(Start, 8) == 1);
  BOOST_TEST(Estimate.usableSlots(addMs(Start, 500), 8) == 4);
  BOOST_TEST(Estimate.usableSlots(addMs(Start, 1000), 8) == 8);
  BOOST_TEST(Estimate.usableSlots(Start, 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEndpointsHealth)

BOOST_AUTO_TEST_CASE(IsLostOnlyAfterConsecutiveFailures) {
  PolicyParameters Parameters;
  EndpointHealth Health;
  for (int I = 0; I < 100; ++I) {
    BOOST_TEST(!Health.recordFailure(Parameters, true).has_value());
    Health.recordSuccess();
  }
  for (int I = 0; I < 20; ++I)
    Health.recordFailure(Parameters, false);
  BOOST_TEST((Health.state() == HealthState::Healthy));
  BOOST_TEST((Health.recordFailure(Parameters, true) == HealthState::Ejected));
}

BOOST_AUTO_TEST_CASE(EjectsForLongerEachTimeAProbeFails) {
  PolicyParameters Parameters;
  EndpointHealth Health;
  for (int I = 0; I < Parameters.m_EjectAfterFailures; ++I)
    Health.recordFailure(Parameters, true);
  BOOST_TEST(Health.ejectionMs(Parameters) == 1000);
  for (int I = 0; I < 40; ++I) {
    BOOST_TEST((Health.beginProbation() == HealthState::Probation));
    BOOST_TEST(
        (Health.recordFailure(Parameters, false) == HealthState::Ejected));
  }
  BOOST_TEST(Health.ejectionMs(Parameters) == 60000);
  Health.beginProbation();
  BOOST_TEST((Health.recordSuccess() == HealthState::Healthy));
}

BOOST_AUTO_TEST_SUITE_END()
