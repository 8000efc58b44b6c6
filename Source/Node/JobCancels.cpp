#include "auburnhub/Node/JobCancels.h"

#include <algorithm>
#include <utility>

namespace auburnhub {

void JobCancels::nodeLost(TimePoint Now, const std::string &Node,
                          bool WasStopping) {
  if (!WasStopping)
    m_LostAt[Node] = Now;
}

std::vector<std::string> JobCancels::nodeLinked(TimePoint Now,
                                                const std::string &Node) {
  m_LostAt.erase(Node);
  forgetOld(Now);
  std::vector<std::string> Jobs;
  for (auto &[Number, Entry] : m_Remembered)
    if (Entry.m_Nodes.erase(Node) > 0)
      Jobs.push_back(Entry.m_Job);
  std::erase_if(m_Remembered,
                [](const auto &Entry) { return Entry.second.m_Nodes.empty(); });
  return Jobs;
}

std::optional<CancelOutcome> JobCancels::begin(TimePoint Now, std::uint64_t Id,
                                               const std::string &Job,
                                               std::set<std::string> Asked) {
  Question Begun{Job, std::move(Asked)};
  if (Begun.m_Missing.empty())
    return end(Now, Begun);
  m_Questions[Id] = std::move(Begun);
  return std::nullopt;
}

std::optional<CancelOutcome> JobCancels::answered(TimePoint Now,
                                                  std::uint64_t Id,
                                                  const std::string &Node,
                                                  bool Known) {
  auto Found = m_Questions.find(Id);
  if (Found == m_Questions.end() || Found->second.m_Missing.erase(Node) == 0)
    return std::nullopt;
  if (Known) {
    // A node that has not answered yet is told again if its link breaks.
    remember(Now, Found->second.m_Job, Found->second.m_Missing);
    m_Questions.erase(Found);
    return CancelOutcome::Cancelled;
  }
  return Found->second.m_Missing.empty() ? timedOut(Now, Id) : std::nullopt;
}

std::optional<CancelOutcome> JobCancels::timedOut(TimePoint Now,
                                                  std::uint64_t Id) {
  auto Extracted = m_Questions.extract(Id);
  if (Extracted.empty())
    return std::nullopt;
  return end(Now, Extracted.mapped());
}

CancelOutcome JobCancels::end(TimePoint Now, const Question &Ended) {
  remember(Now, Ended.m_Job, Ended.m_Missing);
  bool MayRunElsewhere =
      !Ended.m_Missing.empty() ||
      std::any_of(m_LostAt.begin(), m_LostAt.end(), [&](const auto &Entry) {
        return millisecondsBetween(Entry.second, Now) < LostNodeMs;
      });
  return MayRunElsewhere ? CancelOutcome::Undecided : CancelOutcome::NoSuchJob;
}

void JobCancels::remember(TimePoint Now, const std::string &Job,
                          std::set<std::string> Missing) {
  forgetOld(Now);
  for (const auto &[Node, LostAt] : m_LostAt)
    Missing.insert(Node);
  if (Missing.empty())
    return;
  m_Remembered[++m_LastRemembered] = {Job, std::move(Missing), Now};
  if (m_Remembered.size() > MaxRemembered)
    m_Remembered.erase(m_Remembered.begin());
}

void JobCancels::forgetOld(TimePoint Now) {
  std::erase_if(m_LostAt, [&](const auto &Entry) {
    return millisecondsBetween(Entry.second, Now) > RememberMs;
  });
  std::erase_if(m_Remembered, [&](const auto &Entry) {
    return millisecondsBetween(Entry.second.m_Since, Now) > RememberMs;
  });
}

} // namespace auburnhub
