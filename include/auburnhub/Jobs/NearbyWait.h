#ifndef AUBURNHUB_JOBS_NEARBYWAIT_H
#define AUBURNHUB_JOBS_NEARBYWAIT_H

#include <cstddef>
#include <span>
#include <string_view>

namespace auburnhub {

/// What is known about a task that could start now on a worker that is not near
/// its data. Times are in milliseconds.
struct NearbyWaitInput {
  double m_NearRunMs = 0; ///< Expected run time on a worker near its data.
  double m_FarRunMs = 0;  ///< Expected run time on the worker that is free now.
  /// Expected time until a worker near its data is free for this task;
  /// NoNearbyWorker if there is none in use.
  double m_ExpectedWaitMs = 0;
  double m_WaitedMs = 0; ///< For such a worker, so far.
  double m_LeftMs = 0;   ///< Until the latest end that meets the objective.
  /// Other tasks wait for free capacity, which a longer run would take from
  /// them.
  bool m_IsContended = false;
};

/// Expected wait if no worker near the data is in use.
inline constexpr double NoNearbyWorker = 1e12;

enum class NearbyWaitReason {
  EndsEarlier,      ///< Wait: the task ends earlier so.
  SavesCapacity,    ///< Wait: meets its objective and leaves room to others.
  NobodyNear,       ///< Start: no worker near the data is in use.
  EndsLater,        ///< Start: waiting ends later.
  ObjectiveAtRisk,  ///< Start: waiting would miss the latency objective.
  WaitedLongEnough, ///< Start: the wait has cost what it could have saved.
};

/// Returns the lower-case name with underscores, e.g. "ends_earlier".
std::string_view nearbyWaitReasonName(NearbyWaitReason Reason);

struct NearbyWaitDecision {
  bool m_Waits = false;
  double m_AtMostMs = 0; ///< Decide again after this time; 0 unless m_Waits.
  NearbyWaitReason m_Reason = NearbyWaitReason::NobodyNear;
};

/// Decides if a task waits for a worker near its data although another one
/// could run it now, and for how long.
///
/// Load pattern: most tasks of a kind want the same few workers near their
/// data, and run several times as long on any other. Each task that waits makes
/// the expected wait of the next one longer, so that the rest spills over
/// evenly.
///
/// The wait ends at the latest when it has cost as much as a run near the data
/// could have saved. A wrong forecast then costs at most as much again as
/// starting at once.
NearbyWaitDecision decideNearbyWait(const NearbyWaitInput &Input);

/// Returns the expected time until a place is free for a task that has Ahead
/// tasks before it. RemainingMs holds the expected remaining times of the runs
/// that take up the places, in ascending order; a run that has taken longer
/// than expected counts with a positive time. NoNearbyWorker if more tasks wait
/// than runs will end.
double expectedNearbyWaitMs(std::span<const double> RemainingMs,
                            std::size_t Ahead);

} // namespace auburnhub

#endif
