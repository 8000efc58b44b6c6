#include "System/Support/HttpCall.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

namespace auburnhub::test {
namespace {

using Poco::Net::HTTPMessage;

Poco::Net::HTTPRequest toLibrary(const HttpRequest &Request) {
  Poco::Net::HTTPRequest Sent(Request.m_Method, Request.m_Path,
                              HTTPMessage::HTTP_1_1);
  for (const auto &[Name, Value] : Request.m_Headers)
    Sent.set(Name, Value);
  if (!Request.m_Body.empty() || Request.m_Method == "POST")
    Sent.setContentLength64(static_cast<Poco::Int64>(Request.m_Body.size()));
  return Sent;
}

absl::StatusOr<HttpReply> receive(Poco::Net::HTTPClientSession &Session) {
  Poco::Net::HTTPResponse Received;
  std::istream &Input = Session.receiveResponse(Received);
  HttpReply Reply;
  Reply.m_Status = Received.getStatus();
  for (const auto &[Name, Value] : Received)
    Reply.m_Headers[Poco::toLower(Name)] = Value;
  Poco::StreamCopier::copyToString(Input, Reply.m_Body);
  const Poco::Int64 Length = Received.getContentLength64();
  if (Length != HTTPMessage::UNKNOWN_CONTENT_LENGTH &&
      Length != static_cast<Poco::Int64>(Reply.m_Body.size()))
    return makeFailure(FailureCode::ConnectionLost, "the reply was cut short");
  return Reply;
}

} // namespace

std::string HttpReply::header(const std::string &Name) const {
  auto It = m_Headers.find(Poco::toLower(Name));
  return It == m_Headers.end() ? "" : It->second;
}

nlohmann::json HttpReply::json() const {
  return nlohmann::json::parse(m_Body, nullptr, false);
}

HttpConnection::HttpConnection(const std::string &Address)
    : m_Session(std::make_unique<Poco::Net::HTTPClientSession>(
          Poco::Net::SocketAddress(Address))) {
  m_Session->setKeepAlive(true);
}

HttpConnection::~HttpConnection() = default;

absl::StatusOr<HttpReply> HttpConnection::call(const HttpRequest &Request,
                                               Milliseconds Timeout) {
  try {
    const Poco::Timespan Limit(Timeout.count() * 1000);
    m_Session->setTimeout(Limit);
    // A connection that is open keeps the timeout that it was opened with.
    if (m_Session->connected()) {
      m_Session->socket().setReceiveTimeout(Limit);
      m_Session->socket().setSendTimeout(Limit);
    }
    Poco::Net::HTTPRequest Sent = toLibrary(Request);
    m_Session->sendRequest(Sent) << Request.m_Body << std::flush;
    return receive(*m_Session);
  } catch (const Poco::Net::ConnectionRefusedException &Error) {
    return makeFailure(FailureCode::NoEndpoint, Error.displayText());
  } catch (const Poco::TimeoutException &Error) {
    return makeFailure(FailureCode::Timeout, Error.displayText());
  } catch (const Poco::Exception &Error) {
    return makeFailure(FailureCode::ConnectionLost, Error.displayText());
  }
}

absl::StatusOr<HttpReply> callHttp(const std::string &Address,
                                   const HttpRequest &Request,
                                   Milliseconds Timeout) {
  return HttpConnection(Address).call(Request, Timeout);
}

absl::StatusOr<nlohmann::json> postJson(const std::string &Address,
                                        const std::string &Path,
                                        const nlohmann::json &Body) {
  absl::StatusOr<HttpReply> Reply =
      callHttp(Address, {"POST", Path, {}, Body.dump()});
  if (!Reply.ok())
    return Reply.status();
  if (Reply->m_Status != 200)
    return makeFailure(FailureCode::BadRequest,
                       Path + ": " + std::to_string(Reply->m_Status) + " " +
                           Reply->m_Body);
  return Reply->json();
}

} // namespace auburnhub::test
