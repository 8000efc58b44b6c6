#ifndef AUBURNHUB_TESTS_SOAK_SOAKJOB_H
#define AUBURNHUB_TESTS_SOAK_SOAKJOB_H

#include "auburnhub/Policy/Types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// \file
/// What callers have seen in a soak.

namespace auburnhub::soak {

/// How a call ended if it has no status.
constexpr int ConnectionBroke = 0; ///< It may have been carried out.
constexpr int NoConnection = -1;   ///< Nothing was sent.
constexpr int NoAnswer = -2;       ///< The caller's time was over.

/// One call about a job.
struct SoakCall {
  std::string m_Method;
  std::size_t m_Node = 0;
  TimePoint m_Sent;
  TimePoint m_Ended;
  int m_Status = NoAnswer;
  std::string m_State; ///< As the answer has it, or empty.
};

/// One job and all calls about it.
struct SoakJob {
  std::string m_Id;
  bool m_Stored = false;
  int m_Tasks = 1;
  double m_TaskMs = 0;
  std::vector<SoakCall> m_Calls;
  int m_HandedIn = 0; ///< Calls that hand it in, sent so far.
  std::optional<TimePoint> m_AcceptedAt;
  std::optional<TimePoint> m_CancelSentAt;
  std::optional<TimePoint> m_CancelledAt; ///< The cancel was acknowledged.
  std::string m_State;                    ///< As a caller was told last.

  bool isOver() const {
    return m_State == "completed" || m_State == "failed" ||
           m_State == "canceled";
  }
};

/// From when until when something was harmed on purpose.
struct Disturbance {
  std::string m_Kind;
  TimePoint m_Begin;
  TimePoint m_End;
  bool m_Planned = false; ///< A stop or a change that must harm nobody.
  std::optional<std::size_t> m_Node;
  std::optional<std::size_t> m_Executor;
};

} // namespace auburnhub::soak

#endif
