#ifndef AUBURNHUB_CONTROL_CONFIGURATIONSERVICE_H
#define AUBURNHUB_CONTROL_CONFIGURATIONSERVICE_H

#include "StreamTailer.h"

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Control/ControlSettings.h"
#include "auburnhub/Coordination/ConfigurationHistory.h"

#include <functional>
#include <string>

namespace auburnhub {

/// Follows the configuration stream and takes peers' records; keeps the record
/// in force from being trimmed. All functions but the constructor and stop()
/// are called on the owner's task.
class ConfigurationService {
public:
  using PlatformListener = std::function<void(const absl::Status &)>;

  /// Calls Changed whenever the offset in force has changed.
  ConfigurationService(const ControlSettings &Settings, const std::string &Vm,
                       SerialTask &Owner, TimerService &Timers,
                       MetricsRegistry &Metrics, std::function<void()> Changed,
                       PlatformListener NotePlatform);

  void start();
  void requestStop() { m_Tailer.requestStop(); }
  void stop();

  /// Takes a peer's record in force.
  void adopt(const ConfigurationUpdate &FromPeer);

  /// Appends the record in force again if that is due. Call it every now and
  /// then on one VM; it is safe, but of no use, on several at once.
  void renewIfDue();

  const std::optional<ConfigurationUpdate> &accepted() const {
    return m_History.accepted();
  }
  const ConfigurationBody &body() const { return m_History.body(); }
  std::int64_t offset() const { return m_History.offset(); }

  nlohmann::json status() const;

private:
  void onPage(const StreamPage &Page);
  void report(const ConfigurationDecision &Decision, std::string_view Source);

  SerialTask &m_Owner;
  std::function<void()> m_Changed;
  PlatformListener m_NotePlatform;
  Log m_Log{"config"};
  ConfigurationHistory m_History;
  std::int64_t m_First = 0;
  std::int64_t m_End = 0;
  std::int64_t m_RenewedOffset = -1; ///< Offset that was renewed last.
  Gauge &m_Offset;
  Counter &m_Refused;
  PlatformClient m_AppendClient;
  SerialTask m_AppendTask{"config-append"};
  StreamTailer m_Tailer;
};

} // namespace auburnhub

#endif
