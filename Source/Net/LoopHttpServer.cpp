#include "auburnhub/Net/LoopHttpServer.h"

#include "RequestReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <set>
#include <utility>

namespace auburnhub {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Pause after a failure to accept, for instance for want of descriptors, or
/// while no connection can be closed for a new one.
constexpr EventLoop::Duration AcceptPause{20};

/// Memory is asked for in blocks of this size, so that an ordinary request asks
/// once.
constexpr std::size_t BlockBytes = 8192;

constexpr std::string_view FullAnswer =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

int statusOf(ClientFault Fault) {
  constexpr int BadRequest = 400;
  constexpr int BodyTooLarge = 413;
  constexpr int HeaderTooLarge = 431;
  constexpr int Unavailable = 503;
  switch (Fault) {
  case ClientFault::BodySize:
    return BodyTooLarge;
  case ClientFault::HeaderSize:
    return HeaderTooLarge;
  case ClientFault::Memory:
    return Unavailable;
  default:
    return BadRequest;
  }
}

HttpResponse refusal(ClientFault Fault) {
  HttpResponse Result;
  Result.m_Status = statusOf(Fault);
  Result.m_Body = R"({"error":"malformed request"})";
  if (Fault == ClientFault::Memory) {
    Result.m_Headers.set("Retry-After", "1");
    Result.m_Body = R"({"error":"out of memory for requests, not run"})";
  }
  return Result;
}

} // namespace

struct LoopHttpServer::Shared : std::enable_shared_from_this<Shared> {
  Shared(EventLoop &Loop, Handler Handle,
         std::shared_ptr<ClientAccount> Account)
      : m_Loop(Loop), m_Handle(std::move(Handle)),
        m_Account(std::move(Account)), m_Acceptor(Loop.io()) {}

  void accept();
  void acceptLater();
  void onAccepted(Tcp::socket Socket);

  EventLoop &m_Loop;
  Handler m_Handle;
  std::shared_ptr<ClientAccount> m_Account;
  Tcp::acceptor m_Acceptor;
  EventLoop::Timer m_AcceptPause;
  HttpServerLimits m_Limits;
  std::set<Session *> m_Sessions;
  bool m_Draining = false;
};

/// What an exchange needs of its connection.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;
  virtual void respond(HttpResponse Response) = 0;
  virtual bool isCallerConnected() = 0;
  std::function<void()> m_CallerGone;
};

/// One connection of a caller.
class LoopHttpServer::Session
    : public HttpResponder,
      public std::enable_shared_from_this<LoopHttpServer::Session> {
public:
  Session(std::shared_ptr<Shared> Server, Tcp::socket Socket)
      : m_Server(std::move(Server)), m_Socket(std::move(Socket)) {
    m_Server->m_Sessions.insert(this);
  }
  ~Session() override {
    m_Server->m_Account->close(m_Client);
    m_Server->m_Sessions.erase(this);
  }

  /// Asks for the account's consent and reads the first request.
  void begin();
  void readRequest();
  void respond(HttpResponse Response) override;
  bool isCallerConnected() override;

private:
  /// Parses what has been read, and reads on.
  void parse();
  void readMore();
  void onRequest();
  void refuse(ClientFault Fault);
  /// Returns whether the connection may hold what its request takes.
  bool mayHold(std::size_t Bytes);
  void report(ClientFault Fault);
  /// Returns the time since the machine received the last data on the
  /// connection.
  double sinceLastDataMs();
  void watchCaller();
  void write(HttpResponse Response, bool KeepAlive);
  /// Closes the connection after a time; a fault is reported then.
  void armTimeout(EventLoop::Duration Timeout,
                  std::optional<ClientFault> Fault);
  void close();

  std::shared_ptr<Shared> m_Server;
  Tcp::socket m_Socket;
  ClientAccount::Id m_Client = 0;
  std::size_t m_HeldBytes = 0; ///< By the account, besides the connection.
  RequestReader m_Reader;
  bool m_HasBegun = false; ///< A part of a request has been read.
  http::response<http::string_body> m_Response;
  EventLoop::Timer m_Timeout;
  bool m_Waiting = false; ///< A request waits for its response.
  bool m_KeepAlive = true;
};

struct HttpExchange::State {
  HttpRequest m_Request;
  double m_ReadDelayMs = 0;
  std::shared_ptr<HttpResponder> m_Session;
};

const HttpRequest &HttpExchange::request() const { return m_State->m_Request; }

void HttpExchange::respond(HttpResponse Response) const {
  std::shared_ptr<HttpResponder> Session =
      std::exchange(m_State->m_Session, nullptr);
  if (Session)
    Session->respond(std::move(Response));
}

