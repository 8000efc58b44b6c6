#include "SchedulerFixture.h"

#include "auburnhub/Policy/RandomEndpoint.h"
#include "auburnhub/Policy/RoundRobin.h"
#include "auburnhub/Policy/SelectablePlacement.h"
#include "auburnhub/Policy/TwoRandomChoices.h"

#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>

using namespace auburnhub;

using Policies =
    boost::mpl::list<LeastExpectedCompletion, RandomEndpoint, RoundRobin,
                     TwoRandomChoices, SelectablePlacement>;

BOOST_AUTO_TEST_SUITE(APlacementPolicy)

BOOST_AUTO_TEST_CASE_TEMPLATE(ChoosesOnlyPresentAndAcceptedEndpoints, Policy,
                              Policies) {
  std::mt19937_64 Random(42);
  Policy P;
  for (std::size_t I = 0; I < 10; ++I)
    P.insert(I, static_cast<double>(I) + 1);
  P.insert(3, 0.5);
  P.erase(7);
  P.erase(7);
  BOOST_TEST(P.size() == 9u);
  for (int I = 0; I < 200; ++I) {
    auto Choice = P.choose(Random, [](std::size_t E) { return E > 2; });
    BOOST_TEST_REQUIRE(Choice.has_value());
    BOOST_TEST(Choice->m_Endpoint > 2u);
    BOOST_TEST(Choice->m_Endpoint != 7u);
  }
  BOOST_TEST(!P.choose(Random, [](std::size_t) { return false; }).has_value());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(RunsInAScheduler, Policy, Policies) {
  std::mt19937_64 Random(42);
  TimePoint Now{std::chrono::hours(1)};
  Scheduler<Policy> S({}, Now);
  const TeamSpec Teams[] = {{"club-desk"}};
  S.setTeams(Teams);
  const EndpointSpec Specs[] = {{"e1", "tiles", 2}, {"e2", "tiles", 2}};
  S.setEndpoints(Now, Specs);
  for (TaskKey Key = 1; Key <= 5; ++Key) {
    TaskRequest Task{Key, "club-desk", "tiles", "", addMs(Now, 1000), {}};
    BOOST_TEST(S.admit(Now, Task, Random).ok());
  }
  std::vector<PlacementDecision> Out;
  S.nextPlacements(Now, Random, Out);
  BOOST_TEST(Out.size() == 4u);
  BOOST_TEST(S.queuedTasks() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
