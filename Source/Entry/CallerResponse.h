#ifndef AUBURNHUB_ENTRY_CALLERRESPONSE_H
#define AUBURNHUB_ENTRY_CALLERRESPONSE_H

#include "CallTable.h"

#include "auburnhub/Http/HttpMessage.h"

#include <string_view>

namespace auburnhub {

/// A response with the outcome it tells, for the metrics.
struct CallerResponse {
  HttpResponse m_Http;
  std::string_view m_Outcome;
};

/// Makes the response to a request that CallerRequest::parse() refused.
CallerResponse respondToBadRequest(const HttpRequest &Request,
                                   const absl::Status &Why);

/// Makes the response for the reply to a call.
CallerResponse respond(const CallerRequest &Request, const CallReply &Reply);

/// Returns what is known of a request that this entry refused without sending
/// it: not run, unless an id was given. Under an id something may have run
/// before, through another entry, which this one cannot rule out. A malformed
/// id is none: nothing can have run under it.
Outcome outcomeOfRefusal(const SubmissionId &Id);

} // namespace auburnhub

#endif
