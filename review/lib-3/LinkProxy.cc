#include "LinkProxy.hh"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <utility>
#include <vector>

namespace review {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;
using auburnhub::Address;
using auburnhub::EventLoop;

struct LinkProxy::Connection
    : public std::enable_shared_from_this<LinkProxy::Connection> {
  struct Side {
    explicit Side(Tcp::socket Socket) : m_From(std::move(Socket)) {}
    Tcp::socket m_From;
    std::array<char, 16384> m_Buffer{};
    std::deque<std::vector<char>> m_Held;
    bool m_Writing = false;
  };

  Connection(LinkProxy &Owner, Tcp::socket Client, std::uint16_t Port)
      : m_Owner(Owner), m_Client(std::move(Client)),
        m_Server(Tcp::socket(Owner.m_Loop.io())), m_Port(Port) {}

  bool isCut() {
    if (m_Dialer < 0)
      m_Dialer = m_Owner.m_Find(m_Port, m_Owner.address().m_Port);
    return m_Owner.m_IsCut(m_Dialer, m_Owner.m_Node);
  }

  void connect() {
    if (m_Connected || isCut())
      return;
    m_Connected = true;
    m_Server.m_From.async_connect(
        Tcp::endpoint(boost::asio::ip::make_address(m_Owner.m_Target.m_Host),
                      m_Owner.m_Target.m_Port),
        [Self = shared_from_this()](const Error &Failed) {
          if (Failed) {
            Self->close();
            return;
          }
          Error Ignored;
          Self->m_Server.m_From.set_option(Tcp::no_delay(true), Ignored);
          Self->m_Client.m_From.set_option(Tcp::no_delay(true), Ignored);
          Self->read(Self->m_Client, Self->m_Server);
          Self->read(Self->m_Server, Self->m_Client);
        });
  }

  void read(Side &From, Side &To) {
    From.m_From.async_read_some(boost::asio::buffer(From.m_Buffer),
                                [Self = shared_from_this(), &From,
                                 &To](const Error &Ec, std::size_t Count) {
                                  if (Ec) {
                                    // A peer behind the cut doesn't learn of
                                    // the end.
                                    if (!Self->isCut())
                                      Self->close();
                                    return;
                                  }
                                  From.m_Held.emplace_back(
                                      From.m_Buffer.begin(),
                                      From.m_Buffer.begin() + Count);
                                  Self->write(From, To);
                                  Self->read(From, To);
                                });
  }

  void write(Side &From, Side &To) {
    if (From.m_Writing || From.m_Held.empty() || isCut())
      return;
    From.m_Writing = true;
    boost::asio::async_write(
        To.m_From, boost::asio::buffer(From.m_Held.front()),
        [Self = shared_from_this(), &From, &To](const Error &Ec, std::size_t) {
          From.m_Writing = false;
          if (Ec) {
            Self->close();
            return;
          }
          From.m_Held.pop_front();
          Self->write(From, To);
        });
  }

  void resume() {
    connect();
    write(m_Client, m_Server);
    write(m_Server, m_Client);
  }

  void close() {
    Error Ignored;
    m_Client.m_From.close(Ignored);
    m_Server.m_From.close(Ignored);
    m_Owner.m_Open.erase(shared_from_this());
  }

  LinkProxy &m_Owner;
  Side m_Client;
  Side m_Server;
  std::uint16_t m_Port;
  int m_Dialer = -1;
  bool m_Connected = false;
};

LinkProxy::LinkProxy(EventLoop &Loop, Address Target, int Node, FindDialer Find,
                     IsCut Cut)
    : m_Loop(Loop),
      m_Acceptor(Loop.io(),
                 Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      m_Target(std::move(Target)), m_Node(Node), m_Find(std::move(Find)),
      m_IsCut(std::move(Cut)) {
  accept();
}

LinkProxy::~LinkProxy() {
  Error Ignored;
  m_Acceptor.close(Ignored);
  auto Open = m_Open;
  for (const auto &Each : Open)
    Each->close();
}

Address LinkProxy::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void LinkProxy::resume() {
  auto Open = m_Open;
  for (const auto &Each : Open)
    Each->resume();
}

void LinkProxy::accept() {
  m_Acceptor.async_accept([this](const Error &Ec, Tcp::socket Socket) {
    if (Ec == boost::asio::error::operation_aborted)
      return;
    if (!Ec) {
      Error Gone;
      auto From = Socket.remote_endpoint(Gone);
      auto Added = std::make_shared<Connection>(*this, std::move(Socket),
                                                Gone ? 0 : From.port());
      m_Open.insert(Added);
      Added->connect();
    }
    accept();
  });
}

} // namespace review
