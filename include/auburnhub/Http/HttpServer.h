#ifndef AUBURNHUB_HTTP_HTTPSERVER_H
#define AUBURNHUB_HTTP_HTTPSERVER_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Http/HttpMessage.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace auburnhub {

struct HttpServerOptions {
  std::size_t m_MaxBodyBytes = std::size_t{8} << 20;
  int m_MaxConnections = 1024;       ///< Each has a thread while it is open.
  Milliseconds m_ReadTimeout{10000}; ///< For a whole body, and for a pause.
  Milliseconds m_KeepAliveTimeout{30000};
};

/// Serves HTTP/1.1 through POCO Net.
///
/// The handler is called on the connection's thread, may block, and must be
/// safe to call from several threads. Bodies over the limit, slow bodies and
/// bodies cut short never reach it.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  /// Binds and starts. Fails with Unavailable if the address is taken.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  start(const Address &Where, const HttpServerOptions &Options, Handler Handle);

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the address it listens on, with the port that was chosen.
  const Address &address() const { return m_Address; }

  /// Takes no further connections and waits until all requests in progress
  /// are answered.
  void stop();

private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> Server, Address Where);

  std::unique_ptr<Impl> m_Impl;
  Address m_Address;
};

} // namespace auburnhub

#endif
