#include "CallerResponse.h"

#include "auburnhub/Http/Problem.h"

#include "absl/strings/escaping.h"

namespace auburnhub {
namespace {

constexpr std::string_view SubmissionHeader = "Auburnhub-Submission";

std::string textOf(const SubmissionId &Id) {
  return Id.isNil() ? std::string() : Id.str();
}

/// Returns the name of an outcome in a problem. A submission that completed
/// although there is no answer to give may have run.
std::string_view problemOutcome(Outcome Value) {
  return outcomeName(Value == Outcome::Complete ? Outcome::Unknown : Value);
}

CallerResponse problem(FailureCode Code, std::string Detail, Outcome Value,
                       const SubmissionId &Id, std::int64_t RetryAfterMs = 0) {
  Problem What{Code, std::move(Detail), problemOutcome(Value), textOf(Id),
               RetryAfterMs};
  return {problemResponse(What), What.m_Outcome};
}

CallerResponse jsonResponse(int Status, std::string Body) {
  CallerResponse Response;
  Response.m_Http.m_Status = Status;
  Response.m_Http.m_Body = std::move(Body);
  Response.m_Outcome = outcomeName(Outcome::Complete);
  return Response;
}

/// Returns a result as a JSON string, or as an object with its Base64 form if
/// it is not valid UTF-8.
std::string resultText(const Bytes &Result) {
  try {
    return nlohmann::json(Result.m_Data).dump();
  } catch (const nlohmann::json::type_error &) {
    return nlohmann::json{{"base64", absl::Base64Escape(Result.m_Data)}}.dump();
  }
}

std::string jobBody(const Answer &Received) {
  std::string Body = R"({"id":")" + textOf(Received.m_Id) + R"(","results":[)";
  for (std::size_t I = 0; I != Received.m_Results.size(); ++I) {
    if (I != 0)
      Body += ',';
    Body += resultText(Received.m_Results[I]);
  }
  return Body + "]}";
}

CallerResponse complete(const CallerRequest &Request, const Answer &Received) {
  CallerResponse Response;
  if (Request.m_Action == CallerAction::Job) {
    Response = jsonResponse(200, jobBody(Received));
  } else {
    Response = jsonResponse(200, Received.m_Results.front().m_Data);
    Response.m_Http.m_ContentType = "application/octet-stream";
  }
  Response.m_Http.m_Headers.set(std::string(SubmissionHeader),
                                textOf(Received.m_Id));
  return Response;
}

FailureCode codeOf(std::string_view Failure) {
  return failureFromName(Failure).value_or(FailureCode::Internal);
}

CallerResponse replyTo(const CallerRequest &Request, const CallFailure &Why) {
  return problem(Why.m_Code, Why.m_Detail, Why.m_Outcome, Request.m_Id,
                 Why.m_RetryAfterMs);
}

CallerResponse replyTo(const CallerRequest &Request, const Answer &Received) {
  if (Received.m_Outcome != Outcome::Complete || !Received.m_Failure.empty())
    return problem(codeOf(Received.m_Failure), Received.m_Detail,
                   Received.m_Outcome, Received.m_Id, Received.m_RetryAfterMs);
  if (Received.m_Results.size() != Request.m_Tasks.size())
    return problem(FailureCode::Internal,
                   "the dispatcher's answer has another number of results",
                   Outcome::Unknown, Received.m_Id);
  return complete(Request, Received);
}

CallerResponse replyTo(const CallerRequest &Request,
                       const CancelReply &Received) {
  if (!Received.m_Failure.empty())
    return problem(codeOf(Received.m_Failure), Received.m_Detail,
                   Outcome::Unknown, Request.m_Id);
  nlohmann::json Body = {{"id", textOf(Request.m_Id)}};
  CallerResponse Response = jsonResponse(202, Body.dump());
  Response.m_Http.m_Headers.set(std::string(SubmissionHeader),
                                textOf(Request.m_Id));
  return Response;
}

CallerResponse replyTo(const CallerRequest &Request,
                       const MintedTickets &Received) {
  if (!Received.m_Failure.empty())
    return problem(codeOf(Received.m_Failure), Received.m_Detail,
                   Outcome::NotRun, SubmissionId());
  if (Received.m_Ids.size() != static_cast<std::size_t>(Request.m_TicketCount))
    return problem(FailureCode::Internal,
                   "the dispatcher's answer has another number of tickets",
                   Outcome::NotRun, SubmissionId());
  nlohmann::json Tickets = nlohmann::json::array();
  for (const SubmissionId &Id : Received.m_Ids)
    Tickets.push_back(Id.str());
  nlohmann::json Body = {{"tickets", std::move(Tickets)}};
  return jsonResponse(200, Body.dump());
}

} // namespace

Outcome outcomeOfRefusal(const SubmissionId &Id) {
  return Id.isNil() ? Outcome::NotRun : Outcome::Unknown;
}

CallerResponse respondToBadRequest(const HttpRequest &Request,
                                   const absl::Status &Why) {
  SubmissionId Id = namedSubmission(Request);
  CallerResponse Response =
      problem(failureCode(Why), failureDetail(Why), outcomeOfRefusal(Id), Id);
  if (failureCode(Why) == FailureCode::MethodNotAllowed)
    Response.m_Http.m_Headers.set(
        "Allow", std::string(allowedMethod(Request).value_or("")));
  return Response;
}

CallerResponse respond(const CallerRequest &Request, const CallReply &Reply) {
  return std::visit(
      [&](const auto &Received) { return replyTo(Request, Received); }, Reply);
}

} // namespace auburnhub
