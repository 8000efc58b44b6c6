#include "auburnhub/Wire/LinkHub.h"

#include <algorithm>

namespace auburnhub {
namespace {

/// Above the largest submission, 1,000 tasks within the entry's body limit.
constexpr std::size_t MaxMessageBytes = std::size_t{40} << 20;
constexpr Milliseconds FirstBackoff{50};
constexpr Milliseconds LongestBackoff{1000};

} // namespace

LinkHub::LinkHub(SerialTask &Owner, TimerService &Timers, Hello Self,
                 LinkEvents Events)
    : m_Owner(Owner), m_Timers(Timers), m_Self(std::move(Self)),
      m_Events(std::move(Events)),
      m_Transport(MaxMessageBytes,
                  TransportEvents{
                      [this](ConnectionId Id, bool) {
                        m_Owner.post([this, Id] { onOpened(Id); });
                      },
                      [this](ConnectionId Id, std::string Data) {
                        m_Owner.post([this, Id, Data = std::move(Data)] {
                          onReceived(Id, Data);
                        });
                      },
                      [this](ConnectionId Id, std::string Reason) {
                        m_Owner.post([this, Id, Reason = std::move(Reason)] {
                          onClosed(Id, Reason);
                        });
                      }}) {}

LinkHub::~LinkHub() { stop(); }

absl::StatusOr<std::uint16_t> LinkHub::listen(const Address &Where) {
  return m_Transport.listen(Where.m_Host, Where.m_Port);
}

void LinkHub::keep(const Address &Where) {
  if (m_Targets.try_emplace(Where).second)
    connect(Where);
}

void LinkHub::forget(const Address &Where) {
  auto Found = m_Targets.find(Where);
  if (Found == m_Targets.end())
    return;
  ConnectionId Connection = Found->second.m_Connection;
  m_Targets.erase(Found);
  m_Transport.close(Connection);
}

void LinkHub::keepOnly(const std::set<Address> &Wanted) {
  std::vector<Address> Unwanted;
  for (const auto &[Where, Unused] : m_Targets)
    if (!Wanted.contains(Where))
      Unwanted.push_back(Where);
  for (const Address &Where : Unwanted)
    forget(Where);
  for (const Address &Where : Wanted)
    keep(Where);
}

void LinkHub::stop() { m_Transport.stop(); }

void LinkHub::connect(const Address &Where) {
  auto Found = m_Targets.find(Where);
  if (Found == m_Targets.end())
    return;
  ConnectionId Id = m_Transport.connect(Where.m_Host, Where.m_Port);
  Found->second.m_Connection = Id;
  m_Outgoing[Id] = Where;
}

void LinkHub::onOpened(ConnectionId Connection) {
  // The address may have been forgotten while the connection was made.
  auto Outgoing = m_Outgoing.find(Connection);
  if (Outgoing != m_Outgoing.end() && !m_Targets.contains(Outgoing->second)) {
    m_Transport.close(Connection);
    return;
  }
  m_Transport.send(Connection, encode(m_Self));
}

void LinkHub::onReceived(ConnectionId Connection, const std::string &Data) {
  absl::StatusOr<Envelope> Received = decodeEnvelope(Data);
  if (!Received.ok()) {
    reject(Connection, Received.status());
    if (failureCode(Received.status()) == FailureCode::UnsupportedSchema)
      m_Transport.close(Connection);
    return;
  }
  if (Received->m_Type == Hello::TypeName) {
    onHello(Connection, *Received);
    return;
  }
  if (!m_Peers.contains(Connection)) {
    reject(Connection,
           makeFailure(FailureCode::BadMessage, "a hello must come first"));
    return;
  }
  m_Events.m_Received(Connection, *Received);
}

void LinkHub::onHello(ConnectionId Connection, const Envelope &Received) {
  absl::StatusOr<Hello> Greeting = decode<Hello>(Received);
  if (!Greeting.ok()) {
    reject(Connection, Greeting.status());
    return;
  }
  auto Outgoing = m_Outgoing.find(Connection);
  if (Outgoing != m_Outgoing.end()) {
    auto Found = m_Targets.find(Outgoing->second);
    if (Found != m_Targets.end())
      Found->second.m_Backoff = Milliseconds::zero();
  }
  bool IsNew = m_Peers.insert_or_assign(Connection, *Greeting).second;
  if (!IsNew)
    return;
  m_Log.debug("peer_up", toJson(*Greeting));
  m_Events.m_PeerUp(Connection, *Greeting);
}

void LinkHub::onClosed(ConnectionId Connection, const std::string &Reason) {
  auto Peer = m_Peers.find(Connection);
  if (Peer != m_Peers.end()) {
    Hello Greeting = Peer->second;
    m_Peers.erase(Peer);
    m_Log.debug("peer_down", {{"peer", Greeting.m_Vm},
                              {"role", Greeting.m_Role},
                              {"reason", Reason}});
    m_Events.m_PeerDown(Connection, Greeting);
  }
  auto Outgoing = m_Outgoing.find(Connection);
  if (Outgoing == m_Outgoing.end())
    return;
  Address Where = Outgoing->second;
  m_Outgoing.erase(Outgoing);
  reconnectLater(Where);
}

void LinkHub::reconnectLater(const Address &Where) {
  auto Found = m_Targets.find(Where);
  if (Found == m_Targets.end())
    return;
  Milliseconds &Backoff = Found->second.m_Backoff;
  Backoff = std::clamp(Backoff * 2, FirstBackoff, LongestBackoff);
  m_Timers.once(Backoff, m_Owner, [this, Where] { connect(Where); });
}

void LinkHub::reject(ConnectionId Connection, const absl::Status &Why) {
  Reject Reply;
  Reply.m_Failure = failureName(failureCode(Why));
  Reply.m_Detail = failureDetail(Why);
  m_Log.warning("message_rejected", {{"connection", Connection},
                                     {"failure", Reply.m_Failure},
                                     {"detail", Reply.m_Detail}});
  m_Transport.send(Connection, encode(Reply));
}

} // namespace auburnhub
