#include "auburnhub/Http/HttpServer.h"

#include "auburnhub/Http/Problem.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <array>

namespace auburnhub {
namespace {

namespace net = Poco::Net;

constexpr int ThreadStackBytes = 256 * 1024;
constexpr int ListenBacklog = 512;

Poco::Timespan toTimespan(Milliseconds Ms) {
  return Poco::Timespan(Ms.count() * 1000);
}

absl::Status tooLarge(std::size_t Limit) {
  return makeFailure(FailureCode::PayloadTooLarge, "the body is longer than " +
                                                       std::to_string(Limit) +
                                                       " bytes");
}

/// Reads the body within the limits on size and time.
absl::StatusOr<std::string> readBody(net::HTTPServerRequest &Request,
                                     const HttpServerOptions &Options) {
  std::size_t Limit = Options.m_MaxBodyBytes;
  bool HasLength = Request.hasContentLength();
  auto Length = HasLength ? Request.getContentLength64() : 0;
  if (HasLength && Length > static_cast<std::int64_t>(Limit))
    return tooLarge(Limit);
  MonotonicTime Deadline = TimerService::now() + Options.m_ReadTimeout;
  std::string Body;
  std::array<char, 16384> Buf;
  std::istream &In = Request.stream();
  while (In.read(Buf.data(), Buf.size()), In.gcount() > 0) {
    Body.append(Buf.data(), static_cast<std::size_t>(In.gcount()));
    if (Body.size() > Limit)
      return tooLarge(Limit);
    if (TimerService::now() > Deadline)
      return makeFailure(FailureCode::Timeout, "the body came too slowly");
  }
  if (HasLength && static_cast<std::int64_t>(Body.size()) != Length)
    return makeFailure(FailureCode::BadRequest,
                       "the body is shorter than Content-Length");
  return Body;
}

void write(net::HTTPServerResponse &Out, const HttpResponse &Response) {
  Out.setStatusAndReason(
      static_cast<net::HTTPResponse::HTTPStatus>(Response.m_Status));
  Out.setContentType(Response.m_ContentType);
  for (const auto &[Name, Value] : Response.m_Headers.fields())
    Out.set(Name, Value);
  Out.sendBuffer(Response.m_Body.data(), Response.m_Body.size());
}

class RequestHandler : public net::HTTPRequestHandler {
public:
  RequestHandler(const HttpServerOptions &Options,
                 const HttpServer::Handler &Handle)
      : m_Options(Options), m_Handle(Handle) {}

  void handleRequest(net::HTTPServerRequest &In,
                     net::HTTPServerResponse &Out) override {
    HttpRequest Request;
    Request.m_Method = In.getMethod();
    Request.m_Path = In.getURI();
    for (const auto &[Name, Value] : In)
      Request.m_Headers.set(Name, Value);
    absl::StatusOr<std::string> Body = readBody(In, m_Options);
    if (!Body.ok()) {
      // What is left of the body cannot be told from a next request.
      Out.setKeepAlive(false);
      Problem What{failureCode(Body.status()), failureDetail(Body.status()),
                   Request.m_Headers.get("Idempotency-Key").empty() ? "not_run"
                                                                    : "unknown",
                   "", 0};
      write(Out, problemResponse(What));
      return;
    }
    Request.m_Body = std::move(*Body);
    write(Out, m_Handle(Request));
  }

private:
  const HttpServerOptions &m_Options;
  const HttpServer::Handler &m_Handle;
};

class HandlerFactory : public net::HTTPRequestHandlerFactory {
public:
  HandlerFactory(const HttpServerOptions &Options, HttpServer::Handler Handle)
      : m_Options(Options), m_Handle(std::move(Handle)) {}

  net::HTTPRequestHandler *
  createRequestHandler(const net::HTTPServerRequest &) override {
    return new RequestHandler(m_Options, m_Handle);
  }

private:
  const HttpServerOptions m_Options;
  const HttpServer::Handler m_Handle;
};

} // namespace

class HttpServer::Impl {
public:
  Impl(const net::ServerSocket &Socket, const HttpServerOptions &Options,
       Handler Handle)
      : m_Pool("http", 2, Options.m_MaxConnections + 1, /*idleTime=*/10,
               ThreadStackBytes),
        m_Server(new HandlerFactory(Options, std::move(Handle)), m_Pool, Socket,
                 makeParams(Options)) {
    m_Server.start();
  }

  void stop() {
    m_Server.stopAll(false);
    m_Pool.joinAll();
  }

private:
  static net::HTTPServerParams::Ptr
  makeParams(const HttpServerOptions &Options) {
    net::HTTPServerParams::Ptr Params(new net::HTTPServerParams);
    Params->setMaxThreads(Options.m_MaxConnections);
    Params->setMaxQueued(ListenBacklog);
    Params->setKeepAlive(true);
    Params->setMaxKeepAliveRequests(0);
    Params->setKeepAliveTimeout(toTimespan(Options.m_KeepAliveTimeout));
    Params->setTimeout(toTimespan(Options.m_ReadTimeout));
    return Params;
  }

  Poco::ThreadPool m_Pool;
  net::HTTPServer m_Server;
};

HttpServer::HttpServer(std::unique_ptr<Impl> Server, Address Where)
    : m_Impl(std::move(Server)), m_Address(std::move(Where)) {}

HttpServer::~HttpServer() { stop(); }

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::start(const Address &Where, const HttpServerOptions &Options,
                  Handler Handle) {
  try {
    net::ServerSocket Socket;
    Socket.bind(net::SocketAddress(Where.m_Host, Where.m_Port),
                /*reuseAddress=*/true, /*reusePort=*/false);
    Socket.listen(ListenBacklog);
    Address Bound{Where.m_Host, Socket.address().port()};
    auto Server = std::make_unique<Impl>(Socket, Options, std::move(Handle));
    return std::unique_ptr<HttpServer>(
        new HttpServer(std::move(Server), std::move(Bound)));
  } catch (const Poco::Exception &E) {
    return absl::UnavailableError("cannot listen on " + Where.str() + ": " +
                                  E.displayText());
  }
}

void HttpServer::stop() {
  if (m_Impl)
    m_Impl->stop();
  m_Impl.reset();
}

} // namespace auburnhub
