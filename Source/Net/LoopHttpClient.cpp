#include "auburnhub/Net/LoopHttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

namespace auburnhub {
namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

/// Idle connections kept for each address: one renewal and the orders that
/// overlap on one worker.
constexpr std::size_t MaxIdleConnections = 8;

/// Largest response accepted, in bytes: the page size of the platform's lists.
constexpr std::uint64_t MaxResponseBytes = 4U << 20U;

/// Bound of a receive buffer, in bytes: for a header, a chunk extension or
/// trailers. Bodies are taken out of it as they arrive.
constexpr std::size_t MaxBufferBytes = 65536;

/// Receive buffer of a connection to begin with, in bytes.
constexpr std::size_t InitialBufferBytes = 1024;

/// A timeout that is handled later than this after it was due belongs to a
/// process that was paused; answers may have arrived in the meantime.
constexpr double LateTimeoutMs = 20;

/// Time to read such answers.
constexpr EventLoop::Duration LateAnswerTime{5};

struct Connection {
  explicit Connection(boost::asio::io_context &Io) : m_Socket(Io) {}
  Tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer{MaxBufferBytes};
};

/// Tells whether the peer has closed an idle connection, or sent something
/// that nobody asked for.
bool isStale(Tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

struct LoopHttpClient::Pool {
  explicit Pool(EventLoop &Loop) : m_Loop(Loop) {}

  std::unique_ptr<Connection> takeIdle(const Address &To) {
    auto Found = m_Idle.find(To);
    if (Found == m_Idle.end())
      return nullptr;
    while (!Found->second.empty()) {
      std::unique_ptr<Connection> Result = std::move(Found->second.back());
      Found->second.pop_back();
      if (!isStale(Result->m_Socket))
        return Result;
    }
    return nullptr;
  }

  void giveBack(const Address &To, std::unique_ptr<Connection> Idle) {
    auto &List = m_Idle[To];
    if (List.size() < MaxIdleConnections)
      List.push_back(std::move(Idle));
  }

  EventLoop &m_Loop;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> m_Idle;
};

/// One call, from taking a connection to its answer.
class LoopHttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(std::shared_ptr<Pool> Connections, Address To, Done Answer)
      : m_Pool(std::move(Connections)), m_To(std::move(To)),
        m_Done(std::move(Answer)) {}

  void start(HttpRequest Request, EventLoop::Duration Timeout) {
    prepare(std::move(Request));
    startTimer(Timeout);
    m_Connection = m_Pool->takeIdle(m_To);
    if (m_Connection)
      write();
    else
      connect();
  }

private:
  void startTimer(EventLoop::Duration Timeout) {
    std::weak_ptr<Exchange> Weak = weak_from_this();
    TimePoint DueAt = EventLoop::now() + Timeout;
    m_Timer = m_Pool->m_Loop.once(Timeout, [Weak, DueAt] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      bool IsLate =
          millisecondsBetween(DueAt, EventLoop::now()) > LateTimeoutMs;
      if (IsLate && !std::exchange(Self->m_IsExtended, true))
        Self->startTimer(LateAnswerTime);
      else
        Self->finish(absl::DeadlineExceededError("no answer in time"));
    });
  }

  void prepare(HttpRequest Request) {
    m_Request.method_string(Request.m_Method);
    m_Request.target(Request.m_Path);
    m_Request.version(11);
    m_Request.set(http::field::host, m_To.str());
    for (const auto &[Name, Value] : Request.m_Headers.fields())
      m_Request.set(Name, Value);
    m_Request.body() = std::move(Request.m_Body);
    if (!m_Request.body().empty() || Request.m_Method != "GET")
      m_Request.prepare_payload();
  }

  void connect() {
    m_Connection = std::make_unique<Connection>(m_Pool->m_Loop.io());
    boost::system::error_code Ec;
    auto Ip = boost::asio::ip::make_address(m_To.m_Host, Ec);
    if (Ec) {
      finishLater(absl::UnavailableError("not an IP number"));
      return;
    }
    m_Connection->m_Socket.async_connect(
        Tcp::endpoint(Ip, m_To.m_Port),
        [Self = shared_from_this()](boost::system::error_code Failed) {
          if (!Self->m_Done)
            return;
          if (Failed) {
            Self->finish(absl::UnavailableError(Failed.message()));
            return;
          }
          boost::system::error_code Ignored;
          Self->m_Connection->m_Socket.set_option(Tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  void write() {
    http::async_write(
        m_Connection->m_Socket, m_Request,
        [Self = shared_from_this()](boost::system::error_code Ec, std::size_t) {
          if (!Self->m_Done)
            return;
          if (Ec)
            Self->finish(absl::AbortedError(Ec.message()));
          else
            Self->read();
        });
  }

  void read() {
    m_Connection->m_Buffer.reserve(InitialBufferBytes);
    m_Parser.emplace();
    m_Parser->body_limit(MaxResponseBytes);
    http::async_read(
        m_Connection->m_Socket, m_Connection->m_Buffer, *m_Parser,
        [Self = shared_from_this()](boost::system::error_code Ec, std::size_t) {
          if (!Self->m_Done)
            return;
          if (Ec)
            Self->finish(absl::AbortedError(Ec.message()));
          else
            Self->answered();
        });
  }

  void answered() {
    HttpResponse Response;
    Response.m_Status = static_cast<int>(m_Parser->get().result_int());
    Response.m_Body = std::move(m_Parser->get().body());
    for (const auto &Field : m_Parser->get())
      Response.m_Headers.set(std::string(Field.name_string()),
                             std::string(Field.value()));
    if (m_Parser->keep_alive())
      m_Pool->giveBack(m_To, std::move(m_Connection));
    finish(std::move(Response));
  }

  void finishLater(const absl::Status &Why) {
    m_Pool->m_Loop.post(
        [Self = shared_from_this(), Why] { Self->finish(Why); });
  }

  void finish(absl::StatusOr<HttpResponse> Result) {
    if (!m_Done)
      return;
    m_Timer.reset();
    Done Answer = std::exchange(m_Done, nullptr);
    if (m_Connection) {
      boost::system::error_code Ignored;
      m_Connection->m_Socket.close(Ignored);
    }
    Answer(std::move(Result));
  }

  std::shared_ptr<Pool> m_Pool;
  Address m_To;
  Done m_Done;
  EventLoop::Timer m_Timer;
  bool m_IsExtended = false; ///< The timeout was late.
  std::unique_ptr<Connection> m_Connection;
  http::request<http::string_body> m_Request;
  std::optional<http::response_parser<http::string_body>> m_Parser;
};

LoopHttpClient::LoopHttpClient(EventLoop &Loop)
    : m_Pool(std::make_shared<Pool>(Loop)) {}

LoopHttpClient::~LoopHttpClient() = default;

void LoopHttpClient::call(const Address &To, HttpRequest Request,
                          EventLoop::Duration Timeout, Done Answer) {
  auto Call = std::make_shared<Exchange>(m_Pool, To, std::move(Answer));
  Call->start(std::move(Request), Timeout);
}

} // namespace auburnhub
