#include "Fakes/FakeServer.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace auburnhub::test {
namespace {

constexpr int ListenBacklog = 1024;
constexpr int MaxQueuedConnections = 1024;
constexpr int KeepAliveSeconds = 600;

class CallHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit CallHandler(const FakeServer::Handler &Handle) : m_Handle(Handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    Exchange Call(Request, Response);
    try {
      m_Handle(Call);
    } catch (const nlohmann::json::exception &Error) {
      Call.replyJson(400, {{"error", Error.what()}});
    }
  }

private:
  const FakeServer::Handler &m_Handle;
};

class CallHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit CallHandlerFactory(FakeServer::Handler Handle)
      : m_Handle(std::move(Handle)) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new CallHandler(m_Handle);
  }

private:
  const FakeServer::Handler m_Handle;
};

Poco::Net::HTTPServerParams::Ptr serverParameters(int MaxThreads) {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxQueuedConnections);
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  return Params;
}

} // namespace

FakeServer::FakeServer(std::unique_ptr<Poco::Net::HTTPServer> Server,
                       std::string Address)
    : m_Server(std::move(Server)), m_Address(std::move(Address)) {}

FakeServer::~FakeServer() { m_Server->stopAll(true); }

absl::StatusOr<std::unique_ptr<FakeServer>>
FakeServer::start(const std::string &Host, std::uint16_t Port,
                  Poco::ThreadPool &Pool, Handler Handle) {
  try {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Host, Port), true);
    Socket.listen(ListenBacklog);
    std::string Address = Socket.address().toString();
    auto Server = std::make_unique<Poco::Net::HTTPServer>(
        new CallHandlerFactory(std::move(Handle)), Pool, Socket,
        serverParameters(Pool.capacity()));
    Server->start();
    return std::unique_ptr<FakeServer>(
        new FakeServer(std::move(Server), std::move(Address)));
  } catch (const Poco::Exception &Error) {
    return makeFailure(FailureCode::Internal, "cannot listen on " + Host + ":" +
                                                  std::to_string(Port) + ": " +
                                                  Error.displayText());
  }
}

} // namespace auburnhub::test
