#ifndef AUBURNHUB_ENTRY_CALLERREQUEST_H
#define AUBURNHUB_ENTRY_CALLERREQUEST_H

#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Messages/Messages.h"

#include "absl/status/statusor.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

enum class CallerAction { Request, Job, Cancel, MintTickets };

/// What a caller asks for, checked as far as that is possible without the
/// configuration.
struct CallerRequest {
  CallerAction m_Action = CallerAction::Request;
  std::string m_Service; ///< Empty for Cancel and MintTickets.
  std::string m_Team;
  std::string m_Kind;
  SubmissionId m_Id; ///< Nil: the caller gave none.
  bool m_NoRepeat = false;
  std::optional<Milliseconds> m_Timeout;
  std::vector<Bytes> m_Tasks;
  int m_TicketCount = 0; ///< For MintTickets.

  /// Fails with NotFound, MethodNotAllowed, BadRequest or BadId.
  static absl::StatusOr<CallerRequest> parse(const HttpRequest &Request);
};

/// Returns the method that a path supports, or nothing for an unknown path.
std::optional<std::string_view> allowedMethod(const HttpRequest &Request);

/// Returns the well-formed id that a request names in its path or in its
/// Idempotency-Key, or nil. Usable for requests that parse() refuses.
SubmissionId namedSubmission(const HttpRequest &Request);

} // namespace auburnhub

#endif
