#ifndef AUBURNHUB_NET_LOOPHTTPSERVER_H
#define AUBURNHUB_NET_LOOPHTTPSERVER_H

#include "auburnhub/Base/ClientAccount.h"
#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Net/EventLoop.h"

#include "absl/status/status.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace auburnhub {

/// Bounds on what a caller may send and how long it may take.
struct HttpServerLimits {
  /// For the header, and again for chunk extensions and trailers.
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = 262144;
  EventLoop::Duration m_HeaderTimeout{3000}; ///< For one whole request.
  /// Between two requests, and for one whole response.
  EventLoop::Duration m_IdleTimeout{15000};
};

/// A request that waits for its response. Copies share one exchange.
class HttpExchange {
public:
  struct State;
  explicit HttpExchange(std::shared_ptr<State> Shared)
      : m_State(std::move(Shared)) {}

  const HttpRequest &request() const;

  /// Sends the response; the second and later calls do nothing.
  void respond(HttpResponse Response) const;

  /// Returns how long the end of the request waited in the operating system
  /// until it was read, in milliseconds; 0 if that is not known.
  double readDelayMs() const;

  /// Returns whether the caller waits for the response: the exchange has none
  /// yet, and the connection is neither closed, half-closed nor reset as far as
  /// this machine knows. Asks the operating system; events that the loop has
  /// not handled yet count.
  bool isCallerConnected() const;

  /// Asks to be called if the caller closes the connection first.
  void onCallerDisconnected(std::function<void()> Call) const;

private:
  std::shared_ptr<State> m_State;
};

/// Serves HTTP/1.1 on an EventLoop, one request at a time on a connection.
///
/// Malformed requests are answered with 400, 413 or 431 by the server itself. A
/// request for which the account of the clients has no memory is answered with
/// 503, and so is a connection over its limit.
class LoopHttpServer {
public:
  using Handler = std::function<void(HttpExchange)>;

  /// Without an account the server uses one of its own, with default limits.
  LoopHttpServer(EventLoop &Loop, Handler Handle,
                 std::shared_ptr<ClientAccount> Account = nullptr);
  ~LoopHttpServer();
  LoopHttpServer(const LoopHttpServer &) = delete;
  LoopHttpServer &operator=(const LoopHttpServer &) = delete;

  /// Accepts connections. Fails with Unavailable if the address is taken.
  absl::Status listen(const Address &Where);

  /// Applies to requests that begin later.
  void setLimits(const HttpServerLimits &Limits);

  /// Closes each connection after its next response. Idle ones stay open until
  /// then: closing them would cut a request that is on its way. New connections
  /// are still accepted, for one request each.
  void drain();

  /// Returns the number of open connections.
  std::size_t connections() const;

  /// Returns the port that listen() was given, or chose for port 0.
  std::uint16_t port() const;

private:
  struct Shared;
  class Session;
  std::shared_ptr<Shared> m_Shared;
};

} // namespace auburnhub

#endif
