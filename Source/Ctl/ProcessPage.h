#ifndef AUBURNHUB_SOURCE_CTL_PROCESSPAGE_H
#define AUBURNHUB_SOURCE_CTL_PROCESSPAGE_H

#include "auburnhub/Ctl/StatusTable.h"

#include <span>
#include <string>
#include <vector>

namespace auburnhub {

/// Reads /v1/status of a process.
ProcessStatus fetchStatus(const std::string &Url);

/// Reads /v1/status of several processes, one after the other.
std::vector<ProcessStatus> fetchStatuses(std::span<const std::string> Urls);

} // namespace auburnhub

#endif
