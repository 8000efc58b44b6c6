#define BOOST_TEST_MODULE Configuration
#include "System/Support/HttpCall.h"
#include "System/Support/RunChecks.h"

#include <csignal>

using namespace auburnhub;
using namespace auburnhub::test;

namespace {

using Json = nlohmann::json;

constexpr std::array AllRoles = {Role::Control, Role::Dispatch, Role::Entry};
constexpr const char *RecordsPath = "/v1/streams/configuration/records";

struct RunningCluster {
  explicit RunningCluster(int DataCentres = 1)
      : m_Cluster(startCluster(options(DataCentres))) {}

  static ClusterOptions options(int DataCentres) {
    ClusterOptions Options;
    Options.m_DataCentres = DataCentres;
    Options.m_VmsPerDataCentre = 2;
    return Options;
  }

  /// Returns a body that differs from the others of a run.
  Json body(int Weight) const {
    Json Body = m_Cluster->configuration();
    Body["teams"]["club-desk"]["weight"] = Weight;
    return Body;
  }

  Json record(const std::string &ChangeId, std::int64_t Base,
              int Weight) const {
    return {{"schema", 1},
            {"change_id", ChangeId},
            {"base", Base},
            {"author", "test"},
            {"body", body(Weight)}};
  }

  absl::StatusOr<Json> append(const Json &Record) {
    return postJson(m_Cluster->platform(), RecordsPath,
                    {{"records", {Record}}});
  }

  void faults(const Json &Faults) {
    BOOST_TEST_REQUIRE(m_Cluster->tellPlatform("/test/faults", Faults).ok());
  }

  /// Waits until a process says that an offset is in force.
  void awaitInForce(std::size_t Vm, Role Which, std::int64_t Offset) {
    auto Line =
        m_Cluster->process(Vm, Which).waitForLine([&](const Json &Line) {
          return Line.value("event", "") == "configuration_in_force" &&
                 Line.value("offset", std::int64_t{-1}) == Offset;
        });
    BOOST_TEST_REQUIRE(
        Line.ok(), roleName(Which) << " of VM " << Vm << ", offset " << Offset
                                   << ": " << Line.status().ToString());
  }

  void awaitEverywhere(std::int64_t Offset) {
    for (std::size_t Vm = 0; Vm < m_Cluster->vms().size(); ++Vm)
      for (Role Which : AllRoles)
        awaitInForce(Vm, Which, Offset);
  }

  /// Waits until a control has said that it refuses the record at an offset.
  void awaitRefused(std::size_t Vm, std::int64_t Offset) {
    auto Line =
        m_Cluster->process(Vm, Role::Control)
            .waitForLine([&](const Json &Line) {
              return Line.value("event", "") == "configuration_not_accepted" &&
                     Line.value("offset", std::int64_t{-1}) == Offset;
            });
    BOOST_TEST_REQUIRE(Line.ok(), Line.status().ToString());
  }

  void kill(std::size_t Vm, Role Which) {
    m_Cluster->killProcess(Vm, Which);
    BOOST_TEST_REQUIRE(m_Cluster->process(Vm, Which).wait().ok());
  }

  void start(std::size_t Vm) {
    for (Role Which : AllRoles)
      BOOST_TEST_REQUIRE(m_Cluster->startProcess(Vm, Which).ok());
    for (Role Which : AllRoles) {
      absl::Status Ready = m_Cluster->waitReady(Vm, Which);
      BOOST_TEST_REQUIRE(Ready.ok(), Ready.ToString());
    }
  }

  /// Checks that a VM takes a request and answers it.
  void checkServes(std::size_t Vm) {
    CallerSubmission Sent;
    Sent.m_Bodies = {"after-" + std::to_string(++m_Sent)};
    auto Reply = m_Caller.submit(m_Cluster->http(Vm, Role::Entry), Sent);
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    BOOST_TEST(Reply->m_Status == 200, Reply->m_Body);
  }

  void check() { checkHolds(collectHistory(*m_Cluster, m_Caller)); }

