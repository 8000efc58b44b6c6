#ifndef AUBURNHUB_NODE_PEERLINKS_H
#define AUBURNHUB_NODE_PEERLINKS_H

#include "auburnhub/Base/ClientAccount.h"
#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/DialQueue.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Wire/Transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace auburnhub {

/// Callbacks of PeerLinks. Their references are valid until they return.
struct PeerEvents {
  std::function<void(const NodeHello &)> m_Connected;
  /// The link was lost or has timed out, or the peer has restarted.
  std::function<void(const std::string &Node)> m_Disconnected;
  /// The link continues on a new connection, because the previous one became
  /// silent. The peer has not restarted, but messages may be lost.
  std::function<void(const NodeHello &)> m_Reconnected;
  std::function<void(const std::string &Node, const Envelope &)> m_Received;
  /// Nothing was received on the link for a large part of its timeout. Called
  /// once until something is received again.
  std::function<void(const std::string &Node)> m_Suspected;
};

/// Maintains one link to every other node: websocketpp connections that carry
/// CBOR messages.
///
/// Nodes learn the addresses of peers from the directory, from their settings
/// and from the handshakes of peers. A link on which nothing is received within
/// a timeout is closed, because a connection may stay open although the peer
/// is no longer reachable. The timeout follows from the interval of the peer's
/// heartbeats; probe() checks a peer sooner.
///
/// A connection may also become silent although new ones work. Before a link
/// times out, a standby connection is therefore opened; if the peer answers on
/// it, the link continues there.
class PeerLinks {
public:
  /// The account of the process's clients may be null.
  PeerLinks(EventLoop &Loop, NodeHello Self, PeerEvents Events,
            std::shared_ptr<ClientAccount> Account = nullptr);

  /// Starts to accept links. Fails with Unavailable.
  absl::Status listen(const Address &ListenAddress);

  /// Connects to an address, and reconnects whenever the link is lost.
  void addPeer(const Address &PeerAddress);

  /// Sends to a node. Has no effect if the node is not connected.
  template <WireMessage Type>
  void send(const std::string &Node, const Type &Msg) {
    sendBytes(Node, encode(Msg));
  }

  /// Sends to several nodes. Nodes that are not connected are skipped.
  template <WireMessage Type>
  void send(std::span<const std::string> Nodes, const Type &Msg) {
    std::string Bytes = encode(Msg);
    for (const std::string &Node : Nodes)
      sendBytes(Node, Bytes);
  }

  /// Sends to every connected node. Returns the number of nodes.
  template <WireMessage Type> std::size_t broadcast(const Type &Msg) {
    std::string Bytes = encode(Msg);
    for (const auto &[Node, Link] : m_Links)
      m_Transport.send(Link.m_Connection, Bytes);
    return m_Links.size();
  }

  bool isConnected(const std::string &Node) const {
    return m_Links.contains(Node);
  }
  std::size_t linkCount() const { return m_Links.size(); }

  /// Sets the timeout of a link from the interval of the peer's heartbeats, in
  /// milliseconds. Intervals out of range are clamped.
  void setHeartbeatInterval(const std::string &Node, double IntervalMs);
  /// Asks a node for its status and closes the link if nothing is received
  /// within the shortest timeout. Has no effect if the node was heard within
  /// that time or the link is being probed already.
  void probe(const std::string &Node);
  std::set<std::string> connectedNodes() const;
  /// Returns whether the node behind each address was linked at least once.
  bool knowsAllNodes() const;
  /// Returns whether a connection to every address was attempted at least once.
  bool triedAllAddresses() const;

private:
  struct Target {
    ConnectionId m_Connection = 0;
    double m_BackoffMs = 0;
    bool m_WasTried = false;
    std::string m_Node; ///< Last node seen at the address.
    EventLoop::Timer m_RetryTimer;
  };
  struct Link {
    ConnectionId m_Connection = 0;
    bool m_Outgoing = false;
    NodeHello m_Hello;
    TimePoint m_CreatedAt;
    TimePoint m_LastReceivedAt;
    double m_TimeoutMs = 0; ///< Maximum time without a message.
    bool m_IsSuspected = false;
    std::optional<TimePoint> m_ProbedAt; ///< Until a message is received.
    ConnectionId m_Standby = 0;          ///< 0 if there is none.

    void markReceived(TimePoint Now) {
      m_LastReceivedAt = Now;
      m_IsSuspected = false;
      m_ProbedAt.reset();
    }
    bool isTimedOut(TimePoint Now) const;
  };
  struct ConnectionState {
    bool m_Incoming = false;
    TimePoint m_CreatedAt;
    std::string m_Node; ///< Set by the handshake, also on a standby.
    std::string m_TargetAddress;
    std::string m_StandbyFor; ///< Node, if this is a standby connection.
  };

  /// Connects to an address as soon as few enough connections are in progress.
  void requestConnect(const std::string &PeerAddress);
  void connectDue();
  /// Returns whether the node has a link and states this address. The loss of
  /// the link then starts the next attempt.
  bool isAddressOfLink(const std::string &PeerAddress,
                       const std::string &Node) const;
  void connect(const std::string &PeerAddress);
  void scheduleReconnect(const std::string &PeerAddress);
  void onOpened(ConnectionId Id, bool Incoming);
  void onReceived(ConnectionId Id, const std::string &Bytes);
  void onHello(ConnectionId Id, const NodeHello &Hello);
  /// Handles a second connection to a node that already has a link. Returns
  /// true if the node has restarted and the connection needs a new link, false
  /// if the link is kept, on either of the two connections.
  bool resolveSecondConnection(ConnectionId Id, bool Outgoing,
                               const NodeHello &Hello);
  /// Drops a connection without the events of its loss.
  void forgetConnection(ConnectionId Id);
  /// Continues a link on another connection.
  void moveLink(Link &Moved, ConnectionId To, bool Outgoing);
  void closeRetired(TimePoint Now);
  void onClosed(ConnectionId Id, const std::string &Reason);
  void removeConnection(ConnectionId Id, const std::string &Reason);
  void checkTimeouts();
  void reportSuspects(TimePoint Now);
  void openStandby(const std::string &Node);
  void closeStandby(Link &Recovered);
  /// Returns whether the connection is a standby. If so, notes that the peer
  /// has answered on it.
  bool isStandbyHello(ConnectionState &Connection, const NodeHello &Hello);
  /// Returns the standby connection of a link if the peer has answered on it,
  /// otherwise null.
  ConnectionState *findReadyStandby(const Link &Suspect);
  /// Continues a link on its standby connection. Has no effect if the link is
  /// lost or has no standby on which the peer has answered.
  void switchToStandby(const std::string &Node);
  void sendBytes(const std::string &Node, std::string Bytes);
  NodeHello makeHello();

  EventLoop &m_Loop;
  NodeHello m_Self;
  PeerEvents m_Events;
  Log m_Log{"links"};
  std::map<std::string, Target> m_Targets; ///< By address.
  std::map<std::string, Link> m_Links;     ///< By node.
  DialQueue m_Dials;
  std::string m_LastNamedPeer; ///< In the handshakes of this node.
  std::map<ConnectionId, ConnectionState> m_Connections;
  /// Connections that were replaced by another one to the same node, with the
  /// time of replacement. Messages are still read from them for a time, because
  /// the peer may not have switched to the other connection yet.
  std::map<ConnectionId, TimePoint> m_Retired;
  TimePoint m_LastCheckAt;
  EventLoop::Timer m_CheckTimer;
  Transport m_Transport;
};

} // namespace auburnhub

#endif
