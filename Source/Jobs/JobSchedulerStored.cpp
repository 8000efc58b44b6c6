#include "auburnhub/Jobs/JobScheduler.h"

#include <utility>

/// \file
/// The part of JobScheduler that runs single tasks of stored jobs.

namespace auburnhub {

void JobScheduler::submit(TimePoint Now, const StoredTask &Stored,
                          RunLimit RunUntil) {
  JobRequest Request;
  Request.m_Id = Stored.task().str();
  Request.m_Policy = Stored.m_Policy;
  Request.m_Spec = Stored.m_Spec;
  Request.m_Steps = {Stored.m_Step};
  Request.m_Steps.front().m_Count = 1;
  Request.m_TimeLeftMs = m_Parameters.m_StoredDeadlineMs;
  std::string Id = Request.m_Id;
  auto Owned = makeJob(Now, std::move(Request), std::move(RunUntil));
  ActiveJob &Job = *Owned;
  Job.m_Stored = true;
  Job.m_StoredNumber = Stored.m_Number;
  Job.m_MayBeEjected = Stored.m_MayBeEjected;
  // The age of the job affects its rank but not how long the task may wait
  // here.
  Job.m_Submitted = addMs(Now, -Stored.m_AgeMs);
  Job.m_WaitUntil =
      addMs(Now, Stored.m_LostRuns > 0 ? m_Parameters.m_IsolatedWaitMs
                                       : m_Parameters.m_StoredWaitMs);
  ActiveTask &Task = Job.m_Tasks.emplace_back();
  Task.m_Ref = Stored.task();
  Task.m_LastNumber = Stored.m_Number - 1;
  Task.m_Losses.m_Losses = Stored.m_LostRuns;
  Job.m_HasLostTasks = Stored.m_LostRuns > 0;
  Task.m_AvoidedWorkers.insert(Stored.m_AvoidedWorkers.begin(),
                               Stored.m_AvoidedWorkers.end());
  Job.m_UnfinishedTasks = 1;
  bool Fits =
      m_Workers.fitsAnyIdleWorker(Stored.m_Policy.m_Service, Stored.m_Step);
  bool Refused =
      m_Jobs.contains(Id) || !Fits || m_Jobs.size() >= m_Parameters.m_MaxJobs;
  if (Refused) {
    m_Effects.emplace_back(
        StoredTaskEnded{Task.m_Ref,
                        Stored.m_Number,
                        StoredRunEnd::NotRun,
                        Fits ? JobReason::NoRoom : JobReason::NeverFits,
                        "",
                        {}});
    return;
  }
  learnTaskSize(Stored.m_Step.m_TaskResources);
  addJob(Job, std::move(Owned));
  updateDue(Job);
  reportEarlierRuns(Now, Job);
  unblockTasks(Now, Job);
  advance(Now);
}

void JobScheduler::cancel(TimePoint Now, const TaskRef &StoredTask) {
  auto Found = m_Jobs.find(StoredTask.str());
  if (Found == m_Jobs.end())
    return;
  ActiveJob &Job = *Found->second;
  auto RunEntry = m_Runs.find(Job.m_Tasks.front().m_Run);
  if (Job.m_Tasks.front().m_Run == 0 || RunEntry == m_Runs.end())
    finishStoredTask(Job, StoredRunEnd::NotRun, JobReason::Cancelled, "");
  else
    stopRun(RunEntry->second, RunEntry->first, JobReason::Cancelled);
  advance(Now);
}

void JobScheduler::finishStoredTask(ActiveJob &Job, StoredRunEnd Outcome,
                                    JobReason Reason, const std::string &Worker,
                                    const WorkerIncarnation &LostWith) {
  m_Effects.emplace_back(StoredTaskEnded{Job.m_Tasks.front().m_Ref,
                                         Job.m_StoredNumber, Outcome, Reason,
                                         Worker, LostWith});
  eraseJob(Job);
}

void JobScheduler::onStoredRunEnded(TimePoint Now, ActiveJob &Job,
                                    const std::string &Worker, RunEnd End,
                                    const WorkerIncarnation &LostWith) {
  WorkerRecord *Record = m_Workers.find(Worker);
  if (End == RunEnd::Failed && Record)
    m_Workers.recordRunFailure(
        Now, *Record, Job.m_Request.m_Policy.m_Queue,
        /*IsRepeated=*/!Job.m_Tasks.front().m_AvoidedWorkers.empty());
  StoredRunEnd Outcome = StoredRunEnd::Over;
  if (End == RunEnd::Done)
    Outcome = StoredRunEnd::Done;
  if (End == RunEnd::Failed)
    Outcome = StoredRunEnd::Failed;
  finishStoredTask(Job, Outcome, JobReason::None, Worker, LostWith);
}

} // namespace auburnhub
