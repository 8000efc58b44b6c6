#ifndef AUBURNHUB_SOURCE_CTL_CONFIGHISTORYCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CONFIGHISTORYCOMMAND_H

#include "auburnhub/Ctl/Command.h"

namespace auburnhub {

/// Lists the configuration stream.
class ConfigHistoryCommand {
public:
  static constexpr std::string_view Name = "config history";
  static constexpr std::string_view Arguments = "";
  static constexpr std::string_view Summary =
      "List the records of the configuration stream and what became of each.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  std::string m_Platform;
};

} // namespace auburnhub

#endif
