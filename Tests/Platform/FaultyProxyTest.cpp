#include "FaultyProxy.h"

#include "auburnhub/Net/LoopHttpClient.h"
#include "auburnhub/Net/LoopHttpServer.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

/// A server behind a proxy, and a client of it.
struct Fixture {
  Fixture()
      : m_Server(m_Loop, [this](const HttpExchange &Exchange) {
          ++m_Served;
          Exchange.respond({});
        }) {
    BOOST_REQUIRE(m_Server.listen({"127.0.0.1", 0}).ok());
    m_Proxy.setTarget({"127.0.0.1", m_Server.port()});
  }

  void call(int TimeoutMs) {
    m_Answer.reset();
    HttpRequest Request;
    Request.m_Path = "/";
    m_Client.call(m_Proxy.address(), Request, EventLoop::Duration(TimeoutMs),
                  [this](const absl::StatusOr<HttpResponse> &Response) {
                    m_Answer = Response.status();
                  });
  }

  absl::StatusCode outcome() {
    while (!m_Answer) {
      m_Loop.io().restart();
      m_Loop.io().run_one();
    }
    return m_Answer->code();
  }

  absl::StatusCode outcomeOfCall(int TimeoutMs = 10000) {
    call(TimeoutMs);
    return outcome();
  }

  EventLoop m_Loop;
  int m_Served = 0;
  LoopHttpServer m_Server;
  FaultyProxy m_Proxy{m_Loop};
  LoopHttpClient m_Client{m_Loop};
  std::optional<absl::Status> m_Answer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AFaultyProxy, Fixture)

BOOST_AUTO_TEST_CASE(ForwardsCalls) {
  BOOST_TEST((outcomeOfCall() == absl::StatusCode::kOk));
  BOOST_TEST((outcomeOfCall() == absl::StatusCode::kOk));
  BOOST_TEST(m_Served == 2);
}

BOOST_AUTO_TEST_CASE(DropsRequests) {
  m_Proxy.set({{}, /*CutForward=*/true, false, false});
  BOOST_TEST((outcomeOfCall(50) == absl::StatusCode::kDeadlineExceeded));
  BOOST_TEST(m_Served == 0);
}

BOOST_AUTO_TEST_CASE(DropsResponses) {
  m_Proxy.set({{}, false, /*CutBack=*/true, false});
  BOOST_TEST((outcomeOfCall(50) == absl::StatusCode::kDeadlineExceeded));
  BOOST_TEST(m_Served == 1);
}

BOOST_AUTO_TEST_CASE(ForwardsBufferedRequestsOnceACutIsHealed) {
  m_Proxy.set({{}, /*CutForward=*/true, false, false});
  call(10000);
  m_Loop.io().restart();
  m_Loop.io().run_for(std::chrono::milliseconds(20));
  BOOST_TEST(m_Served == 0);
  m_Proxy.set({});
  BOOST_TEST((outcome() == absl::StatusCode::kOk));
}

BOOST_AUTO_TEST_CASE(DelaysCalls) {
  m_Proxy.set({EventLoop::Duration(30), false, false, false});
  TimePoint Begin = EventLoop::now();
  BOOST_TEST((outcomeOfCall() == absl::StatusCode::kOk));
  BOOST_TEST(millisecondsBetween(Begin, EventLoop::now()) >= 60);
}

BOOST_AUTO_TEST_CASE(ResetsConnections) {
  m_Proxy.set({{}, /*CutForward=*/true, false, false});
  call(10000);
  m_Loop.io().restart();
  m_Loop.io().run_for(std::chrono::milliseconds(20));
  m_Proxy.resetConnections();
  BOOST_TEST((outcome() == absl::StatusCode::kAborted));
}

BOOST_AUTO_TEST_CASE(BlackholesOpenConnectionsOnly) {
  BOOST_TEST((outcomeOfCall() == absl::StatusCode::kOk));
  m_Proxy.blackholeConnections();
  BOOST_TEST((outcomeOfCall(50) == absl::StatusCode::kDeadlineExceeded));
  BOOST_TEST((outcomeOfCall() == absl::StatusCode::kOk));
}

BOOST_AUTO_TEST_SUITE_END()
