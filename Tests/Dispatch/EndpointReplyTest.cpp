#include "EndpointCaller.h"

#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

EndpointCall makeCall() {
  EndpointCall Call;
  Call.m_Submission = SubmissionId::makeTicket(1750000000000, 1, 1);
  Call.m_CallId = "1-7";
  return Call;
}

HttpResponse makeResponse(int Status) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.set("Auburnhub-Call", makeCall().m_CallId);
  Response.m_Headers.set("Auburnhub-Submission", makeCall().m_Submission.str());
  Response.m_Body = "result";
  return Response;
}

CallEnd endOf(absl::StatusOr<HttpResponse> Response) {
  return readEndpointReply(makeCall(), std::move(Response)).m_End;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnEndpointsReply)

BOOST_AUTO_TEST_CASE(IsDoneWithItsResult) {
  EndpointReply Reply = readEndpointReply(makeCall(), makeResponse(200));
  BOOST_TEST((Reply.m_End == CallEnd::Done));
  BOOST_TEST(Reply.m_Result == "result");
}

BOOST_AUTO_TEST_CASE(IsNotStartedOnlyIfTheEndpointSaysSo) {
  HttpResponse Refused = makeResponse(503);
  BOOST_TEST((endOf(Refused) == CallEnd::Broken));
  Refused.m_Headers.set("Auburnhub-Started", "no");
  BOOST_TEST((endOf(Refused) == CallEnd::NotStarted));
}

BOOST_AUTO_TEST_CASE(IsLostIfItBelongsToAnotherCall) {
  HttpResponse Crossed;
  Crossed.m_Headers.set("Auburnhub-Call", "1-6");
  Crossed.m_Headers.set("Auburnhub-Submission", makeCall().m_Submission.str());
  BOOST_TEST((endOf(Crossed) == CallEnd::Lost));
  // Not even a refusal is believed from another call.
  Crossed.m_Status = 503;
  Crossed.m_Headers.set("Auburnhub-Started", "no");
  BOOST_TEST((endOf(Crossed) == CallEnd::Lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnExchangeThatFailed)

BOOST_AUTO_TEST_CASE(IsNotStartedOnlyIfNothingWasSent) {
  auto Failed = [](FailureCode Code) { return endOf(makeFailure(Code, "x")); };
  BOOST_TEST((Failed(FailureCode::EndpointRefused) == CallEnd::NotStarted));
  BOOST_TEST((Failed(FailureCode::ConnectionLost) == CallEnd::Lost));
  BOOST_TEST((Failed(FailureCode::Timeout) == CallEnd::Lost));
  BOOST_TEST((Failed(FailureCode::EndpointFailed) == CallEnd::Lost));
}

BOOST_AUTO_TEST_SUITE_END()
