#ifndef AUBURNHUB_SOURCE_CTL_CONFIGDIFFCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CONFIGDIFFCOMMAND_H

#include "auburnhub/Ctl/Command.h"
#include "auburnhub/Ctl/ConfigurationReader.h"

namespace auburnhub {

/// Compares two configuration bodies.
class ConfigDiffCommand {
public:
  static constexpr std::string_view Name = "config diff";
  static constexpr std::string_view Arguments = "A B";
  static constexpr std::string_view Summary =
      "Show the fields that differ. A and B are offsets, current, or files.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  absl::StatusOr<nlohmann::json> load(const std::string &Word,
                                      const ConfigurationReader &Reader) const;

  std::string m_Platform;
};

} // namespace auburnhub

#endif
