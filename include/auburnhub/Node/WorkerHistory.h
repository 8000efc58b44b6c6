#ifndef AUBURNHUB_NODE_WORKERHISTORY_H
#define AUBURNHUB_NODE_WORKERHISTORY_H

#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace auburnhub {

/// The latest changes of registrations, by offsets of their log, for peers that
/// do not read the log themselves.
///
/// An answer may repeat changes before the requested offset; it then has all
/// later changes of the same workers as well, in their order.
///
/// Load pattern: three thousand workers that repeat their registrations every
/// second, of which few change, and three hundred nodes that follow them.
class WorkerHistory {
public:
  /// Maximum number of changes retained.
  static constexpr std::size_t MaxChanges = 2000;

  /// The registrations are known up to this offset; nothing is known of how
  /// they came about.
  void restart(std::uint64_t Offset);
  /// Records a change that will be part of the next advance().
  void add(WorkerChange Change) { m_Pending.push_back(std::move(Change)); }
  /// The log has been read up to an offset; ReadAt is the time before that
  /// read.
  void advance(TimePoint ReadAt, std::uint64_t Offset);

  /// Returns the changes since an offset; nothing if they are not all known.
  std::optional<WorkerChanges> since(TimePoint Now, std::uint64_t From) const;

private:
  struct Change {
    std::uint64_t m_End = 0; ///< Offset behind the read that had it.
    WorkerChange m_Change;
  };

  bool m_IsKnown = false;
  std::uint64_t m_Begin = 0;
  std::uint64_t m_End = 0;
  TimePoint m_ReadAt;
  std::vector<WorkerChange> m_Pending;
  std::deque<Change> m_Changes;
};

} // namespace auburnhub

#endif
