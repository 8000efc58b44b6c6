#ifndef AUBURNHUB_REVIEW_LINKPROXY_H
#define AUBURNHUB_REVIEW_LINKPROXY_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace review {

/// Forwards the connections between nodes to one node. It knows which node has
/// opened each connection, so that single pairs can be cut: nothing passes in
/// either direction and new connections hang, as behind a partition.
class LinkProxy {
public:
  /// Returns the index of the node whose process owns the client side of a
  /// connection from this port to the port of the proxy, or -1.
  using FindDialer =
      std::function<int(std::uint16_t Port, std::uint16_t ProxyPort)>;
  /// Returns whether two nodes are cut from each other.
  using IsCut = std::function<bool(int Dialer, int Target)>;

  LinkProxy(auburnhub::EventLoop &Loop, auburnhub::Address Target, int Node,
            FindDialer Find, IsCut Cut);
  ~LinkProxy();

  auburnhub::Address address() const;
  /// Forwards what was held up, after a change of the cuts.
  void resume();

private:
  struct Connection;
  void accept();

  auburnhub::EventLoop &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  auburnhub::Address m_Target;
  int m_Node;
  FindDialer m_Find;
  IsCut m_IsCut;
  std::set<std::shared_ptr<Connection>> m_Open;
};

} // namespace review

#endif
