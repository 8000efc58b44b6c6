#include "auburnhub/Jobs/JobScheduler.h"

#include <algorithm>

/// \file
/// The part of JobScheduler that handles runs of earlier submissions of a job.

namespace auburnhub {

void JobScheduler::reportEarlierRuns(TimePoint Now, const ActiveJob &Job) {
  // Each task has at most one such run.
  auto Runs = std::count_if(Job.m_Tasks.begin(), Job.m_Tasks.end(),
                            [&](const ActiveTask &Task) {
                              return m_EarlierRuns.mayBeActive(Now, Task.m_Ref);
                            });
  if (Runs > 0)
    m_Effects.emplace_back(
        EarlierRunsAwaited{Job.m_Request.m_Id, static_cast<std::size_t>(Runs)});
}

void JobScheduler::releaseHeldTasks(TimePoint Now) {
  m_EarlierRuns.forgetOld(Now);
  if (m_HeldJobs.empty())
    return;
  for (const std::string &Id : std::set<std::string>(m_HeldJobs))
    unblockTasks(Now, *m_Jobs.at(Id));
}

TimePoint JobScheduler::nextRelease(TimePoint Now, const ActiveJob &Job) const {
  TimePoint Next = TimePoint::max();
  for (const ActiveTask &Task : Job.m_Tasks) {
    std::optional<TimePoint> Until = m_EarlierRuns.activeUntil(Task.m_Ref);
    if (Task.m_State == TaskState::Blocked && Until && *Until > Now)
      Next = std::min(Next, *Until);
  }
  return Next;
}

} // namespace auburnhub
