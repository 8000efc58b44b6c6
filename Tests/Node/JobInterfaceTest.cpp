#include "auburnhub/Node/JobInterface.h"

#include "auburnhub/Base/Failure.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

using Action = JobInterfaceCall::Action;

absl::StatusOr<JobInterfaceCall> parse(std::string Method, std::string Path) {
  HttpRequest Request;
  Request.m_Method = std::move(Method);
  Request.m_Path = std::move(Path);
  return parseJobCall(Request);
}

FailureCode parseFailureCode(const std::string &Body) {
  auto Parsed = parseJobBody(Body);
  BOOST_REQUIRE(!Parsed.ok());
  return failureCode(Parsed.status());
}

nlohmann::json bodyOf(const HttpResponse &Response) {
  return nlohmann::json::parse(Response.m_Body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheInterfaceForJobs)

BOOST_AUTO_TEST_SUITE(ReadsACall)

BOOST_AUTO_TEST_CASE(ByItsMethodAndPath) {
  auto Submit = parse("PUT", "/v1/queues/certify/jobs/a-1");
  BOOST_REQUIRE(Submit.ok());
  BOOST_TEST((Submit->m_Action == Action::Submit));
  BOOST_TEST(Submit->m_Queue == "certify");
  BOOST_TEST(Submit->m_Id == "a-1");
  BOOST_TEST((parse("GET", "/v1/jobs/a")->m_Action == Action::State));
  BOOST_TEST((parse("DELETE", "/v1/jobs/a")->m_Action == Action::Cancel));
  BOOST_TEST(
      (parse("GET", "/v1/queues/certify")->m_Action == Action::CountWaiting));
}

BOOST_AUTO_TEST_CASE(AndRefusesOthers) {
  auto CodeOf = [](const std::string &Method, const std::string &Path) {
    auto Call = parse(Method, Path);
    BOOST_REQUIRE(!Call.ok());
    return failureCode(Call.status());
  };
  BOOST_TEST((CodeOf("POST", "/v1/queues/certify/jobs/a") ==
              FailureCode::MethodNotAllowed));
  BOOST_TEST((CodeOf("PUT", "/v1/jobs/a") == FailureCode::MethodNotAllowed));
  BOOST_TEST((CodeOf("GET", "/v1/elsewhere/a") == FailureCode::NotFound));
  BOOST_TEST((CodeOf("GET", "/") == FailureCode::NotFound));
  BOOST_TEST((CodeOf("GET", "/v1/jobs/a.b") == FailureCode::BadId));
  BOOST_TEST((CodeOf("GET", "/v1/jobs/" + std::string(65, 'a')) ==
              FailureCode::BadId));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReadsABody)

BOOST_AUTO_TEST_CASE(WithItsSteps) {
  auto Body =
      parseJobBody(R"({"spec":"x","steps":[{"count":2,"each":{"cpu":500}},)"
                   R"({"count":1,"after":[0],"estimated_ms":20}]})");
  BOOST_REQUIRE(Body.ok());
  BOOST_TEST(Body->m_Stored);
  BOOST_TEST(Body->m_Steps.size() == 2U);
  BOOST_TEST(Body->m_Steps[0].m_TaskResources.m_CpuMillis == 500);
}

BOOST_AUTO_TEST_CASE(AndRefusesOneThatIsNotValid) {
  BOOST_TEST((parseFailureCode("{") == FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode("[]") == FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode(R"({"spec":1,"steps":[{"count":1}]})") ==
              FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode(R"({"steps":[]})") == FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode(R"({"steps":[{"count":1001}]})") ==
              FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode(R"({"steps":[{"count":1,"after":[0]}]})") ==
              FailureCode::BadRequest));
  BOOST_TEST((parseFailureCode(R"({"schema":2,"steps":[{"count":1}]})") ==
              FailureCode::UnsupportedSchema));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Answers)

BOOST_AUTO_TEST_CASE(WithTheState) {
  HttpResponse Response =
      jobResponse("a", {JobReplyKind::Done, StoredJobState::Cancelled, {}, 0});
  BOOST_TEST(Response.m_Status == 200);
  BOOST_TEST(bodyOf(Response)["state"] == "cancelled");
}

BOOST_AUTO_TEST_CASE(WithAProblemThatReportsWhetherTasksHaveRun) {
  HttpResponse Refused =
      jobResponse("a", {JobReplyKind::Refused, {}, JobReason::NotStored, 1000});
  BOOST_TEST(Refused.m_Status == 503);
  BOOST_TEST(bodyOf(Refused)["outcome"] == "not_run");
  BOOST_TEST(Refused.m_Headers.get("Retry-After") == "1");
  HttpResponse Unknown =
      jobResponse("a", {JobReplyKind::Unknown, {}, JobReason::OwnerLost, 0});
  BOOST_TEST(Unknown.m_Status == 502);
  BOOST_TEST(bodyOf(Unknown)["outcome"] == "unknown");
  HttpResponse Missing = jobResponse("a", {JobReplyKind::NoSuchJob, {}, {}, 0});
  BOOST_TEST(Missing.m_Status == 404);
  BOOST_TEST(bodyOf(Missing)["outcome"] == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
