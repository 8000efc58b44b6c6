#include "JobSubmitCommand.h"

#include <fstream>
#include <sstream>

namespace auburnhub {

namespace po = boost::program_options;

void JobSubmitCommand::addOptions(po::options_description &To) {
  m_Requester.addOptions(To);
  To.add_options() //
      ("queue", po::value(&m_Queue)->value_name("QUEUE")->required(),
       "the queue that the job goes to; required") //
      ("id", po::value(&m_Id)->value_name("ID")->required(),
       "the job's id; the same id is the same job; required");
}

CtlExit JobSubmitCommand::run(const std::vector<std::string> &Words,
                              const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "job submit: expected one FILE");
  std::ostringstream Body;
  if (Words.front() == "-") {
    Body << Terminal.m_In.rdbuf();
  } else {
    std::ifstream File(Words.front());
    if (!File)
      return reportCtlFailure(Terminal, CtlExit::Invalid,
                              Words.front() + ": cannot be read");
    Body << File.rdbuf();
  }
  return m_Requester.request("PUT", "/v1/queues/" + m_Queue + "/jobs/" + m_Id,
                             Body.str(), Terminal);
}

} // namespace auburnhub
