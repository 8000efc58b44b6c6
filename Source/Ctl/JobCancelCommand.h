#ifndef AUBURNHUB_SOURCE_CTL_JOBCANCELCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_JOBCANCELCOMMAND_H

#include "JobRequester.h"

namespace auburnhub {

/// Cancels a job.
class JobCancelCommand {
public:
  static constexpr std::string_view Name = "job cancel";
  static constexpr std::string_view Arguments = "ID";
  static constexpr std::string_view Summary = "Cancel a job.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  JobRequester m_Requester;
};

} // namespace auburnhub

#endif
