#ifndef AUBURNHUB_NODE_REFUSEDOWNERS_H
#define AUBURNHUB_NODE_REFUSEDOWNERS_H

#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Policy/Types.h"

#include <map>
#include <set>
#include <string>

namespace auburnhub {

/// Returns whether an owner that did not run a task for this reason would
/// refuse it again if it were offered at once, while another owner may run it.
bool isOwnersRefusal(JobReason Reason);

/// The owners that have refused a task of a stored job in the current round. A
/// round offers the task to each owner with room once, then once more to one
/// whose workers with room are ejected.
///
/// Load pattern: tasks whose label only workers of other owners have, or that
/// are larger than the free room of any single worker of the nearest owner.
class RefusedOwners {
public:
  /// Notes a refusal.
  void add(TimePoint Now, const TaskRef &Task, const std::string &Owner,
           JobReason Reason);
  /// Returns the owners that have refused the task; valid until the next change
  /// of this object.
  const std::set<std::string> &of(const TaskRef &Task) const;
  /// All owners have refused the task. Returns whether one of them has room on
  /// workers that are ejected; it is then offered the task once more in this
  /// round, see takeLastResort().
  bool planLastResort(const TaskRef &Task);
  /// Returns the owner that may run the task on an ejected worker, once; empty
  /// if there is none.
  std::string takeLastResort(const TaskRef &Task);
  /// Ends the round of a task.
  void erase(const TaskRef &Task) { m_Rounds.erase(Task); }
  /// Drops rounds without a refusal for MaxAgeMs: their tasks have started or
  /// their jobs are over.
  void eraseOld(TimePoint Now);
  std::size_t size() const { return m_Rounds.size(); }

  /// Longer than an owner keeps a task of any kind before it refuses it.
  static constexpr double MaxAgeMs = 8000;

private:
  struct Round {
    std::set<std::string> m_Owners;
    TimePoint m_LastAt; ///< Of its last refusal.
    /// The last owner that has room on ejected workers only; may be empty.
    std::string m_WithEjectedWorker;
    std::string m_LastResort; ///< See takeLastResort().
    bool m_IsLastResortPlanned = false;
  };
  std::map<TaskRef, Round> m_Rounds;
  TimePoint m_CheckedAt;
};

} // namespace auburnhub

#endif