double HttpExchange::readDelayMs() const { return m_State->m_ReadDelayMs; }

bool HttpExchange::isCallerConnected() const {
  return m_State->m_Session && m_State->m_Session->isCallerConnected();
}

void HttpExchange::onCallerDisconnected(std::function<void()> Call) const {
  if (m_State->m_Session)
    m_State->m_Session->m_CallerGone = std::move(Call);
}

void LoopHttpServer::Shared::acceptLater() {
  m_AcceptPause = m_Loop.once(AcceptPause, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->accept();
  });
}

void LoopHttpServer::Shared::accept() {
  if (!m_Account->canOpen()) {
    acceptLater();
    return;
  }
  m_Acceptor.async_accept(
      [Self = shared_from_this()](boost::system::error_code Ec,
                                  Tcp::socket Socket) {
        if (Ec == boost::asio::error::operation_aborted)
          return;
        if (Ec) {
          Self->m_Account->report(ClientFault::Connections, "");
          Self->acceptLater();
          return;
        }
        Self->onAccepted(std::move(Socket));
        Self->accept();
      });
}

void LoopHttpServer::Shared::onAccepted(Tcp::socket Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  std::make_shared<Session>(shared_from_this(), std::move(Socket))->begin();
}

void LoopHttpServer::Session::begin() {
  boost::system::error_code Ec;
  std::string Peer = m_Socket.remote_endpoint(Ec).address().to_string();
  m_Client = m_Server->m_Account->open(Peer, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->close();
  });
  if (m_Client != 0) {
    readRequest();
    return;
  }
  ::send(m_Socket.native_handle(), FullAnswer.data(), FullAnswer.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  close();
}

void LoopHttpServer::Session::armTimeout(EventLoop::Duration Timeout,
                                         std::optional<ClientFault> Fault) {
  std::weak_ptr<Session> Weak = weak_from_this();
  m_Timeout = m_Server->m_Loop.once(Timeout, [Weak, Fault] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (Fault)
      Self->report(*Fault);
    Self->close();
  });
}

void LoopHttpServer::Session::report(ClientFault Fault) {
  ClientAccount &Account = *m_Server->m_Account;
  Account.report(Fault, Account.budget().address(m_Client));
}

void LoopHttpServer::Session::close() {
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  m_Timeout.reset();
  m_Server->m_Account->close(m_Client);
}

bool LoopHttpServer::Session::mayHold(std::size_t Bytes) {
  std::size_t Blocks = (Bytes + BlockBytes - 1) / BlockBytes * BlockBytes;
  if (Blocks == m_HeldBytes)
    return true;
  if (!m_Server->m_Account->hold(m_Client, Blocks))
    return false;
  m_HeldBytes = Blocks;
  return true;
}

void LoopHttpServer::Session::readRequest() {
  m_Reader.begin(m_Server->m_Limits);
  m_HasBegun = false;
  armTimeout(m_Server->m_Limits.m_IdleTimeout, std::nullopt);
  m_Server->m_Account->enter(m_Client, ClientPhase::Silent);
  parse();
}

void LoopHttpServer::Session::parse() {
  if (!m_HasBegun && m_Reader.hasBegun()) {
    m_HasBegun = true;
    armTimeout(m_Server->m_Limits.m_HeaderTimeout, ClientFault::RequestTime);
    m_Server->m_Account->enter(m_Client, ClientPhase::Reading);
  }
  while (true) {
    RequestReader::Result Result = m_Reader.parse();
    if (Result == RequestReader::Result::Complete)
      onRequest();
    else if (Result == RequestReader::Result::Refused)
      refuse(m_Reader.fault());
    else if (Result == RequestReader::Result::Ended)
      close();
    else if (m_HasBegun && !mayHold(m_Reader.bytesToHold()))
      refuse(ClientFault::Memory);
    else if (Result == RequestReader::Result::HasHeader)
      continue;
    else
      readMore();
    return;
  }
}

void LoopHttpServer::Session::readMore() {
  m_Socket.async_read_some(
      m_Reader.prepare(), [Self = shared_from_this()](
                              boost::system::error_code Ec, std::size_t Bytes) {
        if (Ec) {
          Self->close();
          return;
        }
        Self->m_Reader.commit(Bytes);
        Self->parse();
      });
}

void LoopHttpServer::Session::refuse(ClientFault Fault) {
  report(Fault);
  write(refusal(Fault), false);
}

void LoopHttpServer::Session::onRequest() {
  m_Timeout.reset();
  m_Server->m_Account->enter(m_Client, ClientPhase::Serving);
  m_KeepAlive = m_Reader.keepsAlive();
  m_Waiting = true;
  auto State = std::make_shared<HttpExchange::State>();
  State->m_Request = m_Reader.take();
  State->m_ReadDelayMs = sinceLastDataMs();
  State->m_Session = shared_from_this();
  m_Server->m_Handle(HttpExchange(std::move(State)));
  if (m_Waiting)
    watchCaller();
}

