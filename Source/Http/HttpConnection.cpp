#include "HttpConnection.h"

#include "auburnhub/Http/Problem.h"

#include <Poco/Delegate.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPFixedLengthStream.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace auburnhub {
namespace {

namespace net = Poco::Net;

constexpr int MaxHeaderFields = 100;
/// How far beyond the limit a body is read and dropped to keep the connection.
constexpr std::size_t MaxDrainedBytes = std::size_t{1} << 20;
/// Bounds on what is read and dropped before a connection is closed, so that
/// the peer gets to read the response: closing with unread data resets it.
constexpr std::size_t MaxLingerBytes = std::size_t{16} << 20;
constexpr Milliseconds LingerTime{1000};
constexpr std::size_t BufferBytes = 16384;
/// How long a connection that was opened while the server stops may take to
/// send its request: a local round trip, generously.
constexpr Milliseconds LastRequestTime{100};

Poco::Timespan toTimespan(Milliseconds Ms) {
  return Poco::Timespan(Ms.count() * 1000);
}

absl::Status badRequest(std::string_view Detail) {
  return makeFailure(FailureCode::BadRequest, Detail);
}

std::size_t countFields(const net::HTTPRequest &Head, const std::string &Name) {
  auto IsNamed = [&](const auto &Field) {
    return Poco::icompare(Field.first, Name) == 0;
  };
  return static_cast<std::size_t>(
      std::count_if(Head.begin(), Head.end(), IsNamed));
}

bool isSupportedVersion(const net::HTTPRequest &Head) {
  return Head.getVersion() == net::HTTPMessage::HTTP_1_0 ||
         Head.getVersion() == net::HTTPMessage::HTTP_1_1;
}

/// Reads Content-Length; zero if there is none, as RFC 9112 says.
absl::StatusOr<std::int64_t> bodyLength(const net::HTTPRequest &Head) {
  if (Head.has(net::HTTPMessage::TRANSFER_ENCODING))
    return makeFailure(FailureCode::LengthRequired,
                       "a body needs Content-Length; transfer codings are not "
                       "supported");
  std::size_t Fields = countFields(Head, net::HTTPMessage::CONTENT_LENGTH);
  if (Fields == 0)
    return 0;
  if (Fields > 1)
    return badRequest("there is more than one Content-Length");
  const std::string &Text = Head.get(net::HTTPMessage::CONTENT_LENGTH);
  std::int64_t Length = 0;
  const char *Last = Text.data() + Text.size();
  auto [End, Ec] = std::from_chars(Text.data(), Last, Length);
  if (Ec != std::errc() || End != Last || Length < 0)
    return badRequest("Content-Length is not a number of bytes");
  return Length;
}

/// Tells whether a field value has a character that RFC 9110 forbids (5.5).
bool hasControlCharacter(std::string_view Value) {
  return std::any_of(Value.begin(), Value.end(), [](unsigned char C) {
    return std::iscntrl(C) != 0 && C != '\t';
  });
}

bool timedOut(const net::HTTPServerSession &Session) {
  return dynamic_cast<const Poco::TimeoutException *>(
             Session.networkException()) != nullptr;
}

void write(net::HTTPServerSession &Session, const HttpResponse &Response,
           bool KeepAlive, bool WithBody) {
  net::HTTPResponse Out(
      net::HTTPMessage::HTTP_1_1,
      static_cast<net::HTTPResponse::HTTPStatus>(Response.m_Status));
  Out.setDate(Poco::Timestamp());
  Out.setContentType(Response.m_ContentType);
  for (const auto &[Name, Value] : Response.m_Headers.fields())
    Out.set(Name, Value);
  Out.setContentLength64(static_cast<std::int64_t>(Response.m_Body.size()));
  Out.setKeepAlive(KeepAlive);
  net::HTTPHeaderOutputStream Stream(Session);
  Out.write(Stream);
  if (WithBody)
    Stream.write(Response.m_Body.data(),
                 static_cast<std::streamsize>(Response.m_Body.size()));
  Stream.flush();
  Session.setKeepAlive(KeepAlive && Stream.good());
}

void writeContinue(net::HTTPServerSession &Session) {
  net::HTTPResponse Out(net::HTTPMessage::HTTP_1_1,
                        net::HTTPResponse::HTTP_CONTINUE);
  net::HTTPHeaderOutputStream Stream(Session);
  Out.write(Stream);
  Stream.flush();
}

/// Makes the response to a request that did not arrive whole or well-formed.
/// Outcome is "unknown" where it may carry the id of an earlier submission.
HttpResponse refuse(const absl::Status &Why, bool MayHaveId) {
  return problemResponse({failureCode(Why), failureDetail(Why),
                          MayHaveId ? "unknown" : "not_run", "", 0});
}

} // namespace

