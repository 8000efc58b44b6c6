#ifndef AUBURNHUB_SOURCE_CTL_JOBSUBMITCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_JOBSUBMITCOMMAND_H

#include "JobRequester.h"

namespace auburnhub {

/// Hands a job in under an id of the caller's.
class JobSubmitCommand {
public:
  static constexpr std::string_view Name = "job submit";
  static constexpr std::string_view Arguments = "FILE";
  static constexpr std::string_view Summary =
      "Hand a job in under an id of the caller's.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  JobRequester m_Requester;
  std::string m_Queue;
  std::string m_Id;
};

} // namespace auburnhub

#endif
