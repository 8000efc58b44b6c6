#ifndef AUBURNHUB_NODE_STOREDJOBSQUERIES_H
#define AUBURNHUB_NODE_STOREDJOBSQUERIES_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Net/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace auburnhub {

/// Questions at a node that knows of no stored jobs whether there are any. Each
/// is answered by a read of the log that was sent after it: the node may not
/// have been told of a job that was stored after an earlier read.
class StoredJobsQueries {
public:
  /// Whether jobs are stored; empty if no read was answered in time.
  using Done = std::function<void(std::optional<bool>)>;

  /// RequestRead requests a read that is sent after its call and whose result
  /// is passed to setJobsAreStored() or setNoJobsStored().
  StoredJobsQueries(EventLoop &Loop, std::function<void()> RequestRead)
      : m_Loop(Loop), m_RequestRead(std::move(RequestRead)) {}

  /// Answer is called exactly once, and never before this function has
  /// returned. TimeLeftMs is the time until the caller's timeout.
  void ask(double TimeLeftMs, Done Answer);
  void setJobsAreStored();
  /// A read that was sent at ReadAt has found that no jobs were stored.
  void setNoJobsStored(TimePoint ReadAt);
  /// Answers all questions at once; called when the process exits.
  void abandonAll();

  std::size_t open() const { return m_Queries.size(); }

private:
  struct Query {
    TimePoint m_AskedAt;
    Done m_Answer;
    EventLoop::Timer m_Deadline;
  };

  void answer(std::uint64_t Id, std::optional<bool> JobsAreStored);

  EventLoop &m_Loop;
  std::function<void()> m_RequestRead;
  Log m_Log{"job-calls"};
  std::map<std::uint64_t, Query> m_Queries; ///< In the order of asking.
  std::uint64_t m_LastId = 0;
};

} // namespace auburnhub

#endif
