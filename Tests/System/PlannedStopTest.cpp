#define BOOST_TEST_MODULE PlannedStop
#include "System/Support/CallerLoad.h"
#include "System/Support/RunChecks.h"

#include <csignal>

using namespace auburnhub;
using namespace auburnhub::test;

namespace {

using Order = std::vector<Role>;

constexpr std::size_t CallsBetweenStops = 40;

struct ClusterUnderLoad {
  explicit ClusterUnderLoad(int Vms = 2)
      : m_Cluster(startCluster(options(Vms))), m_Load(m_Caller, entries()) {}

  static ClusterOptions options(int Vms) {
    ClusterOptions Options;
    Options.m_VmsPerDataCentre = Vms;
    return Options;
  }

  std::vector<std::string> entries() const {
    std::vector<std::string> Found;
    for (std::size_t Vm = 0; Vm < m_Cluster->vms().size(); ++Vm)
      Found.push_back(m_Cluster->http(Vm, Role::Entry));
    return Found;
  }

  void workOn() {
    BOOST_TEST_REQUIRE(m_Load.waitForCompleted(CallsBetweenStops));
  }

  void awaitEnd(std::size_t Vm, Role Which) {
    auto Status = m_Cluster->process(Vm, Which).wait();
    BOOST_TEST_REQUIRE(Status.ok(), Status.status().ToString());
    BOOST_TEST(*Status == 0, roleName(Which) << " ended with " << *Status);
  }

  void stop(std::size_t Vm, Role Which) {
    m_Cluster->stopProcess(Vm, Which);
    awaitEnd(Vm, Which);
  }

  void restart(std::size_t Vm) {
    for (Role Which : {Role::Control, Role::Dispatch, Role::Entry})
      BOOST_TEST_REQUIRE(m_Cluster->startProcess(Vm, Which).ok());
    for (Role Which : {Role::Control, Role::Dispatch, Role::Entry}) {
      absl::Status Ready = m_Cluster->waitReady(Vm, Which);
      BOOST_TEST_REQUIRE(Ready.ok(), Ready.ToString());
    }
    m_Load.use(m_Cluster->http(Vm, Role::Entry));
  }

  void replace(std::size_t Vm, const Order &Stops) {
    workOn();
    for (Role Which : Stops) {
      stop(Vm, Which);
      workOn();
    }
    restart(Vm);
    workOn();
  }

  /// Ends the load and checks the history of the run.
  void check() {
    m_Load.stop();
    const History Seen = collectHistory(*m_Cluster, m_Caller);
    checkHolds(Seen);
    for (const Answer &Got : Seen.m_Answers)
      BOOST_TEST((Got.m_Status == 200 || Got.m_Problem == "shutting-down"),
                 Got.m_Call << " of " << Got.m_Submission << ": "
                            << Got.m_Status << " " << Got.m_Problem << " "
                            << Got.m_Outcome);
  }

  std::unique_ptr<Cluster> m_Cluster;
  RecordingCaller m_Caller;
  CallerLoad m_Load;
};

} // namespace

BOOST_AUTO_TEST_SUITE(APlannedStop)

BOOST_AUTO_TEST_SUITE(OfTheProcessesOfAVmUnderLoad)

BOOST_AUTO_TEST_CASE(CutsNothingInTheUsualOrder) {
  ClusterUnderLoad Run;
  Run.replace(0, {Role::Entry, Role::Dispatch, Role::Control});
  Run.check();
}

BOOST_AUTO_TEST_CASE(CutsNothingWithTheDispatcherFirst) {
  ClusterUnderLoad Run;
  Run.replace(0, {Role::Dispatch, Role::Entry, Role::Control});
  Run.check();
}

BOOST_AUTO_TEST_CASE(CutsNothingWithTheControlAfterTheDispatcher) {
  ClusterUnderLoad Run;
  Run.replace(0, {Role::Dispatch, Role::Control, Role::Entry});
  Run.check();
}

BOOST_AUTO_TEST_CASE(CutsNothingWhenAllAreToldAtOnce) {
  ClusterUnderLoad Run;
  Run.workOn();
  for (Role Which : {Role::Entry, Role::Dispatch, Role::Control})
    Run.m_Cluster->stopProcess(0, Which);
  for (Role Which : {Role::Entry, Role::Dispatch, Role::Control})
    Run.awaitEnd(0, Which);
  Run.workOn();
  Run.restart(0);
  Run.workOn();
  Run.check();
}

BOOST_AUTO_TEST_CASE(IsNotHastenedByASecondSignal) {
  ClusterUnderLoad Run;
  for (Role Which : {Role::Entry, Role::Dispatch, Role::Control}) {
    Run.workOn();
    Run.m_Cluster->stopProcess(0, Which);
    Run.m_Cluster->process(0, Which).signal(SIGTERM);
    Run.awaitEnd(0, Which);
  }
  Run.workOn();
  Run.check();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfOneVmAfterTheOther)

BOOST_AUTO_TEST_CASE(ReplacesADataCentreAndCutsNothing) {
  ClusterUnderLoad Run(3);
  for (std::size_t Vm = 0; Vm < 3; ++Vm)
    Run.replace(Vm, {Role::Entry, Role::Dispatch, Role::Control});
  Run.check();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
