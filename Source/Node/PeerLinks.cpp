#include "auburnhub/Node/PeerLinks.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace auburnhub {
namespace {

/// Largest message between nodes, in bytes: a job of the largest body that
/// callers may send, or the list of all workers.
constexpr std::size_t MaxMessageBytes = 4U << 20U;

/// A link on which nothing arrived for so long is given up, in milliseconds:
/// several heartbeats, and well under the time after which a caller sends a
/// job again.
constexpr double SilenceMs = 700;

/// Time for connecting and greeting, in milliseconds.
constexpr double GreetingMs = 1000;

/// Time between two checks for silence, in milliseconds.
constexpr EventLoop::Duration CheckPeriod{100};

/// The process itself stood still if a check comes so late, in milliseconds;
/// what others have sent meanwhile is read first.
constexpr double StalledMs = 350;

/// Bounds of the pause before connecting again, in milliseconds.
constexpr double MinBackoffMs = 100;
constexpr double MaxBackoffMs = 1000;

/// Bytes that may wait on a link before it is given up.
constexpr std::size_t MaxQueuedBytes = 4U << 20U;

} // namespace

PeerLinks::PeerLinks(EventLoop &Loop, NodeHello Self, PeerEvents Events)
    : m_Loop(Loop), m_Self(std::move(Self)), m_Events(std::move(Events)),
      m_LastCheck(EventLoop::now()),
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
  m_Check = m_Loop.every(CheckPeriod, [this] { checkSilence(); });
}

absl::Status PeerLinks::listen(const Address &Where) {
  return m_Transport.listen(Where.m_Host, Where.m_Port).status();
}

void PeerLinks::keep(const Address &Where) {
  std::string Name = Where.str();
  if (Name == m_Self.m_LinkAddress || m_Targets.contains(Name))
    return;
  m_Targets[Name];
  connect(Name);
}

bool PeerLinks::triedAll() const {
  return std::all_of(m_Targets.begin(), m_Targets.end(),
                     [](const auto &Entry) { return Entry.second.m_Tried; });
}

void PeerLinks::connect(const std::string &Where) {
  Target &To = m_Targets[Where];
  if (To.m_Connection != 0 || m_Links.contains(To.m_Node))
    return;
  auto Parsed = parseAddress(Where);
  if (!Parsed.ok())
    return;
  To.m_Connection = m_Transport.connect(Parsed->m_Host, Parsed->m_Port);
  Pending &Added = m_Connections[To.m_Connection];
  Added.m_Since = EventLoop::now();
  Added.m_Target = Where;
}

void PeerLinks::retryLater(const std::string &Where) {
  Target &To = m_Targets[Where];
  To.m_BackoffMs = std::clamp(2 * To.m_BackoffMs, MinBackoffMs, MaxBackoffMs);
  To.m_Retry = m_Loop.once(
      EventLoop::Duration(static_cast<int>(To.m_BackoffMs)), [this, Where] {
        connect(Where);
        if (m_Targets[Where].m_Connection == 0)
          retryLater(Where);
      });
}

NodeHello PeerLinks::greeting() const {
  NodeHello Result = m_Self;
  for (const auto &[Node, Link] : m_Links)
    Result.m_KnownAddresses.push_back(Link.m_Hello.m_LinkAddress);
  return Result;
}

void PeerLinks::onOpened(ConnectionId Id, bool Incoming) {
  if (Incoming) {
    Pending &Added = m_Connections[Id];
    Added.m_Incoming = true;
    Added.m_Since = EventLoop::now();
  }
  m_Transport.send(Id, encode(greeting()));
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
  // A peer may still write to a connection that was given up for another one.
  auto Link = m_Links.find(Found->second.m_Node);
  if (Link == m_Links.end())
    return;
  Link->second.m_HeardAt = EventLoop::now();
  m_Events.m_Received(Link->first, *Received);
}

