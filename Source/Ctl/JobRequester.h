#ifndef AUBURNHUB_SOURCE_CTL_JOBREQUESTER_H
#define AUBURNHUB_SOURCE_CTL_JOBREQUESTER_H

#include "auburnhub/Ctl/Command.h"

#include <cstdint>
#include <string>

namespace auburnhub {

/// Calls a node's interface for jobs, for the commands about jobs.
class JobRequester {
public:
  /// Adds --url and --timeout.
  void addOptions(boost::program_options::options_description &To);

  /// Sends a call, prints its answer and returns the exit status.
  CtlExit request(const std::string &Method, const std::string &Path,
                  const std::string &Body, const Console &Terminal) const;

private:
  std::string m_Url;
  std::int64_t m_TimeoutMs = 0;
};

} // namespace auburnhub

#endif
