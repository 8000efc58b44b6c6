#include "ConfigCheckCommand.h"

#include "auburnhub/Ctl/ConfigurationFile.h"

namespace auburnhub {

namespace po = boost::program_options;

void ConfigCheckCommand::addOptions(po::options_description &To) {
  To.add_options()("schema",
                   po::value(&m_Schema)->value_name("N")->default_value(1),
                   "check against schema version N");
}

CtlExit ConfigCheckCommand::run(const std::vector<std::string> &Words,
                                const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "config check: expected one FILE");
  auto Body = loadConfigurationFile(Words.front(), m_Schema);
  if (!Body.ok())
    return reportCtlFailure(Terminal, CtlExit::Invalid, Body.status());
  Terminal.m_Out << Words.front() << ": valid\n";
  return CtlExit::Success;
}

} // namespace auburnhub
