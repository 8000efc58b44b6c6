#ifndef AUBURNHUB_SOURCE_CTL_JOBWAITINGCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_JOBWAITINGCOMMAND_H

#include "JobRequester.h"

namespace auburnhub {

/// Shows how many stored jobs of a queue have not started.
class JobWaitingCommand {
public:
  static constexpr std::string_view Name = "job waiting";
  static constexpr std::string_view Arguments = "QUEUE";
  static constexpr std::string_view Summary =
      "Show how many stored jobs of a queue have not started.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  JobRequester m_Requester;
};

} // namespace auburnhub

#endif
