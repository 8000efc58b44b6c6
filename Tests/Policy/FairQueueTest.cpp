#include "auburnhub/Policy/FairQueue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace auburnhub;

namespace {

/// A fair queue with the handles of its tasks. The team of a task is its key
/// modulo 3.
struct Queue {
  void push(TaskKey Key, double Cost = 1) {
    m_Handles[Key] = m_Queue.push(Key % 3, Key, Cost);
  }

  TaskKey serve() {
    TaskKey Key = m_Queue.front();
    m_Queue.serve(m_Handles[Key]);
    m_Handles.erase(Key);
    return Key;
  }

  FairQueue m_Queue;
  std::map<TaskKey, FairQueue::Handle> m_Handles;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AFairQueue)

BOOST_FIXTURE_TEST_CASE(ServesTeamsByWeight, Queue) {
  m_Queue.setWeight(1, 3);
  for (TaskKey Key = 0; Key < 300; ++Key)
    push(Key);
  std::map<TaskKey, int> Served;
  for (int I = 0; I < 100; ++I)
    ++Served[serve() % 3];
  BOOST_TEST(Served[1] >= 58);
  BOOST_TEST(Served[1] <= 62);
  BOOST_TEST(Served[0] >= 18);
  BOOST_TEST(Served[2] >= 18);
}

BOOST_FIXTURE_TEST_CASE(ChargesTeamsByTheCostOfTheirTasks, Queue) {
  for (TaskKey Key = 0; Key < 300; ++Key)
    push(Key, Key % 3 == 0 ? 10 : 1);
  std::map<TaskKey, int> Served;
  for (int I = 0; I < 105; ++I)
    ++Served[serve() % 3];
  BOOST_TEST(Served[0] <= 6);
}

BOOST_FIXTURE_TEST_CASE(GivesNoCreditForTimeWithoutTasks, Queue) {
  for (TaskKey Key = 0; Key < 300; Key += 3)
    push(Key);
  for (int I = 0; I < 50; ++I)
    (void)serve();
  for (TaskKey Key = 1; Key < 300; Key += 3)
    push(Key);
  std::map<TaskKey, int> Served;
  for (int I = 0; I < 20; ++I)
    ++Served[serve() % 3];
  BOOST_TEST(Served[0] >= 9);
}

BOOST_AUTO_TEST_CASE(KeepsTheOrderWithinATeamWhenTasksAreErased) {
  bool Holds = rc::check([](const std::vector<std::uint8_t> &Steps) {
    Queue Q;
    TaskKey Next = 0;
    std::map<TaskKey, TaskKey> LastServed;
    for (std::uint8_t Step : Steps) {
      if (Step % 4 < 2)
        Q.push(++Next, Step + 1);
      else if (Q.m_Handles.empty())
        continue;
      else if (Step % 4 == 2) {
        TaskKey Key = Q.serve();
        RC_ASSERT(LastServed[Key % 3] < Key);
        LastServed[Key % 3] = Key;
      } else {
        auto Erased = Q.m_Handles.begin();
        Q.m_Queue.erase(Erased->second);
        Q.m_Handles.erase(Erased);
      }
      RC_ASSERT(Q.m_Queue.size() == Q.m_Handles.size());
    }
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
