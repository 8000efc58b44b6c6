#ifndef AUBURNHUB_JOBS_JOBEFFECTS_H
#define AUBURNHUB_JOBS_JOBEFFECTS_H

#include "auburnhub/Jobs/AdmissionForecast.h"
#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Jobs/NearbyWait.h"
#include "auburnhub/Jobs/StoredJob.h"
#include "auburnhub/Jobs/WorkerRegistry.h"
#include "auburnhub/Policy/Types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

/// \file
/// Orders and reports of a JobScheduler.

namespace auburnhub {

/// Identifies one run of a task at its owner; never reused.
using RunId = std::uint64_t;

/// The time by which the runs of a job must have ended, whatever happens to
/// their workers. It may rise while the job is unfinished. Null if there is no
/// limit.
using RunLimit = std::shared_ptr<const TimePoint>;

/// Order: start a run on a worker.
struct StartRun {
  RunId m_Run = 0;
  std::string m_Worker;
  TaskRef m_Task;
  std::uint32_t m_Number = 0; ///< Increases with each run of a task.
  std::string m_Spec;
  std::string m_Queue;
  double m_ExpectedMs = 0;      ///< Expected run time on this worker.
  std::size_t m_Candidates = 0; ///< Workers that could run the task.
  double m_WaitedMs = 0;        ///< Since the job was submitted.
  bool m_Stored = false; ///< The worker must keep the end until it is stored.
  bool m_RunsAlone = false; ///< Without other runs on the worker.
  RunLimit m_RunUntil;
};

/// Order: stop a run. The scheduler keeps the run's resources reserved until
/// its end is reported.
struct StopRun {
  RunId m_Run = 0;
  JobReason m_StopReason = JobReason::None;
};

/// The run of a stored task has ended; the last effect for this run.
struct StoredTaskEnded {
  TaskRef m_Task;
  std::uint32_t m_Number = 0;
  StoredRunEnd m_EndKind = StoredRunEnd::NotRun;
  JobReason m_Reason = JobReason::None;
  std::string m_Worker; ///< Empty if no worker was ordered to run it.
  /// Set if the run ended because this worker became unreachable or restarted.
  WorkerIncarnation m_LostWith = {};
};

/// The forecast for a job that found no free worker, with its inputs.
struct JobForecast {
  BacklogState m_Backlog;
  StartForecast m_Start;
  double m_Margin = 1; ///< See AdmissionForecast.
};

/// A job has finished; the last effect for this job.
struct JobFinished {
  std::string m_Job;
  std::string m_Queue;
  JobResult m_Result;
  double m_TookMs = 0;      ///< Time since the job was submitted.
  double m_WaitedMs = 0;    ///< Time until the first start; 0 if none.
  double m_ObjectiveMs = 0; ///< Latency objective.
  std::size_t m_Runs = 0;   ///< Start orders issued for it.
  std::optional<JobForecast> m_Forecast; ///< If others waited before it.
};

/// A worker gets no new runs until it is idle and the task has started.
struct WorkerSetAside {
  std::string m_Worker;
  TaskRef m_Task;
  std::size_t m_Runs = 0; ///< Active runs of the worker.
};

/// A job was submitted of which runs of an earlier submission may be active.
struct EarlierRunsAwaited {
  std::string m_Job;
  std::size_t m_Runs = 0;
};

/// It was decided whether a task waits for a worker near its data while another
/// one could run it.
struct NearbyWaitDecided {
  TaskRef m_Task;
  std::string m_Label;   ///< Of the workers near its data.
  std::size_t m_Ahead;   ///< Tasks that wait for them before this one.
  double m_WaitedMs = 0; ///< For them, so far.
  double m_ExpectedWaitMs = 0;
  NearbyWaitDecision m_Decision;
};

using JobEffect = std::variant<StartRun, StopRun, JobFinished, StoredTaskEnded,
                               WorkerSetAside, EarlierRunsAwaited,
                               NearbyWaitDecided, WorkerHealthDecision>;

/// Why a run was refused. In each case the run has not started and never will.
enum class RefusalReason {
  NoRoom,      ///< The worker had less free capacity than expected.
  NumberUsed,  ///< The worker knows this or a higher run number.
  Expired,     ///< The order arrived after its validity had ended.
  Unhealthy,   ///< The worker currently accepts no runs.
  Unreachable, ///< No connection could be made.
  Invalid,     ///< The worker does not understand the order.
};

} // namespace auburnhub

#endif
