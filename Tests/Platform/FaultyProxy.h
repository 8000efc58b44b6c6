#ifndef AUBURNHUB_TESTS_PLATFORM_FAULTYPROXY_H
#define AUBURNHUB_TESTS_PLATFORM_FAULTYPROXY_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace auburnhub::platform {

/// Passes TCP connections on to an address on loopback, and harms them as it
/// is told.
class FaultyProxy {
public:
  struct Faults {
    EventLoop::Duration m_Delay{0}; ///< In each direction.
    bool m_CutForward = false;      ///< Nothing passes towards the address.
    bool m_CutBack = false;         ///< Nothing passes from the address.
    bool m_Refuse = false;          ///< New connections are reset.
  };

  /// Target may be set later, but before the first connection.
  explicit FaultyProxy(EventLoop &Loop);
  ~FaultyProxy();
  FaultyProxy(const FaultyProxy &) = delete;
  FaultyProxy &operator=(const FaultyProxy &) = delete;

  void setTarget(const Address &Where) { m_Target = Where; }
  Address address() const;

  /// Bytes that a cut has held up pass once it is healed.
  void set(const Faults &Wanted);
  /// Resets all open connections.
  void resetOpen();
  /// Open connections go silent for good; new ones work.
  void silenceOpen();

private:
  class Connection;

  void accept();

  EventLoop &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  Address m_Target;
  Faults m_Faults;
  std::set<std::shared_ptr<Connection>> m_Open;
};

} // namespace auburnhub::platform

#endif
