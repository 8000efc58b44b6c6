#ifndef AUBURNHUB_DISPATCH_DISPATCHROLE_H
#define AUBURNHUB_DISPATCH_DISPATCHROLE_H

#include "auburnhub/Http/HttpMessage.h"
#include "auburnhub/Program/ProcessContext.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>

namespace auburnhub {

/// The role of auburnhub-dispatch; see ProgramRole for its functions.
class DispatchRole {
public:
  struct Settings {
    Address m_Link;    ///< Where entries and dispatchers connect.
    Address m_Control; ///< The link of this VM's control.
  };

  static Settings readSettings(SettingsReader &Reader);

  DispatchRole(const ProcessContext &Context, const Settings &Chosen);
  ~DispatchRole();

  absl::Status start();
  bool isReady() const;
  nlohmann::json status();
  HttpResponse handle(const HttpRequest &Request);
  void beginStop(std::function<void(bool)> Drained);
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace auburnhub

#endif
