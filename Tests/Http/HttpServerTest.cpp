#include "auburnhub/Http/HttpServer.h"
#include "auburnhub/Http/HttpClient.h"
#include "auburnhub/Http/Problem.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <vector>

using namespace auburnhub;

namespace {

constexpr Milliseconds GenerousLimit{30000};

/// A server that returns what it gets.
struct EchoServer {
  explicit EchoServer(HttpServerOptions Options = {}) {
    auto Started = HttpServer::start(
        {"127.0.0.1", 0}, Options, [](const HttpRequest &Request) {
          HttpResponse Response;
          Response.m_Body = Request.m_Method + " " + Request.m_Body;
          return Response;
        });
    BOOST_REQUIRE(Started.ok());
    m_Server = std::move(*Started);
  }
  std::unique_ptr<HttpServer> m_Server;
};

HttpRequest post(std::string Body) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/";
  Request.m_Body = std::move(Body);
  return Request;
}

/// A caller that sends without waiting for the answer.
struct RawCaller {
  void send(const Address &Server) {
    m_Socket.connect(Poco::Net::SocketAddress(Server.m_Host, Server.m_Port));
    m_Socket.setReceiveTimeout(Poco::Timespan(GenerousLimit.count() * 1000));
    sendAgain();
  }

  void sendAgain() {
    const std::string Request = "POST / HTTP/1.1\r\nHost: test\r\n"
                                "Content-Length: 1\r\n\r\nx";
    m_Socket.sendBytes(Request.data(), static_cast<int>(Request.size()));
  }

  /// Returns what came first; nothing if the connection ended.
  std::string receive() {
    std::array<char, 4096> Buf;
    try {
      int Count = m_Socket.receiveBytes(Buf.data(), Buf.size());
      return {Buf.data(), static_cast<std::size_t>(std::max(Count, 0))};
    } catch (const Poco::Exception &E) {
      return E.displayText();
    }
  }

  Poco::Net::StreamSocket m_Socket;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnHttpServer)

BOOST_AUTO_TEST_CASE(AnswersSeveralRequestsOnOneConnection) {
  EchoServer Echo;
  HttpClient Client(Echo.m_Server->address());
  for (std::string Body : {"a", "", "c"}) {
    auto Response = Client.call(post(Body), GenerousLimit);
    BOOST_TEST_REQUIRE(Response.ok());
    BOOST_TEST(Response->m_Body == "POST " + Body);
  }
}

BOOST_AUTO_TEST_CASE(RefusesABodyOverItsLimitWithAProblem) {
  HttpServerOptions Options;
  Options.m_MaxBodyBytes = 10;
  EchoServer Echo(Options);
  HttpClient Client(Echo.m_Server->address());
  auto Response = Client.call(post("12345678901"), GenerousLimit);
  BOOST_TEST_REQUIRE(Response.ok());
  BOOST_TEST(Response->m_Status == 413);
  BOOST_TEST(Response->m_ContentType == "application/problem+json");
  Response = Client.call(post("1234567890"), GenerousLimit);
  BOOST_TEST_REQUIRE(Response.ok());
  BOOST_TEST(Response->m_Status == 200);
}

BOOST_AUTO_TEST_SUITE(ThatStops)

BOOST_AUTO_TEST_CASE(AnswersWhatWasSentOnNewConnections) {
  constexpr int Rounds = 5;
  constexpr std::size_t Callers = 16;
  for (int Round = 0; Round != Rounds; ++Round) {
    EchoServer Echo;
    std::vector<RawCaller> Sent(Callers);
    for (RawCaller &Each : Sent)
      Each.send(Echo.m_Server->address());
    Echo.m_Server->stop();
    for (RawCaller &Each : Sent)
      BOOST_TEST(Each.receive().starts_with("HTTP/1.1 200"));
  }
}

BOOST_AUTO_TEST_CASE(AnswersWhatWasSentOnConnectionsInUse) {
  constexpr int Rounds = 5;
  constexpr std::size_t Callers = 16;
  for (int Round = 0; Round != Rounds; ++Round) {
    EchoServer Echo;
    std::vector<RawCaller> Sent(Callers);
    for (RawCaller &Each : Sent) {
      Each.send(Echo.m_Server->address());
      BOOST_TEST(Each.receive().starts_with("HTTP/1.1 200"));
    }
    for (RawCaller &Each : Sent)
      Each.sendAgain();
    Echo.m_Server->stop();
    for (RawCaller &Each : Sent)
      BOOST_TEST(Each.receive().starts_with("HTTP/1.1 200"));
  }
}

BOOST_AUTO_TEST_CASE(RefusesConnectionsAfterwards) {
  EchoServer Echo;
  Address Where = Echo.m_Server->address();
  Echo.m_Server->stop();
  HttpClient Client(Where);
  auto Response = Client.call(post("x"), GenerousLimit);
  BOOST_TEST((failureCode(Response.status()) == FailureCode::EndpointRefused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnHttpClient)

BOOST_AUTO_TEST_CASE(SaysThatNothingWasSentWhenTheConnectionIsRefused) {
  Address Where;
  {
    EchoServer Echo;
    Where = Echo.m_Server->address();
  }
  HttpClient Client(Where);
  auto Response = Client.call(post("x"), GenerousLimit);
  BOOST_TEST((failureCode(Response.status()) == FailureCode::EndpointRefused));
}

BOOST_AUTO_TEST_SUITE_END()
