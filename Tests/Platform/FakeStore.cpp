#include "FakeStore.h"

#include "StoreClient.h"

#include "absl/strings/escaping.h"
#include <nlohmann/json.hpp>

#include <utility>

namespace auburnhub::platform {
namespace {

constexpr std::size_t OffsetBytes = 8;

std::string bigEndian(std::uint64_t Value) {
  std::string Result(OffsetBytes, '\0');
  for (std::size_t I = 0; I < OffsetBytes; ++I)
    Result[OffsetBytes - 1 - I] = static_cast<char>((Value >> (8 * I)) & 0xffU);
  return Result;
}

HttpResponse status(int Code, std::string Body = "{}") {
  HttpResponse Response;
  Response.m_Status = Code;
  Response.m_Body = std::move(Body);
  return Response;
}

} // namespace

FakeStore::FakeStore(EventLoop &Loop)
    : m_Loop(Loop),
      m_Server(Loop, [this](const HttpExchange &E) { onCall(E, m_Mood); }) {}

absl::StatusOr<std::size_t> FakeStore::addDoor() {
  std::size_t Number = m_Doors.size();
  m_Doors.push_back(
      std::make_unique<Door>(m_Loop, [this, Number](const HttpExchange &E) {
        Mood Own = m_Doors[Number]->m_Mood;
        onCall(E, m_Mood == Mood::Serving ? Own : m_Mood);
      }));
  absl::Status Bad = m_Doors.back()->m_Server.listen({"127.0.0.1", 0});
  if (!Bad.ok())
    return Bad;
  return Number;
}

void FakeStore::delayAppends(int Count, EventLoop::Duration By) {
  m_LateAppends = Count;
  m_LateBy = By;
}

void FakeStore::rebalance() {
  for (auto &[Name, Of] : m_Groups) {
    Of.m_HeldBy.clear();
    deal(Of);
  }
}

void FakeStore::put(const std::string &Name, const std::string &Key,
                    std::optional<std::string> Value) {
  Topic &To = m_Topics[Name];
  if (Value)
    To.m_Newest[Key] = *Value;
  else
    To.m_Newest.erase(Key);
  To.m_Log.push_back({Key, std::move(Value)});
  wake(Name);
}

void FakeStore::trim(const std::string &Name) {
  Topic &Of = m_Topics[Name];
  Of.m_First = Of.m_Log.size();
  wake(Name);
}

std::optional<std::string> FakeStore::value(const std::string &Name,
                                            const std::string &Key) const {
  auto Found = m_Topics.find(Name);
  if (Found == m_Topics.end() || !Found->second.m_Newest.contains(Key))
    return std::nullopt;
  return Found->second.m_Newest.at(Key);
}

void FakeStore::onCall(const HttpExchange &Exchange, Mood Towards) {
  ++m_Calls;
  if (Towards == Mood::Refusing || Towards == Mood::TooMany) {
    Exchange.respond(status(Towards == Mood::Refusing ? 503 : 429));
    return;
  }
  if (Towards == Mood::Silent) {
    m_Unanswered.push_back(Exchange);
    return;
  }
  const HttpRequest &Request = Exchange.request();
  std::string Name(Request.query("topic"));
  std::string Part(Request.query("part"));
  if (!Part.empty() && Part != "0")
    Name += "/" + Part;
  std::string_view Path = Request.m_Path;
  if (Path.starts_with("/log-append") && m_LateAppends > 0) {
    --m_LateAppends;
    m_Late.push_back(m_Loop.once(
        m_LateBy, [this, Exchange, Name] { append(Exchange, Name); }));
    m_Unanswered.push_back(Exchange);
  } else if (Path.starts_with("/log-append"))
    append(Exchange, Name);
  else if (Path.starts_with("/log-newest"))
    readNewest(Exchange, Name);
  else if (Path.starts_with("/log-read"))
    readFrom(Exchange, Name);
  else if (Path == "/log-join")
    join(Exchange);
  else if (Path == "/log-leave")
    leave(Exchange);
  else
    Exchange.respond(status(404));
}

void FakeStore::append(const HttpExchange &Exchange, const std::string &Name) {
  // A read's answer begins with two offsets; the records look the same.
  std::string Body = bigEndian(0) + bigEndian(0) + Exchange.request().m_Body;
  auto Batch = decodeLogBody(Body, 0);
  if (!Batch.ok()) {
    Exchange.respond(status(400));
    return;
  }
  if (auto Refusal = refuseWriter(Exchange.request(), m_Topics[Name])) {
    Exchange.respond(*std::move(Refusal));
    return;
  }
  for (const KeyedRecord &Item : Batch->m_Records)
    put(Name, Item.m_Key, Item.m_Value);
  if (m_LostAnswers > 0 && !Batch->m_Records.empty()) {
    --m_LostAnswers;
    m_Unanswered.push_back(Exchange);
    return;
  }
  Exchange.respond(status(200, R"({"offset":0,"end":1})"));
}

std::optional<HttpResponse> FakeStore::refuseWriter(const HttpRequest &Request,
                                                    Topic &To) {
  std::string Epoch(Request.query("epoch"));
  if (Epoch.empty())
    return std::nullopt;
  std::uint64_t Writer = std::stoull(Epoch);
  std::uint64_t Sequence = std::stoull(std::string(Request.query("sequence")));
  if (Writer < To.m_Epoch)
    return status(409, R"({"reason":"fenced"})");
  bool Higher = Writer > To.m_Epoch;
  if (!Higher && Sequence == To.m_Sequence)
    return status(200, R"({"offset":0,"end":1})");
  if (!Higher && Sequence != To.m_Sequence + 1)
    return status(409, R"({"reason":"seq"})");
  To.m_Epoch = Writer;
  To.m_Sequence = Sequence;
  return std::nullopt;
}

void FakeStore::deal(Group &Of) {
  constexpr std::uint32_t Parts = 8;
  ++Of.m_Generation;
  std::vector<Member *> All;
  for (auto &[Name, Item] : Of.m_Members) {
    Item.m_Parts.clear();
    All.push_back(&Item);
  }
  for (std::uint32_t Part = 0; Part < Parts && !All.empty(); ++Part)
    All[Part % All.size()]->m_Parts.push_back(Part);
}

void FakeStore::join(const HttpExchange &Exchange) {
  auto Body = nlohmann::json::parse(Exchange.request().m_Body);
  Group &Of = m_Groups[Body["group"]];
  std::string Name = Body["member"];
  TimePoint Now = EventLoop::now();
  std::size_t Lapsed = std::erase_if(Of.m_Members, [&](const auto &Entry) {
    return Entry.first != Name && Entry.second.m_LapsesAt < Now;
  });
  auto [It, Added] = Of.m_Members.try_emplace(Name);
  It->second.m_LapsesAt = addMs(Now, Body["ttl_ms"].get<double>());
  if (Added || Lapsed > 0)
    deal(Of);
  // What another member has not given back yet is not given on.
  bool IsCurrent = Body["generation"].get<std::uint64_t>() >= Of.m_Generation;
  std::erase_if(Of.m_HeldBy, [&](const auto &Entry) {
    return !Of.m_Members.contains(Entry.second) ||
           (Entry.second == Name && IsCurrent);
  });
  nlohmann::json Parts = nlohmann::json::array();
  for (std::uint32_t Part : It->second.m_Parts) {
    auto Holder = Of.m_HeldBy.try_emplace(Part, Name).first;
    if (Holder->second == Name)
      Parts.push_back({Body["topics"][0], Part, 0});
  }
  Exchange.respond(status(
      200, nlohmann::json{{"generation", Of.m_Generation}, {"parts", Parts}}
               .dump()));
}

void FakeStore::leave(const HttpExchange &Exchange) {
  auto Body = nlohmann::json::parse(Exchange.request().m_Body);
  Group &Of = m_Groups[Body["group"]];
  if (Of.m_Members.erase(Body["member"].get<std::string>()) > 0)
    deal(Of);
  Exchange.respond(status(200));
}

std::size_t FakeStore::keys(const std::string &Name,
                            const std::string &Prefix) const {
  std::size_t Total = 0;
  for (const auto &[Topic, Item] : m_Topics)
    if (Topic == Name || Topic.starts_with(Name + "/"))
      for (const auto &[Key, Value] : Item.m_Newest)
        Total += Key.starts_with(Prefix) ? 1 : 0;
  return Total;
}

void FakeStore::readNewest(const HttpExchange &Exchange,
                           const std::string &Name) {
  const Topic &Of = m_Topics[Name];
  nlohmann::json Items = nlohmann::json::array();
  for (const auto &[Key, Value] : Of.m_Newest)
    Items.push_back({{"key", Key},
                     {"value", std::string(absl::Base64Escape(Value))},
                     {"offset", 0}});
  nlohmann::json Body = {
      {"items", Items}, {"has_more", false}, {"end", Of.m_Log.size()}};
  Exchange.respond(status(200, Body.dump()));
}

HttpResponse FakeStore::batch(const Topic &Of, std::uint64_t From) const {
  if (From < Of.m_First)
    return status(410, R"({"first":0})");
  std::string Body = bigEndian(Of.m_Log.size()) + bigEndian(Of.m_First);
  for (std::size_t I = From; I < Of.m_Log.size(); ++I)
    Body +=
        encodeKeyedRecord(Of.m_Log[I].m_Key, Of.m_Log[I].m_Value.value_or(""));
  return status(200, Body);
}

void FakeStore::readFrom(const HttpExchange &Exchange,
                         const std::string &Name) {
  const HttpRequest &Request = Exchange.request();
  std::uint64_t From = std::stoull(std::string(Request.query("from")));
  std::string Wait(Request.query("wait_ms"));
  const Topic &Of = m_Topics[Name];
  if (Wait.empty() || From != Of.m_Log.size()) {
    Exchange.respond(batch(Of, From));
    return;
  }
  std::uint64_t Id = ++m_LastWaiting;
  auto Timer = m_Loop.once(EventLoop::Duration(std::stoi(Wait)), [this, Id] {
    auto Node = m_Waiting.extract(Id);
    if (!Node.empty())
      Node.mapped().m_Exchange.respond(
          batch(m_Topics[Node.mapped().m_Topic], Node.mapped().m_From));
  });
  m_Waiting.emplace(Id, Waiting{Exchange, Name, From, std::move(Timer)});
}

void FakeStore::wake(const std::string &Name) {
  std::vector<Waiting> Ready;
  for (auto It = m_Waiting.begin(); It != m_Waiting.end();) {
    auto Next = std::next(It);
    if (It->second.m_Topic == Name) {
      Ready.push_back(std::move(It->second));
      m_Waiting.erase(It);
    }
    It = Next;
  }
  for (const Waiting &Item : Ready)
    Item.m_Exchange.respond(batch(m_Topics[Name], Item.m_From));
}

} // namespace auburnhub::platform
