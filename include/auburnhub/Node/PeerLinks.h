#ifndef AUBURNHUB_NODE_PEERLINKS_H
#define AUBURNHUB_NODE_PEERLINKS_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Wire/Transport.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace auburnhub {

/// What PeerLinks tells its owner.
struct PeerEvents {
  std::function<void(const NodeHello &)> m_Up;
  /// The link broke, or nothing was heard for too long.
  std::function<void(const std::string &Node)> m_Down;
  std::function<void(const std::string &Node, const Envelope &)> m_Received;
};

/// Keeps one link to every other node, by websocketpp with CBOR messages.
///
/// Nodes learn addresses of each other from the directory, from their settings
/// and from each other's greetings. A link on which nothing arrives is given
/// up: an open connection may have gone silent for good.
class PeerLinks {
public:
  PeerLinks(EventLoop &Loop, NodeHello Self, PeerEvents Events);

  /// Accepts links. Fails with Unavailable.
  absl::Status listen(const Address &Where);

  /// Connects to an address, and again whenever the link is lost.
  void keep(const Address &Where);

  template <WireMessage Type>
  void send(const std::string &Node, const Type &Msg) {
    sendBytes(Node, encode(Msg));
  }

  /// Sends to every node that is up; returns to how many.
  template <WireMessage Type> std::size_t broadcast(const Type &Msg) {
    std::string Bytes = encode(Msg);
    for (const auto &[Node, Link] : m_Links)
      m_Transport.send(Link.m_Connection, Bytes);
    return m_Links.size();
  }

  bool isUp(const std::string &Node) const { return m_Links.contains(Node); }
  std::size_t linksUp() const { return m_Links.size(); }
  /// Tells whether every address was tried once since the start.
  bool triedAll() const;

private:
  struct Target {
    ConnectionId m_Connection = 0;
    double m_BackoffMs = 0;
    bool m_Tried = false;
    std::string m_Node; ///< Who answered there last.
    EventLoop::Timer m_Retry;
  };
  struct Link {
    ConnectionId m_Connection = 0;
    bool m_Outgoing = false;
    NodeHello m_Hello;
    TimePoint m_Since;
    TimePoint m_HeardAt;
  };
  struct Pending {
    bool m_Incoming = false;
    TimePoint m_Since;
    std::string m_Node; ///< Set once it has greeted.
    std::string m_Target;
  };

  void connect(const std::string &Where);
  void retryLater(const std::string &Where);
  void onOpened(ConnectionId Id, bool Incoming);
  void onReceived(ConnectionId Id, const std::string &Bytes);
  void onHello(ConnectionId Id, const NodeHello &Hello);
  /// Decides between the link to a node and another connection to it. Returns
  /// whether the connection becomes a new link.
  bool replace(ConnectionId Id, bool Outgoing, const NodeHello &Hello);
  void closeRetired(TimePoint Now);
  void onClosed(ConnectionId Id, const std::string &Reason);
  void closed(ConnectionId Id, const std::string &Reason);
  void checkSilence();
  void sendBytes(const std::string &Node, std::string Bytes);
  NodeHello greeting() const;

  EventLoop &m_Loop;
  NodeHello m_Self;
  PeerEvents m_Events;
  Log m_Log{"links"};
  std::map<std::string, Target> m_Targets; ///< By address.
  std::map<std::string, Link> m_Links;     ///< By node.
  std::map<ConnectionId, Pending> m_Connections;
  /// Given up for another connection to the same node, but still read for a
  /// while: the peer may not know yet.
  std::map<ConnectionId, TimePoint> m_Retired;
  TimePoint m_LastCheck;
  EventLoop::Timer m_Check;
  Transport m_Transport;
};

} // namespace auburnhub

#endif
