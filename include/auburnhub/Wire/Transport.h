#ifndef AUBURNHUB_WIRE_TRANSPORT_H
#define AUBURNHUB_WIRE_TRANSPORT_H

#include "absl/status/statusor.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace auburnhub {

class ClientAccount;

/// Names one connection of a Transport; never used twice.
using ConnectionId = std::uint64_t;

/// What a Transport tells its owner. The calls come from the transport's own
/// thread and must not block; an owner posts them to its task.
struct TransportEvents {
  std::function<void(ConnectionId, bool Incoming)> m_Opened;
  std::function<void(ConnectionId, std::string Bytes)> m_Received;
  /// The connection is gone, or could not be made.
  std::function<void(ConnectionId, std::string Reason)> m_Closed;
};

/// Bytes of messages since the transport started, without framing.
struct TransportTraffic {
  std::uint64_t m_BytesSent = 0;
  std::uint64_t m_BytesReceived = 0;
  std::uint64_t m_MessagesSent = 0;
  std::uint64_t m_MessagesReceived = 0;
};

/// Carries binary WebSocket messages between the system's processes.
///
/// Create it, listen() and connect() as needed, stop() before the events'
/// owner goes. All functions may be called from any thread. This header hides
/// the library used and can be included as C++17 or C++20.
class Transport {
public:
  /// Messages over MaxMessageBytes close the connection that sent them.
  Transport(std::size_t MaxMessageBytes, TransportEvents Events);

  /// The same without a thread: everything happens on the loop given, which
  /// must outlive the transport, and all functions are called on its thread.
  Transport(std::size_t MaxMessageBytes, TransportEvents Events,
            boost::asio::io_context &Loop);
  ~Transport();
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;

  /// Accepts connections. Port 0 lets the system choose. Returns the port, or
  /// Unavailable if the address cannot be bound.
  absl::StatusOr<std::uint16_t> listen(const std::string &Host,
                                       std::uint16_t Port);

  /// Starts to connect; m_Opened or m_Closed follows.
  ConnectionId connect(const std::string &Host, std::uint16_t Port);

  /// Accounts for incoming connections. Until they are admitted, they may be
  /// closed in favour of others, and their messages are short. Only on
  /// somebody else's loop, before listen().
  void setAccount(std::shared_ptr<ClientAccount> Account);

  /// Tells that the peer of a connection is known.
  void admit(ConnectionId Connection);

  /// Queues a message. Messages to connections that are gone are dropped; the
  /// owner learns of the loss by m_Closed.
  void send(ConnectionId Connection, std::string Bytes);

  /// Closes one connection.
  void close(ConnectionId Connection);

  /// Closes a connection without a handshake, and tells nobody. For a peer
  /// that does not answer any more. On somebody else's loop, a connection that
  /// has not been opened yet is not opened any more.
  void abandon(ConnectionId Connection);

  /// Returns the bytes queued on a connection; only on the loop's thread.
  std::size_t queuedBytes(ConnectionId Connection) const;

  /// Writes what is queued, for a second at most, then closes everything and
  /// ends the thread; no event follows.
  void stop();

  TransportTraffic traffic() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace auburnhub

#endif
