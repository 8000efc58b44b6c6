#ifndef AUBURNHUB_TESTS_PLATFORM_FAULTYPROXY_H
#define AUBURNHUB_TESTS_PLATFORM_FAULTYPROXY_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace auburnhub::platform {

/// Forwards TCP connections to a loopback address and injects faults.
class FaultyProxy {
public:
  struct Faults {
    EventLoop::Duration m_Delay{0}; ///< Added in each direction.
    bool m_CutForward = false;      ///< Nothing is forwarded to the target.
    bool m_CutBack = false;         ///< Nothing is forwarded from the target.
    bool m_Refuse = false;          ///< New connections are reset.
  };

  /// The target must be set before the first connection.
  explicit FaultyProxy(EventLoop &Loop);
  ~FaultyProxy();
  FaultyProxy(const FaultyProxy &) = delete;
  FaultyProxy &operator=(const FaultyProxy &) = delete;

  void setTarget(const Address &Target) { m_Target = Target; }
  Address address() const;

  /// Sets the faults. Bytes buffered during a cut are forwarded once it
  /// ends.
  void set(const Faults &NewFaults);
  /// Resets all open connections.
  void resetConnections();
  /// Stops forwarding on open connections for good, without closing them. New
  /// connections work.
  void blackholeConnections();

private:
  class Connection;

  void accept();

  EventLoop &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  Address m_Target;
  Faults m_Faults;
  std::set<std::shared_ptr<Connection>> m_Connections;
};

} // namespace auburnhub::platform

#endif
