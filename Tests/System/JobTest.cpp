#define BOOST_TEST_MODULE Job
#include "System/Support/RecordedRun.h"

using namespace auburnhub;
using namespace auburnhub::test;

// A job's answer is either complete or failed, never partial.

namespace {

constexpr std::size_t Here = 0;
constexpr std::size_t There = 1;
constexpr auto Orders = "tile-orders";
constexpr int Tasks = 100;
constexpr int Held = 5;

struct Fixture {
  Fixture() : m_Run(options()) {}

  static ClusterOptions options() {
    ClusterOptions Options;
    Options.m_VmsPerDataCentre = 2;
    Options.m_Services = {{Orders, true}};
    return Options;
  }

  /// Submits a job of which some tasks are held, and waits until all others
  /// are done.
  std::future<SubmitResult> submitHalfDone(std::size_t Vm,
                                           const CallerSubmission &Job) {
    auto Reply = m_Run.submitLater(Vm, Job);
    waitUntil("all tasks are done but those that are held", [&] {
      return m_Run.cluster().endpointCount(Orders, "finishes") == Tasks - Held;
    });
    m_Run.waitForEndpoints(Orders, "running", Held);
    return Reply;
  }

  void endHold() { m_Run.setModes(Orders, "ok"); }

  /// Returns the VM whose dispatcher owns the only unfinished job.
  std::size_t ownerOfJob() {
    for (std::size_t Vm : {Here, There})
      if (m_Run.cluster().status(Vm, Role::Dispatch)["unfinished"] == 1)
        return Vm;
    BOOST_FAIL("no dispatcher owns the job");
    return Here;
  }

  RecordedRun m_Run;
};

/// Returns a job of which some tasks are held by their endpoints.
CallerSubmission makeHeldJob(const std::string &Id, const std::string &Name) {
  CallerSubmission Job = makeJob(Id, Name, Tasks);
  for (int I = 0; I != Held; ++I) {
    const int Task = I * Tasks / Held;
    Job.m_Bodies[Task] =
        nlohmann::json{{"hold", true}, {"echo", Job.m_Bodies[Task]}}.dump();
  }
  return Job;
}

void checkFailed(const SubmitResult &Reply) {
  BOOST_TEST_REQUIRE(Reply.ok());
  BOOST_TEST(Reply->m_Status >= 400);
  BOOST_TEST(!Reply->json().contains("results"), Reply->m_Body);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AJobOfAHundredTasks, Fixture)

BOOST_AUTO_TEST_SUITE(IsAnsweredAsFailed)

BOOST_AUTO_TEST_CASE(WhenOneTaskFails) {
  CallerSubmission Job = makeJob(m_Run.callerId(), "one-fails", Tasks);
  Job.m_Bodies[57] = R"({"fail":true,"echo":"one-fails"})";
  const SubmitResult Reply = m_Run.submit(Here, Job);
  checkFailed(Reply);
  BOOST_TEST(outcomeOf(Reply) == "failed");
  // The remembered answer is no other.
  checkFailed(m_Run.submit(There, Job));
  m_Run.waitUntilIdle(Here);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(WhenOneTaskHangsPastTheTimeout) {
  CallerSubmission Job = makeHeldJob(m_Run.callerId(), "one-hangs");
  Job.m_Timeout = Milliseconds(2000);
  auto Waiting = submitHalfDone(Here, Job);
  const SubmitResult Reply = Waiting.get();
  checkFailed(Reply);
  BOOST_TEST(outcomeOf(Reply) == "unknown");
  endHold();
  checkFailed(m_Run.submit(There, Job));
  m_Run.waitUntilIdle(Here);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(WhenItsEndpointsDie) {
  auto Waiting = submitHalfDone(Here, makeHeldJob(m_Run.callerId(), "killed"));
  m_Run.cluster().killEndpoint(0);
  const SubmitResult Reply = Waiting.get();
  checkFailed(Reply);
  BOOST_TEST(outcomeOf(Reply) == "unknown");
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(WhenItIsCancelledInTheMiddle) {
  const CallerSubmission Job = makeHeldJob(m_Run.callerId(), "cancelled");
  auto Waiting = submitHalfDone(Here, Job);
  BOOST_TEST(m_Run.cancel(There, Job.m_Key) == 202);
  const SubmitResult Reply = Waiting.get();
  checkFailed(Reply);
  BOOST_TEST(problemOf(Reply) == "cancelled");
  BOOST_TEST(outcomeOf(Reply) == "unknown");
  endHold();
  checkFailed(m_Run.submit(There, Job));
  m_Run.waitUntilIdle(Here);
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_CASE(WhenItsDispatcherIsKilledWithHalfOfItDone) {
  const CallerSubmission Job = makeHeldJob(m_Run.callerId(), "dispatcher");
  auto Waiting = submitHalfDone(Here, Job);
  const std::size_t Owner = ownerOfJob();
  m_Run.kill(Owner, Role::Dispatch);
  const SubmitResult Reply = Waiting.get();
  checkFailed(Reply);
  BOOST_TEST(outcomeOf(Reply) == "unknown");
  endHold();
  for (std::size_t Vm : {Here, There}) {
    const SubmitResult Again = m_Run.submit(Vm, Job);
    checkFailed(Again);
    BOOST_TEST(outcomeOf(Again) == "unknown");
  }
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsAnsweredWhole)

BOOST_AUTO_TEST_CASE(ToAResubmissionAfterItsEntryIsKilledWithHalfOfItDone) {
  const CallerSubmission Job = makeHeldJob(m_Run.callerId(), "entry");
  auto Waiting = submitHalfDone(Here, Job);
  m_Run.kill(Here, Role::Entry);
  BOOST_TEST(!Waiting.get().ok());
  auto Again = m_Run.submitLater(There, Job);
  waitUntil("the resubmission waits at the owner", [&] {
    return m_Run.cluster().status(There, Role::Entry)["waiting_calls"] == 1;
  });
  endHold();
  const SubmitResult Reply = Again.get();
  BOOST_TEST_REQUIRE(statusOf(Reply) == 200);
  BOOST_TEST(Reply->json()["results"].size() == std::size_t{Tasks});
  BOOST_TEST(m_Run.starts(Job.m_Key) == std::size_t{Tasks});
  m_Run.checkHolds();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
