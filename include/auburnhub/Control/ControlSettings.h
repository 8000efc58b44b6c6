#ifndef AUBURNHUB_CONTROL_CONTROLSETTINGS_H
#define AUBURNHUB_CONTROL_CONTROLSETTINGS_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/TimerService.h"

#include <vector>

namespace auburnhub {

/// Settings of the control process beyond those that every process has.
struct ControlSettings {
  Address m_Link;               ///< Where peers and local processes connect.
  Address m_Platform;           ///< The platform's HTTP address.
  std::vector<Address> m_Seeds; ///< Link addresses of other controls.
  int m_Weight = 1;             ///< The VM's size, for ownership.
  Milliseconds m_HeartbeatPeriod{500};
  Milliseconds m_HeartbeatTimeout{2500}; ///< Silent members are dropped.
  Milliseconds m_ClaimTimeout{3000};     ///< Longest wait for a claim.
  Milliseconds m_PollWait{1000}; ///< The platform holds empty reads so long.
  Milliseconds m_VmListPeriod{1000};

  static ControlSettings read(SettingsReader &Reader);
};

} // namespace auburnhub

#endif
