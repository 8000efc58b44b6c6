#include "ConfigShowCommand.h"

#include "CommonOptions.h"

namespace auburnhub {

namespace po = boost::program_options;

void ConfigShowCommand::addOptions(po::options_description &To) {
  addPlatformOption(To, m_Platform);
  To.add_options()("offset", po::value(&m_Offset)->value_name("N"),
                   "show the record at offset N; default: the one in force");
}

CtlExit ConfigShowCommand::run(const std::vector<std::string> &Words,
                               const Console &Terminal) {
  if (!Words.empty())
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "config show: expected no arguments");
  auto Reader = readConfiguration(m_Platform);
  if (!Reader.ok())
    return reportCtlFailure(Terminal, CtlExit::Unreachable, Reader.status());
  std::int64_t Offset = m_Offset >= 0 ? m_Offset : Reader->history().offset();
  auto It = Reader->records().find(Offset);
  if (It == Reader->records().end())
    return reportCtlFailure(Terminal, CtlExit::NotFound,
                            Offset < 0 ? "no configuration is in force"
                                       : "there is no such record");
  const ConfigurationDecision &Decision = It->second.m_Decision;
  // JSON is YAML as well, so this can be edited and published.
  Terminal.m_Out << "# offset " << Offset << ", "
                 << configurationVerdictName(Decision.m_Verdict) << ", author "
                 << Decision.m_Author << ", change " << Decision.m_ChangeId
                 << "\n"
                 << It->second.body().dump(2) << "\n";
  return CtlExit::Success;
}

} // namespace auburnhub
