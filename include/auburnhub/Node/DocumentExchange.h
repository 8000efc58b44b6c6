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
/// not answer in time. A node sends a bounded number of bytes of documents per
/// second; it ignores further requests.
///
/// Load pattern: hundreds of nodes that start together and thousands of
/// workers, whose list has a megabyte. Without a bound, the first node that has
/// read the list holds hundreds of copies of it for its link.
class DocumentExchange {
public:
  using RequestSender =
      std::function<void(const std::string &Node, const DocumentRequest &)>;

  using TextSource = std::function<std::string()>;

  explicit DocumentExchange(RequestSender Sender)
      : m_SendRequest(std::move(Sender)) {}

  /// Sets the version of a document. Its text is made when a peer requests it;
  /// Source must not be older than the version.
  void set(const std::string &Name, std::uint64_t Version, TextSource Source);
  /// Returns the version of the local document, or 0 if there is none.
  std::uint64_t version(const std::string &Name) const;
  std::map<std::string, std::uint64_t> versions() const;
  /// Returns the requested document if it is newer than the peer's version and
  /// may be sent now, otherwise null. The peer requests it from another node
  /// if it gets no answer. Valid until the next call.
  const Document *findNewer(TimePoint Now, const DocumentRequest &Msg);

  /// Returns whether a node may request a document that it does not have. Among
  /// many nodes it first waits for its own read of the store, as all nodes
  /// would otherwise request the documents from the first one that has read
  /// them.
  static constexpr bool mayRequestMissing(double SinceStartMs,
                                          std::size_t Peers) {
    return Peers <= PeersWithoutWait ||
           SinceStartMs >= WaitPerPeerMs * static_cast<double>(Peers);
  }

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
  /// Number of peers up to which a missing document is requested at once: all
  /// of them together use only a part of the budget below.
  static constexpr std::size_t PeersWithoutWait = 32;
  /// Time to read the workers from the store per node, in milliseconds, if all
  /// nodes start together.
  static constexpr double WaitPerPeerMs = 5;

  struct StoredDocument {
    Document m_Document;
    TextSource m_Source; ///< Null once the text has been made.
  };

  /// Returns whether a document of this size may be sent now, and if so counts
  /// it.
  bool takeBudget(TimePoint Now, std::size_t Bytes);

  struct PendingRequest {
    std::string m_RequestedPeer; ///< Empty if no request is in flight.
    TimePoint m_SentAt;
    /// Peers whose request timed out.
    std::set<std::string> m_UnresponsivePeers;
  };

  void sendRequest(TimePoint Now, const std::string &Name,
                   PendingRequest &Pending);

  RequestSender m_SendRequest;
  std::map<std::string, StoredDocument> m_Documents;
  std::optional<TimePoint> m_BudgetAt; ///< Of the last document sent.
  double m_BudgetBytes = 0;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_PeerVersions;
  std::map<std::string, PendingRequest> m_PendingRequests; ///< By document.
};

} // namespace auburnhub

#endif
