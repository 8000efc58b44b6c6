#include "auburnhub/Http/HttpServer.h"

#include "HttpConnection.h"

#include "auburnhub/Base/Log.h"

#include <Poco/Event.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Thread.h>
#include <Poco/ThreadPool.h>

#include <atomic>

namespace auburnhub {
namespace {

namespace net = Poco::Net;

constexpr int ThreadStackBytes = 256 * 1024;
constexpr int ListenBacklog = 512;

Poco::Timespan toTimespan(Milliseconds Ms) {
  return Poco::Timespan(Ms.count() * 1000);
}

/// How soon the acceptor notices that it is to stop, or that a thread is free.
constexpr Milliseconds AcceptorPause{50};

/// Serves a connection on a pooled thread, and is gone with it.
class ConnectionRun : public Poco::Runnable {
public:
  template <typename... Arguments>
  explicit ConnectionRun(Arguments &&...Given)
      : m_Connection(std::forward<Arguments>(Given)...) {}

  void run() override {
    std::unique_ptr<ConnectionRun> Self(this);
    m_Connection.run();
  }

private:
  HttpConnection m_Connection;
};

} // namespace

/// Accepts connections on a thread of its own and gives each a pooled thread.
///
/// Poco::Net::TCPServer drops connections that it has accepted, but not yet
/// given to a thread, when it is stopped; here they are served.
class HttpServer::Impl : Poco::Runnable {
public:
  Impl(const net::ServerSocket &Socket, const HttpServerOptions &Options,
       Handler Handle)
      : m_Options(Options), m_Handle(std::move(Handle)), m_Socket(Socket),
        m_Pool("http", 2, Options.m_MaxConnections + 1, /*idleTime=*/10,
               ThreadStackBytes),
        m_Params(makeParams(Options)) {
    m_Acceptor.start(*this);
  }

  /// Serves what has arrived and ends all connections.
  void stop() {
    m_Stopping = true;
    m_Wake.set();
    m_Acceptor.join();
    m_Pool.joinAll();
  }

private:
  static net::HTTPServerParams::Ptr
  makeParams(const HttpServerOptions &Options) {
    net::HTTPServerParams::Ptr Params(new net::HTTPServerParams);
    Params->setKeepAlive(true);
    Params->setMaxKeepAliveRequests(0);
    Params->setKeepAliveTimeout(toTimespan(Options.m_KeepAliveTimeout));
    Params->setTimeout(toTimespan(Options.m_ReadTimeout));
    return Params;
  }

  void run() override {
    while (!m_Stopping)
      acceptWithin(AcceptorPause);
    m_StopConnections.notify(this, true);
    while (acceptWithin(Milliseconds(0)))
      ;
    m_Socket.close();
  }

  /// Returns whether a connection was there. One that finds no thread waits.
  bool acceptWithin(Milliseconds Limit) {
    try {
      if (!m_Socket.poll(toTimespan(Limit), net::Socket::SELECT_READ))
        return false;
      while (m_Pool.available() == 0)
        m_Wake.tryWait(AcceptorPause.count());
      m_Pool.start(*new ConnectionRun(m_Socket.acceptConnection(), m_Options,
                                      m_Params, m_Handle, m_StopConnections,
                                      m_Stopping.load()));
    } catch (const Poco::Exception &E) {
      // The caller went away, or descriptors are short; the next try tells.
      m_Log.warning("connection_not_accepted", {{"detail", E.displayText()}});
      m_Wake.tryWait(AcceptorPause.count());
    }
    return true;
  }

  const HttpServerOptions m_Options;
  const Handler m_Handle;
  net::ServerSocket m_Socket;
  Poco::ThreadPool m_Pool;
  const net::HTTPServerParams::Ptr m_Params;
  HttpStopEvent m_StopConnections;
  std::atomic<bool> m_Stopping{false};
  Poco::Event m_Wake{/*autoReset=*/true};
  Log m_Log{"http"};
  Poco::Thread m_Acceptor;
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