HttpConnection::HttpConnection(const net::StreamSocket &Socket,
                               const HttpServerOptions &Options,
                               net::HTTPServerParams::Ptr Params,
                               const HttpServer::Handler &Handle,
                               HttpStopEvent &Stop, bool IsLast)
    : m_Socket(Socket), m_Options(Options), m_Params(std::move(Params)),
      m_Handle(Handle), m_Stop(Stop), m_Stopped(IsLast) {
  m_Stop += Poco::delegate(this, &HttpConnection::onStop);
}

HttpConnection::~HttpConnection() {
  m_Stop -= Poco::delegate(this, &HttpConnection::onStop);
}

void HttpConnection::run() {
  try {
    net::HTTPServerSession Session(m_Socket, m_Params);
    while (hasRequest(Session)) {
      std::lock_guard Lock(m_Serving);
      serveOne(Session);
    }
    if (!Session.getKeepAlive())
      lingerBeforeClose();
  } catch (const Poco::Exception &) {
    // The connection broke or the peer closed it; there is nobody to tell.
    return;
  }
}

bool HttpConnection::hasRequest(net::HTTPServerSession &Session) {
  if (!m_Stopped)
    return Session.hasMoreRequests();
  return Session.getKeepAlive() &&
         m_Socket.poll(toTimespan(LastRequestTime), net::Socket::SELECT_READ) &&
         Session.hasMoreRequests();
}

void HttpConnection::onStop(const bool &) {
  m_Stopped = true;
  std::lock_guard Lock(m_Serving);
  try {
    // A request that has come is served; without one the wait for it ends.
    if (!m_Socket.poll(Poco::Timespan(), net::Socket::SELECT_READ))
      m_Socket.shutdownReceive();
  } catch (const Poco::Exception &) {
    // It was closed already.
    return;
  }
}

void HttpConnection::serveOne(net::HTTPServerSession &Session) {
  net::HTTPRequest Head;
  Head.setFieldLimit(MaxHeaderFields);
  try {
    net::HTTPHeaderInputStream Stream(Session);
    Head.read(Stream);
  } catch (const net::NoMessageException &) {
    Session.setKeepAlive(false);
    return;
  } catch (const Poco::Exception &E) {
    if (Session.networkException() != nullptr && !timedOut(Session))
      throw;
    absl::Status Why =
        timedOut(Session)
            ? makeFailure(FailureCode::RequestTimeout,
                          "the request's head came too slowly")
            : badRequest("the request's head is malformed: " + E.message());
    write(Session, refuse(Why, /*MayHaveId=*/true), /*KeepAlive=*/false,
          /*WithBody=*/true);
    return;
  }
  bool IsReusable = false;
  HttpResponse Response = answer(Session, Head, IsReusable);
  bool KeepAlive = IsReusable && Head.getKeepAlive() && !m_Stopped;
  bool IsHead = Head.getMethod() == net::HTTPRequest::HTTP_HEAD;
  write(Session, Response, KeepAlive, !IsHead);
}

