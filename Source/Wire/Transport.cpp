#include "auburnhub/Wire/Transport.h"

#include "WholeMessage.h"

#include "auburnhub/Base/ClientAccount.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace auburnhub {
namespace {

using Server = websocketpp::server<WholeMessages<websocketpp::config::asio>>;
using Client =
    websocketpp::client<WholeMessages<websocketpp::config::asio_client>>;
using Handle = websocketpp::connection_hdl;

constexpr long OpenTimeoutMs = 2000;
constexpr long CloseTimeoutMs = 500;
constexpr std::chrono::milliseconds FlushCheckPeriod{5};
constexpr int FlushChecks = 200;

/// Longest message of a peer that is not admitted yet, in bytes: its greeting
/// names all nodes that it knows.
constexpr std::size_t MaxFirstMessageBytes = 65536;

/// Memory of an incoming connection by the account: its read buffer, and its
/// handshake or first message.
constexpr std::size_t LinkBytes = 32768;

/// Bodies before a handshake, in bytes: none is expected.
constexpr std::size_t MaxHandshakeBodyBytes = 0;

struct Connection {
  Handle m_Handle;
  bool m_Incoming;
};

template <typename EndpointType> void silence(EndpointType &Endpoint) {
  Endpoint.clear_access_channels(websocketpp::log::alevel::all);
  Endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

void disableNagle(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ec;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ec);
}

} // namespace

class Transport::Impl {
public:
  Impl(std::size_t MaxMessageBytes, TransportEvents Events,
       boost::asio::io_context *Loop)
      : m_MaxMessageBytes(MaxMessageBytes), m_Events(std::move(Events)),
        m_OwnIo(Loop ? nullptr : std::make_unique<boost::asio::io_context>()),
        m_Io(Loop ? *Loop : *m_OwnIo), m_IsOnLoop(Loop != nullptr) {
    setUp(m_Server, true);
    setUp(m_Client, false);
    m_Server.set_reuse_addr(true);
    m_Server.set_open_handler([this](const Handle &H) { opened(H); });
    m_Server.set_fail_handler([this](const Handle &H) { leave(H); });
    // Other versions of the protocol know no length of a message.
    m_Server.set_validate_handler([this](const Handle &H) {
      return m_Server.get_con_from_hdl(H)->get_request_header(
                 "Sec-WebSocket-Version") == "13";
    });
    if (Loop)
      return;
    m_Work.emplace(boost::asio::make_work_guard(m_Io));
    m_Thread = std::thread([this] { m_Io.run(); });
  }

  ~Impl() { stop(); }

  absl::StatusOr<std::uint16_t> listen(const std::string &Host,
                                       std::uint16_t Port) {
    websocketpp::lib::error_code Ec;
    boost::system::error_code AddressEc;
    auto Ip = boost::asio::ip::make_address(Host, AddressEc);
    if (AddressEc)
      return absl::UnavailableError("not an IP number: " + Host);
    m_Server.listen(boost::asio::ip::tcp::endpoint(Ip, Port), Ec);
    if (Ec)
      return absl::UnavailableError("cannot listen on " + Host + ":" +
                                    std::to_string(Port) + ": " + Ec.message());
    m_Listening = true;
    m_Server.start_accept(Ec);
    boost::system::error_code LocalEc;
    return m_Server.get_local_endpoint(LocalEc).port();
  }

  ConnectionId connect(const std::string &Host, std::uint16_t Port) {
    ConnectionId Id = ++m_LastId;
    if (m_IsOnLoop)
      m_Unstarted.insert(Id);
    boost::asio::post(m_Io,
                      [this, Id, Host, Port] { startConnect(Id, Host, Port); });
    return Id;
  }

  void send(ConnectionId Id, std::string Bytes) {
    boost::asio::dispatch(
        m_Io, [this, Id, Bytes = std::move(Bytes)] { sendNow(Id, Bytes); });
  }

