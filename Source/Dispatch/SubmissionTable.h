#ifndef AUBURNHUB_DISPATCH_SUBMISSIONTABLE_H
#define AUBURNHUB_DISPATCH_SUBMISSIONTABLE_H

#include "Submission.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace auburnhub {

/// Holds the submissions that this dispatcher owns, and remembers the answers
/// of those whose callers may ask again.
///
/// Results are dropped, oldest first, when the remembered ones exceed a limit;
/// the submission then still counts as spent, and its answer as forgotten.
class SubmissionTable {
public:
  explicit SubmissionTable(std::size_t MaxResultBytes)
      : m_MaxResultBytes(MaxResultBytes) {}

  /// Returns the submission with this id, or null.
  Submission *find(const SubmissionId &Id);

  /// Adds a submission, whose id must be new. The reference stays valid until
  /// erase() or forgetBefore() removes it.
  Submission &add(std::unique_ptr<Submission> Added);

  /// Notes that a submission is over, so that its results count as remembered.
  void noteAnswered(const Submission &Over);

  void erase(const SubmissionId &Id);

  /// Removes the submissions that are over and whose ids were minted before an
  /// instant, in milliseconds since the Unix epoch.
  void forgetBefore(std::int64_t TimeMs);

  std::size_t size() const { return m_ById.size(); }
  std::size_t unfinished() const { return m_ById.size() - m_Answered.size(); }

  /// Calls Visit with each submission that is not over. Visit may end them,
  /// but must not add or erase any.
  template <typename Visitor> void forEachUnfinished(Visitor Visit) {
    for (auto &[Id, Owned] : m_ById)
      if (!Owned->isOver())
        Visit(*Owned);
  }

private:
  void dropResults();

  const std::size_t m_MaxResultBytes;
  std::size_t m_ResultBytes = 0;
  std::unordered_map<SubmissionId, std::unique_ptr<Submission>> m_ById;
  /// Ids of submissions that are over, by mint time.
  std::multimap<std::int64_t, SubmissionId> m_Answered;
  /// Ids whose results are remembered, by mint time.
  std::multimap<std::int64_t, SubmissionId> m_WithResults;
};

} // namespace auburnhub

#endif
