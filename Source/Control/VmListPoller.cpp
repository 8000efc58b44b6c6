#include "VmListPoller.h"

namespace auburnhub {

VmListPoller::VmListPoller(Address Platform, std::string Vm,
                           Milliseconds Period, SerialTask &Owner,
                           TimerService &Timers, MetricsRegistry &Metrics,
                           Listener Changed)
    : m_Period(Period), m_Owner(Owner), m_Timers(Timers),
      m_Changed(std::move(Changed)),
      m_BytesRead(Metrics.counter("auburnhub_vm_list_read_bytes_total",
                                  "Bytes of VM lists read")),
      m_Client(std::move(Platform), std::move(Vm)) {}

VmListPoller::~VmListPoller() { stop(); }

void VmListPoller::start() {
  m_Task.post([this] { poll(); });
  m_Subscription = m_Timers.every(m_Period, m_Task, [this] {
    // Polls that queued up behind a slow one would find nothing new.
    if (m_Task.backlog() == 0)
      poll();
  });
}

void VmListPoller::stop() {
  m_Timers.cancel(m_Subscription);
  m_Task.stop();
}

void VmListPoller::poll() {
  auto Listed = m_Client.listVms();
  if (!Listed.ok())
    return;
  m_BytesRead.add(Listed->m_Bytes);
  m_Owner.post([this, Vms = std::move(Listed->m_Vms)] { m_Changed(Vms); });
}

} // namespace auburnhub
