#ifndef AUBURNHUB_TESTS_ENTRY_ENTRYFIXTURE_H
#define AUBURNHUB_TESTS_ENTRY_ENTRYFIXTURE_H

#include "StubProcess.h"

#include "auburnhub/Entry/EntryRole.h"
#include "auburnhub/Http/HttpClient.h"
#include "auburnhub/Http/HttpServer.h"

#include <future>

namespace auburnhub {

/// An entry with a control and two dispatchers that the test plays.
struct EntryFixture {
  explicit EntryFixture(const nlohmann::json &Limits = nlohmann::json::object(),
                        const HttpServerOptions &Options = {})
      : m_Control(m_Timers, "control", "vm-1", "brisbane"),
        m_LocalProcess(std::make_unique<StubProcess>(m_Timers, "dispatch",
                                                     "vm-1", "brisbane")),
        m_Local(*m_LocalProcess),
        m_Other(m_Timers, "dispatch", "vm-2", "brisbane") {
    m_Control.m_OnUp = [this, Limits](PeerId Peer) {
      m_Entry.set_value(Peer);
      m_Control.m_Hub.send(Peer, configuration(1, Limits));
      m_Control.m_Hub.send(Peer, members({m_Local.member(), m_Other.member()}));
    };
    CommonSettings Common;
    Common.m_Vm = "vm-1";
    Common.m_DataCentre = "brisbane";
    m_Context.emplace(
        ProcessContext{Common, m_Timers, m_Metrics, drawIncarnation(), ""});
    m_Role.emplace(*m_Context, EntryRole::Settings{m_Control.m_Address});
    BOOST_REQUIRE(m_Role->start().ok());
    auto Server = HttpServer::start(
        {"127.0.0.1", 0}, Options,
        [this](const HttpRequest &Request) { return m_Role->handle(Request); });
    BOOST_REQUIRE(Server.ok());
    m_Server = std::move(*Server);
    m_EntryPeer = m_Entry.get_future().get();
    while (!m_Control.take<LocalStatus>().as<LocalStatus>().m_Ready)
      continue;
    waitForLinks();
  }
  ~EntryFixture() {
    m_Role->stop();
    m_Server->stop();
    m_Timers.stop();
  }

  static ConfigurationUpdate configuration(std::int64_t Offset,
                                           nlohmann::json Limits) {
    ConfigurationUpdate Update;
    Update.m_Offset = Offset;
    Update.m_Record.m_Body = {
        {"services", {{"tile-orders", nlohmann::json::object()}}},
        {"teams", {{"club-desk", nlohmann::json::object()}}},
        {"limits", std::move(Limits)}};
    return Update;
  }

  static MembersUpdate members(std::vector<Member> List) {
    MembersUpdate Update;
    Update.m_Members = std::move(List);
    return Update;
  }

  /// Waits until the entry is linked to both dispatchers.
  void waitForLinks() {
    auto Deadline = TimerService::now() + GenerousLimit;
    auto IsLinked = [](const nlohmann::json &D) { return D["linked"] == true; };
    while (TimerService::now() < Deadline) {
      nlohmann::json Status = m_Role->status();
      const nlohmann::json &List = Status["dispatchers"];
      if (List.size() == 2 && std::ranges::all_of(List, IsLinked))
        return;
      std::this_thread::yield();
    }
    BOOST_FAIL("the entry is not linked to its dispatchers");
  }

  static HttpRequest request(std::string Path, std::string Body,
                             const std::string &Key = "",
                             const std::string &Timeout = "") {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = std::move(Path);
    Request.m_Body = std::move(Body);
    Request.m_Headers.set("Auburnhub-Team", "club-desk");
    if (!Key.empty())
      Request.m_Headers.set("Idempotency-Key", Key);
    if (!Timeout.empty())
      Request.m_Headers.set("Auburnhub-Timeout", Timeout);
    return Request;
  }

  /// Sends a request on a connection and a thread of its own.
  std::future<HttpResponse> send(const HttpRequest &Request) {
    return std::async(std::launch::async, [this, Request] {
      HttpClient Client(m_Server->address());
      auto Response = Client.call(Request, GenerousLimit);
      BOOST_REQUIRE(Response.ok());
      return *Response;
    });
  }

  HttpResponse call(const HttpRequest &Request) { return send(Request).get(); }

  /// Makes the whole answer to a submission.
  static Answer answerTo(const Submit &Msg, std::vector<Bytes> Results) {
    Answer Reply;
    Reply.m_Call = Msg.m_Call;
    Reply.m_Id =
        Msg.m_Id.isNil() ? SubmissionId::makeTicket(1, 2, 3) : Msg.m_Id;
    Reply.m_Outcome = Outcome::Complete;
    Reply.m_Results = std::move(Results);
    return Reply;
  }

  /// Waits until the entry has counted so many events.
  void waitForCount(std::string_view Name, std::uint64_t Wanted) {
    Counter &Events = m_Metrics.counter(Name, "");
    auto Deadline = TimerService::now() + GenerousLimit;
    while (Events.value() < Wanted && TimerService::now() < Deadline)
      std::this_thread::yield();
    BOOST_TEST(Events.value() == Wanted);
  }

  /// Gives the entry another member view and waits until it has it.
  void setMembers(std::vector<Member> List) {
    bool IsReady = std::ranges::any_of(List, &Member::m_DispatchReady);
    m_Control.send(m_EntryPeer, members(std::move(List)));
    while (m_Control.take<LocalStatus>().as<LocalStatus>().m_Ready != IsReady)
      continue;
  }

  static constexpr const char *Requests = "/v1/services/tile-orders/requests";
  static constexpr const char *Jobs = "/v1/services/tile-orders/jobs";

  TimerService m_Timers;
  MetricsRegistry m_Metrics;
  StubProcess m_Control;
  std::unique_ptr<StubProcess> m_LocalProcess; ///< Reset: it dies.
  StubProcess &m_Local;
  StubProcess m_Other;
  std::promise<PeerId> m_Entry;
  PeerId m_EntryPeer = 0;
  std::optional<ProcessContext> m_Context;
  std::optional<EntryRole> m_Role;
  std::unique_ptr<HttpServer> m_Server;
};

inline nlohmann::json problemOf(const HttpResponse &Response) {
  BOOST_TEST(Response.m_ContentType == "application/problem+json");
  return nlohmann::json::parse(Response.m_Body, nullptr, false);
}

} // namespace auburnhub

#endif
