#include "auburnhub/Control/ControlRole.h"

#include "Fakes/FakePlatform.h"
#include "Fakes/FakeServer.h"

#include "auburnhub/Http/HttpClient.h"
#include "auburnhub/Wire/LinkHub.h"

#include <Poco/ThreadPool.h>
#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>

using namespace auburnhub;

namespace {

constexpr auto GenerousLimit = std::chrono::seconds(30);
constexpr Milliseconds CallLimit{30000};
constexpr int MostConnections = 200;

/// The stand-in for the platform, in this process.
class Platform {
public:
  Platform() {
    auto Started = test::FakeServer::start(
        "127.0.0.1", 0, m_Pool,
        [this](test::Exchange &Call) { m_Platform.handle(Call); });
    BOOST_REQUIRE(Started.ok());
    m_Server = std::move(*Started);
  }

  Address address() const { return *parseAddress(m_Server->address()); }

  void post(const std::string &Path, const nlohmann::json &Body) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Path = Path;
    Request.m_Body = Body.dump();
    HttpClient Client(address());
    auto Response = Client.call(Request, CallLimit);
    BOOST_REQUIRE(Response.ok());
    BOOST_REQUIRE_EQUAL(Response->m_Status, 200);
  }

  void append(const std::string &Stream, const nlohmann::json &Record) {
    post("/v1/streams/" + Stream + "/records",
         {{"records", nlohmann::json::array({Record})}});
  }

  void publish(const std::string &ChangeId, std::int64_t Base) {
    ConfigurationRecord Record;
    Record.m_ChangeId = ChangeId;
    Record.m_Base = Base;
    append("configuration", toJson(Record));
  }

private:
  Poco::ThreadPool m_Pool{2, MostConnections};
  test::FakePlatform m_Platform{test::FakePlatformOptions()};
  std::unique_ptr<test::FakeServer> m_Server;
};

/// A control that runs in this process.
struct Control {
  Control(const std::string &Vm, const Platform &Behind,
          std::vector<Address> Seeds = {}) {
    ControlSettings Settings;
    Settings.m_Link = {"127.0.0.1", 0};
    Settings.m_Platform = Behind.address();
    Settings.m_Seeds = std::move(Seeds);
    Settings.m_HeartbeatPeriod = Milliseconds(50);
    Settings.m_PollWait = Milliseconds(100);
    CommonSettings Common;
    Common.m_Vm = Vm;
    Common.m_DataCentre = "brisbane";
    m_Context.emplace(ProcessContext{Common, m_Timers, m_Metrics, 77, ""});
    m_Role.emplace(*m_Context, Settings);
    BOOST_REQUIRE(m_Role->start().ok());
  }
  ~Control() { stop(); }

  void stop() {
    m_Role->stop();
    m_Timers.stop();
  }

  TimerService m_Timers;
  MetricsRegistry m_Metrics;
  std::optional<ProcessContext> m_Context;
  std::optional<ControlRole> m_Role;
};

/// A dispatcher reduced to its link to the control of its VM. It keeps what it
/// receives; await() waits for a message that fits.
class Dispatcher {
public:
  Dispatcher(const std::string &Vm, Incarnation Self, const Control &Of) {
    Hello Greeting;
    Greeting.m_Role = "dispatch";
    Greeting.m_Vm = Vm;
    Greeting.m_Incarnation = Self;
    LinkEvents Events;
    Events.m_PeerUp = [this, Self](PeerId Peer, const Hello &) {
      m_Control = Peer;
      LocalStatus Status;
      Status.m_Role = "dispatch";
      Status.m_LinkAddress = "127.0.0.1:1";
      Status.m_Incarnation = Self;
      Status.m_Ready = true;
      m_Hub->send(Peer, Status);
    };
    Events.m_PeerDown = [](PeerId, const Hello &) {};
    Events.m_Received = [this](PeerId, const Envelope &Received) {
      std::lock_guard Lock(m_Mutex);
      m_Received.push_back(Received);
      m_Changed.notify_all();
    };
    m_Hub.emplace(m_Task, m_Timers, Greeting, Events);
    Address Where = Of.m_Role->linkAddress();
    m_Task.post([this, Where] { m_Hub->keep(Where); });
  }
  ~Dispatcher() {
    m_Hub->stop();
    m_Timers.stop();
    m_Task.stop();
  }

  template <WireMessage Type, typename Predicate> Type await(Predicate Fits) {
    std::unique_lock Lock(m_Mutex);
    std::optional<Type> Found;
    std::size_t Seen = 0;
    m_Changed.wait_for(Lock, GenerousLimit, [&] {
      for (; !Found && Seen != m_Received.size(); ++Seen) {
        auto Msg = decode<Type>(m_Received[Seen]);
        if (Msg.ok() && Fits(*Msg))
          Found = *Msg;
      }
      return Found.has_value();
    });
    BOOST_REQUIRE(Found.has_value());
    return *Found;
  }

  ConfigurationUpdate awaitConfiguration(const std::string &ChangeId) {
    return await<ConfigurationUpdate>([&](const ConfigurationUpdate &Msg) {
      return Msg.m_Record.m_ChangeId == ChangeId;
    });
  }

  MembersUpdate awaitMembers(std::size_t Count) {
    return await<MembersUpdate>([&](const MembersUpdate &Msg) {
      return Msg.m_Members.size() == Count;
    });
  }

