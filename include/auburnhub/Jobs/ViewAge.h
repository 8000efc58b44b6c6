#ifndef AUBURNHUB_JOBS_VIEWAGE_H
#define AUBURNHUB_JOBS_VIEWAGE_H

#include "auburnhub/Policy/Types.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace auburnhub {

/// Decides whether a view that is read repeatedly is recent enough to act on.
///
/// Load pattern: a process is paused or its machine stalls, and has missed what
/// was written meanwhile. While reads fail, the process runs and learns changes
/// from its peers; failed reads therefore count as well.
class ViewAge {
public:
  /// Without a first read the view is never outdated.
  explicit ViewAge(double MaxAgeMs = std::numeric_limits<double>::infinity())
      : m_MaxAgeMs(MaxAgeMs) {}

  /// A read that was sent at this time was answered or has failed.
  void readEnded(TimePoint SentAt) {
    m_ReadAt = std::max(m_ReadAt.value_or(SentAt), SentAt);
  }

  bool isOutdated(TimePoint Now) const {
    return m_ReadAt && millisecondsBetween(*m_ReadAt, Now) > m_MaxAgeMs;
  }

private:
  double m_MaxAgeMs;
  std::optional<TimePoint> m_ReadAt;
};

} // namespace auburnhub

#endif
