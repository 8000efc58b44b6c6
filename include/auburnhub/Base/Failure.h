#ifndef AUBURNHUB_BASE_FAILURE_H
#define AUBURNHUB_BASE_FAILURE_H

#include "absl/status/status.h"

#include <optional>
#include <string>
#include <string_view>

namespace auburnhub {

/// Says why an operation failed. Each code maps to one absl::StatusCode and to
/// the last part of a problem document's `type`.
enum class FailureCode {
  BadRequest,            ///< The input is malformed.
  BadId,                 ///< A submission id is malformed or of a wrong kind.
  BadSettings,           ///< Settings or a chart are not valid.
  BadMessage,            ///< A message between processes cannot be decoded.
  UnsupportedSchema,     ///< A peer or record has an unknown schema version.
  IdMismatch,            ///< An id was used again with another body.
  IdExpired,             ///< An id is older than the resubmission window.
  IdFromFuture,          ///< An id is newer than the clock bound allows.
  UnknownSubmission,     ///< No such submission for this team.
  UnknownService,        ///< The configuration has no such service.
  UnknownTeam,           ///< The configuration has no such team.
  PayloadTooLarge,       ///< A body or header is over its limit.
  LengthRequired,        ///< A body comes without Content-Length.
  RequestTimeout,        ///< The sender of a request is too slow.
  MethodNotAllowed,      ///< The resource does not support the method.
  NotFound,              ///< No such resource.
  QuotaExceeded,         ///< The team has used up its quota.
  Overloaded,            ///< The work cannot be done within its timeout.
  ShuttingDown,          ///< The process drains.
  NoConfiguration,       ///< No configuration has been accepted yet.
  NoDispatcher,          ///< No dispatcher can be reached.
  NoEndpoint,            ///< No endpoint can ever run this work.
  OwnerGone,             ///< The incarnation that owns an id is gone.
  ClaimHistoryUnread,    ///< The claim stream was not read far enough back.
  PlatformUnavailable,   ///< The platform's log cannot be reached.
  Timeout,               ///< The time allowed has passed.
  Cancelled,             ///< The caller cancelled the submission.
  TaskFailed,            ///< A task ran and failed.
  EndpointFailed,        ///< The endpoint failed or broke its protocol.
  EndpointRefused,       ///< The endpoint refused before starting.
  ConnectionLost,        ///< A connection broke while a reply was awaited.
  AnswerForgotten,       ///< The answer is no longer remembered.
  ConfigurationConflict, ///< Another configuration record was accepted first.
  Internal,              ///< A fault of this program.
};

/// Returns the lower-case, hyphenated name of a code, e.g. "bad-request".
std::string_view failureName(FailureCode Code);

/// Returns the code with the given name, or nothing if there is none.
std::optional<FailureCode> failureFromName(std::string_view Name);

/// Makes a status that carries the code as a payload.
absl::Status makeFailure(FailureCode Code, std::string_view Detail);

/// Returns the code a status carries; FailureCode::Internal for a status that
/// was not made by makeFailure(). The status must not be OK.
FailureCode failureCode(const absl::Status &Status);

/// Returns the message of a status as a standard string.
std::string failureDetail(const absl::Status &Status);

} // namespace auburnhub

#endif
