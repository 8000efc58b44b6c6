#ifndef AUBURNHUB_NODE_JOBREQUESTERS_H
#define AUBURNHUB_NODE_JOBREQUESTERS_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhub {

/// The call of a node that has submitted a job to an owner.
struct JobRequester {
  std::string m_Node; ///< Empty for the owner itself.
  std::uint64_t m_Call = 0;
  bool operator==(const JobRequester &) const = default;
};

/// The calls that wait for the results of an owner's jobs. A job may be
/// submitted again while the result of its earlier submission is still to be
/// reported; the results are reported in the order of the submissions.
class JobRequesters {
public:
  /// A call has submitted the job.
  void add(const std::string &Job, JobRequester From);
  /// A call has submitted a job that runs already: it receives the result
  /// instead of the last call, which is returned. Nothing is changed if no call
  /// waits for the job.
  std::optional<JobRequester> replaceLast(const std::string &Job,
                                          const JobRequester &From);
  /// Removes and returns the call that receives the next result of the job.
  std::optional<JobRequester> takeFirst(const std::string &Job);
  /// Returns whether the call may cancel the job because its caller has left:
  /// no other call has submitted the job since. Nodes that do not state a call
  /// (number 0) may cancel any job.
  bool mayCancel(const std::string &Job, const JobRequester &From) const;
  /// Returns the jobs whose last submission came from this node.
  std::vector<std::string> jobsOf(const std::string &Node) const;

private:
  /// By job id, in the order of the submissions; never empty.
  std::map<std::string, std::deque<JobRequester>> m_Jobs;
};

} // namespace auburnhub

#endif
