#include "auburnhub/Node/PeerLinks.h"

#include <utility>

/// \file
/// The part of PeerLinks that replaces silent connections.

namespace auburnhub {

void PeerLinks::openStandby(const std::string &Node) {
  auto Found = m_Links.find(Node);
  if (Found == m_Links.end())
    return;
  Link &Suspect = Found->second;
  auto Parsed = parseAddress(Suspect.m_Hello.m_LinkAddress);
  if (!Parsed.ok() || Suspect.m_Standby != 0)
    return;
  Suspect.m_Standby = m_Transport.connect(Parsed->m_Host, Parsed->m_Port);
  ConnectionState &Added = m_Connections[Suspect.m_Standby];
  Added.m_CreatedAt = EventLoop::now();
  Added.m_StandbyFor = Node;
}

void PeerLinks::closeStandby(Link &Recovered) {
  if (Recovered.m_Standby != 0)
    forgetConnection(std::exchange(Recovered.m_Standby, 0));
}

bool PeerLinks::isStandbyHello(ConnectionState &Connection,
                               const NodeHello &Hello) {
  if (Connection.m_StandbyFor.empty())
    return false;
  auto Found = m_Links.find(Connection.m_StandbyFor);
  if (Found != m_Links.end() && Hello.m_Node == Connection.m_StandbyFor &&
      Hello.m_Incarnation == Found->second.m_Hello.m_Incarnation)
    Connection.m_Node = Hello.m_Node;
  return true;
}

PeerLinks::ConnectionState *PeerLinks::findReadyStandby(const Link &Suspect) {
  auto Found = m_Connections.find(Suspect.m_Standby);
  bool IsReady = Found != m_Connections.end() && !Found->second.m_Node.empty();
  return IsReady ? &Found->second : nullptr;
}

void PeerLinks::switchToStandby(const std::string &Node) {
  auto Found = m_Links.find(Node);
  if (Found == m_Links.end())
    return;
  Link &Silent = Found->second;
  ConnectionState *State = findReadyStandby(Silent);
  if (!State) {
    // The next check closes the link.
    m_Log.info("standby_lost", {{"peer", Node}});
    return;
  }
  State->m_StandbyFor.clear();
  ConnectionId Old = Silent.m_Connection;
  ConnectionId Standby = std::exchange(Silent.m_Standby, 0);
  forgetConnection(Old);
  moveLink(Silent, Standby, /*Outgoing=*/true);
  m_Transport.send(Standby, encode(makeHello()));
  NodeHello Hello = Silent.m_Hello;
  m_Events.m_Reconnected(Hello);
}

} // namespace auburnhub
