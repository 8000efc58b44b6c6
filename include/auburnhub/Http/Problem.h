#ifndef AUBURNHUB_HTTP_PROBLEM_H
#define AUBURNHUB_HTTP_PROBLEM_H

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Http/HttpMessage.h"

#include <string>
#include <string_view>

namespace auburnhub {

/// A problem document (RFC 9457) with the members that callers rely on.
struct Problem {
  FailureCode m_Code = FailureCode::Internal;
  std::string m_Detail;
  std::string_view m_Outcome = "not_run"; ///< "not_run", "failed", "unknown".
  std::string m_Submission;               ///< Empty: none is known.
  std::int64_t m_RetryAfterMs = 0;        ///< Zero: not said.
};

/// Returns the HTTP status for a failure.
int httpStatus(FailureCode Code);

/// Makes the response for a problem.
HttpResponse problemResponse(const Problem &What);

} // namespace auburnhub

#endif
