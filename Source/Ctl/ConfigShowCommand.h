#ifndef AUBURNHUB_SOURCE_CTL_CONFIGSHOWCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CONFIGSHOWCOMMAND_H

#include "auburnhub/Ctl/Command.h"

#include <cstdint>

namespace auburnhub {

/// Shows a record of the configuration stream.
class ConfigShowCommand {
public:
  static constexpr std::string_view Name = "config show";
  static constexpr std::string_view Arguments = "";
  static constexpr std::string_view Summary =
      "Show the configuration in force, or a record, as a file to edit.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  std::string m_Platform;
  std::int64_t m_Offset = -1;
};

} // namespace auburnhub

#endif
