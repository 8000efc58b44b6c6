#include "auburnhub/Node/PeerLinks.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// Maximum size of a message between nodes, in bytes: fits a job with the
/// largest body that callers may send, and the list of all workers.
constexpr std::size_t MaxMessageBytes = 4U << 20U;

/// A link on which nothing is received for this number of heartbeat intervals
/// is closed, so that two heartbeats may be lost or late.
constexpr double TimeoutIntervals = 3.5;

/// Shortest timeout of a link, in milliseconds: well below the time after which
/// a caller retries a job.
constexpr double MinTimeoutMs = 700;

/// Longest timeout of a link, in milliseconds, whatever interval a peer states.
constexpr double MaxTimeoutMs = 20000;

/// A link is suspected when nothing was received for this part of its timeout:
/// two heartbeats are missing then, and a standby connection can still be
/// opened before the link times out.
constexpr double SuspectedShare = 0.6;

/// Timeout for connecting and the handshake, in milliseconds. Two connections
/// to the same node within this time are treated as opened simultaneously.
constexpr double HandshakeTimeoutMs = 1000;

/// Period of the timeout checks, in milliseconds.
constexpr EventLoop::Duration CheckPeriod{100};

/// The process is considered to have stalled if the time between two checks
/// exceeds this limit, in milliseconds. That check is skipped, so that messages
/// received during the stall are read first.
constexpr double StalledMs = 350;

/// Bounds of the reconnect backoff, in milliseconds.
constexpr double MinBackoffMs = 100;
constexpr double MaxBackoffMs = 1000;

/// Maximum number of bytes queued on a link before it is closed.
constexpr std::size_t MaxQueuedBytes = 4U << 20U;

/// Maximum number of peers' addresses in a handshake. Each handshake names the
/// next ones, so that all are soon known everywhere and the bytes of all
/// handshakes of a node grow with the number of nodes, not with its square.
constexpr std::size_t MaxKnownAddresses = 32;

} // namespace

bool PeerLinks::Link::isTimedOut(TimePoint Now) const {
  return millisecondsBetween(m_LastReceivedAt, Now) > m_TimeoutMs ||
         (m_ProbedAt && millisecondsBetween(*m_ProbedAt, Now) > MinTimeoutMs);
}

PeerLinks::PeerLinks(EventLoop &Loop, NodeHello Self, PeerEvents Events,
                     std::shared_ptr<ClientAccount> Account)
    : m_Loop(Loop), m_Self(std::move(Self)), m_Events(std::move(Events)),
      m_Dials(m_Self.m_LinkAddress), m_LastCheckAt(EventLoop::now()),
      m_Transport(
          MaxMessageBytes,
          {[this](ConnectionId Id, bool Incoming) { onOpened(Id, Incoming); },
           [this](ConnectionId Id, const std::string &Bytes) {
             onReceived(Id, Bytes);
           },
           [this](ConnectionId Id, const std::string &Reason) {
             onClosed(Id, Reason);
           }},
          Loop.io()) {
  m_Transport.setAccount(std::move(Account));
  m_CheckTimer = m_Loop.every(CheckPeriod, [this] { checkTimeouts(); });
}

absl::Status PeerLinks::listen(const Address &ListenAddress) {
  return m_Transport.listen(ListenAddress.m_Host, ListenAddress.m_Port)
      .status();
}

void PeerLinks::addPeer(const Address &PeerAddress) {
  std::string Name = PeerAddress.str();
  if (Name == m_Self.m_LinkAddress || m_Targets.contains(Name))
    return;
  m_Targets[Name];
  requestConnect(Name);
}

bool PeerLinks::triedAllAddresses() const {
  return std::all_of(m_Targets.begin(), m_Targets.end(),
                     [](const auto &Entry) { return Entry.second.m_WasTried; });
}

std::set<std::string> PeerLinks::connectedNodes() const {
  std::set<std::string> Result;
  for (const auto &[Node, Link] : m_Links)
    Result.insert(Node);
  return Result;
}

bool PeerLinks::knowsAllNodes() const {
  return std::none_of(
      m_Targets.begin(), m_Targets.end(),
      [](const auto &Entry) { return Entry.second.m_Node.empty(); });
}

void PeerLinks::requestConnect(const std::string &PeerAddress) {
  const Target &To = m_Targets[PeerAddress];
  if (To.m_Connection != 0 || m_Links.contains(To.m_Node))
    return;
  m_Dials.add(PeerAddress, To.m_BackoffMs > 0);
  connectDue();
}

