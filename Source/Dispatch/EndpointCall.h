#ifndef AUBURNHUB_DISPATCH_ENDPOINTCALL_H
#define AUBURNHUB_DISPATCH_ENDPOINTCALL_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/SubmissionId.h"
#include "auburnhub/Base/TimerService.h"

#include "absl/status/status.h"

#include <cstdint>
#include <string>

namespace auburnhub {

/// One attempt to run one task on one endpoint.
struct EndpointCall {
  Address m_Endpoint;
  std::string m_Service;
  SubmissionId m_Submission;
  std::size_t m_Task = 0; ///< Index within the submission.
  int m_Attempt = 1;
  std::string m_CallId; ///< Unique for each attempt.
  std::string m_Body;
  Milliseconds m_Timeout{0};
};

/// What became of the attempt.
enum class CallEnd {
  Done,       ///< The endpoint answered with the whole result.
  TaskFailed, ///< The endpoint ran the task and reported its failure.
  NotStarted, ///< Surely not started: refused, or never sent.
  Broken,     ///< Started and ended badly, with an answer from the endpoint.
  Lost,       ///< May have started; no answer that can be trusted.
};

struct EndpointReply {
  CallEnd m_End = CallEnd::Lost;
  std::string m_Result;   ///< The result's bytes when Done.
  absl::Status m_Failure; ///< Why, unless Done.
  bool m_Leaving = false; ///< The endpoint wants no new work.
};

} // namespace auburnhub

#endif
