#include "JobWaitingCommand.h"

namespace auburnhub {

void JobWaitingCommand::addOptions(
    boost::program_options::options_description &To) {
  m_Requester.addOptions(To);
}

CtlExit JobWaitingCommand::run(const std::vector<std::string> &Words,
                               const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "job waiting: expected one QUEUE");
  return m_Requester.request("GET", "/v1/queues/" + Words.front(), "",
                             Terminal);
}

} // namespace auburnhub
