#include "auburnhub/Node/StoredJobsQueries.h"

#include <algorithm>
#include <utility>

namespace auburnhub {
namespace {

/// Time reserved for sending the answer to the caller, in milliseconds.
constexpr double ReplyMarginMs = 40;

/// A question without an answer ends after this time, in milliseconds: the
/// timeout of one read of the log.
constexpr double AnswerLimitMs = 1300;

} // namespace

void StoredJobsQueries::ask(double TimeLeftMs, Done Answer) {
  std::uint64_t Id = ++m_LastId;
  double DeadlineMs =
      std::clamp(TimeLeftMs - ReplyMarginMs, 1.0, AnswerLimitMs);
  m_Queries[Id] = {
      EventLoop::now(), std::move(Answer),
      m_Loop.once(
          EventLoop::Duration(static_cast<int>(DeadlineMs)), [this, Id] {
            m_Log.info("stored_jobs_unknown", {{"open", m_Queries.size()}});
            answer(Id, std::nullopt);
          })};
  m_RequestRead();
}

void StoredJobsQueries::setJobsAreStored() {
  while (!m_Queries.empty())
    answer(m_Queries.begin()->first, true);
}

void StoredJobsQueries::setNoJobsStored(TimePoint ReadAt) {
  while (!m_Queries.empty() && m_Queries.begin()->second.m_AskedAt < ReadAt)
    answer(m_Queries.begin()->first, false);
  if (!m_Queries.empty())
    m_RequestRead();
}

void StoredJobsQueries::abandonAll() {
  while (!m_Queries.empty())
    answer(m_Queries.begin()->first, std::nullopt);
}

void StoredJobsQueries::answer(std::uint64_t Id,
                               std::optional<bool> JobsAreStored) {
  auto Extracted = m_Queries.extract(Id);
  if (!Extracted.empty())
    Extracted.mapped().m_Answer(JobsAreStored);
}

} // namespace auburnhub
