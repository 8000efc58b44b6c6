#include "auburnhub/Jobs/JobScheduler.h"

#include "auburnhub/Policy/RetryAfter.h"

#include <algorithm>
#include <cmath>

/// \file
/// The part of JobScheduler that forecasts when a waiting job starts.

namespace auburnhub {

double JobScheduler::releasedPerMs(const ActiveRun &Run) {
  return static_cast<double>(Run.m_Used.m_CpuMillis) /
         std::max(1.0, Run.m_ExpectedMs);
}

void JobScheduler::refuseIfHopeless(TimePoint Now, ActiveJob &Job) {
  if (!Job.m_LatestStart || Job.m_FirstStart || Job.m_HasLostTasks)
    return;
  const std::string &Service = Job.m_Request.m_Policy.m_Service;
  WaitingQueue &Queue = m_WaitingJobs[Service];
  JobForecast Made;
  BacklogState &Backlog = Made.m_Backlog;
  Backlog.m_CpuBefore = static_cast<double>(Queue.cpuBefore(Job));
  // A job that is the next to start waits: it may hold no one up.
  if (Backlog.m_CpuBefore <= 0)
    return;
  const WaitingQueue::Entry &Waiting =
      *Queue.find(*Job.m_LatestStart, Job.m_Request.m_Id);
  Backlog.m_FirstTaskCpu = static_cast<double>(Waiting.m_MinCpu);
  Backlog.m_JobCpu = static_cast<double>(Waiting.m_WaitingCpu);
  auto Released = m_ReleasedPerMs.find(Service);
  if (Released != m_ReleasedPerMs.end())
    Backlog.m_ReleasedPerMs = Released->second.m_CpuPerMs;
  Made.m_Start = AdmissionForecast::forecast(Backlog);
  Made.m_Margin = m_Forecasts.margin();
  Job.m_Forecast = Made;
  if (m_Forecasts.isHopeless(Made.m_Start,
                             millisecondsBetween(Now, Job.m_WaitUntil),
                             millisecondsBetween(Now, *Job.m_LatestStart)))
    finish(Now, Job, JobOutcome::NotRun, JobReason::WouldBeLate);
}

void JobScheduler::observeWait(TimePoint Now, const ActiveJob &Job) {
  if (Job.m_Forecast)
    m_Forecasts.observe(Job.m_Forecast->m_Start.m_FirstStartMs,
                        millisecondsBetween(Job.m_Submitted, Now));
}

double JobScheduler::retryAfterMs(const ActiveJob &Job) {
  if (!Job.m_Forecast || !std::isfinite(Job.m_Forecast->m_Start.m_LastStartMs))
    return m_Parameters.m_RetryAfterMs;
  PolicyParameters Spread;
  Spread.m_MinRetryAfterMs = m_Parameters.m_RetryAfterMs;
  return static_cast<double>(auburnhub::retryAfterMs(
      Spread, Job.m_Forecast->m_Margin * Job.m_Forecast->m_Start.m_LastStartMs,
      m_Random));
}

} // namespace auburnhub
