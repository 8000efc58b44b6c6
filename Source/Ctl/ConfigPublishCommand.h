#ifndef AUBURNHUB_SOURCE_CTL_CONFIGPUBLISHCOMMAND_H
#define AUBURNHUB_SOURCE_CTL_CONFIGPUBLISHCOMMAND_H

#include "auburnhub/Ctl/Command.h"
#include "auburnhub/Ctl/ConfigurationPublisher.h"

namespace auburnhub {

/// Publishes a configuration file.
class ConfigPublishCommand {
public:
  static constexpr std::string_view Name = "config publish";
  static constexpr std::string_view Arguments = "FILE";
  static constexpr std::string_view Summary =
      "Publish a configuration body and say what became of it.";

  void addOptions(boost::program_options::options_description &To);
  CtlExit run(const std::vector<std::string> &Words, const Console &Terminal);

private:
  absl::StatusOr<ConfigurationRecord> makeRecord(const std::string &File) const;
  bool mayBeRead(const Console &Terminal) const;
  CtlExit report(const ConfigurationReader &Reader,
                 const ConfigurationRecord &Record, const PublishResult &Result,
                 const Console &Terminal) const;

  std::string m_Platform;
  std::string m_Author;
  std::int64_t m_Base = -1;
  bool m_HasBase = false;
  std::string m_ChangeId;
  int m_Schema = 1;
  std::vector<std::string> m_Controls;
  bool m_Force = false;
};

} // namespace auburnhub

#endif
