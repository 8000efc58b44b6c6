#ifndef AUBURNHUB_NET_LOOPHTTPCLIENT_H
#define AUBURNHUB_NET_LOOPHTTPCLIENT_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Net/EventLoop.h"

#include "absl/status/statusor.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace auburnhub {

/// Makes HTTP/1.1 calls on an EventLoop over connections that are kept open.
///
/// A connection carries one call at a time. One whose call was not answered in
/// time is closed and never used again.
class LoopHttpClient {
public:
  /// OK with the whole response; Unavailable if no connection could be made,
  /// so that nothing was sent; Aborted if the connection broke after the
  /// request may have been sent; DeadlineExceeded if the time allowed passed.
  using Done = std::function<void(absl::StatusOr<HttpResponse>)>;

  explicit LoopHttpClient(EventLoop &Loop);
  ~LoopHttpClient();
  LoopHttpClient(const LoopHttpClient &) = delete;
  LoopHttpClient &operator=(const LoopHttpClient &) = delete;

  /// Sends a request. Done is called once, never from within this call.
  void call(const Address &To, HttpRequest Request, EventLoop::Duration Timeout,
            Done Done);

private:
  class Exchange;
  struct Pool;
  std::shared_ptr<Pool> m_Pool;
};

} // namespace auburnhub

#endif
