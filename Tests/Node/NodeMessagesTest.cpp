#include "auburnhub/Node/NodeMessages.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(TheReasonOfARefusal)

// Guards against reasons that a node of an earlier version has no name for.
BOOST_AUTO_TEST_CASE(IsKnownToEarlierVersions) {
  StoredTaskReport Report;
  Report.m_Reason = JobReason::NoHealthyWorker;
  nlohmann::json Sent = toJson(Report);
  BOOST_TEST(Sent.at("reason") == static_cast<int>(JobReason::NoRoom));
  auto Received = fromJson<StoredTaskReport>(Sent);
  BOOST_REQUIRE(Received.ok());
  BOOST_TEST((Received->m_Reason == JobReason::NoHealthyWorker));
  Sent.erase("unhealthy");
  BOOST_TEST((fromJson<StoredTaskReport>(Sent)->m_Reason == JobReason::NoRoom));
}

BOOST_AUTO_TEST_CASE(IsSentAsItIsOtherwise) {
  JobAnswer Answer;
  Answer.m_Reason = JobReason::WouldBeLate;
  BOOST_TEST((fromJson<JobAnswer>(toJson(Answer))->m_Reason ==
              JobReason::WouldBeLate));
}

BOOST_AUTO_TEST_CASE(HasANameIfALaterVersionSendsIt) {
  BOOST_TEST(jobReasonName(JobReason::NoHealthyWorker) == "no_healthy_worker");
  BOOST_TEST(jobReasonName(static_cast<JobReason>(1000)) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()
