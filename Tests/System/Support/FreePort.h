#ifndef AUBURNHUB_SYSTEM_SUPPORT_FREEPORT_H
#define AUBURNHUB_SYSTEM_SUPPORT_FREEPORT_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace auburnhub::test {

/// Returns a loopback port that nothing listens on and that this process has
/// not been given before. It lies below the ports that the system gives to
/// outgoing connections. Fails with Internal if none is left.
absl::StatusOr<std::uint16_t> takeFreePort();

/// Returns "127.0.0.1:PORT" with a free port.
absl::StatusOr<std::string> takeFreeAddress();

} // namespace auburnhub::test

#endif
