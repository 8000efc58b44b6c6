#ifndef AUBURNHUB_TESTS_JOBS_SCHEDULERFIXTURE_H
#define AUBURNHUB_TESTS_JOBS_SCHEDULERFIXTURE_H

#include "auburnhub/Jobs/JobScheduler.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace auburnhub {

/// A scheduler with its orders and reports collected by kind, and a clock
/// controlled by the test.
struct SchedulerFixture {
  void addWorker(const std::string &Id, std::int64_t CpuMillis = 16000,
                 std::vector<std::string> Labels = {}) {
    WorkerSpec Spec;
    Spec.m_Id = Id;
    Spec.m_Service = "tile-orders";
    Spec.m_Capacity = {CpuMillis, 65536, 0};
    Spec.m_Labels = std::move(Labels);
    m_Scheduler.putWorker(m_Now, Spec);
    m_Scheduler.setReachable(m_Now, Id, true);
    collect();
  }

  static JobRequest job(const std::string &Id, std::uint32_t Tasks,
                        std::int64_t CpuMillis = 6000,
                        double EstimatedMs = 100) {
    JobRequest Request;
    Request.m_Id = Id;
    Request.m_Policy = {"certify", "tile-orders", 0, 2, 1.6, 60};
    Request.m_TimeLeftMs = 5000;
    JobStep Step;
    Step.m_Count = Tasks;
    Step.m_TaskResources = {CpuMillis, 64, 0};
    Step.m_EstimatedMs = EstimatedMs;
    Request.m_Steps.push_back(Step);
    return Request;
  }

  void submit(JobRequest Request) {
    m_Scheduler.submit(m_Now, std::move(Request));
    collect();
  }

  void advanceTime(double Ms) {
    m_Now = addMs(m_Now, Ms);
    m_Scheduler.advance(m_Now);
    collect();
  }

  void accept(RunId Run) {
    m_Scheduler.runAccepted(m_Now, Run);
    collect();
  }

  void end(RunId Run, RunEnd End, const WorkerIncarnation &LostWith = {}) {
    m_Scheduler.runEnded(m_Now, Run, End, LostWith);
    collect();
  }

  void refuse(RunId Run, RefusalReason Reason) {
    m_Scheduler.runRefused(m_Now, Run, Reason);
    collect();
  }

  void collect() {
    for (const JobEffect &Effect : m_Scheduler.takeEffects())
      std::visit([this](const auto &Order) { record(Order); }, Effect);
  }
  void record(const StartRun &Order) { m_Starts.push_back(Order); }
  void record(const StopRun &Order) { m_Stops.push_back(Order.m_Run); }
  void record(const JobFinished &Event) {
    m_FinishedJobs[Event.m_Job].push_back(Event.m_Result);
  }

  void record(const WorkerSetAside &Event) { m_SetAside.push_back(Event); }
  void record(const NearbyWaitDecided &Event) {
    m_NearbyWaits.push_back(Event);
  }
  void record(const WorkerHealthDecision &Event) {
    m_HealthDecisions.push_back(Event);
  }
  void record(const EarlierRunsAwaited &Event) {
    m_AwaitedRuns.push_back(Event.m_Runs);
  }
  void record(const StoredTaskEnded &Event) {
    m_EndedStoredTasks.push_back(Event);
  }

  /// Submits one task of a stored job.
  void submitStored(std::uint32_t Index, std::uint32_t Number = 1,
                    std::vector<std::string> AvoidedWorkers = {},
                    std::uint32_t LostRuns = 0) {
    JobRequest Request = job("stored-job", 1);
    StoredTask Task;
    Task.m_Job = Request.m_Id;
    Task.m_StepNumber = 2;
    Task.m_Index = Index;
    Task.m_Number = Number;
    Task.m_Policy = Request.m_Policy;
    Task.m_Step = Request.m_Steps.front();
    Task.m_AvoidedWorkers = std::move(AvoidedWorkers);
    Task.m_LostRuns = LostRuns;
    m_Scheduler.submit(m_Now, Task);
    collect();
  }

  bool isFinished(const std::string &Job, JobOutcome Outcome) const {
    auto Found = m_FinishedJobs.find(Job);
    return Found != m_FinishedJobs.end() && Found->second.size() == 1 &&
           Found->second.front().m_Outcome == Outcome;
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  JobScheduler m_Scheduler{JobParameters()};
  std::vector<StartRun> m_Starts;
  std::vector<RunId> m_Stops;
  std::map<std::string, std::vector<JobResult>> m_FinishedJobs;
  std::vector<StoredTaskEnded> m_EndedStoredTasks;
  std::vector<WorkerSetAside> m_SetAside;
  std::vector<std::size_t> m_AwaitedRuns;
  std::vector<NearbyWaitDecided> m_NearbyWaits;
  std::vector<WorkerHealthDecision> m_HealthDecisions;
};

} // namespace auburnhub

#endif
