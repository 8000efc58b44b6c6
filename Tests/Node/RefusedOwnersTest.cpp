#include "auburnhub/Node/RefusedOwners.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

const TaskRef First{"a", 0, 0};
const TaskRef Second{"a", 0, 1};

} // namespace

BOOST_AUTO_TEST_SUITE(TheOwnersThatHaveRefusedATask)

BOOST_AUTO_TEST_CASE(AreKnownByTaskUntilItsRoundEnds) {
  RefusedOwners Refused;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  Refused.add(Now, First, "near", JobReason::NoRoom);
  Refused.add(Now, First, "far", JobReason::NeverFits);
  Refused.add(Now, Second, "near", JobReason::NoRoom);
  BOOST_TEST(Refused.of(First).size() == 2U);
  BOOST_TEST(Refused.of(Second).size() == 1U);
  Refused.erase(First);
  BOOST_TEST(Refused.of(First).empty());
  BOOST_TEST(Refused.of(Second).contains("near"));
}

BOOST_AUTO_TEST_CASE(AreOfferedItOnceMoreIfTheirWorkersAreEjected) {
  RefusedOwners Refused;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  Refused.add(Now, First, "near", JobReason::NoRoom);
  BOOST_TEST(!Refused.planLastResort(First));
  Refused.add(Now, First, "far", JobReason::NoHealthyWorker);
  BOOST_TEST(Refused.takeLastResort(First).empty());
  BOOST_TEST(Refused.planLastResort(First));
  BOOST_TEST(!Refused.planLastResort(First));
  BOOST_TEST(Refused.takeLastResort(First) == "far");
  BOOST_TEST(Refused.takeLastResort(First).empty());
  Refused.erase(First);
  Refused.add(Now, First, "far", JobReason::NoHealthyWorker);
  BOOST_TEST(Refused.planLastResort(First));
}

BOOST_AUTO_TEST_CASE(AreForgottenAfterATime) {
  RefusedOwners Refused;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  Refused.add(Now, First, "near", JobReason::NoRoom);
  Refused.eraseOld(addMs(Now, RefusedOwners::MaxAgeMs));
  BOOST_TEST(Refused.size() == 1U);
  Refused.eraseOld(addMs(Now, 2 * RefusedOwners::MaxAgeMs));
  BOOST_TEST(Refused.size() == 0U);
}

BOOST_AUTO_TEST_CASE(AreThoseWhoseReasonConcernsThemselves) {
  for (JobReason Reason :
       {JobReason::NoRoom, JobReason::NoHealthyWorker, JobReason::WouldBeLate,
        JobReason::Evacuated, JobReason::NeverFits, JobReason::NoOwner,
        JobReason::Stopping})
    BOOST_TEST(isOwnersRefusal(Reason));
  for (JobReason Reason :
       {JobReason::None, JobReason::TimedOut, JobReason::Cancelled,
        JobReason::AttemptsSpent, JobReason::OwnerLost, JobReason::NotStored})
    BOOST_TEST(!isOwnersRefusal(Reason));
}

BOOST_AUTO_TEST_SUITE_END()
