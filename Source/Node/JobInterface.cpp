#include "auburnhub/Node/JobInterface.h"

#include "auburnhub/Http/Problem.h"
#include "auburnhub/Messages/Codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace auburnhub {
namespace {

constexpr std::size_t MaxIdLength = 64;

absl::Status checkId(std::string_view Id) {
  // Ids are part of the names of tasks, in which other characters separate.
  bool IsPlain = std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
    return std::isalnum(C) != 0 || C == '-' || C == '_';
  });
  if (Id.empty() || Id.size() > MaxIdLength || !IsPlain)
    return makeFailure(FailureCode::BadId,
                       "expected an id of 1 to 64 letters, digits, - and _");
  return absl::OkStatus();
}

absl::Status wrongMethod(std::string_view Allowed) {
  return makeFailure(FailureCode::MethodNotAllowed,
                     "expected " + std::string(Allowed));
}

/// Returns the failure that a problem document names for a reply.
FailureCode failureOf(const JobReply &Reply) {
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
    return FailureCode::NoDispatcher;
  case JobReason::NeverFits:
    return FailureCode::NoEndpoint;
  case JobReason::OwnerLost:
    return FailureCode::OwnerGone;
  case JobReason::Cancelled:
    return FailureCode::Cancelled;
  case JobReason::NoRoom:
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
      return wrongMethod("GET");
    Call.m_Action = Action::CountWaiting;
    Call.m_Queue = Parts[2];
    return Call;
  }
  if (IsKnown && Parts[1] == "queues" && Parts.size() == 5 &&
      Parts[3] == "jobs") {
    if (Request.m_Method != "PUT")
      return wrongMethod("PUT");
    Call.m_Action = Action::Submit;
    Call.m_Queue = Parts[2];
    Call.m_Id = Parts[4];
  } else if (IsKnown && Parts[1] == "jobs" && Parts.size() == 3) {
    if (Request.m_Method != "GET" && Request.m_Method != "DELETE")
      return wrongMethod("GET or DELETE");
    Call.m_Action = Request.m_Method == "GET" ? Action::State : Action::Cancel;
    Call.m_Id = Parts[2];
  } else {
    return makeFailure(FailureCode::NotFound, "there is no such resource");
  }
  if (absl::Status Bad = checkId(Call.m_Id); !Bad.ok())
    return Bad;
  return Call;
}

absl::StatusOr<JobBody> parseJobBody(std::string_view Text) {
  auto Json = nlohmann::json::parse(Text, nullptr, /*allow_exceptions=*/false);
  auto Body = fromJson<JobBody>(Json);
  if (!Body.ok())
    return makeFailure(FailureCode::BadRequest, failureDetail(Body.status()));
  if (Body->m_Schema != JobBodySchema)
    return makeFailure(FailureCode::UnsupportedSchema,
                       "expected schema " + std::to_string(JobBodySchema));
  if (absl::Status Bad = checkSteps(Body->m_Steps); !Bad.ok())
    return Bad;
  return Body;
}

double jobTimeoutMs(const HttpRequest &Request, double DefaultMs) {
  std::string_view Header = Request.m_Headers.get("Auburnhub-Timeout");
  std::int64_t Value = 0;
  auto [End, Ec] =
      std::from_chars(Header.data(), Header.data() + Header.size(), Value);
  bool IsValid = !Header.empty() && Ec == std::errc() && Value > 0;
  return IsValid ? static_cast<double>(Value) : DefaultMs;
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
  Problem What;
  What.m_Code = failureOf(Reply);
  What.m_Submission = Id;
  What.m_RetryAfterMs = static_cast<std::int64_t>(Reply.m_RetryAfterMs);
  What.m_Outcome =
      Reply.m_Kind == JobReplyKind::Refused ? "not_run" : "unknown";
  What.m_Detail = Reply.m_Kind == JobReplyKind::NoSuchJob
                      ? "no job of this id is known"
                      : jobReasonName(Reply.m_Reason);
  return problemResponse(What);
}

HttpResponse jobProblem(const absl::Status &Why) {
  Problem What;
  What.m_Code = failureCode(Why);
  What.m_Detail = failureDetail(Why);
  return problemResponse(What);
}

} // namespace auburnhub
