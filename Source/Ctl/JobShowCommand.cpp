#include "JobShowCommand.h"

namespace auburnhub {

void JobShowCommand::addOptions(
    boost::program_options::options_description &To) {
  m_Requester.addOptions(To);
}

CtlExit JobShowCommand::run(const std::vector<std::string> &Words,
                            const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "job show: expected one ID");
  return m_Requester.request("GET", "/v1/jobs/" + Words.front(), "", Terminal);
}

} // namespace auburnhub
