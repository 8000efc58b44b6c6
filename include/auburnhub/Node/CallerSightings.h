#ifndef AUBURNHUB_NODE_CALLERSIGHTINGS_H
#define AUBURNHUB_NODE_CALLERSIGHTINGS_H

#include "auburnhub/Node/JobRequesters.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// When the caller of each job of an owner was last known to wait for the
/// result. All times are on the owner's clock.
class CallerSightings {
public:
  /// A call has submitted the job, or receives its result from now on.
  void put(const std::string &Job, const JobRequester &Caller,
           TimePoint SeenAt);
  /// The result of the call was reported.
  void erase(const std::string &Job, const JobRequester &Caller);

  /// The jobs of a node whose callers wait, and those whose callers have left.
  struct Update {
    std::vector<std::string> m_Waiting;
    std::vector<std::string> m_Left;
  };
  /// A node has listed the calls that waited at SeenAt, of all calls up to
  /// number LastCall. A job that was submitted by a later call is in neither
  /// list of the result.
  Update update(std::string_view Node, TimePoint SeenAt, std::uint64_t LastCall,
                std::span<const std::uint64_t> WaitingCalls);

  /// Returns the jobs whose callers have not been seen since.
  std::vector<std::string> unseenSince(TimePoint Since) const;

private:
  struct Sighting {
    JobRequester m_Caller;
    TimePoint m_SeenAt;
  };
  std::map<std::string, Sighting> m_Jobs;
};

} // namespace auburnhub

#endif
