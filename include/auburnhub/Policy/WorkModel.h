#ifndef AUBURNHUB_POLICY_WORKMODEL_H
#define AUBURNHUB_POLICY_WORKMODEL_H

#include "auburnhub/Policy/PolicyParameters.h"
#include "auburnhub/Policy/RunTimeModel.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhub {

/// Expected run times of a kind of work, in milliseconds.
struct WorkEstimate {
  TaskClass m_Class = TaskClass::Short;
  double m_MeanMs = 0;   ///< 0 while unknown.
  double m_MedianMs = 0; ///< 0 while unknown.
  /// The reference for the slowness of endpoints; 0 while unknown.
  double m_GeometricMeanMs = 0;
  /// The median if a run time of this kind was recorded within
  /// m_EstimateMaxAgeMs, otherwise 0. Admission and expiry use only such recent
  /// values: otherwise a kind whose tasks are refused would never run again and
  /// its estimate could not be corrected.
  double m_RecentMedianMs = 0;
  /// The m_FinishQuantile quantile of the run times, at most m_MaxFinishFactor
  /// times the median; 0 under the same condition as m_RecentMedianMs.
  double m_RecentFinishMs = 0;
};

/// Estimates the run times of a service by kind of work, and classifies kinds
/// as short or long.
///
/// A run time is long if it exceeds the short limit, which is a multiple
/// (m_LongFactor) of a low quantile (m_ShortQuantile) of all run times of the
/// service. A kind is long if its median run time exceeds the limit.
class WorkModel {
public:
  WorkModel(const PolicyParameters &Parameters, TimePoint Now);

  void setParameters(const PolicyParameters &Parameters);

  /// Adds the run time of a task that succeeded.
  void record(TimePoint Now, std::string_view Kind, double RunTimeMs);

  /// Adds the elapsed run time of a task that has not completed: a task that
  /// exceeded the short limit or was cancelled. With these run times a kind is
  /// classified as long before its first task ends.
  void recordUnfinished(TimePoint Now, std::string_view Kind, double ElapsedMs);

  /// Returns the estimate of a kind. If the kind is unknown, returns the
  /// estimate of the whole service, classified as short.
  WorkEstimate estimate(TimePoint Now, std::string_view Kind);

  /// Returns the longest run time of short work, in milliseconds; infinite
  /// while m_Classes is off or fewer than m_MinSamples run times are recorded.
  double shortLimitMs() const { return m_ShortLimitMs; }

  /// Returns the number of kinds with an estimate.
  std::size_t kindCount() const { return m_Kinds.size(); }

  /// Removes kinds whose weight has decayed below a minimum.
  void forgetStale(TimePoint Now);

private:
  struct Entry {
    RunTimeModel m_Model;
    WorkEstimate m_Estimate;
    double m_FinishMs = 0;
    int m_RecordedSinceRefresh = 0;
    TimePoint m_RefreshedAt;
    TimePoint m_RecordedAt;
  };

  Entry *find(std::string_view Kind);
  Entry *findOrAdd(TimePoint Now, std::string_view Kind);
  void add(TimePoint Now, Entry &E, double RunTimeMs);
  void refresh(TimePoint Now, Entry &E) const;
  void computeShortLimit();

  PolicyParameters m_Parameters;
  Entry m_AllKinds;
  std::unordered_map<std::string, Entry> m_Kinds;
  double m_ShortLimitMs;
};

} // namespace auburnhub

#endif
