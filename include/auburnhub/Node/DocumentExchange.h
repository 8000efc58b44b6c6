#ifndef AUBURNHUB_NODE_DOCUMENTEXCHANGE_H
#define AUBURNHUB_NODE_DOCUMENTEXCHANGE_H

#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburnhub {

/// Stores documents and exchanges them with peers while the platform is
/// unreachable.
///
/// Documents may be large and links slow, so a document is requested from one
/// peer at a time: the one with the newest version, then another one if it does
/// not answer in time.
class DocumentExchange {
public:
  using RequestSender =
      std::function<void(const std::string &Node, const DocumentRequest &)>;

  explicit DocumentExchange(RequestSender Sender)
      : m_SendRequest(std::move(Sender)) {}

  void set(const std::string &Name, std::uint64_t Version, std::string Text);
  /// Returns the version of the local document, or 0 if there is none.
  std::uint64_t version(const std::string &Name) const;
  std::map<std::string, std::uint64_t> versions() const;
  /// Returns the requested document if it is newer than the peer's version,
  /// otherwise null.
  const Document *findNewer(const DocumentRequest &Msg) const;

  // Versions at peers.
  void setPeerVersions(const std::string &Node,
                       const std::map<std::string, std::uint64_t> &Versions);
  void removePeer(const std::string &Node);

  /// Requests a version newer than the local one from a peer. If no peer has
  /// one, retryTimedOut() tries again.
  void requestNewer(TimePoint Now, const std::string &Name);
  /// Ends the pending request for a received document. Returns whether the
  /// document is newer than the local one; it is not stored.
  bool receive(const Document &Msg);
  /// Sends requests that have timed out or have no peer yet to another peer.
  /// Called periodically.
  void retryTimedOut(TimePoint Now);

private:
  struct PendingRequest {
    std::string m_RequestedPeer; ///< Empty if no request is in flight.
    TimePoint m_SentAt;
    /// Peers whose request timed out.
    std::set<std::string> m_UnresponsivePeers;
  };

  void sendRequest(TimePoint Now, const std::string &Name,
                   PendingRequest &Pending);

  RequestSender m_SendRequest;
  std::map<std::string, Document> m_Documents;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_PeerVersions;
  std::map<std::string, PendingRequest> m_PendingRequests; ///< By document.
};

} // namespace auburnhub

#endif
