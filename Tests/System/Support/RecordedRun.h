#ifndef AUBURNHUB_SYSTEM_SUPPORT_RECORDEDRUN_H
#define AUBURNHUB_SYSTEM_SUPPORT_RECORDEDRUN_H

#include "System/Support/Cluster.h"
#include "System/Support/HistoryChecker.h"
#include "System/Support/RecordingCaller.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Base/SubmissionId.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

namespace auburnhub::test {

using SubmitResult = absl::StatusOr<HttpReply>;

/// Calls a condition until it holds; fails the test after a generous limit.
template <typename Condition>
void waitUntil(const char *What, Condition Holds) {
  constexpr Milliseconds Limit{60000};
  constexpr Milliseconds Period{5};
  const MonotonicTime Due = TimerService::now() + Limit;
  while (!Holds()) {
    if (TimerService::now() > Due)
      BOOST_FAIL("waited in vain until " << What);
    std::this_thread::sleep_for(Period);
  }
}

/// A cluster under test, its callers, and the check of the run's history.
class RecordedRun {
public:
  explicit RecordedRun(ClusterOptions Options) {
    Options.m_Binaries = AUBURNHUB_BINARY_DIR;
    // Claims that the test holds back must not expire.
    Options.m_ControlSettings.emplace("claim_timeout_ms", 60000);
    auto Started = Cluster::start(Options);
    BOOST_TEST_REQUIRE(Started.ok(), Started.status().ToString());
    m_Cluster = std::move(*Started);
  }

  Cluster &cluster() { return *m_Cluster; }
  RecordingCaller &caller() { return m_Caller; }

  /// Submits through the entry of a VM and waits for the answer.
  SubmitResult submit(std::size_t Vm, const CallerSubmission &Sent) {
    return m_Caller.submit(m_Cluster->http(Vm, Role::Entry), Sent);
  }

  /// Submits as the caller of another team would.
  SubmitResult submitAs(const std::string &Team, std::size_t Vm,
                        CallerSubmission Sent) {
    Sent.m_Team = Team;
    return submit(Vm, Sent);
  }

  /// Submits on a thread of its own.
  std::future<SubmitResult> submitLater(std::size_t Vm, CallerSubmission Sent) {
    return std::async(std::launch::async, [this, Vm, Sent = std::move(Sent)] {
      return submit(Vm, Sent);
    });
  }

  /// Returns an id as a caller mints it, unlike any other of the run.
  std::string callerId() {
    return SubmissionId::makeCallerId(TimerService::wallMilliseconds(), 1,
                                      ++m_LastId)
        .str();
  }

  /// Returns a ticket that the dispatcher of a VM minted.
  std::string ticket(std::size_t Vm, const std::string &Team = "club-desk") {
    auto Reply = callHttp(
        m_Cluster->http(Vm, Role::Entry),
        {"POST",
         "/v1/tickets",
         {{"Auburnhub-Team", Team}, {"Content-Type", "application/json"}},
         R"({"count":1})"});
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    BOOST_TEST_REQUIRE(Reply->m_Status == 200, Reply->m_Body);
    return Reply->json()["tickets"][0];
  }

  /// Cancels a submission; returns the status of the reply.
  int cancel(std::size_t Vm, const std::string &Id,
             const std::string &Team = "club-desk") {
    auto Reply =
        callHttp(m_Cluster->http(Vm, Role::Entry),
                 {"DELETE", "/v1/jobs/" + Id, {{"Auburnhub-Team", Team}}, ""});
    BOOST_TEST_REQUIRE(Reply.ok(), Reply.status().ToString());
    return Reply->m_Status;
  }

  /// Sets the mode of every endpoint of a service that is alive.
  void setModes(const std::string &Service, const std::string &Mode,
                double Factor = 1) {
    for (std::size_t I = 0; I != m_Cluster->endpoints().size(); ++I)
      if (m_Cluster->endpoints()[I].m_Service == Service) {
        const absl::Status Told = m_Cluster->setMode(I, Mode, Factor);
        if (failureCode(Told) != FailureCode::NoEndpoint)
          require(Told);
      }
  }

  void setFaults(const nlohmann::json &Faults) {
    require(m_Cluster->tellPlatform("/test/faults", Faults));
  }

  /// Kills a process and waits for its end.
  void kill(std::size_t Vm, Role Which) {
    m_Cluster->killProcess(Vm, Which);
    require(m_Cluster->process(Vm, Which).wait().status());
  }

