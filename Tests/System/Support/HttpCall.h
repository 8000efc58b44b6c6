#ifndef AUBURNHUB_SYSTEM_SUPPORT_HTTPCALL_H
#define AUBURNHUB_SYSTEM_SUPPORT_HTTPCALL_H

#include "auburnhub/Base/TimerService.h"

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPClientSession;
} // namespace Poco::Net

namespace auburnhub::test {

struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Path = "/";
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
};

struct HttpReply {
  int m_Status = 0;
  std::map<std::string, std::string> m_Headers; ///< Names in lower case.
  std::string m_Body;

  /// Returns a header's value; empty if it is missing.
  std::string header(const std::string &Name) const;
  /// Returns the body as JSON; a discarded value if it is none.
  nlohmann::json json() const;
};

/// A connection on which requests follow one another, as callers keep it.
class HttpConnection {
public:
  /// Address is "host:port".
  explicit HttpConnection(const std::string &Address);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// As callHttp(), but connects only if the connection is closed.
  absl::StatusOr<HttpReply> call(const HttpRequest &Request,
                                 Milliseconds Timeout);

private:
  std::unique_ptr<Poco::Net::HTTPClientSession> m_Session;
};

/// Sends one request on a connection of its own and reads the whole reply.
///
/// Address is "host:port"; the timeout holds for connecting and for each wait
/// for bytes. Fails with Timeout, with NoEndpoint if the connection was
/// refused, so that nothing was sent, or with ConnectionLost.
absl::StatusOr<HttpReply> callHttp(const std::string &Address,
                                   const HttpRequest &Request,
                                   Milliseconds Timeout = Milliseconds(30000));

/// Posts JSON and returns the reply's JSON. Fails as callHttp() does, or with
/// BadRequest for a status other than 200.
absl::StatusOr<nlohmann::json> postJson(const std::string &Address,
                                        const std::string &Path,
                                        const nlohmann::json &Body);

} // namespace auburnhub::test

#endif
