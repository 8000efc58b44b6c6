#define BOOST_TEST_MODULE Path
#include "System/Support/Cluster.h"
#include "System/Support/HistoryChecker.h"
#include "System/Support/RecordingCaller.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;
using namespace auburnhub::test;

namespace {

std::unique_ptr<Cluster> startCluster() {
  ClusterOptions Options;
  Options.m_Binaries = AUBURNHUB_BINARY_DIR;
  Options.m_DataCentres = 2;
  auto Started = Cluster::start(Options);
  BOOST_TEST_REQUIRE(Started.ok(), Started.status().ToString());
  return std::move(*Started);
}

constexpr std::size_t TasksOfAJob = 100;

History collect(const Cluster &Run, const RecordingCaller &Caller) {
  History Seen = Caller.history();
  absl::Status Collected = Run.collect(Seen);
  BOOST_TEST_REQUIRE(Collected.ok(), Collected.ToString());
  return Seen;
}

void checkHolds(const History &Seen) {
  for (const Violation &Found : checkHistory(Seen))
    BOOST_ERROR(violationName(Found.m_Kind)
                << " " << Found.m_Subject << ": " << Found.m_Detail);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ACluster)

BOOST_AUTO_TEST_CASE(AnswersRequestsAndJobsAtEachVm) {
  auto Running = startCluster();
  RecordingCaller Caller;
  for (std::size_t Vm = 0; Vm < Running->vms().size(); ++Vm) {
    const std::string &Address = Running->http(Vm, Role::Entry);
    CallerSubmission Request;
    Request.m_Bodies = {"request-" + std::to_string(Vm)};
    auto Answered = Caller.submit(Address, Request);
    BOOST_TEST_REQUIRE(Answered.ok(), Answered.status().ToString());
    BOOST_TEST(Answered->m_Status == 200, Answered->m_Body);
    CallerSubmission Job;
    Job.m_Kind = SubmissionKind::Job;
    for (std::size_t Task = 0; Task < TasksOfAJob; ++Task)
      Job.m_Bodies.push_back("job-" + std::to_string(Vm) + "-" +
                             std::to_string(Task));
    auto Done = Caller.submit(Address, Job);
    BOOST_TEST_REQUIRE(Done.ok(), Done.status().ToString());
    BOOST_TEST(Done->m_Status == 200, Done->m_Body);
  }
  const History Seen = collect(*Running, Caller);
  const std::size_t Vms = Running->vms().size();
  BOOST_TEST(Seen.m_Starts.size() == Vms * (1 + TasksOfAJob));
  BOOST_TEST(Seen.m_Configurations.size() >= Vms * 3);
  checkHolds(Seen);
}

BOOST_AUTO_TEST_SUITE_END()
