#include "auburnhub/Base/TimerService.h"

#include <utility>

namespace auburnhub {

TimerService::TimerService() {
  m_Thread = std::thread([this] { run(); });
}

TimerService::~TimerService() { stop(); }

TimerService::Subscription TimerService::once(Milliseconds Delay,
                                              SerialTask &Task,
                                              std::function<void()> Call) {
  return add(Delay, Milliseconds::zero(), Task, std::move(Call));
}

TimerService::Subscription TimerService::every(Milliseconds Period,
                                               SerialTask &Task,
                                               std::function<void()> Call) {
  return add(Period, Period, Task, std::move(Call));
}

void TimerService::cancel(Subscription Id) {
  std::lock_guard Lock(m_Mutex);
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  auto [First, Last] = m_Order.equal_range(Found->second.m_Due);
  for (auto It = First; It != Last; ++It) {
    if (It->second != Id)
      continue;
    m_Order.erase(It);
    break;
  }
  m_Entries.erase(Found);
}

void TimerService::stop() {
  {
    std::lock_guard Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Changed.notify_one();
  if (m_Thread.joinable())
    m_Thread.join();
}

MonotonicTime TimerService::now() { return std::chrono::steady_clock::now(); }

std::int64_t TimerService::wallMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimerService::Subscription TimerService::add(Milliseconds Delay,
                                             Milliseconds Period,
                                             SerialTask &Task,
                                             std::function<void()> Call) {
  MonotonicTime Due = now() + Delay;
  Subscription Id;
  {
    std::lock_guard Lock(m_Mutex);
    Id = ++m_LastId;
    auto Shared = std::make_shared<std::function<void()>>(std::move(Call));
    m_Entries.emplace(Id, Entry{&Task, std::move(Shared), Period, Due});
    m_Order.emplace(Due, Id);
  }
  m_Changed.notify_one();
  return Id;
}

void TimerService::run() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopping) {
    if (m_Order.empty()) {
      m_Changed.wait(Lock);
      continue;
    }
    MonotonicTime Due = m_Order.begin()->first;
    MonotonicTime Now = now();
    if (Due > Now) {
      m_Changed.wait_until(Lock, Due);
      continue;
    }
    fireDue(Now);
  }
}

void TimerService::fireDue(MonotonicTime Now) {
  while (!m_Order.empty() && m_Order.begin()->first <= Now) {
    Subscription Id = m_Order.begin()->second;
    m_Order.erase(m_Order.begin());
    auto Found = m_Entries.find(Id);
    Entry &Due = Found->second;
    Due.m_Task->post([Call = Due.m_Call] { (*Call)(); });
    if (Due.m_Period == Milliseconds::zero()) {
      m_Entries.erase(Found);
      continue;
    }
    Due.m_Due = Now + Due.m_Period;
    m_Order.emplace(Due.m_Due, Id);
  }
}

} // namespace auburnhub
