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

/// Chunks that one direction holds before it stops reading.
constexpr std::size_t MaxChunksHeld = 16;

void resetSocket(Tcp::socket &Socket) {
  Error Ignored;
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

/// One connection: two sockets, and for each direction the chunks on their way.
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

  /// Goes on with what a cut has held up.
  void resume() {
    write(m_Forward);
    write(m_Back);
  }

  void silence() { m_Silent = true; }

  void reset() {
    resetSocket(m_Forward.m_From);
    resetSocket(m_Back.m_From);
    m_Owner.m_Open.erase(shared_from_this());
  }

private:
  /// Bytes read from one socket, for the other one.
  struct Direction {
    explicit Direction(Tcp::socket From) : m_From(std::move(From)) {}
    Tcp::socket m_From;
    std::array<char, ChunkBytes> m_Buffer{};
    std::deque<std::vector<char>> m_Chunks;
    bool m_Reading = false;
    bool m_Writing = false;
    bool m_Ended = false; ///< The sender has closed its side.
    EventLoop::Timer m_Delay;
  };

  Direction &other(const Direction &Of) {
    return &Of == &m_Forward ? m_Back : m_Forward;
  }

  bool isCut(const Direction &Of) const {
    const Faults &Now = m_Owner.m_Faults;
    return m_Silent || (&Of == &m_Forward ? Now.m_CutForward : Now.m_CutBack);
  }

  void read(Direction &Of) {
    if (Of.m_Reading || Of.m_Ended || Of.m_Chunks.size() >= MaxChunksHeld)
      return;
    Of.m_Reading = true;
    Of.m_From.async_read_some(
        boost::asio::buffer(Of.m_Buffer),
        [Self = shared_from_this(), &Of](const Error &Ec, std::size_t Count) {
          Of.m_Reading = false;
          if (Ec == boost::asio::error::operation_aborted)
            return;
          if (Ec && Ec != boost::asio::error::eof) {
            Self->reset();
            return;
          }
          Of.m_Ended = static_cast<bool>(Ec);
          if (!Ec)
            Of.m_Chunks.emplace_back(Of.m_Buffer.begin(),
                                     Of.m_Buffer.begin() +
                                         static_cast<std::ptrdiff_t>(Count));
          Self->writeLater(Of);
          Self->read(Of);
        });
  }

  void writeLater(Direction &Of) {
    if (m_Owner.m_Faults.m_Delay.count() == 0) {
      write(Of);
      return;
    }
    // One timer serves all that has come by then.
    Of.m_Delay = m_Owner.m_Loop.once(
        m_Owner.m_Faults.m_Delay,
        [Self = shared_from_this(), &Of] { Self->write(Of); });
  }

  void write(Direction &Of) {
    if (Of.m_Writing || isCut(Of))
      return;
    Tcp::socket &To = other(Of).m_From;
    if (Of.m_Chunks.empty()) {
      Error Ignored;
      if (Of.m_Ended)
        To.shutdown(Tcp::socket::shutdown_send, Ignored);
      if (Of.m_Ended && other(Of).m_Ended && other(Of).m_Chunks.empty())
        m_Owner.m_Open.erase(shared_from_this());
      return;
    }
    Of.m_Writing = true;
    boost::asio::async_write(
        To, boost::asio::buffer(Of.m_Chunks.front()),
        [Self = shared_from_this(), &Of](const Error &Ec, std::size_t) {
          Of.m_Writing = false;
          if (Ec == boost::asio::error::operation_aborted)
            return;
          if (Ec) {
            Self->reset();
            return;
          }
          Of.m_Chunks.pop_front();
          Self->write(Of);
          Self->read(Of);
        });
  }

  FaultyProxy &m_Owner;
  Direction m_Forward;
  Direction m_Back;
  bool m_Silent = false;
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
  resetOpen();
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
      m_Open.insert(Added);
      Added->connect();
    }
    accept();
  });
}

void FaultyProxy::set(const Faults &Wanted) {
  m_Faults = Wanted;
  auto Open = m_Open;
  for (const auto &Each : Open)
    Each->resume();
}

void FaultyProxy::resetOpen() {
  auto Open = m_Open;
  for (const auto &Each : Open)
    Each->reset();
}

void FaultyProxy::silenceOpen() {
  for (const auto &Each : m_Open)
    Each->silence();
}

} // namespace auburnhub::platform
