#include "auburnhub/Net/EventLoop.h"

#include <boost/asio/post.hpp>

#include <ctime>
#include <utility>

namespace auburnhub {

struct EventLoop::Timer::State {
  explicit State(boost::asio::io_context &Io) : m_Timer(Io) {}
  boost::asio::steady_timer m_Timer;
  std::function<void()> m_Call;
  Duration m_Period{0}; ///< Zero for a call that is made once.
};

TimePoint EventLoop::now() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

std::int64_t EventLoop::wallMilliseconds() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

void EventLoop::arm(const std::shared_ptr<Timer::State> &State) {
  std::weak_ptr<Timer::State> Weak = State;
  State->m_Timer.async_wait([this, Weak](boost::system::error_code Ec) {
    std::shared_ptr<Timer::State> Held = Weak.lock();
    if (Ec || !Held)
      return;
    if (Held->m_Period.count() > 0) {
      Held->m_Timer.expires_after(Held->m_Period);
      arm(Held);
    }
    Held->m_Call();
  });
}

EventLoop::Timer EventLoop::once(Duration Delay, std::function<void()> Call) {
  Timer Result;
  Result.m_State = std::make_shared<Timer::State>(m_Io);
  Result.m_State->m_Call = std::move(Call);
  Result.m_State->m_Timer.expires_after(Delay);
  arm(Result.m_State);
  return Result;
}

EventLoop::Timer EventLoop::every(Duration Period, std::function<void()> Call) {
  Timer Result;
  Result.m_State = std::make_shared<Timer::State>(m_Io);
  Result.m_State->m_Call = std::move(Call);
  Result.m_State->m_Period = Period;
  Result.m_State->m_Timer.expires_after(Period);
  arm(Result.m_State);
  return Result;
}

void EventLoop::post(std::function<void()> Call) {
  boost::asio::post(m_Io, std::move(Call));
}

} // namespace auburnhub
