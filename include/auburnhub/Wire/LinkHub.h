#ifndef AUBURNHUB_WIRE_LINKHUB_H
#define AUBURNHUB_WIRE_LINKHUB_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/SerialTask.h"
#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Wire/Transport.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace auburnhub {

/// A peer process that has said hello. The id is valid from PeerUp to
/// PeerDown and is never used twice.
using PeerId = ConnectionId;

/// What a LinkHub tells its owner, always on the owner's task.
struct LinkEvents {
  std::function<void(PeerId, const Hello &)> m_PeerUp;
  std::function<void(PeerId, const Hello &)> m_PeerDown;
  std::function<void(PeerId, const Envelope &)> m_Received;
};

/// Keeps typed connections to other processes of the system.
///
/// The owner is a part with a SerialTask. It says which addresses to stay
/// connected to; the hub connects, greets, and reconnects with backoff. Peers
/// may also connect to us after listen(). All functions but the constructor
/// and stop() are called on the owner's task. Malformed messages are answered
/// with Reject and logged; a peer of an unsupported schema version is refused.
class LinkHub {
public:
  LinkHub(SerialTask &Owner, TimerService &Timers, Hello Self,
          LinkEvents Events);
  ~LinkHub();

  /// Accepts connections; returns the port. Fails with Unavailable.
  absl::StatusOr<std::uint16_t> listen(const Address &Where);

  /// Changes what later greetings say of this process.
  void setSelf(Hello Self) { m_Self = std::move(Self); }

  /// Stays connected to an address until forget().
  void keep(const Address &Where);
  void forget(const Address &Where);

  /// Stays connected to exactly these addresses.
  void keepOnly(const std::set<Address> &Wanted);

  template <WireMessage Type> void send(PeerId Peer, const Type &Msg) {
    m_Transport.send(Peer, encode(Msg));
  }

  /// Closes the connection to a peer; PeerDown follows.
  void drop(PeerId Peer) { m_Transport.close(Peer); }

  /// Returns the peers that are up, by id.
  const std::map<PeerId, Hello> &peers() const { return m_Peers; }

  TransportTraffic traffic() const { return m_Transport.traffic(); }

  /// Ends all connections; no event follows.
  void stop();

private:
  struct Target {
    ConnectionId m_Connection = 0;
    Milliseconds m_Backoff{0};
  };

  void connect(const Address &Where);
  void onOpened(ConnectionId Connection);
  void onReceived(ConnectionId Connection, const std::string &Data);
  void onHello(ConnectionId Connection, const Envelope &Received);
  void onClosed(ConnectionId Connection, const std::string &Reason);
  void reconnectLater(const Address &Where);
  void reject(ConnectionId Connection, const absl::Status &Why);

  SerialTask &m_Owner;
  TimerService &m_Timers;
  Hello m_Self;
  LinkEvents m_Events;
  Log m_Log{"links"};
  std::map<Address, Target> m_Targets;
  std::map<ConnectionId, Address> m_Outgoing;
  std::map<PeerId, Hello> m_Peers;
  Transport m_Transport;
};

} // namespace auburnhub

#endif
