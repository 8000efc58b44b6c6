#ifndef AUBURNHUB_DISPATCH_TASKRUNNER_H
#define AUBURNHUB_DISPATCH_TASKRUNNER_H

#include "DispatchConfiguration.h"
#include "EndpointCaller.h"
#include "EndpointProber.h"
#include "LeavingEndpoints.h"
#include "Submission.h"
#include "SubmissionTable.h"

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Policy/Scheduler.h"
#include "auburnhub/Policy/SelectablePlacement.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnhub {

/// Runs the tasks of submissions on endpoints, as the decision policy says.
///
/// All functions are called on the dispatcher's task. The life of each task
/// follows the chart task-life.yaml; this class has the chart's guards and
/// actions.
class TaskRunner {
public:
  /// What the runner tells the dispatcher. A submission may be over when the
  /// call returns.
  struct Events {
    /// A task's result is stored; none is left if m_TasksLeft is zero.
    std::function<void(Submission &)> m_TaskDone;
    /// A task failed for good, and the submission with it.
    std::function<void(Submission &, const absl::Status &, CallEnd)>
        m_TaskFailed;
    /// An endpoint said for the first time that it leaves.
    std::function<void(const std::string &Endpoint)> m_EndpointLeaves;
  };

  static StateChart::Vocabulary vocabulary();

  TaskRunner(SerialTask &Owner, SubmissionTable &Submissions,
             MetricsRegistry &Metrics, StateChart Chart,
             std::string IncarnationText, Events Reports);

  /// Puts a configuration in force.
  void configure(const DispatchConfiguration &Configuration);

  /// Sets the slots that this dispatcher owns, and for each service how many
  /// it may count on with loans.
  void setEndpoints(const std::vector<EndpointSpec> &Owned,
                    const std::map<std::string, int> &ExpectedSlots);

  /// Returns what is known of leaving endpoints, to tell it more.
  LeavingEndpoints &leaving() { return m_Leaving; }

  /// Queues all tasks of a submission, or none.
  Admission admit(Submission &Added);

  /// Ends the interest in the tasks of a submission that is over: queued ones
  /// never start, results of running ones are dropped.
  void cancel(Submission &Over);

  /// Starts what can start now and expires what cannot be done in time. Call
  /// it after admit() and from a timer.
  void pump();

  using PolicyScheduler = Scheduler<SelectablePlacement>;
  PolicyScheduler &scheduler() { return m_Scheduler; }

  std::size_t queuedTasks() const { return m_Scheduler.queuedTasks(); }
  std::size_t runningTasks() const { return m_Scheduler.runningTasks(); }

  /// Ends the calls; no event follows.
  void stop();

private:
  struct TaskPlace {
    SubmissionId m_Submission;
    std::size_t m_Index;
  };

  /// The task and what just happened to it, for guards and actions.
  struct Happening {
    Submission &m_Submission;
    std::size_t m_Index;
    TaskKey m_Key;
    const PlacementDecision *m_Decision = nullptr;
    EndpointReply *m_Reply = nullptr;
    absl::Status m_Failure;
  };

  void fire(Happening &What, std::string_view Event);
  bool holds(const Happening &What, std::string_view Guard) const;
  void act(Happening &What, std::string_view Action);
  Happening *findTask(TaskKey Key, std::optional<Happening> &Storage);

  void callEndpoint(Happening &What);
  void onReply(TaskKey Key, int Attempt, EndpointReply Reply);
  /// Ends a task whose submission was forgotten while it ran.
  void releaseSlot(TaskKey Key, CallEnd End);
  void noteEnd(Happening &What);
  void requeue(Happening &What);
  void storeResult(Happening &What);
  void onLeavingChanged(const std::string &Endpoint, bool Leaving);
  void logPolicyEvents();

  SerialTask &m_Owner;
  SubmissionTable &m_Submissions;
  const StateChart m_Chart;
  const std::string m_IncarnationText;
  Events m_Reports;
  PolicyScheduler m_Scheduler;
  std::mt19937_64 m_Random{std::random_device()()};
  EndpointCaller m_Caller;
  std::unordered_map<TaskKey, TaskPlace> m_Tasks;
  LeavingEndpoints m_Leaving;
  EndpointProber m_Prober;
  std::vector<PlacementDecision> m_Decisions;
  TaskKey m_LastKey = 0;
  std::uint64_t m_LastCall = 0;
  Log m_Log{"placement"};
  Counter &m_Starts;
  Counter &m_Retries;
  Counter &m_NotStarted;
  Counter &m_Lost;
  LatencyHistogram &m_RunSeconds;
  LatencyHistogram &m_WaitSeconds;
};

} // namespace auburnhub

#endif
