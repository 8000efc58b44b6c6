#include "auburnhub/Node/DocumentExchange.h"

#include <algorithm>
#include <utility>

namespace auburnhub {
namespace {

/// Timeout of a request to one peer, in milliseconds: ten times the transfer
/// time of the list of all workers on a slow link.
constexpr double RequestTimeoutMs = 600;

/// Bytes of documents that a node sends at once after it has sent none for a
/// time: a large configuration to each of a dozen nodes.
constexpr double MaxBudgetBytes = 3e6;

/// Bytes of documents per millisecond that a node sends: less than half of what
/// a slow link carries.
constexpr double BudgetBytesPerMs = 1000;

} // namespace

void DocumentExchange::set(const std::string &Name, std::uint64_t Version,
                           TextSource Source) {
  auto [It, Added] = m_Documents.try_emplace(Name);
  if (!Added && It->second.m_Document.m_Version == Version)
    return;
  It->second = {{Name, Version, {}}, std::move(Source)};
}

std::uint64_t DocumentExchange::version(const std::string &Name) const {
  auto Found = m_Documents.find(Name);
  return Found == m_Documents.end() ? 0 : Found->second.m_Document.m_Version;
}

std::map<std::string, std::uint64_t> DocumentExchange::versions() const {
  std::map<std::string, std::uint64_t> Result;
  for (const auto &[Name, Stored] : m_Documents)
    Result[Name] = Stored.m_Document.m_Version;
  return Result;
}

const Document *DocumentExchange::findNewer(TimePoint Now,
                                            const DocumentRequest &Msg) {
  auto Found = m_Documents.find(Msg.m_Name);
  if (Found == m_Documents.end() ||
      Found->second.m_Document.m_Version <= Msg.m_NewerThan)
    return nullptr;
  StoredDocument &Stored = Found->second;
  if (TextSource Source = std::exchange(Stored.m_Source, nullptr))
    Stored.m_Document.m_Text = Source();
  return takeBudget(Now, Stored.m_Document.m_Text.size()) ? &Stored.m_Document
                                                          : nullptr;
}

bool DocumentExchange::takeBudget(TimePoint Now, std::size_t Bytes) {
  if (m_BudgetAt)
    m_BudgetBytes += BudgetBytesPerMs * millisecondsBetween(*m_BudgetAt, Now);
  if (!m_BudgetAt || m_BudgetBytes > MaxBudgetBytes)
    m_BudgetBytes = MaxBudgetBytes;
  m_BudgetAt = Now;
  // A document larger than the budget is sent when the budget is full.
  if (m_BudgetBytes < std::min(static_cast<double>(Bytes), MaxBudgetBytes))
    return false;
  m_BudgetBytes -= static_cast<double>(Bytes);
  return true;
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
