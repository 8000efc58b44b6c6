#include "auburnhub/Http/HttpServer.h"
#include "auburnhub/Http/HttpClient.h"
#include "auburnhub/Http/Problem.h"

#include <boost/test/unit_test.hpp>

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
