#include "CommonOptions.h"

namespace auburnhub {

namespace po = boost::program_options;

void addPlatformOption(po::options_description &To, std::string &Platform) {
  To.add_options()("platform",
                   po::value(&Platform)->value_name("HOST:PORT")->required(),
                   "address of the platform's log service; required");
}

absl::StatusOr<ConfigurationReader>
readConfiguration(const std::string &Platform) {
  absl::StatusOr<Address> Where = parseUrl(Platform);
  if (!Where.ok())
    return Where.status();
  PlatformStream Stream(*Where, ConfigurationStream);
  ConfigurationReader Reader;
  absl::Status Read = Reader.readToEnd(Stream);
  if (!Read.ok())
    return Read;
  return Reader;
}

absl::StatusOr<Address> parseUrl(std::string_view Url) {
  constexpr std::string_view Scheme = "http://";
  if (Url.starts_with(Scheme))
    Url.remove_prefix(Scheme.size());
  return parseAddress(Url.substr(0, Url.find('/')));
}

} // namespace auburnhub
