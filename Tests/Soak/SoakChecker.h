#ifndef AUBURNHUB_TESTS_SOAK_SOAKCHECKER_H
#define AUBURNHUB_TESTS_SOAK_SOAKCHECKER_H

#include "SoakJob.h"

#include "FakeExecutor.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub::soak {

/// A promise that was broken.
enum class Breach {
  RanTwiceAtOnce,     ///< Two runs of one task overlapped.
  RanAgainAfterDone,  ///< A stored task started after its acknowledged end.
  OverCapacity,       ///< A worker held more than it has.
  Unasked,            ///< A task started that no caller has sent.
  RanThoughRefused,   ///< Every try to hand the job in was refused.
  RanAfterCancel,     ///< A task started long after its cancelling was told.
  RanWhileDraining,   ///< A task started on a worker that was leaving.
  SaidDoneTooEarly,   ///< Shown as completed while a task was not done.
  FailedWithoutCause, ///< Shown as failed with attempts left.
  CancelledUnasked,
  Forgotten, ///< An accepted job was called unknown.
  NeverEnded,
  TriedTooOften, ///< A start after the last attempt had failed.
  CutByAStop,    ///< A planned stop ended a call without an answer.
  NotServedAgain,
  NodeEndedByItself,
  StopTookTooLong,
  EndNotAcknowledged,
};

std::string_view breachName(Breach What);

struct Finding {
  Breach m_What;
  std::string m_Detail;
};

/// What an executor has done, and when it was announced as draining.
struct ExecutorHistory {
  std::string m_Id;
  std::vector<platform::FakeExecutor::Event> m_Journal;
  std::int64_t m_PeakCpuMillis = 0;
  std::optional<TimePoint> m_DrainingSince;
  std::vector<TimePoint> m_StartsOverCapacity;
};

/// All that was seen in a soak.
struct SoakHistory {
  std::vector<SoakJob> m_Jobs;
  std::vector<ExecutorHistory> m_Executors;
  std::vector<Disturbance> m_Disturbances;
  std::uint32_t m_MaxAttempts = 2;
};

/// Checks a history against the promises of the users' pages.
std::vector<Finding> checkSoak(const SoakHistory &Seen);

} // namespace auburnhub::soak

#endif
