#ifndef AUBURNHUB_TESTS_PLATFORM_FAKESTORE_H
#define AUBURNHUB_TESTS_PLATFORM_FAKESTORE_H

#include "auburnhub/Net/LoopHttpServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnhub::platform {

/// Stands in for the platform's store: keyed topics, writers' epochs and
/// groups, with outages, trimmed history and reads that wait. A partition other
/// than 0 of a topic is named "topic/partition" here.
class FakeStore {
public:
  enum class Mood {
    Serving,
    Refusing, ///< 503 to every call.
    TooMany,  ///< 429 to every call.
    Silent,   ///< No answer to any call.
  };

  explicit FakeStore(EventLoop &Loop);

  absl::Status listen(const Address &Where) { return m_Server.listen(Where); }
  Address address() const { return {"127.0.0.1", m_Server.port()}; }

  void setMood(Mood Value) { m_Mood = Value; }
  /// Opens another address, for callers that the store may treat otherwise.
  /// Returns its number. Fails with Unavailable.
  absl::StatusOr<std::size_t> addDoor();
  Address doorAddress(std::size_t Door) const {
    return {"127.0.0.1", m_Doors[Door]->m_Server.port()};
  }
  void setDoorMood(std::size_t Door, Mood Value) {
    m_Doors[Door]->m_Mood = Value;
  }
  void put(const std::string &Topic, const std::string &Key,
           std::optional<std::string> Value);
  /// Drops the history; the newest record of each key stays.
  void trim(const std::string &Topic);
  /// Returns the newest value of a key.
  std::optional<std::string> value(const std::string &Topic,
                                   const std::string &Key) const;
  std::size_t calls() const { return m_Calls; }
  /// Returns how many keys of this beginning a topic's partitions hold.
  std::size_t keys(const std::string &Topic, const std::string &Prefix) const;
  /// So many of the next appends are carried out, but not answered.
  void loseAnswers(int Count) { m_LostAnswers = Count; }
  /// So many of the next appends are not answered, and carried out later if
  /// their writer's epoch and sequence still allow.
  void delayAppends(int Count, EventLoop::Duration By);
  /// Deals all partitions of all groups anew.
  void rebalance();

private:
  struct Record {
    std::string m_Key;
    std::optional<std::string> m_Value;
  };
  struct Topic {
    std::vector<Record> m_Log;
    std::uint64_t m_First = 0; ///< Offsets below are no longer kept.
    std::map<std::string, std::string> m_Newest;
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Sequence = 0;
  };
  struct Member {
    std::vector<std::uint32_t> m_Parts;
    TimePoint m_LapsesAt;
  };
  struct Group {
    std::uint64_t m_Generation = 0;
    std::map<std::string, Member> m_Members;
    std::map<std::uint32_t, std::string> m_HeldBy; ///< Until given back.
  };
  struct Waiting {
    HttpExchange m_Exchange;
    std::string m_Topic;
    std::uint64_t m_From;
    EventLoop::Timer m_Timer;
  };

  struct Door {
    explicit Door(EventLoop &Loop, LoopHttpServer::Handler Handle)
        : m_Server(Loop, std::move(Handle)) {}
    LoopHttpServer m_Server;
    Mood m_Mood = Mood::Serving;
  };

  void onCall(const HttpExchange &Exchange, Mood Towards);
  void append(const HttpExchange &Exchange, const std::string &Name);
  /// Returns the refusal of a writer, or nothing.
  static std::optional<HttpResponse> refuseWriter(const HttpRequest &Request,
                                                  Topic &To);
  void join(const HttpExchange &Exchange);
  void leave(const HttpExchange &Exchange);
  static void deal(Group &Of);
  void readNewest(const HttpExchange &Exchange, const std::string &Name);
  void readFrom(const HttpExchange &Exchange, const std::string &Name);
  HttpResponse batch(const Topic &Of, std::uint64_t From) const;
  void wake(const std::string &Name);

  EventLoop &m_Loop;
  LoopHttpServer m_Server;
  std::vector<std::unique_ptr<Door>> m_Doors;
  Mood m_Mood = Mood::Serving;
  std::map<std::string, Topic> m_Topics;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::uint64_t m_LastWaiting = 0;
  std::vector<HttpExchange> m_Unanswered;
  std::size_t m_Calls = 0;
  int m_LostAnswers = 0;
  int m_LateAppends = 0;
  EventLoop::Duration m_LateBy{0};
  std::vector<EventLoop::Timer> m_Late;
  std::map<std::string, Group> m_Groups;
};

} // namespace auburnhub::platform

#endif
