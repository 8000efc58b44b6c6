#ifndef AUBURNHUB_SOURCE_CTL_CONFIGCHECKCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CONFIGCHECKCOMMAND_H

#include "auburnhub/Ctl/Command.h"

namespace auburnhub {

/// Checks a configuration file.
class ConfigCheckCommand {
public:
  static constexpr std::string_view Name = "config check";
  static constexpr std::string_view Arguments = "FILE";
  static constexpr std::string_view Summary =
      "Check a configuration body (YAML or JSON) and list every fault.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  int m_Schema = 1;
};

} // namespace auburnhub

#endif
