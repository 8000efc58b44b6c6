#include "auburnhub/Node/PeerLinks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace auburnhub;

namespace {

/// A test that waits longer has failed.
constexpr double GenerousMs = 3000;

/// One side of a link: counts what it sends and what arrives.
class Side {
public:
  Side(EventLoop &Loop, const std::string &Name, Address Where)
      : m_Where(std::move(Where)), m_Loop(Loop) {
    NodeHello Hello;
    Hello.m_Node = Name;
    Hello.m_LinkAddress = m_Where.str();
    Hello.m_Incarnation = 1;
    m_Links = std::make_unique<PeerLinks>(
        Loop, Hello,
        PeerEvents{
            [this](const NodeHello &Other) { m_Peer = Other.m_Node; },
            [this](const std::string &) { ++m_Downs; },
            [this](const std::string &, const Envelope &) { ++m_Received; }});
    BOOST_REQUIRE(m_Links->listen(m_Where).ok());
  }

  /// Sends all the time while it has a link.
  void talk() {
    m_Timer = m_Loop.every(EventLoop::Duration(1), [this] {
      if (m_Peer.empty() || m_Sent >= Messages)
        return;
      m_Links->send(m_Peer, CancelJob{"job", ++m_Sent});
    });
  }

  static constexpr std::uint64_t Messages = 40;
  Address m_Where;
  std::unique_ptr<PeerLinks> m_Links;
  std::string m_Peer;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Received = 0;
  int m_Downs = 0;

private:
  EventLoop &m_Loop;
  EventLoop::Timer m_Timer;
};

struct TwoSides {
  Address freeAddress() {
    using boost::asio::ip::tcp;
    tcp::acceptor Probe(
        m_Loop.io(),
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", Probe.local_endpoint().port()};
  }

  bool until(const std::function<bool()> &Condition) {
    TimePoint Begin = EventLoop::now();
    while (!Condition()) {
      if (millisecondsBetween(Begin, EventLoop::now()) > GenerousMs)
        return false;
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  EventLoop m_Loop;
  Side m_A{m_Loop, "a", freeAddress()};
  Side m_B{m_Loop, "b", freeAddress()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(TwoNodesThatConnectToEachOtherAtOnce)

BOOST_AUTO_TEST_CASE(LoseNothingThatTheySay) {
  // The second one dials at each step of the first one's dialling.
  constexpr int Steps = 24;
  for (int Step = 0; Step < Steps; ++Step) {
    BOOST_TEST_CONTEXT("step " << Step) {
      TwoSides Sides;
      Sides.m_A.talk();
      Sides.m_B.talk();
      Sides.m_B.m_Links->keep(Sides.m_A.m_Where);
      for (int I = 0; I < Step; ++I)
        Sides.m_Loop.io().run_one();
      Sides.m_A.m_Links->keep(Sides.m_B.m_Where);
      BOOST_TEST(Sides.until([&] {
        return Sides.m_A.m_Received == Side::Messages &&
               Sides.m_B.m_Received == Side::Messages;
      }));
      BOOST_TEST(Sides.m_A.m_Downs == 0);
      BOOST_TEST(Sides.m_B.m_Downs == 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