  /// Claims an id, again until the control has begun to read the stream.
  ClaimReply claim(const SubmissionId &Id, Incarnation Self) {
    auto Deadline = TimerService::now() + GenerousLimit;
    for (;;) {
      ClaimReply Reply = claimOnce(Id, Self);
      bool IsUnread = Reply.m_Failure == "claim-history-unread";
      if (!IsUnread || TimerService::now() > Deadline)
        return Reply;
    }
  }

private:
  ClaimReply claimOnce(const SubmissionId &Id, Incarnation Self) {
    ClaimRequest Request;
    Request.m_Call = ++m_LastCall;
    Request.m_Id = Id;
    Request.m_Team = "club-desk";
    Request.m_Digest = "00ff";
    Request.m_Incarnation = Self;
    m_Task.post([this, Request] { m_Hub->send(m_Control, Request); });
    return await<ClaimReply>([&](const ClaimReply &Msg) {
      return Msg.m_Call == Request.m_Call && Msg.m_Id == Id;
    });
  }

  SerialTask m_Task{"dispatch"};
  TimerService m_Timers;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<Envelope> m_Received;
  PeerId m_Control = 0;
  CallNumber m_LastCall = 0;
  std::optional<LinkHub> m_Hub;
};

SubmissionId makeId(std::uint64_t Seed) {
  return SubmissionId::makeCallerId(TimerService::wallMilliseconds(), Seed,
                                    Seed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(AControl)

BOOST_AUTO_TEST_CASE(FeedsItsDispatcherWithConfigurationAndMembers) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  Local.awaitMembers(1);
  BOOST_TEST(!A.m_Role->isReady());
  Behind.publish("first", -1);
  BOOST_TEST(Local.awaitConfiguration("first").m_Offset == 0);
  BOOST_TEST(A.m_Role->isReady());
  Control B("b", Behind, {A.m_Role->linkAddress()});
  Member Seen = Local.awaitMembers(2).m_Members.at(1);
  BOOST_TEST(Seen.m_Vm == "b");
  Dispatcher Remote("b", 6, B);
  Remote.await<MembersUpdate>([](const MembersUpdate &Msg) {
    return Msg.m_Members.size() == 2 &&
           Msg.m_Members[1].m_DispatchIncarnation == 5 &&
           Msg.m_Members[1].m_DispatchReady;
  });
}

BOOST_AUTO_TEST_CASE(LetsOneOfTwoDispatchersWinAClaim) {
  Platform Behind;
  Control A("a", Behind);
  Control B("b", Behind);
  Dispatcher First("a", 5, A);
  Dispatcher Second("b", 6, B);
  First.awaitMembers(1);
  Second.awaitMembers(1);
  SubmissionId Id = makeId(1);
  ClaimReply Won = First.claim(Id, 5);
  BOOST_TEST(Won.m_Failure == "");
  BOOST_TEST(Won.m_Winner == 5u);
  ClaimReply Lost = Second.claim(Id, 6);
  BOOST_TEST(Lost.m_Winner == 5u);
  BOOST_TEST(Lost.m_Team == "club-desk");
  BOOST_TEST(Lost.m_Digest == "00ff");
}

BOOST_AUTO_TEST_CASE(ClaimsThoughTheReplyToAnAppendIsLost) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  Local.awaitMembers(1);
  Behind.post("/test/faults", {{"lose_append_replies", 2}});
  BOOST_TEST(Local.claim(makeId(1), 5).m_Winner == 5u);
}

BOOST_AUTO_TEST_CASE(RefusesAClaimWhileThePlatformIsDown) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  Local.awaitMembers(1);
  BOOST_TEST(Local.claim(makeId(1), 5).m_Winner == 5u);
  Behind.post("/test/faults", {{"down", true}});
  BOOST_TEST(Local.claim(makeId(2), 5).m_Failure == "platform-unavailable");
  Behind.post("/test/faults", {{"down", false}});
  BOOST_TEST(Local.claim(makeId(3), 5).m_Winner == 5u);
}

BOOST_AUTO_TEST_CASE(GetsTheConfigurationFromAPeerWhileThePlatformIsDown) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  Behind.publish("first", -1);
  Local.awaitConfiguration("first");
  Behind.post("/test/faults", {{"down", true}});
  Control B("b", Behind, {A.m_Role->linkAddress()});
  Dispatcher Remote("b", 6, B);
  BOOST_TEST(Remote.awaitConfiguration("first").m_Offset == 0);
  BOOST_TEST(B.m_Role->isReady());
}

BOOST_AUTO_TEST_CASE(DropsAMemberThatHasStopped) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  {
    Control B("b", Behind, {A.m_Role->linkAddress()});
    Local.awaitMembers(2);
  }
  Local.await<MembersUpdate>([Seen = false](const MembersUpdate &Msg) mutable {
    Seen = Seen || Msg.m_Members.size() == 2;
    return Seen && Msg.m_Members.size() == 1;
  });
}

BOOST_AUTO_TEST_CASE(TellsWhichEndpointVmsLeave) {
  Platform Behind;
  Control A("a", Behind);
  Dispatcher Local("a", 5, A);
  Behind.post("/test/vms", {{"vms",
                             {{{"vm", "ex-1"},
                               {"data_centre", "brisbane"},
                               {"role", "endpoint"},
                               {"address", "127.0.0.1:1"},
                               {"state", "leaving"}}}}});
  Local.await<MembersUpdate>([](const MembersUpdate &Msg) {
    return Msg.m_LeavingVms == std::vector<std::string>{"ex-1"};
  });
}

BOOST_AUTO_TEST_SUITE_END()
