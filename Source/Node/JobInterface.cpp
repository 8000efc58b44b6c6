#include "auburnhub/Node/JobInterface.h"

#include "auburnhub/Base/BoundedJson.h"
#include "auburnhub/Http/Problem.h"
#include "auburnhub/Messages/Codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace auburnhub {
namespace {

constexpr std::size_t MaxJobIdLength = 64;

/// A day. Later times are added to the clock.
constexpr double MaxTimeoutMs = 86'400'000;

absl::Status checkId(std::string_view Id) {
  // Job ids are part of task names, which use other characters as separators.
  bool IsPlain = std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '_';
  });
  if (Id.empty() || Id.size() > MaxJobIdLength || !IsPlain)
    return makeFailure(
        FailureCode::BadId,
        "invalid job id: expected 1 to 64 letters, digits, - and _");
  return absl::OkStatus();
}

absl::Status methodNotAllowed(std::string_view Allowed) {
  return makeFailure(FailureCode::MethodNotAllowed,
                     "expected method " + std::string(Allowed));
}

/// Returns the failure code of the problem document for a reply.
FailureCode failureCodeFor(const JobReply &Reply) {
  if (Reply.m_Kind == JobReplyKind::NoSuchJob)
    return FailureCode::UnknownSubmission;
  switch (Reply.m_Reason) {
  case JobReason::Stopping:
    return FailureCode::ShuttingDown;
  case JobReason::NotStored:
    return Reply.m_Kind == JobReplyKind::Refused
               ? FailureCode::PlatformUnavailable
               : FailureCode::Timeout;
  case JobReason::NoOwner:
  case JobReason::Evacuated:
    return FailureCode::NoDispatcher;
  case JobReason::NeverFits:
    return FailureCode::NoEndpoint;
  case JobReason::OwnerLost:
    return FailureCode::OwnerGone;
  case JobReason::Cancelled:
    return FailureCode::Cancelled;
  case JobReason::NoRoom:
  case JobReason::NoHealthyWorker:
  case JobReason::WouldBeLate:
    return FailureCode::Overloaded;
  case JobReason::None:
  case JobReason::TimedOut:
  case JobReason::AttemptsSpent:
    break;
  }
  return FailureCode::Timeout;
}

} // namespace

absl::StatusOr<JobInterfaceCall> parseJobCall(const HttpRequest &Request) {
  using Action = JobInterfaceCall::Action;
  std::vector<std::string_view> Parts = Request.pathParts();
  JobInterfaceCall Call;
  bool IsKnown = Parts.size() >= 3 && Parts[0] == "v1" &&
                 (Parts[1] == "jobs" || Parts[1] == "queues");
  if (IsKnown && Parts[1] == "queues" && Parts.size() == 3) {
    if (Request.m_Method != "GET")
      return methodNotAllowed("GET");
    Call.m_Action = Action::CountWaiting;
    Call.m_Queue = Parts[2];
    return Call;
  }
  if (IsKnown && Parts[1] == "queues" && Parts.size() == 5 &&
      Parts[3] == "jobs") {
    if (Request.m_Method != "PUT")
      return methodNotAllowed("PUT");
    Call.m_Action = Action::Submit;
    Call.m_Queue = Parts[2];
    Call.m_Id = Parts[4];
  } else if (IsKnown && Parts[1] == "jobs" && Parts.size() == 3) {
    if (Request.m_Method != "GET" && Request.m_Method != "DELETE")
      return methodNotAllowed("GET or DELETE");
    Call.m_Action = Request.m_Method == "GET" ? Action::State : Action::Cancel;
    Call.m_Id = Parts[2];
  } else {
    return makeFailure(FailureCode::NotFound, "no resource at this path");
  }
  if (absl::Status IdStatus = checkId(Call.m_Id); !IdStatus.ok())
    return IdStatus;
  return Call;
}

absl::StatusOr<JobBody> parseJobBody(std::string_view Text) {
  absl::StatusOr<nlohmann::json> Json = parseBoundedJson(Text);
  if (!Json.ok())
    return makeFailure(FailureCode::BadRequest, failureDetail(Json.status()));
  auto Body = fromJson<JobBody>(*Json);
  if (!Body.ok())
    return makeFailure(FailureCode::BadRequest, failureDetail(Body.status()));
  if (Body->m_Schema != JobBodySchema)
    return makeFailure(FailureCode::UnsupportedSchema,
                       "unsupported schema of the job body: expected " +
                           std::to_string(JobBodySchema));
  if (absl::Status StepsStatus = checkSteps(Body->m_Steps); !StepsStatus.ok())
    return StepsStatus;
  return Body;
}

double jobTimeoutMs(const HttpRequest &Request, double DefaultMs) {
  std::string_view Header = Request.m_Headers.get("Auburnhub-Timeout");
  std::int64_t Value = 0;
  auto [End, Ec] =
      std::from_chars(Header.data(), Header.data() + Header.size(), Value);
  bool IsValid = !Header.empty() && Ec == std::errc() && Value > 0;
  return IsValid ? std::min(static_cast<double>(Value), MaxTimeoutMs)
                 : DefaultMs;
}

HttpResponse jobResponse(const std::string &Id, const JobReply &Reply) {
  if (Reply.m_Kind == JobReplyKind::Done) {
    HttpResponse Response;
    Response.m_Body =
        nlohmann::json(
            {{"job", Id}, {"state", storedJobStateName(Reply.m_State)}})
            .dump();
    return Response;
  }
  Problem Document;
  Document.m_Code = failureCodeFor(Reply);
  Document.m_Submission = Id;
  Document.m_RetryAfterMs = static_cast<std::int64_t>(Reply.m_RetryAfterMs);
  Document.m_Outcome =
      Reply.m_Kind == JobReplyKind::Refused ? "not_run" : "unknown";
  Document.m_Detail = Reply.m_Kind == JobReplyKind::NoSuchJob
                          ? "no job of this id is known"
                          : jobReasonName(Reply.m_Reason);
  return problemResponse(Document);
}

HttpResponse jobProblem(const absl::Status &Status) {
  Problem Document;
  Document.m_Code = failureCode(Status);
  Document.m_Detail = failureDetail(Status);
  return problemResponse(Document);
}

} // namespace auburnhub
