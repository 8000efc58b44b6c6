#ifndef AUBURNHUB_SOURCE_CTL_COMMONOPTIONS_H
#define AUBURNHUB_SOURCE_CTL_COMMONOPTIONS_H

#include "auburnhub/Ctl/ConfigurationReader.h"

#include <boost/program_options.hpp>

#include <string>

namespace auburnhub {

/// The stream that configuration records are on.
inline constexpr const char *ConfigurationStream = "configuration";

/// Adds the required option --platform.
void addPlatformOption(boost::program_options::options_description &To,
                       std::string &Platform);

/// Reads the whole configuration stream. Fails with BadSettings if the
/// address is malformed, or with PlatformUnavailable.
absl::StatusOr<ConfigurationReader>
readConfiguration(const std::string &Platform);

/// Parses HOST:PORT with or without "http://" before it and a path after it.
absl::StatusOr<Address> parseUrl(std::string_view Url);

} // namespace auburnhub

#endif
