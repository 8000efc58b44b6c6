#ifndef AUBURNHUB_SYSTEM_SUPPORT_HISTORYCHECKER_H
#define AUBURNHUB_SYSTEM_SUPPORT_HISTORYCHECKER_H

#include "System/Support/History.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub::test {

/// Ways in which a history breaks what must always hold.
enum class ViolationKind {
  TaskStartedTwice,      ///< A job's task started more than once.
  PartialJob,            ///< A job's answer is neither whole nor a failure.
  WrongContent,          ///< A body or answer belongs to another submission.
  FalseNotRun,           ///< `not_run` was said, and a task started.
  RequestRepeated,       ///< A request started again that may not.
  WorkAfterLeaving,      ///< A leaving endpoint was given work too late.
  CutByStop,             ///< A planned stop cut a call in progress.
  ConfigurationReverted, ///< A process went back to an older configuration.
  ConfigurationLate,     ///< A process did not follow within the bound.
};

/// Returns the lower-case, hyphenated name of a kind.
std::string_view violationName(ViolationKind Kind);
std::ostream &operator<<(std::ostream &Output, ViolationKind Kind);

/// One breach, with the submission, call, endpoint or process it concerns.
struct Violation {
  ViolationKind m_Kind;
  std::string m_Subject;
  std::string m_Detail;
};

/// The times within which something must have happened.
struct CheckerBounds {
  std::int64_t m_LeavingMs = 2000;        ///< From a sign to the last work.
  std::int64_t m_ConfigurationMs = 13000; ///< From first to last process.
};

/// Returns every breach found in the history of a whole run.
///
/// A start is matched with its invocations by the submission id and the digest
/// of its body. So callers in a run should send bodies that differ: only then
/// is a start under an id that its caller never learned told from others.
std::vector<Violation> checkHistory(const History &Run,
                                    const CheckerBounds &Bounds = {});

} // namespace auburnhub::test

#endif
