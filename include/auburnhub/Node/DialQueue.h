#ifndef AUBURNHUB_NODE_DIALQUEUE_H
#define AUBURNHUB_NODE_DIALQUEUE_H

#include "auburnhub/Policy/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace auburnhub {

/// Decides which peers a node connects to next, so that a bounded number of
/// connections is being set up at a time.
///
/// Each node has its own order of the addresses. Two nodes therefore rarely
/// connect to each other at once, and most peers have connected by themselves
/// by the time that it would be their turn. Addresses that were never tried
/// come before those that have failed. An address that does not answer keeps
/// its place among those in progress for SlotMs at most.
///
/// Load pattern: hundreds of nodes on slow machines that start within a third
/// of a second. If each connected to all others at once, the handshakes would
/// take longer than their timeout and be repeated without end.
class DialQueue {
public:
  /// Maximum number of connections in progress. Up to this number of addresses
  /// nothing waits.
  static constexpr std::size_t MaxInProgress = 32;
  /// Time after which a connection without an answer no longer counts as in
  /// progress, in milliseconds.
  static constexpr double SlotMs = 300;

  explicit DialQueue(std::string Self) : m_Self(std::move(Self)) {}

  /// Adds an address. Has no effect if it waits already.
  void add(const std::string &Address, bool HasFailed);
  /// Returns the addresses to connect to now. They count as in progress.
  std::vector<std::string> takeDue(TimePoint Now);
  /// The address is connected, or the attempt has failed.
  void ended(const std::string &Address) { m_InProgress.erase(Address); }
  bool isWaiting(const std::string &Address) const {
    return m_Waiting.contains(Address);
  }

private:
  using Place = std::tuple<bool, std::uint64_t, std::string>;

  std::string m_Self;
  std::set<Place> m_Order; ///< HasFailed, rank, address.
  std::map<std::string, Place> m_Waiting;
  std::map<std::string, TimePoint> m_InProgress; ///< With the start.
};

} // namespace auburnhub

#endif
