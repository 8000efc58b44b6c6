#ifndef AUBURNHUB_HTTP_HTTPCLIENT_H
#define AUBURNHUB_HTTP_HTTPCLIENT_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Http/HttpMessage.h"

#include "absl/status/statusor.h"

#include <memory>

namespace auburnhub {

/// One kept-alive HTTP/1.1 connection to one server.
///
/// Used by one thread at a time; call() blocks. The failure says whether the
/// request may have reached the server: EndpointRefused means that no byte of
/// it was sent; ConnectionLost, Timeout and EndpointFailed (the reply broke
/// the protocol) that it may have arrived. After any of these the connection
/// is closed, never used again, and the next call opens a new one.
class HttpClient {
public:
  /// Replies over MaxBodyBytes fail with EndpointFailed.
  explicit HttpClient(Address Server,
                      std::size_t MaxBodyBytes = std::size_t{8} << 20);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  const Address &server() const { return m_Server; }

  /// Sends a request and reads the whole response within Timeout.
  absl::StatusOr<HttpResponse> call(const HttpRequest &Request,
                                    Milliseconds Timeout);

private:
  struct Session;
  absl::Status connect(MonotonicTime Deadline);
  absl::StatusOr<HttpResponse> exchange(const HttpRequest &Request,
                                        MonotonicTime Deadline);

  Address m_Server;
  std::size_t m_MaxBodyBytes;
  std::unique_ptr<Session> m_Session;
};

} // namespace auburnhub

#endif