bool PeerLinks::isAddressOfLink(const std::string &PeerAddress,
                                const std::string &Node) const {
  auto Found = m_Links.find(Node);
  return Found != m_Links.end() &&
         Found->second.m_Hello.m_LinkAddress == PeerAddress;
}

void PeerLinks::connectDue() {
  std::vector<std::string> Due;
  while (!(Due = m_Dials.takeDue(EventLoop::now())).empty())
    for (const std::string &PeerAddress : Due)
      connect(PeerAddress);
}

void PeerLinks::connect(const std::string &PeerAddress) {
  Target &To = m_Targets[PeerAddress];
  auto Parsed = parseAddress(PeerAddress);
  // The peer may have connected to this node meanwhile.
  if (To.m_Connection != 0 || m_Links.contains(To.m_Node) || !Parsed.ok()) {
    m_Dials.ended(PeerAddress);
    if (To.m_BackoffMs > 0 && !isAddressOfLink(PeerAddress, To.m_Node))
      scheduleReconnect(PeerAddress);
    return;
  }
  To.m_Connection = m_Transport.connect(Parsed->m_Host, Parsed->m_Port);
  ConnectionState &Added = m_Connections[To.m_Connection];
  Added.m_CreatedAt = EventLoop::now();
  Added.m_TargetAddress = PeerAddress;
}

void PeerLinks::scheduleReconnect(const std::string &PeerAddress) {
  Target &To = m_Targets[PeerAddress];
  To.m_BackoffMs = std::clamp(2 * To.m_BackoffMs, MinBackoffMs, MaxBackoffMs);
  To.m_RetryTimer = m_Loop.once(
      EventLoop::Duration(static_cast<int>(To.m_BackoffMs)),
      [this, PeerAddress] {
        requestConnect(PeerAddress);
        const Target &To = m_Targets[PeerAddress];
        if (To.m_Connection == 0 && !m_Dials.isWaiting(PeerAddress) &&
            !isAddressOfLink(PeerAddress, To.m_Node))
          scheduleReconnect(PeerAddress);
      });
}

NodeHello PeerLinks::makeHello() {
  NodeHello Result = m_Self;
  std::size_t Count = std::min(m_Links.size(), MaxKnownAddresses);
  auto Next = m_Links.upper_bound(m_LastNamedPeer);
  for (std::size_t I = 0; I < Count; ++I, ++Next) {
    if (Next == m_Links.end())
      Next = m_Links.begin();
    Result.m_KnownAddresses.push_back(Next->second.m_Hello.m_LinkAddress);
    m_LastNamedPeer = Next->first;
  }
  return Result;
}

void PeerLinks::onOpened(ConnectionId Id, bool Incoming) {
  if (Incoming) {
    ConnectionState &Added = m_Connections[Id];
    Added.m_Incoming = true;
    Added.m_CreatedAt = EventLoop::now();
  }
  // A handshake on a standby connection would make the peer switch to it.
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end() || !Found->second.m_StandbyFor.empty())
    return;
  m_Transport.send(Id, encode(makeHello()));
}

void PeerLinks::onReceived(ConnectionId Id, const std::string &Bytes) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  absl::StatusOr<Envelope> Received = decodeEnvelope(Bytes);
  if (!Received.ok()) {
    m_Log.warning("bad_message",
                  {{"peer", Found->second.m_Node},
                   {"detail", failureDetail(Received.status())}});
    return;
  }
  if (Received->m_Type == NodeHello::TypeName) {
    auto Hello = decode<NodeHello>(*Received);
    if (Hello.ok())
      onHello(Id, *Hello);
    return;
  }
  // The connection may be a retired one that the peer still writes to, so look
  // up the link by node.
  auto Link = m_Links.find(Found->second.m_Node);
  if (Link == m_Links.end())
    return;
  Link->second.markReceived(EventLoop::now());
  closeStandby(Link->second);
  std::string From = Link->first;
  m_Events.m_Received(From, *Received);
}

