#ifndef AUBURNHUB_POLICY_SCHEDULER_H
#define AUBURNHUB_POLICY_SCHEDULER_H

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Policy/LeastExpectedCompletion.h"
#include "auburnhub/Policy/LossLimits.h"
#include "auburnhub/Policy/RetryAfter.h"
#include "auburnhub/Policy/ServiceState.h"
#include "auburnhub/Policy/TimedQueue.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace auburnhub {

/// Decides when and on which endpoint each task of a dispatcher starts.
///
/// admit() puts tasks into the queues of their service, and nextPlacements()
/// assigns them to endpoints with free slots. The caller runs each placed task
/// and reports its end exactly once with finishTask(). A task that did not
/// succeed can then be queued again with requeue() or dropped with forget();
/// otherwise it is dropped at its deadline.
///
/// The class neither reads a clock nor performs I/O. The caller passes in the
/// time, which must not go backwards, and the random number generator.
template <PlacementPolicy Placement = LeastExpectedCompletion> class Scheduler {
public:
  explicit Scheduler(const PolicyParameters &Parameters = {},
                     TimePoint Now = TimePoint())
      : m_Parameters(Parameters), m_Now(Now) {}

  /// Replaces the parameters, which must be valid.
  void setParameters(TimePoint Now, const PolicyParameters &Parameters);

  /// Replaces the list of endpoints. An endpoint with 0 slots declares that its
  /// service exists, so that tasks are admitted although only borrowed slots
  /// can run them. Tasks that run on an endpoint that is no longer listed
  /// continue; the endpoint gets no new tasks.
  void setEndpoints(TimePoint Now, std::span<const EndpointSpec> Specs);

  /// Replaces the list of teams.
  void setTeams(std::span<const TeamSpec> Specs);

  /// Sets the number of slots of a service, including expected loans. Estimates
  /// of the wait in the queue use this number if fewer slots are usable.
  void setExpectedSlots(TimePoint Now, const std::string &Service, int Slots);

  /// Queues a task, or refuses it with the reason.
  template <std::uniform_random_bit_generator Rng>
  Admission admit(TimePoint Now, const TaskRequest &Task, Rng &Random) {
    return admit(Now, std::span<const TaskRequest>(&Task, 1), Random);
  }

  /// Queues all tasks of a job, or none of them.
  template <std::uniform_random_bit_generator Rng>
  Admission admit(TimePoint Now, std::span<const TaskRequest> Tasks,
                  Rng &Random);

  /// Starts queued tasks on free slots and appends the decisions to Out. To be
  /// called after every event that may have freed a slot or queued a task.
  /// Calls tick().
  template <std::uniform_random_bit_generator Rng>
  void nextPlacements(TimePoint Now, Rng &Random,
                      std::vector<PlacementDecision> &Out);

  /// Removes and returns the queued tasks that can no longer meet their
  /// deadline. The current attempt of these tasks has not started and never
  /// will.
  std::vector<TaskKey> expire(TimePoint Now);

  /// Removes a task if it is queued, and drops it if it has ended. The time
  /// taken does not depend on the number of tasks.
  CancelResult cancel(TaskKey Key);

  /// Records the end of a placed task and frees its slot. Returns false,
  /// without any effect, if the task is not running.
  bool finishTask(TimePoint Now, TaskKey Key, TaskResult Result);

  /// Queues an ended task again. The caller checks that the task may be
  /// retried: its last attempt was refused before it started, or it is
  /// idempotent. Fails with TaskFailed if the task was lost m_MaxLosses times,
  /// with Timeout if the deadline has passed, and with Overloaded if the retry
  /// budget is exhausted; in these cases the task is dropped. Repeating an
  /// attempt that was refused before it started does not use the budget. Fails
  /// with UnknownSubmission, without any effect, if the key is unknown or the
  /// task has not ended.
  absl::Status requeue(TimePoint Now, TaskKey Key);

  /// Drops a task that has ended and will not be queued again.
  void forget(TaskKey Key);

  /// Applies the changes that are due at Now: demotions of running tasks, ends
  /// of ejections and pauses, steps of slow starts, and expiry of loans, of
  /// ended tasks and of stale estimates.
  void tick(TimePoint Now);

  /// Returns the time of the next scheduled change for tick() or expire(), or
  /// nothing if there is none.
  std::optional<TimePoint> nextEvent() const;

  /// Stops placing tasks on the endpoint with this address, for all services.
  void markLeaving(TimePoint Now, std::string_view Address);

  /// Reverts markLeaving().
  void clearLeaving(TimePoint Now, std::string_view Address);

  /// Returns the number of idle slots on the healthy endpoints of a service.
  int idleSlots(std::string_view Service) const;

  QueuedWork queuedWork(std::string_view Service) const;

  /// Reserves up to Slots idle slots of a service for a loan to another
  /// dispatcher, and returns them. Returns none while tasks of the service are
  /// queued.
  std::vector<EndpointSlots> lend(TimePoint Now, std::string_view Service,
                                  int Slots);

  /// Makes lent slots available here again.
  void reclaimSlots(TimePoint Now, std::string_view Service,
                    std::span<const EndpointSlots> Slots);

  /// Adds slots borrowed from another dispatcher. No task starts on them after
  /// Expiry.
  void addBorrowed(TimePoint Now, const EndpointSpec &Spec, TimePoint Expiry);

  /// Removes borrowed slots before their loan expires.
  void removeBorrowed(TimePoint Now, std::string_view Service,
                      std::string_view Address, int Slots);

  /// Returns the idle borrowed slots of a service.
  std::vector<EndpointSlots> idleBorrowed(std::string_view Service) const;

  /// Returns and clears the events since the last call, for the log. At most
  /// MaxEvents are kept; later ones are dropped.
  std::vector<PolicyEvent> takeEvents() { return std::exchange(m_Events, {}); }

  /// Returns the state of all endpoints.
  std::vector<EndpointSnapshot> snapshot() const;

  std::size_t queuedTasks() const { return m_Queued; }
  std::size_t runningTasks() const { return m_Running; }

private:
  using Service = ServiceState<Placement>;

  enum class Phase : std::uint8_t {
    Queued,
    Expired, ///< Removed from its queue, to be returned by expire().
    Running,
    Ended,
  };

  struct Task {
    TaskRequest m_Request;
    std::size_t m_Service = 0;
    FairQueue::Team m_Team = 0;
    Phase m_Phase = Phase::Queued;
    TaskClass m_Class = TaskClass::Short;
    FairQueue::Handle m_Handle;
    TimePoint m_QueuedAt;
    TimePoint m_StartedAt;
    TimePoint m_LatestStart; ///< A queued task expires at this time.
    std::size_t m_Endpoint = 0;
    TaskResult m_Result = TaskResult::Ok;
    std::uint64_t m_Attempt = 0; ///< Unique among the attempts of all tasks.
    bool m_IsRetry = false;
    LossCount m_Losses; ///< Attempts whose connection broke.
  };

  /// Identifies an attempt of a task. Entries of the timed queues refer to
  /// attempts, so that entries of earlier attempts are recognized as stale.
  struct AttemptId {
    TaskKey m_Key;
    std::uint64_t m_Attempt;
  };

  /// The part of the totals in ServiceState that one endpoint accounts for.
  struct Contribution {
    int m_Slots = 0;
    double m_Speed = 0;
    bool m_HasSlots = false;
    bool m_Unhealthy = false;
  };

  struct Endpoint {
    EndpointRecord m_Record;
    Contribution m_Contribution = {};
    std::optional<TimePoint> m_RefreshAt = {};
  };

  struct Team {
    TeamSpec m_Spec;
    std::size_t m_Queued = 0;
    bool m_Configured = false;
  };

  // Endpoints.
  Service &findOrAddService(const std::string &Name,
                            std::size_t *Index = nullptr);
  const Service *findService(std::string_view Name) const;
  std::size_t findOrAddEndpoint(const std::string &Address,
                                const std::string &Name);
  Endpoint *findEndpoint(std::string_view Service, std::string_view Address,
                         std::size_t *Index);
  static std::string endpointKey(std::string_view Service,
                                 std::string_view Address);
  void refreshEndpoint(TimePoint Now, std::size_t Index);
  void reindex(TimePoint Now, std::size_t Index);
  static void updateTotals(Service &S, Endpoint &E, const Contribution &New);
  void dropEndpoint(std::size_t Index);
  void unlist(EndpointRecord &Record);
  void setLeaving(TimePoint Now, std::string_view Address, bool Leaving);
  void recordHealthChange(std::size_t Index,
                          std::optional<HealthState> Changed);
  void recordEvent(PolicyEventKind Kind, std::string Address, TaskKey Key);

  // Tasks.
  absl::Status checkRequest(TimePoint Now, const TaskRequest &Request) const;
  absl::Status checkWait(TimePoint Now, const TaskRequest &Request,
                         double &WaitMs);
  Task *findRunning(TaskKey Key);
  void enqueue(TimePoint Now, Task &T, bool Front);
  void dequeue(Task &T);
  void markExpired(Task &T);
  void demote(TimePoint Now, const AttemptId &Id);
  void scheduleDemotion(TimePoint Now, const Task &T);
  void forgetStaleWork(TimePoint Now);
  void recordRunTime(TimePoint Now, const Task &T, TaskResult Result);

  // Placement.
  template <typename Rng>
  bool placeOne(TimePoint Now, Service &S, Rng &Random,
                std::vector<PlacementDecision> &Out);
  template <typename Rng>
  bool placeOfClass(TimePoint Now, Service &S, TaskClass Class, Rng &Random,
                    std::vector<PlacementDecision> &Out);
  template <typename Rng>
  bool tryStart(TimePoint Now, Service &S, Task &T, Rng &Random,
                std::vector<PlacementDecision> &Out);
  bool expireOrReclassify(TimePoint Now, Service &S, Task &T);
  bool isExcluded(const Service &S, const Task &T, std::size_t Index) const;
  PlacementDecision makeDecision(TimePoint Now, Service &S, const Task &T,
                                 const PlacementChoice &Choice) const;
  void start(TimePoint Now, Service &S, Task &T, std::size_t Index,
             PlacementDecision &Decision);

  /// Number of teams whose first task is tried if the task to serve next
  /// excludes every free endpoint.
  static constexpr std::size_t MaxHeadsTried = 16;
  static constexpr std::size_t MaxEvents = 10000;

  PolicyParameters m_Parameters;
  TimePoint m_Now;
  std::deque<Service> m_Services;
  std::unordered_map<std::string, std::size_t> m_ServiceIndex;
  std::vector<std::optional<Endpoint>> m_Endpoints;
  std::vector<std::size_t> m_FreeIndices;
  std::unordered_map<std::string, std::size_t> m_EndpointIndex;
  std::unordered_set<std::string> m_Leaving; ///< Endpoint addresses.
  std::vector<Team> m_Teams;
  std::unordered_map<std::string, FairQueue::Team> m_TeamIndex;
  std::unordered_map<TaskKey, Task> m_Tasks;
  TimedQueue<AttemptId> m_Expiries;
  TimedQueue<AttemptId> m_Demotions;
  TimedQueue<AttemptId> m_ForgetTimes;
  TimedQueue<std::size_t> m_Refreshes;
  std::vector<TaskKey> m_Expired;
  std::vector<PolicyEvent> m_Events;
  TimePoint m_StaleCheckedAt = m_Now;
  std::uint64_t m_LastAttempt = 0;
  std::size_t m_Queued = 0;
  std::size_t m_Running = 0;
};

} // namespace auburnhub

#include "auburnhub/Policy/SchedulerEndpointsImpl.h"
#include "auburnhub/Policy/SchedulerTasksImpl.h"

#endif