  void close(ConnectionId Id) {
    boost::asio::post(m_Io, [this, Id] { closeNow(Id); });
  }

  void setAccount(std::shared_ptr<ClientAccount> Account) {
    m_Account = std::move(Account);
  }

  void admit(ConnectionId Id) {
    auto Found = m_Connections.find(Id);
    if (!m_Account || Found == m_Connections.end() || !Found->second.m_Incoming)
      return;
    visit(Found->second,
          [this](auto &Con) { Con.set_max_message_size(m_MaxMessageBytes); });
    if (auto Client = m_Clients.find(Found->second.m_Handle);
        Client != m_Clients.end())
      m_Account->enter(Client->second, ClientPhase::Serving);
  }

  void abandon(ConnectionId Id) {
    m_Unstarted.erase(Id);
    auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end())
      return;
    Connection Item = Found->second;
    m_Connections.erase(Found);
    visit(Item, [](auto &Con) {
      boost::system::error_code Ec;
      Con.get_raw_socket().close(Ec);
    });
  }

  std::size_t queuedBytes(ConnectionId Id) {
    auto Found = m_Connections.find(Id);
    std::size_t Total = 0;
    if (Found != m_Connections.end())
      visit(Found->second,
            [&](auto &Con) { Total = Con.get_buffered_amount(); });
    return Total;
  }

  void stop() {
    if (!m_Thread.joinable()) {
      // On somebody else's loop nothing may call back any more.
      if (!m_Stopped.exchange(true))
        closeSockets();
      for (const auto &[H, Client] : m_Clients)
        m_Account->close(Client);
      m_Clients.clear();
      m_Connections.clear();
      return;
    }
    m_Stopped = true;
    boost::asio::post(m_Io, [this] { stopWhenFlushed(FlushChecks); });
    m_Thread.join();
    m_Connections.clear();
  }

  TransportTraffic traffic() const {
    TransportTraffic Result;
    Result.m_BytesSent = m_BytesSent;
    Result.m_BytesReceived = m_BytesReceived;
    Result.m_MessagesSent = m_MessagesSent;
    Result.m_MessagesReceived = m_MessagesReceived;
    return Result;
  }

