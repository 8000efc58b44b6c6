#ifndef AUBURNHUB_SOURCE_CTL_STATUSCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_STATUSCOMMAND_H

#include "auburnhub/Ctl/Command.h"

namespace auburnhub {

/// Shows the status of processes.
class StatusCommand {
public:
  static constexpr std::string_view Name = "status";
  static constexpr std::string_view Arguments = "";
  static constexpr std::string_view Summary =
      "Show a table of processes, and the members that each control sees.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  std::vector<std::string> m_Urls;
};

} // namespace auburnhub

#endif
