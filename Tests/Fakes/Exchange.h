#ifndef AUBURNHUB_FAKES_EXCHANGE_H
#define AUBURNHUB_FAKES_EXCHANGE_H

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace auburnhub::test {

/// One HTTP request that a stand-in received, and the reply to it.
///
/// A handler reads the body, unless it abandons the connection, and then calls
/// one of the reply functions once.
class Exchange {
public:
  Exchange(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response);

  std::string method() const;
  /// Returns the path without the query.
  std::string path() const;
  /// Returns a header's value; empty if the header is missing.
  std::string header(const std::string &Name) const;
  /// Returns a number of the query, or the default if it is missing.
  std::int64_t queryNumber(const std::string &Name, std::int64_t Default) const;

  std::string readBody();
  /// Returns whether a body that was read has the length that was announced.
  bool isWhole(std::string_view Body) const;
  /// Reads the body as a JSON object. Fails with BadRequest.
  absl::StatusOr<nlohmann::json> readJson();

  void setHeader(const std::string &Name, const std::string &Value);
  void reply(int Status, std::string_view Body,
             const std::string &ContentType = "application/octet-stream");
  void replyJson(int Status, const nlohmann::json &Body);
  /// Replies 400 with the status's message.
  void replyBad(const absl::Status &Status);
  /// Announces a length that is one byte more than the body's, sends the body
  /// and closes the connection.
  void replyTruncated(std::string_view Body);
  /// Replies 200 with the given number of bytes.
  void replyFiller(std::size_t Bytes);
  /// Resets the connection without a reply.
  void abandon();

private:
  Poco::Net::HTTPServerRequest &m_Request;
  Poco::Net::HTTPServerResponse &m_Response;
};

} // namespace auburnhub::test

#endif