private:
  template <typename EndpointType>
  void setUp(EndpointType &Endpoint, bool Incoming) {
    silence(Endpoint);
    Endpoint.init_asio(&m_Io);
    Endpoint.set_max_message_size(m_MaxMessageBytes);
    Endpoint.set_max_http_body_size(MaxHandshakeBodyBytes);
    Endpoint.set_open_handshake_timeout(OpenTimeoutMs);
    Endpoint.set_close_handshake_timeout(CloseTimeoutMs);
    Endpoint.set_tcp_post_init_handler([this, Incoming](const Handle &H) {
      if (Incoming)
        arrived(H);
      else
        disableNagle(m_Client.get_con_from_hdl(H)->get_raw_socket());
    });
  }

  /// Asks the account for a connection that has been accepted.
  void arrived(const Handle &H) {
    Server::connection_ptr Con = m_Server.get_con_from_hdl(H);
    disableNagle(Con->get_raw_socket());
    if (!m_Account)
      return;
    boost::system::error_code Ec;
    std::string Peer =
        Con->get_raw_socket().remote_endpoint(Ec).address().to_string();
    if (!m_Account->canOpen()) {
      m_Account->report(ClientFault::Connections, Peer);
      closeSocket(H);
      return;
    }
    ClientAccount::Id Client =
        m_Account->open(Peer, [this, H] { closeSocket(H); });
    if (Client == 0) {
      closeSocket(H);
      return;
    }
    m_Clients[H] = Client;
    Con->set_max_message_size(
        std::min(m_MaxMessageBytes, MaxFirstMessageBytes));
    if (!m_Account->hold(Client, LinkBytes))
      closeSocket(H);
  }

  /// Ends the account of an incoming connection.
  void leave(const Handle &H) {
    auto Found = m_Clients.find(H);
    if (Found == m_Clients.end())
      return;
    m_Account->close(Found->second);
    m_Clients.erase(Found);
  }

  void closeSocket(const Handle &H) {
    websocketpp::lib::error_code Ec;
    auto Con = m_Server.get_con_from_hdl(H, Ec);
    boost::system::error_code Ignored;
    if (!Ec)
      Con->get_raw_socket().close(Ignored);
  }

  /// Ends the loop once all queued messages are written, or after some checks.
  void stopWhenFlushed(int ChecksLeft) {
    if (ChecksLeft == 0 || bufferedBytes() == 0) {
      closeSockets();
      m_Io.stop();
      return;
    }
    m_FlushTimer.expires_after(FlushCheckPeriod);
    m_FlushTimer.async_wait([this, ChecksLeft](boost::system::error_code) {
      stopWhenFlushed(ChecksLeft - 1);
    });
  }

  /// Calls Visit with each connection that the library still has.
  template <typename Visitor> void forEachConnection(Visitor Visit) {
    for (const auto &[Id, Item] : m_Connections)
      visit(Item, Visit);
  }

  template <typename Visitor>
  void visit(const Connection &Item, Visitor Visit) {
    websocketpp::lib::error_code Ec;
    if (Item.m_Incoming) {
      auto Con = m_Server.get_con_from_hdl(Item.m_Handle, Ec);
      if (!Ec)
        Visit(*Con);
    } else {
      auto Con = m_Client.get_con_from_hdl(Item.m_Handle, Ec);
      if (!Ec)
        Visit(*Con);
    }
  }

  std::size_t bufferedBytes() {
    std::size_t Total = 0;
    forEachConnection([&](auto &Con) { Total += Con.get_buffered_amount(); });
    return Total;
  }

  void closeSockets() {
    forEachConnection([](auto &Con) {
      boost::system::error_code Ec;
      Con.get_raw_socket().close(Ec);
    });
  }

  void startConnect(ConnectionId Id, const std::string &Host,
                    std::uint16_t Port) {
    if (m_IsOnLoop && m_Unstarted.erase(Id) == 0)
      return;
    websocketpp::lib::error_code Ec;
    std::string Uri = "ws://" + Host + ":" + std::to_string(Port) + "/";
    Client::connection_ptr Con = m_Client.get_connection(Uri, Ec);
    if (Ec) {
      m_Events.m_Closed(Id, Ec.message());
      return;
    }
    m_Connections[Id] = {Con->get_handle(), false};
    Con->set_open_handler(
        [this, Id](const Handle &) { m_Events.m_Opened(Id, false); });
    Con->set_fail_handler([this, Id, Raw = Con.get()](const Handle &) {
      closed(Id, Raw->get_ec().message());
    });
    Con->set_close_handler([this, Id, Raw = Con.get()](const Handle &) {
      closed(Id, Raw->get_ec().message());
    });
    Con->set_message_handler(
        [this, Id](const Handle &, const Client::message_ptr &Msg) {
          received(Id, Msg->get_payload());
        });
    m_Client.connect(Con);
  }

  void opened(const Handle &H) {
    ConnectionId Id = ++m_LastId;
    m_Connections[Id] = {H, true};
    Server::connection_ptr Con = m_Server.get_con_from_hdl(H);
    Con->set_close_handler([this, Id, Raw = Con.get()](const Handle &Closed) {
      leave(Closed);
      closed(Id, Raw->get_ec().message());
    });
    Con->set_message_handler(
        [this, Id](const Handle &, const Server::message_ptr &Msg) {
          received(Id, Msg->get_payload());
        });
    m_Events.m_Opened(Id, true);
  }

  void received(ConnectionId Id, const std::string &Payload) {
    m_BytesReceived += Payload.size();
    ++m_MessagesReceived;
    m_Events.m_Received(Id, Payload);
  }

  void closed(ConnectionId Id, const std::string &Reason) {
    if (m_Connections.erase(Id) != 0 && !m_Stopped)
      m_Events.m_Closed(Id, Reason);
  }

  void sendNow(ConnectionId Id, const std::string &Bytes) {
    auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end())
      return;
    websocketpp::lib::error_code Ec;
    constexpr auto Binary = websocketpp::frame::opcode::binary;
    if (Found->second.m_Incoming)
      m_Server.send(Found->second.m_Handle, Bytes, Binary, Ec);
    else
      m_Client.send(Found->second.m_Handle, Bytes, Binary, Ec);
    if (Ec)
      return;
    m_BytesSent += Bytes.size();
    ++m_MessagesSent;
  }

  void closeNow(ConnectionId Id) {
    auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end())
      return;
    websocketpp::lib::error_code Ec;
    constexpr auto Normal = websocketpp::close::status::normal;
    if (Found->second.m_Incoming)
      m_Server.close(Found->second.m_Handle, Normal, "", Ec);
    else
      m_Client.close(Found->second.m_Handle, Normal, "", Ec);
  }

  const std::size_t m_MaxMessageBytes;
  TransportEvents m_Events;
  std::unique_ptr<boost::asio::io_context> m_OwnIo;
  boost::asio::io_context &m_Io;
  const bool m_IsOnLoop;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      m_Work;
  boost::asio::steady_timer m_FlushTimer{m_Io};
  Server m_Server;
  Client m_Client;
  bool m_Listening = false;
  std::atomic<bool> m_Stopped{false};
  std::atomic<ConnectionId> m_LastId{0};
  /// Used on the transport's thread only.
  std::map<ConnectionId, Connection> m_Connections;
  std::shared_ptr<ClientAccount> m_Account; ///< May be null.
  std::map<Handle, ClientAccount::Id, std::owner_less<Handle>> m_Clients;
  /// Connections on somebody else's loop whose start is posted.
  std::set<ConnectionId> m_Unstarted;
  std::atomic<std::uint64_t> m_BytesSent{0};
  std::atomic<std::uint64_t> m_BytesReceived{0};
  std::atomic<std::uint64_t> m_MessagesSent{0};
  std::atomic<std::uint64_t> m_MessagesReceived{0};
  std::thread m_Thread;
};

