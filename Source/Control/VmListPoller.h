#ifndef AUBURNHUB_CONTROL_VMLISTPOLLER_H
#define AUBURNHUB_CONTROL_VMLISTPOLLER_H

#include "PlatformClient.h"

#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Base/SerialTask.h"
#include "auburnhub/Base/TimerService.h"
#include "auburnhub/Coordination/PollTurns.h"

#include <functional>
#include <mutex>

namespace auburnhub {

/// Reads the platform's VM list again and again on a thread of its own: every
/// period while the list is small, and a large one in turns with others.
class VmListPoller {
public:
  using Listener = std::function<void(const std::vector<PlatformVm> &)>;

  /// Calls Changed on the owner's task with each list that was read.
  VmListPoller(Address Platform, std::string Vm, Milliseconds Period,
               SerialTask &Owner, TimerService &Timers,
               MetricsRegistry &Metrics, Listener Changed);
  ~VmListPoller();

  void start();

  /// Sets with whom the reading is shared. Called from any thread.
  void setTurns(PollTurns Turns);

  /// Ends the thread, at the latest when the call in progress ends.
  void stop();

private:
  void pollInTurn();
  void poll();

  const Milliseconds m_Period;
  SerialTask &m_Owner;
  TimerService &m_Timers;
  Listener m_Changed;
  Counter &m_BytesRead;
  PlatformClient m_Client;
  TimerService::Subscription m_Subscription = 0;
  std::mutex m_Mutex; ///< Guards m_Turns.
  PollTurns m_Turns;
  std::int64_t m_ListBytes = 0; ///< Size of the list that was read last.
  SerialTask m_Task{"vm-list"};
};

} // namespace auburnhub

#endif