void PeerLinks::onHello(ConnectionId Id, const NodeHello &Hello) {
  ConnectionState &Connection = m_Connections[Id];
  if (Hello.m_Node == m_Self.m_Node) {
    // The address belongs to this node.
    m_Targets[Connection.m_TargetAddress].m_WasTried = true;
    m_Targets[Connection.m_TargetAddress].m_Node = m_Self.m_Node;
    return;
  }
  if (isStandbyHello(Connection, Hello))
    return;
  Connection.m_Node = Hello.m_Node;
  m_Transport.admit(Id);
  bool Outgoing = !Connection.m_Incoming;
  if (Outgoing) {
    Target &To = m_Targets[Connection.m_TargetAddress];
    To.m_WasTried = true;
    To.m_BackoffMs = 0;
    To.m_Node = Hello.m_Node;
    m_Dials.ended(Connection.m_TargetAddress);
  }
  if (m_Links.contains(Hello.m_Node) &&
      !resolveSecondConnection(Id, Outgoing, Hello))
    return;
  TimePoint Now = EventLoop::now();
  Link Added;
  Added.m_Connection = Id;
  Added.m_Outgoing = Outgoing;
  Added.m_Hello = Hello;
  Added.m_CreatedAt = Now;
  Added.m_LastReceivedAt = Now;
  Added.m_TimeoutMs = MinTimeoutMs;
  m_Links[Hello.m_Node] = std::move(Added);
  m_Log.info("peer_up", {{"peer", Hello.m_Node},
                         {"incarnation", Hello.m_Incarnation},
                         {"links", m_Links.size()}});
  for (const std::string &KnownAddress : Hello.m_KnownAddresses)
    if (auto Parsed = parseAddress(KnownAddress); Parsed.ok())
      addPeer(*Parsed);
  if (auto Parsed = parseAddress(Hello.m_LinkAddress); Parsed.ok()) {
    m_Targets[Hello.m_LinkAddress].m_Node = Hello.m_Node;
    m_Targets[Hello.m_LinkAddress].m_WasTried = true;
  }
  m_Events.m_Connected(Hello);
}

bool PeerLinks::resolveSecondConnection(ConnectionId Id, bool Outgoing,
                                        const NodeHello &Hello) {
  Link &Existing = m_Links.at(Hello.m_Node);
  ConnectionId Old = Existing.m_Connection;
  bool SameIncarnation = Existing.m_Hello.m_Incarnation == Hello.m_Incarnation;
  double AgeMs = millisecondsBetween(Existing.m_CreatedAt, EventLoop::now());
  closeStandby(Existing);
  if (!SameIncarnation) {
    m_Links.erase(Hello.m_Node);
    // What the earlier incarnation has sent must not pass for the new one's.
    forgetConnection(Old);
    m_Events.m_Disconnected(Hello.m_Node);
    return true;
  }
  if (AgeMs > HandshakeTimeoutMs) {
    // The peer has lost the link and reconnected. Messages sent on the old
    // connection may be lost.
    moveLink(Existing, Id, Outgoing);
    forgetConnection(Old);
    m_Events.m_Reconnected(Hello);
    return false;
  }
  // If both nodes connect at the same time, both sides keep the connection
  // opened by the node with the lower name.
  bool KeepOutgoing = m_Self.m_Node < Hello.m_Node;
  if (Existing.m_Outgoing != Outgoing && Existing.m_Outgoing == KeepOutgoing) {
    m_Retired[Id] = EventLoop::now();
    return false;
  }
  Existing.m_Connection = Id;
  Existing.m_Outgoing = Outgoing;
  Existing.markReceived(EventLoop::now());
  m_Retired[Old] = EventLoop::now();
  return false;
}

void PeerLinks::forgetConnection(ConnectionId Id) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  if (auto To = m_Targets.find(Found->second.m_TargetAddress);
      To != m_Targets.end() && To->second.m_Connection == Id)
    To->second.m_Connection = 0;
  m_Connections.erase(Found);
  m_Retired.erase(Id);
  m_Transport.abandon(Id);
}

void PeerLinks::moveLink(Link &Moved, ConnectionId To, bool Outgoing) {
  TimePoint Now = EventLoop::now();
  Moved.m_Connection = To;
  Moved.m_Outgoing = Outgoing;
  Moved.m_CreatedAt = Now;
  Moved.m_TimeoutMs = MinTimeoutMs;
  Moved.markReceived(Now);
  m_Log.info("peer_reconnected",
             {{"peer", Moved.m_Hello.m_Node}, {"outgoing", Outgoing}});
}

void PeerLinks::onClosed(ConnectionId Id, const std::string &Reason) {
  removeConnection(Id, Reason);
}

