#include "auburnhub/Wire/LinkHub.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace auburnhub;

namespace {

constexpr auto GenerousLimit = std::chrono::seconds(30);

/// A process reduced to its hub, which accepts connections.
struct ListeningHub {
  ListeningHub() {
    LinkEvents Events;
    Events.m_PeerUp = [this](PeerId, const Hello &) { ++m_PeersUp; };
    Events.m_PeerDown = [](PeerId, const Hello &) {};
    Events.m_Received = [](PeerId, const Envelope &) {};
    m_Hub.emplace(m_Task, m_Timers, Hello(), Events);
    m_Port = *m_Hub->listen({"127.0.0.1", 0});
  }
  ~ListeningHub() {
    m_Hub->stop();
    m_Timers.stop();
    m_Task.stop();
  }
  SerialTask m_Task{"hub"};
  TimerService m_Timers;
  std::atomic<int> m_PeersUp{0};
  std::optional<LinkHub> m_Hub;
  std::uint16_t m_Port = 0;
};

/// A peer that sends raw bytes and keeps what it gets.
class RawPeer {
public:
  explicit RawPeer(std::uint16_t Port)
      : m_Transport(
            std::size_t{1} << 20,
            {[this](ConnectionId, bool) { note("opened"); },
             [this](ConnectionId, const std::string &Data) {
               auto Received = decodeEnvelope(Data);
               note(Received.ok() ? Received->m_Type : "undecoded");
             },
             [this](ConnectionId, const std::string &) { note("closed"); }}) {
    m_Connection = m_Transport.connect("127.0.0.1", Port);
  }
  ~RawPeer() { m_Transport.stop(); }

  void send(std::string Data) {
    m_Transport.send(m_Connection, std::move(Data));
  }

  /// Waits for the next thing that happens and returns its name.
  std::string next() {
    std::unique_lock Lock(m_Mutex);
    bool IsThere = m_Changed.wait_for(
        Lock, GenerousLimit, [this] { return m_Seen != m_Notes.size(); });
    return IsThere ? m_Notes[m_Seen++] : "nothing";
  }

private:
  void note(std::string What) {
    std::lock_guard Lock(m_Mutex);
    m_Notes.push_back(std::move(What));
    m_Changed.notify_all();
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::vector<std::string> m_Notes;
  std::size_t m_Seen = 0;
  ConnectionId m_Connection = 0;
  Transport m_Transport;
};

std::string withSchema(int Schema) {
  nlohmann::json Json = {
      {"v", Schema}, {"t", "hello"}, {"b", nlohmann::json::object()}};
  std::string Cbor;
  nlohmann::json::to_cbor(Json, Cbor);
  return Cbor;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ABadPeer)

BOOST_AUTO_TEST_CASE(IsToldOfAMalformedMessageAndKeepsItsConnection) {
  ListeningHub Hub;
  RawPeer Peer(Hub.m_Port);
  BOOST_TEST(Peer.next() == "opened");
  BOOST_TEST(Peer.next() == "hello");
  Peer.send("\xff\xff");
  BOOST_TEST(Peer.next() == "reject");
  Peer.send(encode(Submit()));
  BOOST_TEST(Peer.next() == "reject");
  Peer.send(encode(Hello()));
  Peer.send("\x01");
  BOOST_TEST(Peer.next() == "reject");
  BOOST_TEST(Hub.m_PeersUp == 1);
}

BOOST_AUTO_TEST_CASE(IsRefusedIfItsSchemaVersionIsUnknown) {
  ListeningHub Hub;
  RawPeer Peer(Hub.m_Port);
  BOOST_TEST(Peer.next() == "opened");
  BOOST_TEST(Peer.next() == "hello");
  Peer.send(withSchema(WireSchema + 1));
  BOOST_TEST(Peer.next() == "reject");
  BOOST_TEST(Peer.next() == "closed");
  BOOST_TEST(Hub.m_PeersUp == 0);
}

BOOST_AUTO_TEST_CASE(LosesItsConnectionByAMessageOverTheLimit) {
  constexpr std::size_t OverTheLimit = std::size_t{41} << 20;
  ListeningHub Hub;
  RawPeer Peer(Hub.m_Port);
  BOOST_TEST(Peer.next() == "opened");
  BOOST_TEST(Peer.next() == "hello");
  Peer.send(std::string(OverTheLimit, 'x'));
  BOOST_TEST(Peer.next() == "closed");
}

BOOST_AUTO_TEST_SUITE_END()
