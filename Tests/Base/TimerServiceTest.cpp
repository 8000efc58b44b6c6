#include "auburnhub/Base/TimerService.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(ATimerService)

BOOST_AUTO_TEST_CASE(PostsCallsInTheOrderInWhichTheyAreDue) {
  SerialTask Task("test");
  TimerService Timers;
  std::string Seen;
  std::promise<void> Done;
  Timers.once(Milliseconds(40), Task, [&] { Done.set_value(); });
  Timers.once(Milliseconds(20), Task, [&] { Seen += "b"; });
  Timers.once(Milliseconds(1), Task, [&] { Seen += "a"; });
  Done.get_future().wait();
  BOOST_TEST(Seen == "ab");
}

BOOST_AUTO_TEST_CASE(RepeatsUntilCancelled) {
  SerialTask Task("test");
  TimerService Timers;
  int Count = 0;
  TimerService::Subscription Id = 0;
  std::promise<void> Done;
  std::promise<void> Started;
  Task.post([&] { Started.get_future().wait(); });
  Id = Timers.every(Milliseconds(1), Task, [&] {
    if (++Count != 3)
      return;
    Timers.cancel(Id);
    Done.set_value();
  });
  Started.set_value();
  Done.get_future().wait();
  Timers.stop();
  Task.stop();
  BOOST_TEST(Count >= 3);
}

BOOST_AUTO_TEST_SUITE_END()