void PeerLinks::onHello(ConnectionId Id, const NodeHello &Hello) {
  Pending &Connection = m_Connections[Id];
  if (Hello.m_Node == m_Self.m_Node) {
    // An address that leads back to this node.
    m_Targets[Connection.m_Target].m_Tried = true;
    m_Targets[Connection.m_Target].m_Node = m_Self.m_Node;
    return;
  }
  Connection.m_Node = Hello.m_Node;
  bool Outgoing = !Connection.m_Incoming;
  if (Outgoing) {
    Target &To = m_Targets[Connection.m_Target];
    To.m_Tried = true;
    To.m_BackoffMs = 0;
    To.m_Node = Hello.m_Node;
  }
  if (m_Links.contains(Hello.m_Node) && !replace(Id, Outgoing, Hello))
    return;
  TimePoint Now = EventLoop::now();
  m_Links[Hello.m_Node] = {Id, Outgoing, Hello, Now, Now};
  m_Log.info("peer_up", {{"peer", Hello.m_Node},
                         {"incarnation", Hello.m_Incarnation},
                         {"links", m_Links.size()}});
  for (const std::string &Known : Hello.m_KnownAddresses)
    if (auto Parsed = parseAddress(Known); Parsed.ok())
      keep(*Parsed);
  if (auto Parsed = parseAddress(Hello.m_LinkAddress); Parsed.ok()) {
    m_Targets[Hello.m_LinkAddress].m_Node = Hello.m_Node;
    m_Targets[Hello.m_LinkAddress].m_Tried = true;
  }
  m_Events.m_Up(Hello);
}

bool PeerLinks::replace(ConnectionId Id, bool Outgoing,
                        const NodeHello &Hello) {
  Link &Known = m_Links.at(Hello.m_Node);
  ConnectionId Old = Known.m_Connection;
  bool SameLife = Known.m_Hello.m_Incarnation == Hello.m_Incarnation;
  double Age = millisecondsBetween(Known.m_Since, EventLoop::now());
  if (!SameLife || Age > GreetingMs) {
    // The peer has started anew, or has lost the link and greets again: what
    // was said on the old one may not have arrived.
    m_Links.erase(Hello.m_Node);
    m_Transport.close(Old);
    m_Events.m_Down(Hello.m_Node);
    return true;
  }
  // Of two links that were made at once both sides keep the one that the node
  // with the lower name opened.
  bool KeepOutgoing = m_Self.m_Node < Hello.m_Node;
  if (Known.m_Outgoing != Outgoing && Known.m_Outgoing == KeepOutgoing) {
    m_Retired[Id] = EventLoop::now();
    return false;
  }
  Known.m_Connection = Id;
  Known.m_Outgoing = Outgoing;
  Known.m_HeardAt = EventLoop::now();
  m_Retired[Old] = EventLoop::now();
  return false;
}

void PeerLinks::onClosed(ConnectionId Id, const std::string &Reason) {
  closed(Id, Reason);
}

void PeerLinks::closed(ConnectionId Id, const std::string &Reason) {
  auto Found = m_Connections.find(Id);
  if (Found == m_Connections.end())
    return;
  Pending Gone = Found->second;
  m_Connections.erase(Found);
  m_Retired.erase(Id);
  if (!Gone.m_Target.empty()) {
    Target &To = m_Targets[Gone.m_Target];
    To.m_Tried = true;
    if (To.m_Connection == Id)
      To.m_Connection = 0;
    retryLater(Gone.m_Target);
  }
  auto Link = m_Links.find(Gone.m_Node);
  if (Link == m_Links.end() || Link->second.m_Connection != Id)
    return;
  std::string Address = Link->second.m_Hello.m_LinkAddress;
  m_Links.erase(Link);
  m_Log.info(
      "peer_down",
      {{"peer", Gone.m_Node}, {"reason", Reason}, {"links", m_Links.size()}});
  if (m_Targets[Address].m_Connection == 0)
    retryLater(Address);
  m_Events.m_Down(Gone.m_Node);
}

void PeerLinks::checkSilence() {
  TimePoint Now = EventLoop::now();
  bool Stalled =
      millisecondsBetween(std::exchange(m_LastCheck, Now), Now) > StalledMs;
  if (Stalled)
    return;
  closeRetired(Now);
  std::vector<ConnectionId> Silent;
  for (const auto &[Node, Link] : m_Links)
    if (millisecondsBetween(Link.m_HeardAt, Now) > SilenceMs ||
        m_Transport.queuedBytes(Link.m_Connection) > MaxQueuedBytes)
      Silent.push_back(Link.m_Connection);
  for (const auto &[Id, Item] : m_Connections)
    if (Item.m_Node.empty() &&
        millisecondsBetween(Item.m_Since, Now) > GreetingMs)
      Silent.push_back(Id);
  for (ConnectionId Id : Silent) {
    m_Transport.abandon(Id);
    closed(Id, "silent");
  }
}

void PeerLinks::closeRetired(TimePoint Now) {
  std::vector<ConnectionId> Over;
  for (const auto &[Id, Since] : m_Retired)
    if (millisecondsBetween(Since, Now) > GreetingMs)
      Over.push_back(Id);
  for (ConnectionId Id : Over) {
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
