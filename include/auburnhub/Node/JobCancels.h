#ifndef AUBURNHUB_NODE_JOBCANCELS_H
#define AUBURNHUB_NODE_JOBCANCELS_H

#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhub {

/// What is known about the cancelling of a job that is not stored.
enum class CancelOutcome {
  Cancelled, ///< A node knew the job and has cancelled it.
  NoSuchJob, ///< Each node that may run the job has answered that it does not.
  Undecided, ///< A node that may run the job could not be asked.
};

/// Decides what is answered to the cancelling of a job, and remembers the nodes
/// that could not be asked, so that they are told when they are linked again.
///
/// A node whose link was lost may go on with jobs for its own callers. It
/// counts as running the job for LostNodeMs, less than callers wait for a final
/// answer; a machine that is gone for good
/// does not make cancelling undecided for longer. Its name is kept for
/// RememberMs, and the jobs cancelled meanwhile as well: they are cancelled
/// there if it returns.
///
/// Load pattern: callers that cancel at one side of a cut what runs at the
/// other one.
class JobCancels {
public:
  static constexpr double LostNodeMs = 3000;
  static constexpr double RememberMs = 60000;
  /// Maximum number of remembered jobs; the oldest are dropped.
  static constexpr std::size_t MaxRemembered = 5000;

  /// The link to a node was lost. A node that was stopping has answered all of
  /// its callers and runs nothing.
  void nodeLost(TimePoint Now, const std::string &Node, bool WasStopping);
  /// A node is linked, newly or again. Returns the jobs that are to be
  /// cancelled there; they are returned once.
  std::vector<std::string> nodeLinked(TimePoint Now, const std::string &Node);

  /// A job was cancelled at this node. An earlier submission of it may run at a
  /// node that is not linked.
  void cancelledHere(TimePoint Now, const std::string &Job) {
    remember(Now, Job, {});
  }
  /// Begins to cancel a job that is unknown here; Asked are the nodes that were
  /// sent a question. Returns the outcome if it is known without an answer.
  std::optional<CancelOutcome> begin(TimePoint Now, std::uint64_t Id,
                                     const std::string &Job,
                                     std::set<std::string> Asked);
  /// A node has answered. Returns the outcome once it is known, which ends the
  /// question. Unknown questions are ignored.
  std::optional<CancelOutcome> answered(TimePoint Now, std::uint64_t Id,
                                        const std::string &Node, bool Known);
  /// Ends a question whose time is over.
  std::optional<CancelOutcome> timedOut(TimePoint Now, std::uint64_t Id);
  std::size_t remembered() const { return m_Remembered.size(); }

private:
  struct Question {
    std::string m_Job;
    std::set<std::string> m_Missing; ///< Asked and without an answer.
  };
  struct Undelivered {
    std::string m_Job;
    std::set<std::string> m_Nodes;
    TimePoint m_Since;
  };

  CancelOutcome end(TimePoint Now, const Question &Ended);
  /// Remembers the job for the nodes that are not linked and those of Missing.
  void remember(TimePoint Now, const std::string &Job,
                std::set<std::string> Missing);
  void forgetOld(TimePoint Now);

  std::map<std::uint64_t, Question> m_Questions;
  std::map<std::string, TimePoint> m_LostAt; ///< By node that is not linked.
  std::map<std::uint64_t, Undelivered> m_Remembered; ///< In order of time.
  std::uint64_t m_LastRemembered = 0;
};

} // namespace auburnhub

#endif