  /// Starts a process again and waits until it is ready.
  void restart(std::size_t Vm, Role Which) {
    require(m_Cluster->startProcess(Vm, Which));
    require(m_Cluster->waitReady(Vm, Which));
  }

  /// Waits until so many claims wait at a VM's control for the log.
  void waitForClaims(std::size_t Vm, int Count) {
    waitUntil("claims wait for the log", [&] {
      const nlohmann::json Status = m_Cluster->status(Vm, Role::Control);
      return Status.is_object() && Status["claims"]["waiting"] >= Count;
    });
  }

  /// Returns how many claims of an id the stream has.
  std::size_t claimsInLog(const std::string &Id) {
    auto Records = m_Cluster->readStream("claims");
    require(Records.status());
    std::size_t Count = 0;
    for (const nlohmann::json &Record : *Records)
      for (const nlohmann::json &Claim : Record["data"]["claims"])
        Count += Claim["id"] == Id ? 1 : 0;
    return Count;
  }

  /// Waits until an endpoint count of a service reaches a value.
  void waitForEndpoints(const std::string &Service, const char *What,
                        std::int64_t Count) {
    waitUntil(What,
              [&] { return m_Cluster->endpointCount(Service, What) >= Count; });
  }

  /// Waits until a dispatcher that is alive knows no unfinished submission.
  void waitUntilIdle(std::size_t Vm) {
    waitUntil("a dispatcher is idle", [&] {
      const nlohmann::json Status = m_Cluster->status(Vm, Role::Dispatch);
      return Status.is_object() && Status["unfinished"] == 0 &&
             Status["running"] == 0;
    });
  }

  /// Returns everything seen so far.
  History history() {
    History Seen = m_Caller.history();
    require(m_Cluster->collect(Seen));
    return Seen;
  }

  /// Checks the history of the run against every promise.
  void checkHolds() {
    const History Seen = history();
    for (const Violation &Found : checkHistory(Seen))
      BOOST_ERROR(violationName(Found.m_Kind)
                  << " " << Found.m_Subject << ": " << Found.m_Detail);
  }

  /// Returns the number of starts under an id.
  std::size_t starts(const std::string &Id) {
    std::size_t Count = 0;
    for (const EndpointAction &Start : history().m_Starts)
      Count += Start.m_Submission == Id ? 1 : 0;
    return Count;
  }

  static void require(const absl::Status &Status) {
    BOOST_TEST_REQUIRE(Status.ok(), Status.ToString());
  }

private:
  std::unique_ptr<Cluster> m_Cluster;
  RecordingCaller m_Caller;
  std::uint64_t m_LastId = 0;
};

/// Returns a request to a service whose requests may not be repeated.
inline CallerSubmission onceOnly(const std::string &Id,
                                 const std::string &Body) {
  CallerSubmission Sent;
  Sent.m_Service = "engraving-proofs";
  Sent.m_Repeatable = false;
  Sent.m_Bodies = {Body};
  Sent.m_Key = Id;
  return Sent;
}

/// Returns a job with bodies that no other job of another name has.
inline CallerSubmission makeJob(const std::string &Id, const std::string &Name,
                                int Tasks) {
  CallerSubmission Sent;
  Sent.m_Kind = SubmissionKind::Job;
  Sent.m_Key = Id;
  for (int Task = 0; Task != Tasks; ++Task)
    Sent.m_Bodies.push_back(Name + "-" + std::to_string(Task));
  return Sent;
}

/// Returns the status of a reply; 0 if there is none.
inline int statusOf(const SubmitResult &Reply) {
  return Reply.ok() ? Reply->m_Status : 0;
}

/// Returns the member `outcome` of a problem; empty if there is none.
inline std::string outcomeOf(const SubmitResult &Reply) {
  const nlohmann::json Body = Reply.ok() ? Reply->json() : nlohmann::json();
  return Body.is_object() ? Body.value("outcome", "") : "";
}

/// Returns the last part of a problem's type; empty if there is none.
inline std::string problemOf(const SubmitResult &Reply) {
  const nlohmann::json Body = Reply.ok() ? Reply->json() : nlohmann::json();
  const std::string Type = Body.is_object() ? Body.value("type", "") : "";
  return Type.substr(Type.rfind('/') + 1);
}

} // namespace auburnhub::test

#endif
