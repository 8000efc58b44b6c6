#include "auburnhub/Base/Failure.h"

#include "absl/strings/cord.h"

#include <array>

namespace auburnhub {
namespace {

constexpr absl::string_view PayloadUrl = "auburnhub/failure";

struct FailureEntry {
  FailureCode m_Code;
  std::string_view m_Name;
  absl::StatusCode m_StatusCode;
};

using SC = absl::StatusCode;

constexpr std::array Failures = {
    FailureEntry{FailureCode::BadRequest, "bad-request", SC::kInvalidArgument},
    FailureEntry{FailureCode::BadId, "bad-id", SC::kInvalidArgument},
    FailureEntry{FailureCode::BadSettings, "bad-settings",
                 SC::kInvalidArgument},
    FailureEntry{FailureCode::BadMessage, "bad-message", SC::kInvalidArgument},
    FailureEntry{FailureCode::UnsupportedSchema, "unsupported-schema",
                 SC::kFailedPrecondition},
    FailureEntry{FailureCode::IdMismatch, "id-mismatch", SC::kAlreadyExists},
    FailureEntry{FailureCode::IdExpired, "id-expired", SC::kOutOfRange},
    FailureEntry{FailureCode::IdFromFuture, "id-from-future", SC::kOutOfRange},
    FailureEntry{FailureCode::UnknownSubmission, "unknown-submission",
                 SC::kNotFound},
    FailureEntry{FailureCode::UnknownService, "unknown-service", SC::kNotFound},
    FailureEntry{FailureCode::UnknownTeam, "unknown-team", SC::kNotFound},
    FailureEntry{FailureCode::PayloadTooLarge, "payload-too-large",
                 SC::kInvalidArgument},
    FailureEntry{FailureCode::LengthRequired, "length-required",
                 SC::kInvalidArgument},
    FailureEntry{FailureCode::RequestTimeout, "request-timeout",
                 SC::kDeadlineExceeded},
    FailureEntry{FailureCode::MethodNotAllowed, "method-not-allowed",
                 SC::kInvalidArgument},
    FailureEntry{FailureCode::NotFound, "not-found", SC::kNotFound},
    FailureEntry{FailureCode::QuotaExceeded, "quota-exceeded",
                 SC::kResourceExhausted},
    FailureEntry{FailureCode::Overloaded, "overloaded", SC::kResourceExhausted},
    FailureEntry{FailureCode::ShuttingDown, "shutting-down", SC::kUnavailable},
    FailureEntry{FailureCode::NoConfiguration, "no-configuration",
                 SC::kUnavailable},
    FailureEntry{FailureCode::NoDispatcher, "no-dispatcher", SC::kUnavailable},
    FailureEntry{FailureCode::NoEndpoint, "no-endpoint",
                 SC::kFailedPrecondition},
    FailureEntry{FailureCode::OwnerGone, "owner-gone", SC::kAborted},
    FailureEntry{FailureCode::ClaimHistoryUnread, "claim-history-unread",
                 SC::kUnavailable},
    FailureEntry{FailureCode::PlatformUnavailable, "platform-unavailable",
                 SC::kUnavailable},
    FailureEntry{FailureCode::Timeout, "timeout", SC::kDeadlineExceeded},
    FailureEntry{FailureCode::Cancelled, "cancelled", SC::kCancelled},
    FailureEntry{FailureCode::TaskFailed, "task-failed", SC::kAborted},
    FailureEntry{FailureCode::EndpointFailed, "endpoint-failed", SC::kAborted},
    FailureEntry{FailureCode::EndpointRefused, "endpoint-refused",
                 SC::kUnavailable},
    FailureEntry{FailureCode::ConnectionLost, "connection-lost",
                 SC::kUnavailable},
    FailureEntry{FailureCode::AnswerForgotten, "answer-forgotten",
                 SC::kDataLoss},
    FailureEntry{FailureCode::ConfigurationConflict, "configuration-conflict",
                 SC::kAborted},
    FailureEntry{FailureCode::Internal, "internal", SC::kInternal},
};

} // namespace

std::string_view failureName(FailureCode Code) {
  for (const FailureEntry &Entry : Failures)
    if (Entry.m_Code == Code)
      return Entry.m_Name;
  return "internal";
}

std::optional<FailureCode> failureFromName(std::string_view Name) {
  for (const FailureEntry &Entry : Failures)
    if (Entry.m_Name == Name)
      return Entry.m_Code;
  return std::nullopt;
}

absl::Status makeFailure(FailureCode Code, std::string_view Detail) {
  SC StatusCode = SC::kInternal;
  for (const FailureEntry &Entry : Failures)
    if (Entry.m_Code == Code)
      StatusCode = Entry.m_StatusCode;
  absl::Status Status(StatusCode,
                      absl::string_view(Detail.data(), Detail.size()));
  std::string_view Name = failureName(Code);
  Status.SetPayload(PayloadUrl,
                    absl::Cord(absl::string_view(Name.data(), Name.size())));
  return Status;
}

FailureCode failureCode(const absl::Status &Status) {
  absl::optional<absl::Cord> Payload = Status.GetPayload(PayloadUrl);
  if (!Payload)
    return FailureCode::Internal;
  return failureFromName(std::string(*Payload)).value_or(FailureCode::Internal);
}

std::string failureDetail(const absl::Status &Status) {
  return std::string(Status.message());
}

} // namespace auburnhub
