#ifndef AUBURNHUB_CONTROL_CONTROLROLE_H
#define AUBURNHUB_CONTROL_CONTROLROLE_H

#include "auburnhub/Control/ControlSettings.h"
#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Program/ProcessContext.h"

#include "absl/status/status.h"
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>

namespace auburnhub {

class ControlNode;

/// The control process: everything that VMs share. It follows the platform's
/// log and VM list, holds the accepted configuration, claims ids, exchanges
/// heartbeats with other VMs, and feeds the entry and dispatcher of its VM.
class ControlRole {
public:
  using Settings = ControlSettings;
  static Settings readSettings(SettingsReader &Reader) {
    return Settings::read(Reader);
  }

  ControlRole(const ProcessContext &Context, const Settings &Options);
  ~ControlRole();

  /// Listens and begins to read from the platform. Fails with Unavailable if
  /// the link address cannot be bound.
  absl::Status start();

  /// Returns the link address, with the port that was chosen.
  Address linkAddress() const;

  /// Says whether a configuration is in force.
  bool isReady() const;
  nlohmann::json status();
  HttpResponse handle(const HttpRequest &Request);

  /// Tells peers, lets claims in progress end, then calls Drained(true).
  void beginStop(std::function<void(bool)> Drained);
  void stop();

private:
  std::unique_ptr<ControlNode> m_Node;
};

} // namespace auburnhub

#endif
