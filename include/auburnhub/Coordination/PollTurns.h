#ifndef AUBURNHUB_COORDINATION_POLLTURNS_H
#define AUBURNHUB_COORDINATION_POLLTURNS_H

#include <algorithm>
#include <cstdint>

namespace auburnhub {

/// Shares the reading of something large among the members of a group that
/// tell each other what they read. Time is cut into turns. In each turn at
/// least one member reads; a member reads so seldom that it keeps to a number
/// of bytes a turn, as far as the group is large enough for that. All read in
/// every turn what is small.
///
/// Nobody is chosen: when a member is gone, only its turns are missed until
/// the others renumber themselves.
struct PollTurns {
  std::int64_t m_Members = 1; ///< Size of the group.
  std::int64_t m_Rank = 0;    ///< This member's place in it, from 0.

  /// Returns whether this member reads in a turn. Bytes: size of what was read
  /// last; BytesPerTurn: most to read in a turn on average, over 0.
  bool isOwn(std::int64_t Turn, std::int64_t Bytes,
             std::int64_t BytesPerTurn) const {
    std::int64_t Needed = (Bytes + BytesPerTurn - 1) / BytesPerTurn;
    std::int64_t Cycle = std::clamp<std::int64_t>(Needed, 1, m_Members);
    return Turn % Cycle == m_Rank % Cycle;
  }
};

} // namespace auburnhub

#endif
