#include "ConfigHistoryCommand.h"

#include "CommonOptions.h"

namespace auburnhub {

namespace po = boost::program_options;

void ConfigHistoryCommand::addOptions(po::options_description &To) {
  addPlatformOption(To, m_Platform);
}

CtlExit ConfigHistoryCommand::run(const std::vector<std::string> &Words,
                                  const Console &Terminal) {
  if (!Words.empty())
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "config history: expected no arguments");
  auto Reader = readConfiguration(m_Platform);
  if (!Reader.ok())
    return reportCtlFailure(Terminal, CtlExit::Unreachable, Reader.status());
  for (const auto &[Offset, Record] : Reader->records()) {
    const ConfigurationDecision &Decision = Record.m_Decision;
    Terminal.m_Out << Offset << "  "
                   << configurationVerdictName(Decision.m_Verdict) << "  by "
                   << Decision.m_Author << "  change " << Decision.m_ChangeId
                   << "  time " << Record.m_TimeMs;
    if (!Decision.m_Detail.empty())
      Terminal.m_Out << "  " << Decision.m_Detail;
    if (Offset == Reader->history().offset())
      Terminal.m_Out << "  (in force)";
    Terminal.m_Out << "\n";
  }
  return CtlExit::Success;
}

} // namespace auburnhub
