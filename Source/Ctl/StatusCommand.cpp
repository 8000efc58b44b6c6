#include "StatusCommand.h"

#include "ProcessPage.h"

#include <algorithm>

namespace auburnhub {

namespace po = boost::program_options;

void StatusCommand::addOptions(po::options_description &To) {
  To.add_options()(
      "url",
      po::value(&m_Urls)->value_name("HOST:PORT")->multitoken()->required(),
      "HTTP addresses of the processes to ask; required");
}

CtlExit StatusCommand::run(const std::vector<std::string> &Words,
                           const Console &Terminal) {
  if (!Words.empty())
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "status: expected no arguments");
  std::vector<ProcessStatus> Processes = fetchStatuses(m_Urls);
  Terminal.m_Out << formatStatusTable(Processes)
                 << formatMemberTables(Processes);
  bool AllAnswered = std::all_of(
      Processes.begin(), Processes.end(),
      [](const ProcessStatus &Process) { return Process.m_Failure.empty(); });
  return AllAnswered ? CtlExit::Success : CtlExit::Unreachable;
}

} // namespace auburnhub
