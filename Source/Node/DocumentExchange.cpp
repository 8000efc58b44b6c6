#include "auburnhub/Node/DocumentExchange.h"

#include <utility>

namespace auburnhub {
namespace {

/// Timeout of a request to one peer, in milliseconds: ten times the transfer
/// time of the list of all workers on a slow link.
constexpr double RequestTimeoutMs = 600;

} // namespace

void DocumentExchange::set(const std::string &Name, std::uint64_t Version,
                           std::string Text) {
  m_Documents[Name] = {Name, Version, std::move(Text)};
}

std::uint64_t DocumentExchange::version(const std::string &Name) const {
  auto Found = m_Documents.find(Name);
  return Found == m_Documents.end() ? 0 : Found->second.m_Version;
}

std::map<std::string, std::uint64_t> DocumentExchange::versions() const {
  std::map<std::string, std::uint64_t> Result;
  for (const auto &[Name, Stored] : m_Documents)
    Result[Name] = Stored.m_Version;
  return Result;
}

const Document *DocumentExchange::findNewer(const DocumentRequest &Msg) const {
  auto Found = m_Documents.find(Msg.m_Name);
  bool IsNewer =
      Found != m_Documents.end() && Found->second.m_Version > Msg.m_NewerThan;
  return IsNewer ? &Found->second : nullptr;
}

void DocumentExchange::setPeerVersions(
    const std::string &Node,
    const std::map<std::string, std::uint64_t> &Versions) {
  m_PeerVersions[Node] = Versions;
}

void DocumentExchange::removePeer(const std::string &Node) {
  m_PeerVersions.erase(Node);
  for (auto &[Name, Pending] : m_PendingRequests)
    if (Pending.m_RequestedPeer == Node)
      Pending.m_RequestedPeer.clear();
}

void DocumentExchange::requestNewer(TimePoint Now, const std::string &Name) {
  auto [It, Added] = m_PendingRequests.try_emplace(Name);
  if (It->second.m_RequestedPeer.empty())
    sendRequest(Now, Name, It->second);
}

void DocumentExchange::sendRequest(TimePoint Now, const std::string &Name,
                                   PendingRequest &Pending) {
  std::uint64_t BestVersion = version(Name);
  for (const auto &[Node, Versions] : m_PeerVersions) {
    auto Found = Versions.find(Name);
    if (Found == Versions.end() || Found->second <= BestVersion ||
        Pending.m_UnresponsivePeers.contains(Node))
      continue;
    BestVersion = Found->second;
    Pending.m_RequestedPeer = Node;
  }
  if (Pending.m_RequestedPeer.empty()) {
    // Every peer with a newer version has timed out, or there is none: the next
    // retry considers all peers again.
    Pending.m_UnresponsivePeers.clear();
    return;
  }
  Pending.m_SentAt = Now;
  m_SendRequest(Pending.m_RequestedPeer, {Name, version(Name)});
}

bool DocumentExchange::receive(const Document &Msg) {
  m_PendingRequests.erase(Msg.m_Name);
  return Msg.m_Version > version(Msg.m_Name);
}

void DocumentExchange::retryTimedOut(TimePoint Now) {
  for (auto &[Name, Pending] : m_PendingRequests) {
    if (!Pending.m_RequestedPeer.empty() &&
        millisecondsBetween(Pending.m_SentAt, Now) < RequestTimeoutMs)
      continue;
    if (!Pending.m_RequestedPeer.empty())
      Pending.m_UnresponsivePeers.insert(
          std::exchange(Pending.m_RequestedPeer, {}));
    sendRequest(Now, Name, Pending);
  }
}

} // namespace auburnhub