Transport::Transport(std::size_t MaxMessageBytes, TransportEvents Events)
    : m_Impl(std::make_unique<Impl>(MaxMessageBytes, std::move(Events),
                                    nullptr)) {}

Transport::Transport(std::size_t MaxMessageBytes, TransportEvents Events,
                     boost::asio::io_context &Loop)
    : m_Impl(
          std::make_unique<Impl>(MaxMessageBytes, std::move(Events), &Loop)) {}

Transport::~Transport() = default;

absl::StatusOr<std::uint16_t> Transport::listen(const std::string &Host,
                                                std::uint16_t Port) {
  return m_Impl->listen(Host, Port);
}

ConnectionId Transport::connect(const std::string &Host, std::uint16_t Port) {
  return m_Impl->connect(Host, Port);
}

void Transport::send(ConnectionId Connection, std::string Bytes) {
  m_Impl->send(Connection, std::move(Bytes));
}

void Transport::setAccount(std::shared_ptr<ClientAccount> Account) {
  m_Impl->setAccount(std::move(Account));
}

void Transport::admit(ConnectionId Connection) { m_Impl->admit(Connection); }

void Transport::close(ConnectionId Connection) { m_Impl->close(Connection); }

void Transport::abandon(ConnectionId Connection) {
  m_Impl->abandon(Connection);
}

std::size_t Transport::queuedBytes(ConnectionId Connection) const {
  return m_Impl->queuedBytes(Connection);
}

void Transport::stop() { m_Impl->stop(); }

TransportTraffic Transport::traffic() const { return m_Impl->traffic(); }

} // namespace auburnhub