HttpResponse HttpConnection::answer(net::HTTPServerSession &Session,
                                    net::HTTPRequest &Head, bool &IsReusable) {
  bool MayHaveId = Head.has("Idempotency-Key");
  if (!isSupportedVersion(Head))
    return refuse(badRequest("the version must be HTTP/1.0 or HTTP/1.1"),
                  MayHaveId);
  Body Received = readBody(Session, Head);
  IsReusable = Received.m_IsReusable;
  if (!Received.m_Status.ok())
    return refuse(Received.m_Status, MayHaveId);
  for (const auto &[Name, Value] : Head)
    if (hasControlCharacter(Value))
      return refuse(badRequest("a header has a control character"), MayHaveId);
  HttpRequest Request;
  Request.m_Method = Head.getMethod();
  Request.m_Path = Head.getURI();
  for (const auto &[Name, Value] : Head)
    Request.m_Headers.set(Name, Value);
  Request.m_Body = std::move(Received.m_Data);
  return handle(Request);
}

HttpResponse HttpConnection::handle(const HttpRequest &Request) const {
  try {
    return m_Handle(Request);
  } catch (const std::exception &) {
    return problemResponse({FailureCode::Internal,
                            "the request met a fault of this program",
                            "unknown", "", 0});
  }
}

HttpConnection::Body
HttpConnection::readBody(net::HTTPServerSession &Session,
                         const net::HTTPRequest &Head) const {
  absl::StatusOr<std::int64_t> Length = bodyLength(Head);
  if (!Length.ok())
    return {Length.status(), "", false};
  std::size_t Limit = m_Options.m_MaxBodyBytes;
  if (*Length <= static_cast<std::int64_t>(Limit)) {
    if (*Length > 0 && Head.getExpectContinue())
      writeContinue(Session);
    return receive(Session, *Length, Limit);
  }
  Body Result;
  bool IsDrained = *Length <= static_cast<std::int64_t>(Limit) +
                                  static_cast<std::int64_t>(MaxDrainedBytes) &&
                   !Head.getExpectContinue();
  if (IsDrained)
    Result = receive(Session, *Length, /*Kept=*/0);
  Result.m_Status = makeFailure(FailureCode::PayloadTooLarge,
                                "the body is longer than " +
                                    std::to_string(Limit) + " bytes");
  return Result;
}

HttpConnection::Body HttpConnection::receive(net::HTTPServerSession &Session,
                                             std::int64_t Length,
                                             std::size_t Kept) const {
  Body Result;
  MonotonicTime Deadline = TimerService::now() + m_Options.m_ReadTimeout;
  net::HTTPFixedLengthInputStream In(Session, Length);
  std::array<char, BufferBytes> Buf;
  std::int64_t Received = 0;
  bool IsSlow = false;
  while (Received < Length && !IsSlow) {
    // get() waits for the next piece, readsome() takes what came with it.
    int First = In.get();
    if (First == std::char_traits<char>::eof())
      break;
    Buf[0] = static_cast<char>(First);
    std::streamsize More = In.readsome(Buf.data() + 1, Buf.size() - 1);
    std::size_t Count = 1 + static_cast<std::size_t>(More);
    Received += static_cast<std::int64_t>(Count);
    Result.m_Data.append(Buf.data(),
                         std::min(Count, Kept - Result.m_Data.size()));
    IsSlow = TimerService::now() > Deadline;
  }
  Result.m_IsReusable = Received == Length;
  if (Result.m_IsReusable)
    return Result;
  Result.m_Status =
      IsSlow || timedOut(Session)
          ? makeFailure(FailureCode::RequestTimeout, "the body came too slowly")
          : badRequest("the body is shorter than Content-Length");
  return Result;
}

void HttpConnection::lingerBeforeClose() {
  m_Socket.shutdownSend();
  MonotonicTime Deadline = TimerService::now() + LingerTime;
  m_Socket.setReceiveTimeout(toTimespan(LingerTime));
  std::array<char, BufferBytes> Buf;
  std::size_t Dropped = 0;
  while (Dropped < MaxLingerBytes && TimerService::now() < Deadline) {
    int Count = m_Socket.receiveBytes(Buf.data(), Buf.size());
    if (Count <= 0)
      return;
    Dropped += static_cast<std::size_t>(Count);
  }
}

} // namespace auburnhub
