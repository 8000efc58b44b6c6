#ifndef AUBURNHUB_BASE_TIMERSERVICE_H
#define AUBURNHUB_BASE_TIMERSERVICE_H

#include "auburnhub/Base/SerialTask.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace auburnhub {

using Milliseconds = std::chrono::milliseconds;
using MonotonicTime = std::chrono::steady_clock::time_point;

/// The process's one source of time.
///
/// Parts subscribe with the task that is to run the call; the service posts
/// the call to that task when it is due and never runs it itself. A
/// subscription ends by cancel(); a call already posted may still run. The
/// task must outlive its subscriptions.
class TimerService {
public:
  using Subscription = std::uint64_t;

  TimerService();
  ~TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Posts Call to Task once, after Delay.
  Subscription once(Milliseconds Delay, SerialTask &Task,
                    std::function<void()> Call);

  /// Posts Call to Task each Period, first after one Period. Periods that were
  /// missed, for instance while the process was paused, are not made up.
  Subscription every(Milliseconds Period, SerialTask &Task,
                     std::function<void()> Call);

  /// Ends a subscription. Unknown ones are ignored.
  void cancel(Subscription Id);

  /// Ends all subscriptions and the service's thread.
  void stop();

  /// Returns the monotonic time, which no clock change moves.
  static MonotonicTime now();

  /// Returns the wall clock in milliseconds since the Unix epoch.
  static std::int64_t wallMilliseconds();

private:
  struct Entry {
    SerialTask *m_Task;
    std::shared_ptr<std::function<void()>> m_Call;
    Milliseconds m_Period; ///< Zero for a call that is made once.
    MonotonicTime m_Due;
  };

  Subscription add(Milliseconds Delay, Milliseconds Period, SerialTask &Task,
                   std::function<void()> Call);
  void run();
  void fireDue(MonotonicTime Now);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::unordered_map<Subscription, Entry> m_Entries;
  std::multimap<MonotonicTime, Subscription> m_Order;
  Subscription m_LastId = 0;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace auburnhub

#endif
