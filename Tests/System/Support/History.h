#ifndef AUBURNHUB_SYSTEM_SUPPORT_HISTORY_H
#define AUBURNHUB_SYSTEM_SUPPORT_HISTORY_H

#include "absl/status/status.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub::test {

enum class SubmissionKind { Request, Job };

/// A caller sent a submission (`invoke`).
struct Invocation {
  std::string m_Call;       ///< Unique in the run.
  std::string m_Submission; ///< Empty if the caller did not know it.
  std::string m_Team;
  SubmissionKind m_Kind = SubmissionKind::Request;
  std::size_t m_Tasks = 1;
  bool m_Repeatable = false;
  std::vector<std::string> m_BodyDigests; ///< One for each task.
  std::int64_t m_TimeMs = 0;
};

/// A caller got an answer (`answer`). Status 0 says that the connection broke.
struct Answer {
  std::string m_Call;
  int m_Status = 0;
  std::string m_Outcome;     ///< `outcome` of the problem document.
  std::string m_Problem;     ///< Last part of the problem's type, if known.
  std::string m_Submission;  ///< As the reply names it.
  bool m_RetryAfter = false; ///< A later try was invited, as by a refusal.
  std::vector<std::string> m_ResultDigests; ///< In the order of the tasks.
  std::int64_t m_TimeMs = 0;
};

/// A line of an endpoint's journal (`start`, `finish`, `refusal`).
struct EndpointAction {
  std::string m_Endpoint;
  std::string m_Submission;
  std::size_t m_Task = 0;
  std::string m_BodyDigest;
  std::string m_ResultDigest; ///< Of a finish.
  bool m_Ok = false;          ///< Of a finish: the task did not fail.
  std::int64_t m_TimeMs = 0;
};

/// An endpoint said that it leaves (`leaving`) or takes work again (`joined`).
struct EndpointSign {
  std::string m_Endpoint;
  bool m_Leaving = true;
  std::int64_t m_TimeMs = 0;
};

/// A process put a configuration in force (`config_in_force`).
struct ConfigurationInForce {
  std::string m_Vm;
  std::string m_Process;
  int m_Life = 0; ///< Counts the processes of this VM and name.
  std::int64_t m_Offset = -1;
  std::int64_t m_TimeMs = 0;
};

/// A process was told to stop (`stop`) or was killed (`killed`).
struct ProcessEnd {
  std::string m_Vm;
  std::string m_Process;
  int m_Life = 0; ///< As in ConfigurationInForce.
  bool m_Planned = true;
  std::int64_t m_TimeMs = 0;
};

/// A VM was paused or cut off from the others for a time (`isolated`).
struct Isolation {
  std::string m_Vm;
  std::int64_t m_TimeMs = 0;
  std::int64_t m_UntilMs = 0;
};

/// What was seen in one run: by the callers, at the endpoints and of the
/// processes. Lines may be added in any order.
struct History {
  std::vector<Invocation> m_Invocations;
  std::vector<Answer> m_Answers;
  std::vector<EndpointAction> m_Starts;
  std::vector<EndpointAction> m_Finishes;
  std::vector<EndpointAction> m_Refusals;
  std::vector<EndpointSign> m_Signs;
  std::vector<ConfigurationInForce> m_Configurations;
  std::vector<ProcessEnd> m_Ends;
  std::vector<Isolation> m_Isolations;

  /// Adds one JSON line. Fails with BadRequest if the line is malformed or
  /// its event is unknown.
  absl::Status addLine(std::string_view Line);

  /// Adds the lines of a text or file's content, up to the first that fails.
  absl::Status addLines(std::string_view Text);

  /// Adds what a log line of the system's processes says of the configuration
  /// in force; any other log line is ignored. Life counts the processes of the
  /// same VM and name.
  absl::Status addLogLine(std::string_view Line, int Life);

  /// Returns the time of the latest event; 0 if there is none.
  std::int64_t endMs() const;
};

} // namespace auburnhub::test

#endif
