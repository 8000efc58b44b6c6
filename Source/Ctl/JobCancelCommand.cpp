#include "JobCancelCommand.h"

namespace auburnhub {

void JobCancelCommand::addOptions(
    boost::program_options::options_description &To) {
  m_Requester.addOptions(To);
}

CtlExit JobCancelCommand::run(const std::vector<std::string> &Words,
                              const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "job cancel: expected one ID");
  return m_Requester.request("DELETE", "/v1/jobs/" + Words.front(), "",
                             Terminal);
}

} // namespace auburnhub
