#include "EntryFixture.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

using namespace auburnhub;

namespace {

constexpr std::size_t MaxBodyBytes = 100'000;

HttpServerOptions options() {
  HttpServerOptions Options;
  Options.m_MaxBodyBytes = MaxBodyBytes;
  Options.m_ReadTimeout = Milliseconds(200);
  return Options;
}

/// An entry, and a connection over which any bytes can be sent.
struct Fixture : EntryFixture {
  Fixture()
      : EntryFixture(nlohmann::json::object(), options()),
        m_Socket(Poco::Net::SocketAddress(m_Server->address().str())) {
    m_Socket.setReceiveTimeout(Poco::Timespan(GenerousLimit.count(), 0));
  }

  void write(std::string_view Text) {
    m_Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  }

  /// Reads one response and checks that it is a problem of a type. Returns
  /// its outcome.
  std::string expect(int Status, std::string_view Type) {
    std::size_t End = std::string::npos;
    while ((End = m_Input.find("\r\n\r\n")) == std::string::npos)
      receive();
    std::string Head = m_Input.substr(0, End);
    m_Input.erase(0, End + 4);
    std::size_t Field = Head.find("Content-Length: ");
    BOOST_REQUIRE(Field != std::string::npos);
    std::size_t Length = std::stoul(Head.substr(Field + 16));
    while (m_Input.size() < Length)
      receive();
    auto Body = nlohmann::json::parse(m_Input.substr(0, Length));
    m_Input.erase(0, Length);
    BOOST_TEST(Head.find("application/problem+json") != std::string::npos);
    BOOST_TEST(Body["status"] == Status);
    std::string Whole = Body.value("type", "");
    BOOST_TEST(Whole.substr(Whole.rfind('/') + 1) == Type);
    m_Head = Head;
    return Body.value("outcome", "");
  }

  /// Checks that the next request on the connection is served.
  void expectConnectionLives() {
    write("GET /nothing HTTP/1.1\r\nHost: e\r\n\r\n");
    expect(404, "not-found");
  }

  void receive() {
    std::array<char, 4096> Buf;
    int Count = m_Socket.receiveBytes(Buf.data(), Buf.size());
    BOOST_REQUIRE(Count > 0);
    m_Input.append(Buf.data(), static_cast<std::size_t>(Count));
  }

  std::string post(std::string_view Path, std::string_view Body,
                   std::string_view Headers = "Auburnhub-Team: club-desk\r\n") {
    return "POST " + std::string(Path) + " HTTP/1.1\r\nHost: e\r\n" +
           std::string(Headers) +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           std::string(Body);
  }

  Poco::Net::StreamSocket m_Socket;
  std::string m_Input;
  std::string m_Head;
};

std::string jobOf(std::size_t Tasks) {
  return nlohmann::json{{"tasks", std::vector<std::string>(Tasks, "x")}}.dump();
}

const std::string Key = "Idempotency-Key: ";
const std::string Team = "Auburnhub-Team: club-desk\r\n";
const std::string Id =
    SubmissionId::makeCallerId(1'700'000'000'000, 1, 2).str();

} // namespace

BOOST_AUTO_TEST_SUITE(BadInput)

BOOST_FIXTURE_TEST_SUITE(IsRefusedOnALivingConnection, Fixture)

BOOST_AUTO_TEST_CASE(WhenAHeaderHasAControlCharacter) {
  for (const std::string &Value :
       {std::string("a\0b", 3), std::string("a\x01"), std::string("\x7f")}) {
    std::string Headers = Team + "X-Note: ";
    Headers += Value;
    Headers += "\r\n";
    write(post(Jobs, jobOf(1), Headers));
    BOOST_TEST(expect(400, "bad-request") == "not_run");
  }
  expectConnectionLives();
}

