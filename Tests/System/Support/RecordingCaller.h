#ifndef AUBURNHUB_SYSTEM_SUPPORT_RECORDINGCALLER_H
#define AUBURNHUB_SYSTEM_SUPPORT_RECORDINGCALLER_H

#include "System/Support/History.h"
#include "System/Support/HttpCall.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace auburnhub::test {

/// What a caller submits.
struct CallerSubmission {
  std::string m_Service = "tile-orders";
  std::string m_Team = "club-desk";
  SubmissionKind m_Kind = SubmissionKind::Request;
  std::vector<std::string> m_Bodies; ///< One for a request.
  std::string m_Key;                 ///< Idempotency-Key; empty for none.
  bool m_Repeatable = true; ///< As the service; if not, it is also asked for.
  Milliseconds m_Timeout{10000};
};

/// Sends submissions as callers do and records calls and answers.
///
/// Any thread may call the functions; submit() blocks until the answer is here.
class RecordingCaller {
public:
  /// Sends a submission to an entry's address. Fails as callHttp() does. A call
  /// whose connection was refused was never made and is not recorded.
  absl::StatusOr<HttpReply> submit(const std::string &Address,
                                   const CallerSubmission &Sent);

  /// Sends a submission on a connection that is kept.
  absl::StatusOr<HttpReply> submit(HttpConnection &Connection,
                                   const CallerSubmission &Sent);

  /// Returns what has been recorded so far.
  History history() const;

private:
  std::string noteInvocation(const CallerSubmission &Sent);
  void noteAnswer(const std::string &Call, const CallerSubmission &Sent,
                  const absl::StatusOr<HttpReply> &Reply);
  void dropInvocation(const std::string &Call);

  mutable std::mutex m_Mutex;
  History m_History;
  std::uint64_t m_LastCall = 0;
};

} // namespace auburnhub::test

#endif
