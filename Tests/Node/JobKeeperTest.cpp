#include "auburnhub/Node/JobKeeper.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <utility>
#include <vector>

using namespace auburnhub;

namespace {

/// A log whose join calls the test answers one by one.
class HeldLog {
public:
  using Done = std::function<void(absl::Status)>;
  using Joined = std::function<void(absl::StatusOr<JobLogMembership>)>;

  void join(LedgerEpoch, Joined Call) { m_Joins.push_back(std::move(Call)); }
  void leave(const Done &) {}
  void open(std::uint32_t, LedgerEpoch, const Done &) { ++m_Opened; }
  void read(std::uint32_t, std::string_view,
            const std::function<void(absl::StatusOr<JobLogPage>)> &) {}
  void append(std::uint32_t, LedgerEpoch, std::uint64_t,
              const std::vector<LedgerRecord> &, const Done &) {}
  void markInUse(Done Call) { m_Marks.push_back(std::move(Call)); }

  std::vector<Joined> m_Joins;
  std::vector<Done> m_Marks;
  int m_Opened = 0;
};

struct InactiveKeeper {
  void waitMs(double Ms) {
    TimePoint Begin = EventLoop::now();
    while (millisecondsBetween(Begin, EventLoop::now()) < Ms) {
      m_Loop.io().restart();
      m_Loop.io().run_one_for(std::chrono::milliseconds(2));
    }
  }
  void answerJoin() { m_Log.m_Joins.back()(JobLogMembership{3, {0}}); }

  EventLoop m_Loop;
  HeldLog m_Log;
  OwnerTable m_Owners{"a"};
  JobKeeperSettings m_Settings;
  JobKeeper<HeldLog> m_Keeper{
      m_Loop,
      m_Log,
      *StateChart::load(AUBURNHUB_SOURCE_DIR
                        "/share/auburnhub/charts/ledger-partition.yaml",
                        LedgerPartition<HeldLog>::vocabulary()),
      m_Settings,
      m_Owners,
      {[](const std::string &, const StoredJobMessage &) {},
       [](const StoredJobMessage &) {},
       [] {},
       {},
       {},
       [](const std::string &, TimePoint) { return 0.0; },
       [] { return std::vector<WorkerIncarnation>(); }}};
};

struct KeeperFixture : InactiveKeeper {
  KeeperFixture() { m_Keeper.activate(/*IsPublished=*/true); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AKeeperThatIsTheFirstToStoreAJob, InactiveKeeper)

// Guards against other keepers that start tasks before the log says that jobs
// are stored.
BOOST_AUTO_TEST_CASE(IsNotPublishedUntilTheLogIsMarked) {
  m_Keeper.activate(/*IsPublished=*/false);
  BOOST_REQUIRE(m_Log.m_Marks.size() == 1U);
  BOOST_TEST(!m_Keeper.isPublished());
  BOOST_TEST(m_Log.m_Joins.empty());
  m_Log.m_Marks.front()(absl::OkStatus());
  BOOST_TEST(m_Keeper.isPublished());
  BOOST_TEST(m_Log.m_Joins.size() == 1U);
}

BOOST_AUTO_TEST_CASE(MarksTheLogWithoutJoiningIfItDrains) {
  m_Keeper.drain();
  m_Keeper.activate(/*IsPublished=*/false);
  BOOST_REQUIRE(m_Log.m_Marks.size() == 1U);
  m_Log.m_Marks.front()(absl::OkStatus());
  BOOST_TEST(m_Keeper.isPublished());
  BOOST_TEST(m_Log.m_Joins.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AKeeperWhoseLogAnswersLate, KeeperFixture)

// Guards against partitions that are opened when the membership is over, and
// jobs that wait for their next keeper meanwhile.
BOOST_AUTO_TEST_CASE(JoinsAgainAtOnceAndOpensNothingBefore) {
  BOOST_REQUIRE(m_Log.m_Joins.size() == 1U);
  waitMs(m_Settings.m_MembershipTimeoutMs + 20);
  answerJoin();
  waitMs(60);
  BOOST_TEST(m_Log.m_Opened == 0);
  BOOST_REQUIRE(m_Log.m_Joins.size() == 2U);
  answerJoin();
  BOOST_TEST(m_Log.m_Opened == 1);
}

BOOST_AUTO_TEST_CASE(JoinsAgainAnIntervalAfterItsLastCall) {
  waitMs(m_Settings.m_JoinIntervalMs + 20);
  answerJoin();
  BOOST_TEST(m_Log.m_Opened == 1);
  waitMs(60);
  BOOST_TEST(m_Log.m_Joins.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
