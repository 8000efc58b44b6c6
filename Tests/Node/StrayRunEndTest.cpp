#include "auburnhub/Node/StoredRuns.h"

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
       [](const std::string &, const StoredJobMessage &) {}}};
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
  m_Runs.setJobsAreStored(false);
  BOOST_TEST(m_Acknowledged == BothWorkers, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
