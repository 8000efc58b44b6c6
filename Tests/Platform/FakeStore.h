#ifndef AUBURNHUB_TESTS_PLATFORM_FAKESTORE_H
#define AUBURNHUB_TESTS_PLATFORM_FAKESTORE_H

#include "auburnhub/Net/LoopHttpServer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhub::platform {

/// Stands in for the platform's store: keyed topics of one partition, with
/// outages, trimmed history and reads that wait.
class FakeStore {
public:
  enum class Mood {
    Serving,
    Refusing, ///< 503 to every call.
    Silent,   ///< No answer to any call.
  };

  explicit FakeStore(EventLoop &Loop);

  absl::Status listen(const Address &Where) { return m_Server.listen(Where); }
  Address address() const { return {"127.0.0.1", m_Server.port()}; }

  void setMood(Mood Value) { m_Mood = Value; }
  void put(const std::string &Topic, const std::string &Key,
           std::optional<std::string> Value);
  /// Drops the history; the newest record of each key stays.
  void trim(const std::string &Topic);
  /// Returns the newest value of a key.
  std::optional<std::string> value(const std::string &Topic,
                                   const std::string &Key) const;
  std::size_t calls() const { return m_Calls; }

private:
  struct Record {
    std::string m_Key;
    std::optional<std::string> m_Value;
  };
  struct Topic {
    std::vector<Record> m_Log;
    std::uint64_t m_First = 0; ///< Offsets below are no longer kept.
    std::map<std::string, std::string> m_Newest;
  };
  struct Waiting {
    HttpExchange m_Exchange;
    std::string m_Topic;
    std::uint64_t m_From;
    EventLoop::Timer m_Timer;
  };

  void onCall(const HttpExchange &Exchange);
  void append(const HttpExchange &Exchange, const std::string &Name);
  void readNewest(const HttpExchange &Exchange, const std::string &Name);
  void readFrom(const HttpExchange &Exchange, const std::string &Name);
  HttpResponse batch(const Topic &Of, std::uint64_t From) const;
  void wake(const std::string &Name);

  EventLoop &m_Loop;
  LoopHttpServer m_Server;
  Mood m_Mood = Mood::Serving;
  std::map<std::string, Topic> m_Topics;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::uint64_t m_LastWaiting = 0;
  std::vector<HttpExchange> m_Unanswered;
  std::size_t m_Calls = 0;
};

} // namespace auburnhub::platform

#endif