  std::unique_ptr<Cluster> m_Cluster;
  RecordingCaller m_Caller;
  int m_Sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnAcceptedConfiguration)

BOOST_AUTO_TEST_CASE(IsThatOfTheFirstOfTwoOperators) {
  RunningCluster Run;
  constexpr std::int64_t Base = 0;
  std::vector<std::thread> Operators;
  Operators.reserve(2);
  for (int Which = 0; Which < 2; ++Which)
    Operators.emplace_back([&Run, Which] {
      (void)Run.append(
          Run.record("operator-" + std::to_string(Which), Base, 2 + Which));
    });
  for (std::thread &Each : Operators)
    Each.join();
  Run.awaitEverywhere(1);
  for (std::size_t Vm = 0; Vm < Run.m_Cluster->vms().size(); ++Vm)
    Run.awaitRefused(Vm, 2);
  Run.check();
}

BOOST_AUTO_TEST_CASE(IsInForceOnceThoughItsReplyWasLost) {
  RunningCluster Run;
  Run.faults({{"lose_append_replies", 1}});
  const Json Record = Run.record("change-a", 0, 2);
  BOOST_TEST(!Run.append(Record).ok());
  BOOST_TEST_REQUIRE(Run.append(Record).ok());
  Run.awaitEverywhere(1);
  Run.awaitRefused(0, 2);
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-b", 1, 3)).ok());
  Run.awaitEverywhere(3);
  Run.check();
}

BOOST_AUTO_TEST_CASE(IsLearntFromPeersByAVmThatStartsInAnOutage) {
  RunningCluster Run;
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-a", 0, 2)).ok());
  Run.awaitEverywhere(1);
  for (Role Which : AllRoles)
    Run.kill(1, Which);
  Run.faults({{"down", true}});
  Run.start(1);
  for (Role Which : AllRoles)
    Run.awaitInForce(1, Which, 1);
  Run.checkServes(1);
  Run.faults({{"down", false}});
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-b", 1, 3)).ok());
  Run.awaitEverywhere(2);
  Run.check();
}

BOOST_AUTO_TEST_CASE(PassesOverWhatCannotBeRead) {
  RunningCluster Run;
  Json BadPolicy = Run.record("bad-policy", 0, 2);
  BadPolicy["body"]["policy"] = {{"long_share", 5}};
  Json TooNew = Run.record("too-new", 0, 2);
  TooNew["schema"] = 3;
  for (const Json &Bad : {Json("no record"), BadPolicy, TooNew})
    BOOST_TEST_REQUIRE(Run.append(Bad).ok());
  Json Next = Run.record("next-schema", 0, 2);
  Next["schema"] = 2;
  Next["body"]["unknown_section"] = 1;
  BOOST_TEST_REQUIRE(Run.append(Next).ok());
  Run.awaitEverywhere(4);
  for (std::size_t Vm = 0; Vm < Run.m_Cluster->vms().size(); ++Vm)
    for (std::int64_t Offset : {1, 2, 3})
      Run.awaitRefused(Vm, Offset);
  BOOST_TEST_REQUIRE(Run.append(Run.record("old-schema", 4, 3)).ok());
  Run.awaitEverywhere(5);
  Run.checkServes(0);
  Run.check();
}

BOOST_AUTO_TEST_CASE(IsLearntByAVmThatStartsAfterTrimming) {
  RunningCluster Run;
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-a", 0, 2)).ok());
  BOOST_TEST_REQUIRE(Run.append(Run.record("stale", 0, 3)).ok());
  Run.awaitEverywhere(1);
  for (Role Which : AllRoles)
    Run.kill(1, Which);
  BOOST_TEST_REQUIRE(
      Run.m_Cluster
          ->tellPlatform("/test/trim",
                         {{"stream", "configuration"}, {"first", 2}})
          .ok());
  Run.start(1);
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-b", 1, 4)).ok());
  Run.awaitInForce(0, Role::Control, 3);
  Run.checkServes(1);
  Run.check();
}

BOOST_AUTO_TEST_CASE(ReachesADataCentreThatThePlatformLeftOut) {
  RunningCluster Run(2);
  Json Names = Json::array();
  for (const ClusterVm &Vm : Run.m_Cluster->vms())
    if (Vm.m_DataCentre == Run.m_Cluster->vms()[0].m_DataCentre)
      Names.push_back(Vm.m_Name);
  Run.faults({{"refuse_from", Names}});
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-a", 0, 2)).ok());
  Run.awaitEverywhere(1);
  Run.faults({{"refuse_from", Json::array()}});
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-b", 1, 3)).ok());
  Run.awaitEverywhere(2);
  Run.check();
}

BOOST_AUTO_TEST_CASE(IsFollowedByAVmThatWasPaused) {
  RunningCluster Run;
  for (Role Which : AllRoles)
    Run.m_Cluster->process(1, Which).signal(SIGSTOP);
  const std::int64_t SinceMs = TimerService::wallMilliseconds();
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-a", 0, 2)).ok());
  Run.awaitInForce(0, Role::Entry, 1);
  BOOST_TEST_REQUIRE(Run.append(Run.record("change-b", 1, 3)).ok());
  Run.awaitInForce(0, Role::Entry, 2);
  for (Role Which : AllRoles)
    Run.m_Cluster->process(1, Which).signal(SIGCONT);
  Run.awaitEverywhere(2);
  History Seen = collectHistory(*Run.m_Cluster, Run.m_Caller);
  Seen.m_Isolations.push_back({Run.m_Cluster->vms()[1].m_Name, SinceMs,
                               TimerService::wallMilliseconds()});
  checkHolds(Seen);
}

BOOST_AUTO_TEST_SUITE_END()
