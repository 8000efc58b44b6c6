#ifndef AUBURNHUB_FAKES_FAKESERVER_H
#define AUBURNHUB_FAKES_FAKESERVER_H

#include "Fakes/Exchange.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Poco {
class ThreadPool;
} // namespace Poco

namespace Poco::Net {
class HTTPServer;
} // namespace Poco::Net

namespace auburnhub::test {

/// Listens for HTTP on one port and gives each request to a handler.
///
/// Handlers run on threads of the pool, one for each connection, and may block.
/// The pool and what the handler uses must outlive the server.
class FakeServer {
public:
  using Handler = std::function<void(Exchange &)>;

  /// Listens on Host:Port; port 0 takes a free one. Fails with Internal.
  static absl::StatusOr<std::unique_ptr<FakeServer>>
  start(const std::string &Host, std::uint16_t Port, Poco::ThreadPool &Pool,
        Handler Handle);

  ~FakeServer();

  /// Returns "host:port" as listened on.
  const std::string &address() const { return m_Address; }

private:
  FakeServer(std::unique_ptr<Poco::Net::HTTPServer> Server,
             std::string Address);

  std::unique_ptr<Poco::Net::HTTPServer> m_Server;
  std::string m_Address;
};

} // namespace auburnhub::test

#endif
