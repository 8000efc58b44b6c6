#ifndef AUBURNHUB_NODE_LOADREPORT_H
#define AUBURNHUB_NODE_LOADREPORT_H

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace auburnhub {

/// Decides when an owner reports its load before the next heartbeat.
///
/// Load pattern: owners of a hundred workers that start two hundred jobs a
/// second for a hundred nodes. While half of the workers are free, a few tasks
/// more or less do not change where jobs are sent; near the limit each of them
/// does.
class LoadReport {
public:
  /// Returns whether the number of free slots differs enough from the reported
  /// one to matter for the choice of an owner.
  static constexpr bool isSignificantChange(std::uint64_t Reported,
                                            std::uint64_t Current) {
    std::uint64_t Change =
        Reported > Current ? Reported - Current : Current - Reported;
    return Change > 0 && Change * ReportedPerChange >= Reported;
  }

  /// Returns the minimum time between two reports, in milliseconds. It grows
  /// with the number of peers, so that an owner sends a bounded number of
  /// messages per second.
  static constexpr double intervalMs(std::size_t Peers) {
    return std::max(MinIntervalMs,
                    static_cast<double>(Peers) / MaxMessagesPerMs);
  }

private:
  /// A change by an eighth of the reported free slots is significant.
  static constexpr std::uint64_t ReportedPerChange = 8;
  /// Short compared with the run time of the shortest tasks, in milliseconds.
  static constexpr double MinIntervalMs = 25;
  /// Limits the reports of an owner to 1,000 messages per second, a small part
  /// of what its link and processor can send.
  static constexpr double MaxMessagesPerMs = 1;
};

} // namespace auburnhub

#endif