BOOST_AUTO_TEST_CASE(WhenABodyIsNotAJob) {
  for (const std::string &Body :
       {std::string("{"), std::string("[]"), std::string("{}"),
        std::string(R"({"tasks":[]})"), std::string(R"({"tasks":[1]})"),
        std::string(R"({"tasks":["a"],"more":1})"),
        std::string(R"({"tasks":"a"})"), std::string("{\"tasks\":[\"\xff\"]}"),
        "{\"tasks\":" + std::string(50'000, '['), jobOf(1001)}) {
    write(post(Jobs, Body));
    BOOST_TEST(expect(400, "bad-request") == "not_run");
  }
  write(post("/v1/tickets", R"({"count":0})"));
  expect(400, "bad-request");
  write(post("/v1/tickets", R"({"count":1e99})"));
  expect(400, "bad-request");
  expectConnectionLives();
}

BOOST_AUTO_TEST_CASE(WhenAHeaderIsMissingOrWrong) {
  write(post(Requests, "x", ""));
  BOOST_TEST(expect(400, "bad-request") == "not_run");
  for (const char *Timeout :
       {"0", "600001", "-1", "1s", "99999999999999999999"}) {
    write(post(Requests, "x", Team + "Auburnhub-Timeout: " + Timeout + "\r\n"));
    expect(400, "bad-request");
  }
  write(post(Requests, "x", Team + "Auburnhub-Repeat: yes\r\n"));
  expect(400, "bad-request");
  write(post(Requests, "x", Team + Key + "no-uuid\r\n"));
  BOOST_TEST(expect(400, "bad-id") == "not_run");
  write(post(Requests, "x", Key + Id + "\r\n"));
  BOOST_TEST(expect(400, "bad-request") == "unknown");
  expectConnectionLives();
}

BOOST_AUTO_TEST_CASE(WhenThePathOrMethodIsUnknown) {
  write("GET " + std::string(Jobs) + " HTTP/1.1\r\nHost: e\r\n\r\n");
  expect(405, "method-not-allowed");
  BOOST_TEST(m_Head.find("Allow: POST") != std::string::npos);
  write(post("/v1/jobs/" + Id, ""));
  expect(405, "method-not-allowed");
  BOOST_TEST(m_Head.find("Allow: DELETE") != std::string::npos);
  write(post("/v1/services/tile-orders", ""));
  expect(404, "not-found");
  write(post("/v1/services/none/requests", ""));
  expect(404, "unknown-service");
  write(post(Requests, "x", "Auburnhub-Team: nobody\r\n"));
  BOOST_TEST(expect(403, "unknown-team") == "not_run");
  expectConnectionLives();
}

BOOST_AUTO_TEST_CASE(WhenABodyIsSomewhatTooLarge) {
  write(post(Requests, std::string(MaxBodyBytes + 1, 'x')));
  BOOST_TEST(expect(413, "payload-too-large") == "not_run");
  expectConnectionLives();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsRefusedBeforeTheConnectionCloses, Fixture)

BOOST_AUTO_TEST_CASE(WhenABodyIsFarTooLarge) {
  write("POST /v1/tickets HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n");
  expect(413, "payload-too-large");
}

BOOST_AUTO_TEST_CASE(WhenTheHeadIsGarbage) {
  write("\x16\x03\x01 garbage\r\n\r\n");
  BOOST_TEST(expect(400, "bad-request") == "unknown");
}

BOOST_AUTO_TEST_CASE(WhenTheVersionIsUnknown) {
  write("GET / HTTX/7.1\r\n\r\n");
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenAHeaderIsTooLarge) {
  write("GET / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n");
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenThereAreTooManyHeaders) {
  std::string Head = "GET / HTTP/1.1\r\n";
  for (int I = 0; I != 200; ++I)
    Head += "X" + std::to_string(I) + ": 1\r\n";
  write(Head + "\r\n");
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenTheLengthOfTheBodyIsUncertain) {
  write("POST /v1/tickets HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nx\r\n0\r\n\r\n");
  expect(411, "length-required");
}

BOOST_AUTO_TEST_CASE(WhenThereAreTwoLengths) {
  write("POST /v1/tickets HTTP/1.1\r\nContent-Length: 1\r\n"
        "Content-Length: 2\r\n\r\nx");
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenALengthIsNegative) {
  write("POST /v1/tickets HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenTheSenderClosesItsHalfWithinABody) {
  write("POST /v1/tickets HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
  m_Socket.shutdownSend();
  expect(400, "bad-request");
}

BOOST_AUTO_TEST_CASE(WhenTheSenderIsTooSlow) {
  write("POST /v1/tickets HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
  expect(408, "request-timeout");
}

BOOST_AUTO_TEST_CASE(WhenTheSenderIsTooSlowWithTheHead) {
  write("POST /v1/tick");
  expect(408, "request-timeout");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IsNot, Fixture)

BOOST_AUTO_TEST_CASE(AHalfClosedConnectionThatSentAWholeRequest) {
  write(post(Requests, "x", Team));
  m_Socket.shutdownSend();
  FromPeer Sent = m_Local.take<Submit>();
  Answer Reply = answerTo(Sent.as<Submit>(), {});
  Reply.m_Outcome = Outcome::Failed;
  Reply.m_Failure = "task-failed";
  m_Local.send(Sent.m_Peer, Reply);
  BOOST_TEST(expect(502, "task-failed") == "failed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
