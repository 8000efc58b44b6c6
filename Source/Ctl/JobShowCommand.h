#ifndef AUBURNHUB_SOURCE_CTL_JOBSHOWCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_JOBSHOWCOMMAND_H

#include "JobRequester.h"

namespace auburnhub {

/// Shows the state of a job.
class JobShowCommand {
public:
  static constexpr std::string_view Name = "job show";
  static constexpr std::string_view Arguments = "ID";
  static constexpr std::string_view Summary = "Show the state of a job.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  JobRequester m_Requester;
};

} // namespace auburnhub

#endif
