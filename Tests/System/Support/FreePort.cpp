#include "System/Support/FreePort.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

#include <mutex>
#include <random>
#include <unistd.h>

namespace auburnhub::test {
namespace {

constexpr unsigned FirstPort = 20000;
constexpr unsigned PortCount = 12000; ///< Ends below the ephemeral ports.

bool isFree(std::uint16_t Port) {
  try {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress("127.0.0.1", Port), false);
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

/// Returns a place in the range that differs between processes.
unsigned firstPlace() {
  std::minstd_rand Random(static_cast<unsigned>(getpid()));
  return static_cast<unsigned>(Random() % PortCount);
}

} // namespace

absl::StatusOr<std::uint16_t> takeFreePort() {
  static std::mutex Mutex;
  static unsigned Place = firstPlace();
  std::lock_guard<std::mutex> Lock(Mutex);
  for (unsigned Tried = 0; Tried < PortCount; ++Tried) {
    Place = (Place + 1) % PortCount;
    const auto Port = static_cast<std::uint16_t>(FirstPort + Place);
    if (isFree(Port))
      return Port;
  }
  return makeFailure(FailureCode::Internal, "no free port is left");
}

absl::StatusOr<std::string> takeFreeAddress() {
  absl::StatusOr<std::uint16_t> Port = takeFreePort();
  if (!Port.ok())
    return Port.status();
  return "127.0.0.1:" + std::to_string(*Port);
}

} // namespace auburnhub::test
