#include "VmListPoller.h"

namespace auburnhub {
namespace {

/// Share of the 15 KB/s that a node may spend on control.
constexpr std::int64_t ListBytesPerSecond = 5000;
constexpr std::int64_t MillisecondsPerSecond = 1000;

} // namespace

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
      pollInTurn();
  });
}

void VmListPoller::stop() {
  m_Timers.cancel(m_Subscription);
  m_Task.stop();
}

void VmListPoller::setTurns(PollTurns Turns) {
  std::lock_guard Lock(m_Mutex);
  m_Turns = Turns;
}

void VmListPoller::pollInTurn() {
  std::int64_t PeriodMs = m_Period.count();
  std::int64_t Turn = TimerService::wallMilliseconds() / PeriodMs;
  std::int64_t BytesPerTurn = std::max<std::int64_t>(
      1, ListBytesPerSecond * PeriodMs / MillisecondsPerSecond);
  PollTurns Turns;
  {
    std::lock_guard Lock(m_Mutex);
    Turns = m_Turns;
  }
  if (Turns.isOwn(Turn, m_ListBytes, BytesPerTurn))
    poll();
}

void VmListPoller::poll() {
  auto Listed = m_Client.listVms();
  if (!Listed.ok())
    return;
  m_BytesRead.add(Listed->m_Bytes);
  m_ListBytes = static_cast<std::int64_t>(Listed->m_Bytes);
  m_Owner.post([this, Vms = std::move(Listed->m_Vms)] { m_Changed(Vms); });
}

} // namespace auburnhub
