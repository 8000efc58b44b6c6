#include "auburnhub/Http/HttpServer.h"

#include "HttpConnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/SharedPtr.h>
#include <Poco/ThreadPool.h>

namespace auburnhub {
namespace {

namespace net = Poco::Net;

constexpr int ThreadStackBytes = 256 * 1024;
constexpr int ListenBacklog = 512;

Poco::Timespan toTimespan(Milliseconds Ms) {
  return Poco::Timespan(Ms.count() * 1000);
}

/// Makes a connection object for each connection that is accepted.
class ConnectionFactory : public net::TCPServerConnectionFactory {
public:
  ConnectionFactory(const HttpServerOptions &Options,
                    net::HTTPServerParams::Ptr Params,
                    HttpServer::Handler Handle)
      : m_Options(Options), m_Params(std::move(Params)),
        m_Handle(std::move(Handle)) {}

  net::TCPServerConnection *
  createConnection(const net::StreamSocket &Socket) override {
    return new HttpConnection(Socket, m_Options, m_Params, m_Handle, m_Stop);
  }

  /// Waits for requests in progress and ends all connections.
  void stopConnections() { m_Stop.notify(this, true); }

private:
  const HttpServerOptions m_Options;
  const net::HTTPServerParams::Ptr m_Params;
  const HttpServer::Handler m_Handle;
  HttpStopEvent m_Stop;
};

} // namespace

class HttpServer::Impl {
public:
  Impl(const net::ServerSocket &Socket, const HttpServerOptions &Options,
       Handler Handle)
      : m_Pool("http", 2, Options.m_MaxConnections + 1, /*idleTime=*/10,
               ThreadStackBytes),
        m_Params(makeParams(Options)),
        m_Factory(new ConnectionFactory(Options, m_Params, std::move(Handle))),
        m_Server(m_Factory, m_Pool, Socket, m_Params) {
    m_Server.start();
  }

  void stop() {
    m_Server.stop();
    m_Factory->stopConnections();
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
  const net::HTTPServerParams::Ptr m_Params;
  Poco::SharedPtr<ConnectionFactory> m_Factory;
  net::TCPServer m_Server;
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