void PeerLinks::removeConnection(ConnectionId Id, const std::string &Reason) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  ConnectionState Closed = Found->second;
  m_Connections.erase(Found);
  m_Retired.erase(Id);
  if (!Closed.m_StandbyFor.empty()) {
    auto Suspect = m_Links.find(Closed.m_StandbyFor);
    if (Suspect != m_Links.end() && Suspect->second.m_Standby == Id)
      Suspect->second.m_Standby = 0;
    return;
  }
  if (!Closed.m_TargetAddress.empty()) {
    Target &To = m_Targets[Closed.m_TargetAddress];
    To.m_WasTried = true;
    if (To.m_Connection == Id)
      To.m_Connection = 0;
    m_Dials.ended(Closed.m_TargetAddress);
    scheduleReconnect(Closed.m_TargetAddress);
  }
  auto Link = m_Links.find(Closed.m_Node);
  if (Link == m_Links.end() || Link->second.m_Connection != Id)
    return;
  std::string Address = Link->second.m_Hello.m_LinkAddress;
  closeStandby(Link->second);
  m_Links.erase(Link);
  m_Log.info(
      "peer_down",
      {{"peer", Closed.m_Node}, {"reason", Reason}, {"links", m_Links.size()}});
  if (m_Targets[Address].m_Connection == 0)
    scheduleReconnect(Address);
  m_Events.m_Disconnected(Closed.m_Node);
}

void PeerLinks::checkTimeouts() {
  TimePoint Now = EventLoop::now();
  bool Stalled =
      millisecondsBetween(std::exchange(m_LastCheckAt, Now), Now) > StalledMs;
  if (Stalled)
    return;
  connectDue();
  closeRetired(Now);
  reportSuspects(Now);
  std::vector<ConnectionId> ToClose;
  std::vector<std::string> ToSwitch;
  for (const auto &[Node, Link] : m_Links)
    if (Link.isTimedOut(Now) && findReadyStandby(Link))
      ToSwitch.push_back(Node);
    else if (Link.isTimedOut(Now) ||
             m_Transport.queuedBytes(Link.m_Connection) > MaxQueuedBytes)
      ToClose.push_back(Link.m_Connection);
  for (const auto &[Id, State] : m_Connections)
    if (State.m_Node.empty() &&
        millisecondsBetween(State.m_CreatedAt, Now) > HandshakeTimeoutMs)
      ToClose.push_back(Id);
  for (ConnectionId Id : ToClose) {
    m_Transport.abandon(Id);
    removeConnection(Id, "silent");
  }
  for (const std::string &Node : ToSwitch)
    switchToStandby(Node);
}

void PeerLinks::reportSuspects(TimePoint Now) {
  std::vector<std::string> Suspects;
  for (auto &[Node, Link] : m_Links)
    if (millisecondsBetween(Link.m_LastReceivedAt, Now) >
            SuspectedShare * Link.m_TimeoutMs &&
        !std::exchange(Link.m_IsSuspected, true))
      Suspects.push_back(Node);
  for (const std::string &Node : Suspects) {
    openStandby(Node);
    probe(Node);
    m_Events.m_Suspected(Node);
  }
}

void PeerLinks::setHeartbeatInterval(const std::string &Node,
                                     double IntervalMs) {
  auto Found = m_Links.find(Node);
  if (Found == m_Links.end() || !std::isfinite(IntervalMs))
    return;
  Found->second.m_TimeoutMs =
      std::clamp(TimeoutIntervals * IntervalMs, MinTimeoutMs, MaxTimeoutMs);
}

void PeerLinks::probe(const std::string &Node) {
  auto Found = m_Links.find(Node);
  if (Found == m_Links.end())
    return;
  Link &Target = Found->second;
  TimePoint Now = EventLoop::now();
  if (Target.m_ProbedAt ||
      millisecondsBetween(Target.m_LastReceivedAt, Now) < MinTimeoutMs)
    return;
  Target.m_ProbedAt = Now;
  send(Node, StatusRequest{});
}

void PeerLinks::closeRetired(TimePoint Now) {
  std::vector<ConnectionId> Expired;
  for (const auto &[Id, Since] : m_Retired)
    if (millisecondsBetween(Since, Now) > HandshakeTimeoutMs)
      Expired.push_back(Id);
  for (ConnectionId Id : Expired) {
    m_Retired.erase(Id);
    m_Transport.close(Id);
  }
}

void PeerLinks::sendBytes(const std::string &Node, std::string Bytes) {
  auto Found = m_Links.find(Node);
  if (Found != m_Links.end())
    m_Transport.send(Found->second.m_Connection, std::move(Bytes));
}

} // namespace auburnhub
