#ifndef AUBURNHUB_SOURCE_CTL_CHARTSCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CHARTSCOMMAND_H

#include "auburnhub/Ctl/Command.h"

namespace auburnhub {

/// Prints state charts.
class ChartsCommand {
public:
  static constexpr std::string_view Name = "charts";
  static constexpr std::string_view Arguments = "";
  static constexpr std::string_view Summary =
      "Print the state charts in the DOT language of Graphviz.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  std::string m_Directory;
};

} // namespace auburnhub

#endif
