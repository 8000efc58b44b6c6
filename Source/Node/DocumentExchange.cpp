#include "auburnhub/Node/DocumentExchange.h"

#include <utility>

namespace auburnhub {
namespace {

/// A peer that has not answered for so long is passed over, in milliseconds: a
/// list of all workers takes a tenth of that on a slow link.
constexpr double AnswerMs = 600;

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
  for (const auto &[Name, Item] : m_Documents)
    Result[Name] = Item.m_Version;
  return Result;
}

const Document *DocumentExchange::answer(const DocumentRequest &Msg) const {
  auto Found = m_Documents.find(Msg.m_Name);
  bool IsNewer =
      Found != m_Documents.end() && Found->second.m_Version > Msg.m_Above;
  return IsNewer ? &Found->second : nullptr;
}

void DocumentExchange::peerHas(
    const std::string &Node,
    const std::map<std::string, std::uint64_t> &Versions) {
  m_Peers[Node] = Versions;
}

void DocumentExchange::peerLost(const std::string &Node) {
  m_Peers.erase(Node);
  for (auto &[Name, Item] : m_Wanted)
    if (Item.m_Asked == Node)
      Item.m_Asked.clear();
}

void DocumentExchange::want(TimePoint Now, const std::string &Name) {
  auto [It, Added] = m_Wanted.try_emplace(Name);
  if (It->second.m_Asked.empty())
    ask(Now, Name, It->second);
}

void DocumentExchange::ask(TimePoint Now, const std::string &Name,
                           Wanted &Item) {
  std::uint64_t Best = version(Name);
  for (const auto &[Node, Versions] : m_Peers) {
    auto Found = Versions.find(Name);
    if (Found == Versions.end() || Found->second <= Best ||
        Item.m_Silent.contains(Node))
      continue;
    Best = Found->second;
    Item.m_Asked = Node;
  }
  if (Item.m_Asked.empty()) {
    // Everybody was asked: begin anew.
    Item.m_Silent.clear();
    return;
  }
  Item.m_Since = Now;
  m_Request(Item.m_Asked, {Name, version(Name)});
}

bool DocumentExchange::arrived(const Document &Msg) {
  m_Wanted.erase(Msg.m_Name);
  return Msg.m_Version > version(Msg.m_Name);
}

void DocumentExchange::advance(TimePoint Now) {
  for (auto &[Name, Item] : m_Wanted) {
    if (!Item.m_Asked.empty() &&
        millisecondsBetween(Item.m_Since, Now) < AnswerMs)
      continue;
    if (!Item.m_Asked.empty())
      Item.m_Silent.insert(std::exchange(Item.m_Asked, {}));
    ask(Now, Name, Item);
  }
}

} // namespace auburnhub
