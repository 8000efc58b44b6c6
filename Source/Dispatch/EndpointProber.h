#ifndef AUBURNHUB_DISPATCH_ENDPOINTPROBER_H
#define AUBURNHUB_DISPATCH_ENDPOINTPROBER_H

#include "auburnhub/Base/SerialTask.h"

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace auburnhub {

/// Asks endpoints by `GET /healthz` whether they take work.
///
/// ask() returns at once; the answer is posted to the owner's task. An endpoint
/// that cannot be asked counts as taking work: whether it does is then seen by
/// the first task.
class EndpointProber {
public:
  using Answered =
      std::function<void(const std::string &Endpoint, bool TakesWork)>;

  EndpointProber(SerialTask &Owner, Answered Tell);
  ~EndpointProber();
  EndpointProber(const EndpointProber &) = delete;
  EndpointProber &operator=(const EndpointProber &) = delete;

  void ask(const std::string &Endpoint);

  /// Drops what was not asked yet and ends the threads.
  void stop();

private:
  static constexpr std::size_t Threads = 8;

  SerialTask &m_Owner;
  Answered m_Tell;
  std::atomic<bool> m_Stopping{false};
  std::array<std::optional<SerialTask>, Threads> m_Tasks;
};

} // namespace auburnhub

#endif
