#include "Fakes/Exchange.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <ostream>

using Poco::Net::HTTPResponse;

namespace auburnhub::test {
namespace {

constexpr std::size_t FillerBlockBytes = 64 * 1024;

} // namespace

Exchange::Exchange(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response)
    : m_Request(Request), m_Response(Response) {}

std::string Exchange::method() const { return m_Request.getMethod(); }

std::string Exchange::path() const {
  return Poco::URI(m_Request.getURI()).getPath();
}

std::string Exchange::header(const std::string &Name) const {
  return m_Request.get(Name, "");
}

std::int64_t Exchange::queryNumber(const std::string &Name,
                                   std::int64_t Default) const {
  for (const auto &[Key, Value] :
       Poco::URI(m_Request.getURI()).getQueryParameters()) {
    Poco::Int64 Number = 0;
    if (Key == Name && Poco::NumberParser::tryParse64(Value, Number))
      return Number;
  }
  return Default;
}

std::string Exchange::readBody() {
  std::string Body;
  Poco::StreamCopier::copyToString(m_Request.stream(), Body);
  return Body;
}

bool Exchange::isWhole(std::string_view Body) const {
  const Poco::Int64 Length = m_Request.getContentLength64();
  return Length == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH ||
         Length == static_cast<Poco::Int64>(Body.size());
}

absl::StatusOr<nlohmann::json> Exchange::readJson() {
  nlohmann::json Body = nlohmann::json::parse(readBody(), nullptr, false);
  if (!Body.is_object())
    return makeFailure(FailureCode::BadRequest, "the body is no JSON object");
  return Body;
}

void Exchange::setHeader(const std::string &Name, const std::string &Value) {
  m_Response.set(Name, Value);
}

void Exchange::reply(int Status, std::string_view Body,
                     const std::string &ContentType) {
  m_Response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  m_Response.setContentType(ContentType);
  m_Response.sendBuffer(Body.data(), Body.size());
}

void Exchange::replyJson(int Status, const nlohmann::json &Body) {
  reply(Status, Body.dump(), "application/json");
}

void Exchange::replyBad(const absl::Status &Status) {
  replyJson(400, {{"error", failureDetail(Status)}});
}

void Exchange::replyTruncated(std::string_view Body) {
  m_Response.setContentLength64(static_cast<Poco::Int64>(Body.size()) + 1);
  m_Response.setKeepAlive(false);
  m_Response.send() << Body << std::flush;
}

void Exchange::replyFiller(std::size_t Bytes) {
  m_Response.setContentLength64(static_cast<Poco::Int64>(Bytes));
  std::ostream &Output = m_Response.send();
  const std::string Block(FillerBlockBytes, 'x');
  for (std::size_t Sent = 0; Sent < Bytes && Output;) {
    std::size_t Size = std::min(Block.size(), Bytes - Sent);
    Output.write(Block.data(), static_cast<std::streamsize>(Size));
    Sent += Size;
  }
}

void Exchange::abandon() {
  auto *Request = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&m_Request);
  if (!Request)
    return;
  Poco::Net::StreamSocket &Socket = Request->socket();
  Socket.setLinger(true, 0);
  Socket.close();
}

} // namespace auburnhub::test
