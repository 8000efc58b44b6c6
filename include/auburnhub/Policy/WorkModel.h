#ifndef AUBURNHUB_POLICY_WORKMODEL_H
#define AUBURNHUB_POLICY_WORKMODEL_H

#include "auburnhub/Policy/PolicyParameters.h"
#include "auburnhub/Policy/RunTimeModel.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhub {

/// What is expected of a kind of work.
struct WorkEstimate {
  TaskClass m_Class = TaskClass::Short;
  double m_MeanMs = 0;   ///< 0 while nothing is known.
  double m_MedianMs = 0; ///< 0 while nothing is known.
  /// The geometric mean, against which endpoints are compared; 0 while nothing
  /// is known.
  double m_TypicalMs = 0;
  /// The median if tasks of this kind ended lately, or 0: only this may decide
  /// that a task cannot meet its deadline, so that a kind that is refused is
  /// tried again.
  double m_RecentMedianMs = 0;
  /// The time that a task needs from its start to end with good probability,
  /// or 0, likewise.
  double m_RecentFinishMs = 0;
};

/// Learns the run times of a service by kind and tells short from long work.
///
/// Work is long when its run time exceeds the short limit: a multiple of a low
/// quantile of the service's run times. A kind is long when its median is.
class WorkModel {
public:
  WorkModel(const PolicyParameters &Parameters, TimePoint Now);

  void setParameters(const PolicyParameters &Parameters);

  /// Adds the run time of a finished task.
  void record(TimePoint Now, std::string_view Kind, double RunTimeMs);

  /// Notes that a task of this kind has outlived the short class and still
  /// runs, so that a long kind is known before its first task ends.
  void recordOutlived(TimePoint Now, std::string_view Kind, double SoFarMs);

  /// Returns what is expected of a kind; of the whole service if the kind is
  /// not known.
  WorkEstimate estimate(TimePoint Now, std::string_view Kind);

  /// Returns the longest run time of short work, in milliseconds.
  double shortLimitMs() const { return m_ShortLimitMs; }

  /// Returns the number of kinds kept.
  std::size_t kinds() const { return m_Kinds.size(); }

  /// Forgets kinds whose entries have lost their weight.
  void forgetStale(TimePoint Now);

private:
  struct Entry {
    RunTimeModel m_Model;
    WorkEstimate m_Estimate;
    double m_FinishMs = 0;
    int m_Unseen = 0;
    TimePoint m_RefreshedAt;
    TimePoint m_RecordedAt;
  };

  Entry *find(std::string_view Kind);
  Entry *findOrAdd(TimePoint Now, std::string_view Kind);
  void add(TimePoint Now, Entry &E, double RunTimeMs);
  void refresh(TimePoint Now, Entry &E) const;
  void computeLimit();

  PolicyParameters m_Parameters;
  Entry m_All;
  std::unordered_map<std::string, Entry> m_Kinds;
  double m_ShortLimitMs;
};

} // namespace auburnhub

#endif
