#include "auburnhub/Http/Problem.h"

#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

namespace auburnhub {
namespace {

constexpr std::string_view TypeBase = "https://auburnhub.invalid/problems/";
constexpr std::int64_t MsPerSecond = 1000;

} // namespace

int httpStatus(FailureCode Code) {
  switch (Code) {
  case FailureCode::BadRequest:
  case FailureCode::BadId:
  case FailureCode::BadSettings:
  case FailureCode::BadMessage:
  case FailureCode::UnsupportedSchema:
  case FailureCode::IdExpired:
  case FailureCode::IdFromFuture:
    return 400;
  case FailureCode::UnknownTeam:
    return 403;
  case FailureCode::UnknownSubmission:
  case FailureCode::UnknownService:
  case FailureCode::NotFound:
    return 404;
  case FailureCode::MethodNotAllowed:
    return 405;
  case FailureCode::RequestTimeout:
    return 408;
  case FailureCode::IdMismatch:
  case FailureCode::ConfigurationConflict:
  case FailureCode::Cancelled:
    return 409;
  case FailureCode::AnswerForgotten:
    return 410;
  case FailureCode::LengthRequired:
    return 411;
  case FailureCode::PayloadTooLarge:
    return 413;
  case FailureCode::QuotaExceeded:
    return 429;
  case FailureCode::TaskFailed:
  case FailureCode::EndpointFailed:
  case FailureCode::ConnectionLost:
  case FailureCode::OwnerGone:
    return 502;
  case FailureCode::Overloaded:
  case FailureCode::ShuttingDown:
  case FailureCode::NoConfiguration:
  case FailureCode::NoDispatcher:
  case FailureCode::NoEndpoint:
  case FailureCode::ClaimHistoryUnread:
  case FailureCode::PlatformUnavailable:
  case FailureCode::EndpointRefused:
    return 503;
  case FailureCode::Timeout:
    return 504;
  case FailureCode::Internal:
    return 500;
  }
  return 500;
}

HttpResponse problemResponse(const Problem &What) {
  HttpResponse Response;
  Response.m_Status = httpStatus(What.m_Code);
  Response.m_ContentType = "application/problem+json";
  std::string Name(failureName(What.m_Code));
  nlohmann::json Body = {{"type", std::string(TypeBase) + Name},
                         {"title", Name},
                         {"status", Response.m_Status},
                         {"detail", What.m_Detail},
                         {"outcome", What.m_Outcome}};
  if (!What.m_Submission.empty()) {
    Body["submission"] = What.m_Submission;
    Response.m_Headers.set("Auburnhub-Submission", What.m_Submission);
  }
  if (What.m_RetryAfterMs > 0) {
    // The header has whole seconds only; the member is exact.
    std::int64_t Seconds =
        (What.m_RetryAfterMs + MsPerSecond - 1) / MsPerSecond;
    Response.m_Headers.set("Retry-After", std::to_string(Seconds));
    Body["retry_after_ms"] = What.m_RetryAfterMs;
  }
  using Handler = nlohmann::json::error_handler_t;
  Response.m_Body = Body.dump(-1, ' ', false, Handler::replace);
  return Response;
}

} // namespace auburnhub
