#include "LedgerFixture.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

/// A ledger with one stored job of one task, and workers that are lost.
struct LostWorkersFixture : LedgerFixture {
  LostWorkersFixture() {
    submit(job("a", 1));
    store();
  }

  /// The incarnation that starts now on a machine.
  WorkerIncarnation worker(int Machine) const {
    return {"worker-" + std::to_string(Machine) + "-" +
                std::to_string(m_WallMs),
            "10.0.0." + std::to_string(Machine) + ":80", m_WallMs};
  }
  /// Starts the task on a machine and loses the worker. Returns the worker, or
  /// none if the task is not offered.
  WorkerIncarnation loseNextRun(int Machine) {
    auto Task = start();
    if (!Task)
      return {};
    WorkerIncarnation On = worker(Machine);
    advanceTime(1500);
    loseRun(*Task, On);
    if (m_Ledger->hasRecords())
      store();
    return On;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ATaskWhoseWorkersAreLost, LostWorkersFixture)

BOOST_AUTO_TEST_CASE(IsNotStartedWithoutLimit) {
  int Starts = 0;
  for (; Starts < 20 && !loseNextRun(Starts).m_Worker.empty(); ++Starts)
    advanceTime(60000);
  BOOST_TEST(Starts == 5);
  BOOST_TEST((m_Ledger->state("a") == StoredJobState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
