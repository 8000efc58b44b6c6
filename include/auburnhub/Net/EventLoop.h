#ifndef AUBURNHUB_NET_EVENTLOOP_H
#define AUBURNHUB_NET_EVENTLOOP_H

#include "auburnhub/Policy/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburnhub {

/// Runs all parts of a process that serves on one thread, and is their timer
/// service: parts subscribe, nobody sleeps.
class EventLoop {
public:
  using Duration = std::chrono::milliseconds;

  /// A subscription. Destroying or resetting it ends the subscription.
  class Timer {
  public:
    Timer() = default;
    void reset() { m_State.reset(); }
    explicit operator bool() const { return m_State != nullptr; }

  private:
    friend class EventLoop;
    struct State;
    std::shared_ptr<State> m_State;
  };

  /// Returns the time since boot, which counts the time that the machine was
  /// suspended and which no clock change moves.
  static TimePoint now();

  /// Returns the wall clock in milliseconds since the Unix epoch.
  static std::int64_t wallMilliseconds();

  /// Calls once, after Delay.
  [[nodiscard]] Timer once(Duration Delay, std::function<void()> Call);

  /// Calls each Period, first after one Period. Missed periods are not made up.
  [[nodiscard]] Timer every(Duration Period, std::function<void()> Call);

  /// Calls after the events that are already waiting.
  void post(std::function<void()> Call);

  void run() { m_Io.run(); }
  void stop() { m_Io.stop(); }
  boost::asio::io_context &io() { return m_Io; }

private:
  void arm(const std::shared_ptr<Timer::State> &State);

  boost::asio::io_context m_Io{1};
};

} // namespace auburnhub

#endif
