#include "auburnhub/Policy/WorkModel.h"

#include <algorithm>
#include <limits>

namespace auburnhub {
namespace {

constexpr double MedianQuantile = 0.5;

/// The estimate of a kind is recomputed after this many run times, or after
/// every run time while the weight of the kind is below twice this number.
constexpr int RefreshSamples = 16;

/// An estimate is recomputed before use if it is older than this fraction of
/// the half-life.
constexpr double RefreshFraction = 1.0 / 8;

/// A kind is removed when its weight has decayed below this value.
constexpr double MinWeight = 0.05;

} // namespace

WorkModel::WorkModel(const PolicyParameters &Parameters, TimePoint Now)
    : m_Parameters(Parameters),
      m_AllKinds{RunTimeModel(Parameters.m_RunTimeHalfLifeMs, Now),
                 {},
                 0,
                 0,
                 Now,
                 Now},
      m_ShortLimitMs(std::numeric_limits<double>::infinity()) {}

void WorkModel::setParameters(const PolicyParameters &Parameters) {
  m_Parameters = Parameters;
  m_AllKinds.m_Model.setHalfLife(Parameters.m_RunTimeHalfLifeMs);
  for (auto &[Kind, E] : m_Kinds)
    E.m_Model.setHalfLife(Parameters.m_RunTimeHalfLifeMs);
  computeShortLimit();
}

void WorkModel::record(TimePoint Now, std::string_view Kind, double RunTimeMs) {
  add(Now, m_AllKinds, RunTimeMs);
  if (m_AllKinds.m_RecordedSinceRefresh == 0)
    computeShortLimit();
  if (Entry *E = findOrAdd(Now, Kind))
    add(Now, *E, RunTimeMs);
}

void WorkModel::recordUnfinished(TimePoint Now, std::string_view Kind,
                                 double ElapsedMs) {
  if (Entry *E = findOrAdd(Now, Kind)) {
    E->m_Model.record(Now, ElapsedMs);
    E->m_RecordedAt = Now;
    refresh(Now, *E);
  }
}

WorkEstimate WorkModel::estimate(TimePoint Now, std::string_view Kind) {
  Entry *E = find(Kind);
  if (!E)
    E = &m_AllKinds;
  double AgeMs = millisecondsBetween(E->m_RefreshedAt, Now);
  if (AgeMs > m_Parameters.m_RunTimeHalfLifeMs * RefreshFraction)
    refresh(Now, *E);
  WorkEstimate Estimate = E->m_Estimate;
  bool LongKind = E != &m_AllKinds && Estimate.m_MedianMs > m_ShortLimitMs;
  Estimate.m_Class = LongKind ? TaskClass::Long : TaskClass::Short;
  double SinceRecordedMs = millisecondsBetween(E->m_RecordedAt, Now);
  if (E != &m_AllKinds && SinceRecordedMs <= m_Parameters.m_EstimateMaxAgeMs) {
    Estimate.m_RecentMedianMs = Estimate.m_MedianMs;
    Estimate.m_RecentFinishMs = E->m_FinishMs;
  }
  return Estimate;
}

void WorkModel::forgetStale(TimePoint Now) {
  for (auto It = m_Kinds.begin(); It != m_Kinds.end();) {
    It->second.m_Model.decay(Now);
    bool Stale = It->second.m_Model.weight() < MinWeight;
    It = Stale ? m_Kinds.erase(It) : std::next(It);
  }
}

WorkModel::Entry *WorkModel::find(std::string_view Kind) {
  auto It = m_Kinds.find(std::string(Kind));
  return It == m_Kinds.end() ? nullptr : &It->second;
}

WorkModel::Entry *WorkModel::findOrAdd(TimePoint Now, std::string_view Kind) {
  if (Entry *E = find(Kind))
    return E;
  if (m_Kinds.size() >= static_cast<std::size_t>(m_Parameters.m_MaxKinds))
    return nullptr;
  Entry NewEntry{
      RunTimeModel(m_Parameters.m_RunTimeHalfLifeMs, Now), {}, 0, 0, Now, Now};
  return &m_Kinds.emplace(std::string(Kind), std::move(NewEntry)).first->second;
}

void WorkModel::add(TimePoint Now, Entry &E, double RunTimeMs) {
  E.m_Model.record(Now, RunTimeMs);
  E.m_RecordedAt = Now;
  bool FewSamples = E.m_Model.weight() < 2 * RefreshSamples;
  if (++E.m_RecordedSinceRefresh >= RefreshSamples || FewSamples)
    refresh(Now, E);
}

void WorkModel::refresh(TimePoint Now, Entry &E) const {
  E.m_Model.decay(Now);
  E.m_RecordedSinceRefresh = 0;
  E.m_RefreshedAt = Now;
  E.m_Estimate = WorkEstimate();
  E.m_FinishMs = 0;
  E.m_Estimate.m_MeanMs = E.m_Model.meanMs();
  if (E.m_Model.weight() < m_Parameters.m_MinSamples)
    return;
  double MedianMs = E.m_Model.quantileMs(MedianQuantile);
  double FinishMs = E.m_Model.quantileMs(m_Parameters.m_FinishQuantile);
  E.m_Estimate.m_MedianMs = MedianMs;
  E.m_Estimate.m_GeometricMeanMs = E.m_Model.geometricMeanMs();
  E.m_FinishMs = std::min(FinishMs, MedianMs * m_Parameters.m_MaxFinishFactor);
}

void WorkModel::computeShortLimit() {
  m_ShortLimitMs = std::numeric_limits<double>::infinity();
  if (!m_Parameters.m_Classes ||
      m_AllKinds.m_Model.weight() < m_Parameters.m_MinSamples)
    return;
  double LowQuantileMs =
      m_AllKinds.m_Model.quantileMs(m_Parameters.m_ShortQuantile);
  m_ShortLimitMs = std::max(m_Parameters.m_MinShortLimitMs,
                            LowQuantileMs * m_Parameters.m_LongFactor);
}

} // namespace auburnhub
