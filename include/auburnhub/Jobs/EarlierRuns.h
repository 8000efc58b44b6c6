#ifndef AUBURNHUB_JOBS_EARLIERRUNS_H
#define AUBURNHUB_JOBS_EARLIERRUNS_H

#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace auburnhub {

/// The runs of finished submissions that may still be active, by task. A task
/// that is submitted again must not start before they have ended.
class EarlierRuns {
public:
  /// The submission of a run has finished; end() or abandon() will follow.
  void add(const TaskRef &Task, std::uint32_t Number);
  /// A run passed to add() has ended or was refused. Its number is remembered
  /// for some time, because its worker may refuse a run with the same one.
  void end(TimePoint Now, const TaskRef &Task);
  /// The end of a run passed to add() will not be reported. It may be active
  /// until the given time.
  void abandon(const TaskRef &Task, TimePoint ActiveUntil);

  bool mayBeActive(TimePoint Now, const TaskRef &Task) const;
  /// Returns whether runs of any task of the job may be active.
  bool mayBeActive(TimePoint Now, const std::string &Job) const;
  /// Returns the highest number of the task's runs, or 0 if none is known.
  std::uint32_t lastNumber(const TaskRef &Task) const;
  /// Returns until when abandoned runs of the task may be active.
  std::optional<TimePoint> activeUntil(const TaskRef &Task) const;
  /// Removes tasks whose runs have ended some time ago.
  void forgetOld(TimePoint Now);

private:
  struct Entry {
    std::uint32_t m_UnfinishedRuns = 0;
    std::uint32_t m_LastNumber = 0;
    TimePoint m_ActiveUntil; ///< Of abandoned runs.
    TimePoint m_LastChange;

    bool mayBeActive(TimePoint Now) const {
      return m_UnfinishedRuns > 0 || Now < m_ActiveUntil;
    }
  };

  std::map<TaskRef, Entry> m_Tasks;
  TimePoint m_NextCleanUp;
};

} // namespace auburnhub

#endif
