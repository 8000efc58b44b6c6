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

/// The documents that nodes hand each other when the platform is out of reach.
///
/// A document may be large and links slow, so one peer is asked at a time: one
/// that has a newer version, another one if it does not answer in time.
class DocumentExchange {
public:
  using Request =
      std::function<void(const std::string &Node, const DocumentRequest &)>;

  explicit DocumentExchange(Request Request) : m_Request(std::move(Request)) {}

  void set(const std::string &Name, std::uint64_t Version, std::string Text);
  std::uint64_t version(const std::string &Name) const;
  std::map<std::string, std::uint64_t> versions() const;
  /// Returns the document if it is newer than what the peer has.
  const Document *answer(const DocumentRequest &Msg) const;

  // What peers have.
  void peerHas(const std::string &Node,
               const std::map<std::string, std::uint64_t> &Versions);
  void peerLost(const std::string &Node);

  /// Gets a newer version than ours from a peer that has one, now or later.
  void want(TimePoint Now, const std::string &Name);
  /// Returns whether a document that has arrived is newer than ours.
  bool arrived(const Document &Msg);
  /// Asks another peer if the one asked does not answer.
  void advance(TimePoint Now);

private:
  struct Wanted {
    std::string m_Asked; ///< Empty: nobody.
    TimePoint m_Since;
    std::set<std::string> m_Silent; ///< Asked without an answer.
  };

  void ask(TimePoint Now, const std::string &Name, Wanted &Item);

  Request m_Request;
  std::map<std::string, Document> m_Documents;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_Peers;
  std::map<std::string, Wanted> m_Wanted; ///< By document.
};

} // namespace auburnhub

#endif
