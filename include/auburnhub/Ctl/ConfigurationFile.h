#ifndef AUBURNHUB_CTL_CONFIGURATIONFILE_H
#define AUBURNHUB_CTL_CONFIGURATIONFILE_H

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <string>

namespace auburnhub {

/// Reads a configuration body from a YAML or JSON file and checks it. Fails
/// with BadSettings and one line "FILE:LINE: path: what was expected" for each
/// fault, or with UnsupportedSchema.
absl::StatusOr<nlohmann::json> loadConfigurationFile(const std::string &Path,
                                                     int Schema);

/// Does the same for a text; Name stands for the file in messages.
absl::StatusOr<nlohmann::json> parseConfigurationText(const std::string &Text,
                                                      const std::string &Name,
                                                      int Schema);

} // namespace auburnhub

#endif
