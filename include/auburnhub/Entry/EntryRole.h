#ifndef AUBURNHUB_ENTRY_ENTRYROLE_H
#define AUBURNHUB_ENTRY_ENTRYROLE_H

#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Program/ProcessContext.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>

namespace auburnhub {

class CallRouter;

/// The role of `auburnhub-entry`: turns callers' HTTP requests into calls to
/// dispatchers and the answers into HTTP responses.
///
/// handle() is called on the connections' threads and blocks until the answer
/// is there. All state is the CallRouter's, which has a task of its own.
class EntryRole {
public:
  struct Settings {
    Address m_Control; ///< Link address of the VM's control.
  };

  static Settings readSettings(SettingsReader &Reader);

  EntryRole(const ProcessContext &Context, const Settings &Given);
  ~EntryRole();

  absl::Status start();
  bool isReady() const;
  nlohmann::json status();
  HttpResponse handle(const HttpRequest &Request);

  /// Refuses new requests. Calls Drained once, with true as soon as no call
  /// waits, or with false when the configuration's drain time has passed.
  void beginStop(std::function<void(bool)> Drained);

  /// Ends the calls that still wait, the links and the task.
  void stop();

private:
  void record(std::string_view Service, const HttpResponse &Response,
              std::string_view Outcome, MonotonicTime Received);

  MetricsRegistry &m_Metrics;
  LatencyHistogram &m_Latency;
  std::unique_ptr<CallRouter> m_Router;
};

} // namespace auburnhub

#endif
