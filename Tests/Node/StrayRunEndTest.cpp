#include "auburnhub/Node/StoredRuns.h"

#include "auburnhub/Net/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace auburnhub;

namespace {

/// An owner that has not ordered the run whose ends workers list.
struct OwnerOfWorkers {
  std::multiset<std::string> m_Acknowledged; ///< Workers.
  StoredRun m_Run{{"a", 0, 0}, 1};
  StoredRuns m_Runs{
      1,
      {[](const StoredTask &, const RunLimit &) {}, [](const TaskRef &) {},
       [this](const std::string &Worker, const StoredEndConfirmed &) {
         m_Acknowledged.insert(Worker);
       },
       [this](const std::string &, const StoredJobMessage &) { ++m_Sent; },
       [this] { ++m_Reads; }}};
  int m_Sent = 0;
  int m_Reads = 0; ///< Requested, of the log.

  bool lists(const std::string &Worker) {
    return m_Runs.strayRunEnded(Worker, m_Run.m_Task, m_Run.m_Number,
                                RunEnd::Done);
  }
};

const std::multiset<std::string> BothWorkers = {"first", "second"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheEndOfARunThatTwoWorkersList, OwnerOfWorkers)

BOOST_AUTO_TEST_CASE(IsAcknowledgedToBoth) {
  for (const char *Worker : {"first", "second", "first"})
    BOOST_TEST(m_Runs.strayRunEnded(Worker, m_Run.m_Task, m_Run.m_Number,
                                    RunEnd::Done));
  m_Runs.endStored({m_Run, false});
  BOOST_TEST(m_Acknowledged == BothWorkers, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(IsAcknowledgedToBothOnceNoJobsAreStored) {
  for (const char *Worker : {"first", "second"})
    m_Runs.strayRunEnded(Worker, m_Run.m_Task, m_Run.m_Number, RunEnd::Failed);
  m_Runs.setNoJobsStored(EventLoop::now());
  BOOST_TEST(m_Acknowledged == BothWorkers, boost::test_tools::per_element());
}

// Guards against an end that a worker forgets because no jobs were stored when
// this node last read the log, though another node has stored the first since.
BOOST_AUTO_TEST_CASE(IsKeptIfTheLogWasReadBeforeItWasListed) {
  TimePoint ReadAt = EventLoop::now();
  m_Runs.setNoJobsStored(ReadAt);
  BOOST_TEST(lists("first"));
  BOOST_TEST(m_Reads == 1);
  // The answer to a read that was sent earlier says nothing about it.
  m_Runs.setNoJobsStored(ReadAt);
  BOOST_TEST(m_Acknowledged.empty());
  BOOST_TEST(m_Reads == 2);
  m_Runs.setNoJobsStored(EventLoop::now());
  BOOST_TEST(m_Acknowledged == std::multiset<std::string>{"first"},
             boost::test_tools::per_element());
  BOOST_TEST(m_Runs.runs() == 0U);
}

BOOST_AUTO_TEST_CASE(IsKeptIfTheLogWasReadBeforeItWasListedAgain) {
  lists("first");
  TimePoint ReadAt = EventLoop::now();
  lists("second");
  m_Runs.setNoJobsStored(ReadAt);
  BOOST_TEST(m_Acknowledged.empty());
  m_Runs.setNoJobsStored(EventLoop::now());
  BOOST_TEST(m_Acknowledged == BothWorkers, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(IsKeptForItsKeeperOnceJobsAreStored) {
  m_Runs.setNoJobsStored(EventLoop::now());
  lists("first");
  m_Runs.setJobsAreStored();
  m_Runs.setNoJobsStored(EventLoop::now());
  BOOST_TEST(m_Acknowledged.empty());
  int Before = m_Sent;
  m_Runs.opened("keeper", LedgerOpened{{0, 1}});
  // The end, then the list of runs.
  BOOST_TEST(m_Sent == Before + 2);
}

BOOST_AUTO_TEST_CASE(IsKeptOnceAKeeperHasAppeared) {
  m_Runs.setNoJobsStored(EventLoop::now());
  m_Runs.confirmed("keeper", {}, EventLoop::now());
  BOOST_TEST(lists("first"));
  BOOST_TEST(m_Reads == 0);
  m_Runs.setNoJobsStored(EventLoop::now());
  BOOST_TEST(m_Acknowledged.empty());
}

BOOST_AUTO_TEST_SUITE_END()