double LoopHttpServer::Session::sinceLastDataMs() {
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  if (::getsockopt(m_Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Length) != 0)
    return 0;
  return Info.tcpi_last_data_recv;
}

void LoopHttpServer::Session::watchCaller() {
  m_Socket.async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Ec) {
        if (!Self->m_Waiting)
          return;
        // Bytes of a next request wait until this one is answered.
        if (!Ec && Self->isCallerConnected())
          return;
        if (auto Call = std::exchange(Self->m_CallerGone, nullptr))
          Call();
      });
}

bool LoopHttpServer::Session::isCallerConnected() {
  if (!m_Socket.is_open())
    return false;
  // Sees the end of the connection also behind the bytes of a next request.
  pollfd State{m_Socket.native_handle(), POLLRDHUP, 0};
  if (::poll(&State, 1, 0) > 0 &&
      (State.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    return false;
  char Byte = 0;
  ssize_t Got = ::recv(State.fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got > 0 || (Got < 0 && (errno == EAGAIN || errno == EINTR));
}

void LoopHttpServer::Session::respond(HttpResponse Response) {
  m_Waiting = false;
  m_CallerGone = nullptr;
  write(std::move(Response), m_KeepAlive && !m_Server->m_Draining);
}

void LoopHttpServer::Session::write(HttpResponse Response, bool KeepAlive) {
  m_Response = {};
  m_Response.result(static_cast<unsigned>(Response.m_Status));
  m_Response.version(11);
  if (!Response.m_Body.empty())
    m_Response.set(http::field::content_type, Response.m_ContentType);
  for (const auto &[Name, Value] : Response.m_Headers.fields())
    m_Response.set(Name, Value);
  m_Response.body() = std::move(Response.m_Body);
  m_Response.keep_alive(KeepAlive);
  m_Response.prepare_payload();
  // A response that is too much is sent all the same; it makes others close.
  mayHold(m_Response.body().size());
  m_Server->m_Account->enter(m_Client, ClientPhase::Writing);
  armTimeout(m_Server->m_Limits.m_IdleTimeout, ClientFault::ResponseTime);
  http::async_write(m_Socket, m_Response,
                    [Self = shared_from_this(),
                     KeepAlive](boost::system::error_code Ec, std::size_t) {
                      if (Ec) {
                        Self->close();
                        return;
                      }
                      if (KeepAlive) {
                        Self->readRequest();
                        return;
                      }
                      boost::system::error_code Ignored;
                      Self->m_Socket.shutdown(Tcp::socket::shutdown_send,
                                              Ignored);
                      Self->close();
                    });
}

LoopHttpServer::LoopHttpServer(EventLoop &Loop, Handler Handle,
                               std::shared_ptr<ClientAccount> Account)
    : m_Shared(std::make_shared<Shared>(
          Loop, std::move(Handle),
          Account ? std::move(Account)
                  : std::make_shared<ClientAccount>(ClientLimits(),
                                                    EventLoop::now, nullptr))) {
}

LoopHttpServer::~LoopHttpServer() {
  boost::system::error_code Ignored;
  m_Shared->m_Acceptor.close(Ignored);
}

absl::Status LoopHttpServer::listen(const Address &Where) {
  boost::system::error_code Ec;
  auto Ip = boost::asio::ip::make_address(Where.m_Host, Ec);
  if (Ec)
    return absl::UnavailableError("not an IP number: " + Where.m_Host);
  Tcp::endpoint End(Ip, Where.m_Port);
  m_Shared->m_Acceptor.open(End.protocol(), Ec);
  if (!Ec)
    m_Shared->m_Acceptor.set_option(Tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    m_Shared->m_Acceptor.bind(End, Ec);
  if (!Ec)
    m_Shared->m_Acceptor.listen(
        boost::asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return absl::UnavailableError("cannot listen on " + Where.str() + ": " +
                                  Ec.message());
  m_Shared->accept();
  return absl::OkStatus();
}

void LoopHttpServer::setLimits(const HttpServerLimits &Limits) {
  m_Shared->m_Limits = Limits;
}

void LoopHttpServer::drain() { m_Shared->m_Draining = true; }

std::size_t LoopHttpServer::connections() const {
  return m_Shared->m_Sessions.size();
}

std::uint16_t LoopHttpServer::port() const {
  boost::system::error_code Ignored;
  return m_Shared->m_Acceptor.local_endpoint(Ignored).port();
}

} // namespace auburnhub
