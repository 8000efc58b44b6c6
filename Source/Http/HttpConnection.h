#ifndef AUBURNHUB_HTTP_HTTPCONNECTION_H
#define AUBURNHUB_HTTP_HTTPCONNECTION_H

#include "auburnhub/Http/HttpServer.h"

#include <Poco/BasicEvent.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>

#include <atomic>
#include <mutex>
#include <string>

namespace auburnhub {

/// Told once when the server stops.
using HttpStopEvent = Poco::BasicEvent<const bool>;

/// Serves the requests of one connection, in turn, on its thread.
///
/// Once the server stops, a request that has arrived is still answered, and the
/// answer closes the connection.
///
/// Replaces Poco::Net::HTTPServerConnection, which answers a malformed head
/// without a body, waits for the end of the connection when a POST has no
/// Content-Length, and cannot tell a chunked body that was cut short from a
/// whole one. Heads and bodies are still read by POCO.
class HttpConnection : public Poco::Runnable {
public:
  /// IsLast tells that the server stops already.
  HttpConnection(const Poco::Net::StreamSocket &Socket,
                 const HttpServerOptions &Options,
                 Poco::Net::HTTPServerParams::Ptr Params,
                 const HttpServer::Handler &Handle, HttpStopEvent &Stop,
                 bool IsLast);
  ~HttpConnection() override;

  void run() override;

private:
  struct Body {
    absl::Status m_Status;
    std::string m_Data;
    /// The next request begins where this body ends.
    bool m_IsReusable = false;
  };

  void onStop(const bool &);
  bool hasRequest(Poco::Net::HTTPServerSession &Session);
  void serveOne(Poco::Net::HTTPServerSession &Session);
  HttpResponse answer(Poco::Net::HTTPServerSession &Session,
                      Poco::Net::HTTPRequest &Head, bool &IsReusable);
  Body readBody(Poco::Net::HTTPServerSession &Session,
                const Poco::Net::HTTPRequest &Head) const;
  Body receive(Poco::Net::HTTPServerSession &Session, std::int64_t Length,
               std::size_t Kept) const;
  HttpResponse handle(const HttpRequest &Request) const;
  void lingerBeforeClose();

  Poco::Net::StreamSocket m_Socket;
  const HttpServerOptions &m_Options;
  Poco::Net::HTTPServerParams::Ptr m_Params;
  const HttpServer::Handler &m_Handle;
  HttpStopEvent &m_Stop;
  std::atomic<bool> m_Stopped;
  /// Held while a request is served, so that a stop waits for its end.
  std::mutex m_Serving;
};

} // namespace auburnhub

#endif
