#include "auburnhub/Http/HttpClient.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace auburnhub {
namespace {

namespace net = Poco::Net;

constexpr Milliseconds ShortestTimeout{1};
/// Below the servers' keep-alive timeout, so that an idle connection is not
/// reused just as the server closes it.
constexpr int IdleReuseSeconds = 5;

Poco::Timespan timeLeft(MonotonicTime Deadline) {
  auto Left =
      std::chrono::duration_cast<Milliseconds>(Deadline - TimerService::now());
  return Poco::Timespan(std::max(Left, ShortestTimeout).count() * 1000);
}

/// Exposes what HTTPClientSession keeps to itself.
class PlainSession : public net::HTTPClientSession {
public:
  using net::HTTPClientSession::HTTPClientSession;

  void open(const Poco::Timespan &Timeout) {
    net::StreamSocket Socket;
    Socket.connect(net::SocketAddress(getHost(), getPort()), Timeout);
    Socket.setNoDelay(true);
    attachSocket(Socket);
  }

  /// An idle connection has nothing to read, unless the server closed it or
  /// sent something that no request of ours asked for.
  bool isReusable() {
    return socket().impl()->initialized() &&
           !socket().poll(Poco::Timespan(0), net::Socket::SELECT_READ);
  }
};

} // namespace

struct HttpClient::Session {
  explicit Session(const Address &Server)
      : m_Http(Server.m_Host, Server.m_Port) {
    m_Http.setKeepAlive(true);
    m_Http.setKeepAliveTimeout(Poco::Timespan(IdleReuseSeconds, 0));
  }
  PlainSession m_Http;
  MonotonicTime m_LastUse;
};

HttpClient::HttpClient(Address Server, std::size_t MaxBodyBytes)
    : m_Server(std::move(Server)), m_MaxBodyBytes(MaxBodyBytes) {}

HttpClient::~HttpClient() = default;

absl::StatusOr<HttpResponse> HttpClient::call(const HttpRequest &Request,
                                              Milliseconds Timeout) {
  MonotonicTime Deadline = TimerService::now() + Timeout;
  absl::Status Connected = connect(Deadline);
  if (!Connected.ok())
    return Connected;
  absl::StatusOr<HttpResponse> Response = exchange(Request, Deadline);
  if (!Response.ok()) {
    m_Session.reset();
    return Response;
  }
  if (m_Session)
    m_Session->m_LastUse = TimerService::now();
  return Response;
}

absl::Status HttpClient::connect(MonotonicTime Deadline) {
  try {
    bool IsIdleTooLong =
        m_Session && TimerService::now() - m_Session->m_LastUse >
                         std::chrono::seconds(IdleReuseSeconds);
    if (m_Session && (IsIdleTooLong || !m_Session->m_Http.isReusable()))
      m_Session.reset();
    if (m_Session)
      return absl::OkStatus();
    auto Fresh = std::make_unique<Session>(m_Server);
    Fresh->m_Http.open(timeLeft(Deadline));
    m_Session = std::move(Fresh);
    return absl::OkStatus();
  } catch (const Poco::Exception &E) {
    m_Session.reset();
    return makeFailure(FailureCode::EndpointRefused,
                       m_Server.str() + ": " + E.displayText());
  }
}

absl::StatusOr<HttpResponse> HttpClient::exchange(const HttpRequest &Request,
                                                  MonotonicTime Deadline) {
  try {
    net::HTTPRequest Out(Request.m_Method, Request.m_Path,
                         net::HTTPMessage::HTTP_1_1);
    for (const auto &[Name, Value] : Request.m_Headers.fields())
      Out.set(Name, Value);
    Out.setContentLength64(static_cast<std::int64_t>(Request.m_Body.size()));
    m_Session->m_Http.setTimeout(timeLeft(Deadline));
    m_Session->m_Http.socket().setReceiveTimeout(timeLeft(Deadline));
    m_Session->m_Http.socket().setSendTimeout(timeLeft(Deadline));
    std::ostream &Body = m_Session->m_Http.sendRequest(Out);
    Body.write(Request.m_Body.data(),
               static_cast<std::streamsize>(Request.m_Body.size()));
    Body.flush();

    net::HTTPResponse In;
    std::istream &Stream = m_Session->m_Http.receiveResponse(In);
    HttpResponse Response;
    Response.m_Status = In.getStatus();
    Response.m_ContentType = In.getContentType();
    for (const auto &[Name, Value] : In)
      Response.m_Headers.set(Name, Value);
    std::array<char, 16384> Buf;
    while (Stream.read(Buf.data(), Buf.size()), Stream.gcount() > 0) {
      Response.m_Body.append(Buf.data(),
                             static_cast<std::size_t>(Stream.gcount()));
      if (Response.m_Body.size() > m_MaxBodyBytes)
        return makeFailure(FailureCode::EndpointFailed,
                           m_Server.str() + ": the reply is too long");
      if (TimerService::now() > Deadline)
        return makeFailure(FailureCode::Timeout,
                           m_Server.str() + ": the reply came too slowly");
      m_Session->m_Http.socket().setReceiveTimeout(timeLeft(Deadline));
    }
    bool IsCut = In.hasContentLength() &&
                 In.getContentLength64() !=
                     static_cast<std::int64_t>(Response.m_Body.size());
    if (IsCut)
      return makeFailure(FailureCode::EndpointFailed,
                         m_Server.str() + ": the reply was cut short");
    if (!In.getKeepAlive())
      m_Session.reset();
    return Response;
  } catch (const Poco::TimeoutException &) {
    return makeFailure(FailureCode::Timeout,
                       m_Server.str() + ": no reply in time");
  } catch (const Poco::Exception &E) {
    return makeFailure(FailureCode::ConnectionLost,
                       m_Server.str() + ": " + E.displayText());
  } catch (const std::ios_base::failure &E) {
    return makeFailure(FailureCode::ConnectionLost,
                       m_Server.str() + ": " + E.what());
  }
}

} // namespace auburnhub
