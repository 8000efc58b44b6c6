#ifndef AUBURNHUB_CONTROL_VMLISTPOLLER_H
#define AUBURNHUB_CONTROL_VMLISTPOLLER_H

#include "PlatformClient.h"

#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Base/SerialTask.h"
#include "auburnhub/Base/TimerService.h"

#include <functional>

namespace auburnhub {

/// Reads the platform's VM list again and again on a thread of its own.
class VmListPoller {
public:
  using Listener = std::function<void(const std::vector<PlatformVm> &)>;

  /// Calls Changed on the owner's task with each list that was read.
  VmListPoller(Address Platform, std::string Vm, Milliseconds Period,
               SerialTask &Owner, TimerService &Timers,
               MetricsRegistry &Metrics, Listener Changed);
  ~VmListPoller();

  void start();

  /// Ends the thread, at the latest when the call in progress ends.
  void stop();

private:
  void poll();

  const Milliseconds m_Period;
  SerialTask &m_Owner;
  TimerService &m_Timers;
  Listener m_Changed;
  Counter &m_BytesRead;
  PlatformClient m_Client;
  TimerService::Subscription m_Subscription = 0;
  SerialTask m_Task{"vm-list"};
};

} // namespace auburnhub

#endif
