#ifndef AUBURNHUB_SOURCE_CTL_EXPLAINCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_EXPLAINCOMMAND_H

#include "auburnhub/Ctl/Command.h"

namespace auburnhub {

/// Explains one submission, or one job that nodes run or store.
class ExplainCommand {
public:
  static constexpr std::string_view Name = "explain";
  static constexpr std::string_view Arguments = "ID";
  static constexpr std::string_view Summary =
      "Say what became of a submission or job and why, from its log lines.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  std::vector<std::string> m_Logs;
};

} // namespace auburnhub

#endif
