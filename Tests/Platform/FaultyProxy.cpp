#include "FaultyProxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

namespace auburnhub::platform {
namespace {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t ChunkBytes = 16384;

/// Number of buffered chunks at which a direction stops reading.
constexpr std::size_t MaxBufferedChunks = 16;

void resetSocket(Tcp::socket &Socket) {
  Error Ignored;
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

/// One proxied connection: two sockets, and buffered chunks for each direction.
class FaultyProxy::Connection
    : public std::enable_shared_from_this<FaultyProxy::Connection> {
public:
  Connection(FaultyProxy &Owner, Tcp::socket Client)
      : m_Owner(Owner), m_Forward{std::move(Client)}, m_Back{Tcp::socket(
                                                          Owner.m_Loop.io())} {}

  void connect() {
    Error Ignored;
    auto Ip = boost::asio::ip::make_address(m_Owner.m_Target.m_Host, Ignored);
    m_Back.m_From.async_connect(
        Tcp::endpoint(Ip, m_Owner.m_Target.m_Port),
        [Self = shared_from_this()](const Error &Failed) {
          if (Failed) {
            Self->reset();
            return;
          }
          Error IgnoredToo;
          Self->m_Back.m_From.set_option(Tcp::no_delay(true), IgnoredToo);
          Self->m_Forward.m_From.set_option(Tcp::no_delay(true), IgnoredToo);
          Self->read(Self->m_Forward);
          Self->read(Self->m_Back);
        });
  }

  /// Sends the data that was buffered while a direction was cut.
  void resume() {
    write(m_Forward);
    write(m_Back);
  }

  void blackhole() { m_IsBlackholed = true; }

  void reset() {
    resetSocket(m_Forward.m_From);
    resetSocket(m_Back.m_From);
    m_Owner.m_Connections.erase(shared_from_this());
  }

private:
  /// Transfers bytes from one socket to the other.
  struct Direction {
    explicit Direction(Tcp::socket From) : m_From(std::move(From)) {}
    Tcp::socket m_From;
    std::array<char, ChunkBytes> m_Buffer{};
    std::deque<std::vector<char>> m_Chunks;
    bool m_Reading = false;
    bool m_Writing = false;
    bool m_IsReadClosed = false; ///< The sender has shut down its side.
    EventLoop::Timer m_Delay;
  };

  Direction &other(const Direction &Side) {
    return &Side == &m_Forward ? m_Back : m_Forward;
  }

  bool isCut(const Direction &Side) const {
    const Faults &Active = m_Owner.m_Faults;
    return m_IsBlackholed ||
           (&Side == &m_Forward ? Active.m_CutForward : Active.m_CutBack);
  }

  void read(Direction &Side) {
    if (Side.m_Reading || Side.m_IsReadClosed ||
        Side.m_Chunks.size() >= MaxBufferedChunks)
      return;
    Side.m_Reading = true;
    Side.m_From.async_read_some(
        boost::asio::buffer(Side.m_Buffer),
        [Self = shared_from_this(), &Side](const Error &Ec, std::size_t Count) {
          Side.m_Reading = false;
          if (Ec == boost::asio::error::operation_aborted)
            return;
          if (Ec && Ec != boost::asio::error::eof) {
            Self->reset();
            return;
          }
          Side.m_IsReadClosed = static_cast<bool>(Ec);
          if (!Ec)
            Side.m_Chunks.emplace_back(Side.m_Buffer.begin(),
                                       Side.m_Buffer.begin() +
                                           static_cast<std::ptrdiff_t>(Count));
          Self->writeLater(Side);
          Self->read(Side);
        });
  }

  void writeLater(Direction &Side) {
    if (m_Owner.m_Faults.m_Delay.count() == 0) {
      write(Side);
      return;
    }
    // Each chunk restarts the timer; it sends all chunks buffered by then.
    Side.m_Delay = m_Owner.m_Loop.once(
        m_Owner.m_Faults.m_Delay,
        [Self = shared_from_this(), &Side] { Self->write(Side); });
  }

  void write(Direction &Side) {
    if (Side.m_Writing || isCut(Side))
      return;
    Tcp::socket &To = other(Side).m_From;
    if (Side.m_Chunks.empty()) {
      Error Ignored;
      if (Side.m_IsReadClosed)
        To.shutdown(Tcp::socket::shutdown_send, Ignored);
      if (Side.m_IsReadClosed && other(Side).m_IsReadClosed &&
          other(Side).m_Chunks.empty())
        m_Owner.m_Connections.erase(shared_from_this());
      return;
    }
    Side.m_Writing = true;
    boost::asio::async_write(
        To, boost::asio::buffer(Side.m_Chunks.front()),
        [Self = shared_from_this(), &Side](const Error &Ec, std::size_t) {
          Side.m_Writing = false;
          if (Ec == boost::asio::error::operation_aborted)
            return;
          if (Ec) {
            Self->reset();
            return;
          }
          Side.m_Chunks.pop_front();
          Self->write(Side);
          Self->read(Side);
        });
  }

  FaultyProxy &m_Owner;
  Direction m_Forward;
  Direction m_Back;
  bool m_IsBlackholed = false;
};

FaultyProxy::FaultyProxy(EventLoop &Loop)
    : m_Loop(Loop),
      m_Acceptor(Loop.io(),
                 Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
  accept();
}

FaultyProxy::~FaultyProxy() {
  Error Ignored;
  m_Acceptor.close(Ignored);
  resetConnections();
}

Address FaultyProxy::address() const {
  return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
}

void FaultyProxy::accept() {
  m_Acceptor.async_accept([this](const Error &Ec, Tcp::socket Socket) {
    if (Ec == boost::asio::error::operation_aborted)
      return;
    if (!Ec && m_Faults.m_Refuse) {
      resetSocket(Socket);
    } else if (!Ec) {
      auto Added = std::make_shared<Connection>(*this, std::move(Socket));
      m_Connections.insert(Added);
      Added->connect();
    }
    accept();
  });
}

void FaultyProxy::set(const Faults &NewFaults) {
  m_Faults = NewFaults;
  auto Connections = m_Connections;
  for (const auto &Open : Connections)
    Open->resume();
}

void FaultyProxy::resetConnections() {
  auto Connections = m_Connections;
  for (const auto &Open : Connections)
    Open->reset();
}

void FaultyProxy::blackholeConnections() {
  for (const auto &Open : m_Connections)
    Open->blackhole();
}

} // namespace auburnhub::platform
