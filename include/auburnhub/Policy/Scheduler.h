#ifndef AUBURNHUB_POLICY_SCHEDULER_H
#define AUBURNHUB_POLICY_SCHEDULER_H

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Policy/LeastExpectedCompletion.h"
#include "auburnhub/Policy/PoisonGuard.h"
#include "auburnhub/Policy/RetryAfter.h"
#include "auburnhub/Policy/ServiceState.h"
#include "auburnhub/Policy/TimedQueue.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace auburnhub {

/// Decides which task starts when and where, for one dispatcher.
///
/// Tasks are admitted into queues that wait here; nextPlacements() starts them
/// when an endpoint has a free slot. The caller runs each placed task and
/// reports its end once, by finished(). A task that did not end well may then
/// be queued again by requeue(), or is dropped by forget().
///
/// Nothing here reads a clock or starts anything: instants and randomness are
/// passed in, and instants must not go back.
template <PlacementPolicy Placement = LeastExpectedCompletion> class Scheduler {
public:
  explicit Scheduler(const PolicyParameters &Parameters = {},
                     TimePoint Now = TimePoint())
      : m_Parameters(Parameters), m_Now(Now) {}

  /// Changes the parameters in force. They must be valid.
  void setParameters(TimePoint Now, const PolicyParameters &Parameters);

  /// Replaces the list of endpoints. One with 0 slots shows that its service
  /// exists, although only loans can run its work. Tasks running on an endpoint
  /// that is no longer listed end there; it gets nothing new.
  void setEndpoints(TimePoint Now, std::span<const EndpointSpec> Specs);

  /// Replaces the list of teams.
  void setTeams(std::span<const TeamSpec> Specs);

  /// Sets how many slots of a service this dispatcher counts on, including
  /// loans, when it estimates how long a task waits.
  void setExpectedSlots(TimePoint Now, const std::string &Service, int Slots);

  /// Queues a task, or refuses it.
  template <std::uniform_random_bit_generator Rng>
  Admission admit(TimePoint Now, const QueuedTask &Task, Rng &Random) {
    return admit(Now, std::span<const QueuedTask>(&Task, 1), Random);
  }

  /// Queues the tasks of a job, all or none.
  template <std::uniform_random_bit_generator Rng>
  Admission admit(TimePoint Now, std::span<const QueuedTask> Tasks,
                  Rng &Random);

  /// Appends the tasks that start now to Out. Call it after anything that may
  /// have freed a slot or queued a task. Calls tick().
  template <std::uniform_random_bit_generator Rng>
  void nextPlacements(TimePoint Now, Rng &Random,
                      std::vector<PlacementDecision> &Out);

  /// Removes the queued tasks that can no longer meet their deadline, and
  /// returns them. They have not started in this round and never will.
  std::vector<TaskKey> expire(TimePoint Now);

  /// Removes a task if it is queued. Takes time independent of the number of
  /// tasks.
  CancelResult cancel(TaskKey Key);

  /// Notes the end of a placed task and frees its slot. Returns false, and does
  /// nothing, if the task does not run.
  bool finished(TimePoint Now, TaskKey Key, TaskResult Result);

  /// Queues a task again whose last attempt was refused before it started, or
  /// that may be repeated. Fails with Timeout, with TaskFailed for a task that
  /// has lost too many endpoints, with Overloaded when the retry budget is
  /// spent, and with UnknownSubmission if the task has not ended so; the task
  /// is then forgotten.
  absl::Status requeue(TimePoint Now, TaskKey Key);

  /// Drops a task that ended and is not to be queued again.
  void forget(TaskKey Key);

  /// Applies what time alone changes: demotions, ends of ejections and pauses,
  /// slow starts, expired loans.
  void tick(TimePoint Now);

  /// Returns when tick() or expire() next has something to do, if ever.
  std::optional<TimePoint> nextEvent() const;

  /// Starts nothing more on an endpoint, whatever its service.
  void markLeaving(TimePoint Now, std::string_view Address);

  /// Uses an endpoint again that was marked as leaving.
  void clearLeaving(TimePoint Now, std::string_view Address);

  /// Returns the slots of a service that stand idle.
  int idleSlots(std::string_view Service) const;

  /// Returns what waits for the slots of a service.
  QueuedWork queuedWork(std::string_view Service) const;

  /// Takes up to Slots idle slots out of use, to lend them. Returns none while
  /// work of the service is queued here.
  std::vector<EndpointSlots> lend(TimePoint Now, std::string_view Service,
                                  int Slots);

  /// Puts lent slots back into use.
  void takeBack(TimePoint Now, std::string_view Service,
                std::span<const EndpointSlots> Slots);

  /// Adds slots on loan from another dispatcher. After Expiry nothing more
  /// starts on them.
  void addBorrowed(TimePoint Now, const EndpointSpec &Spec, TimePoint Expiry);

  /// Gives borrowed slots back before their loan expires.
  void removeBorrowed(TimePoint Now, std::string_view Service,
                      std::string_view Address, int Slots);

  /// Returns the borrowed slots that stand idle.
  std::vector<EndpointSlots> idleBorrowed(std::string_view Service) const;

  /// Returns the changes since the last call, for the log.
  std::vector<PolicyEvent> takeEvents() { return std::exchange(m_Events, {}); }

  /// Returns what is known of each endpoint.
  std::vector<EndpointSnapshot> snapshot() const;

  std::size_t queuedTasks() const { return m_Queued; }
  std::size_t runningTasks() const { return m_Running; }

private:
  using Service = ServiceState<Placement>;

  enum class Phase : std::uint8_t {
    Queued,
    Late, ///< Out of its queue, until expire() returns it.
    Running,
    Ended,
  };

  struct Task {
    QueuedTask m_Request;
    std::size_t m_Service = 0;
    FairQueue::Team m_Team = 0;
    Phase m_Phase = Phase::Queued;
    TaskClass m_Class = TaskClass::Short;
    FairQueue::Handle m_Handle;
    TimePoint m_QueuedAt;
    TimePoint m_StartedAt;
    TimePoint m_LatestStart;
    std::size_t m_Endpoint = 0;
    TaskResult m_Result = TaskResult::Ok;
    std::uint64_t m_Attempt = 0;
    bool m_Repeated = false;
  };

  /// A task at one of its attempts, so that a stale entry can be told.
  struct Attempt {
    TaskKey m_Key;
    std::uint64_t m_Attempt;
  };

  /// What an endpoint adds to its service's sums.
  struct Counted {
    int m_Slots = 0;
    double m_Speed = 0;
    bool m_Present = false;
    bool m_Unhealthy = false;
  };

  struct Endpoint {
    EndpointRecord m_Record;
    Counted m_Counted = {};
    std::optional<TimePoint> m_ReviewAt = {};
  };

  struct Team {
    TeamSpec m_Spec;
    std::size_t m_Queued = 0;
    bool m_Known = false;
  };

  // Endpoints.
  Service &service(const std::string &Name, std::size_t *Index = nullptr);
  const Service *findService(std::string_view Name) const;
  std::size_t endpoint(const std::string &Address, const std::string &Name);
  Endpoint *findEndpoint(std::string_view Service, std::string_view Address,
                         std::size_t *Index);
  static std::string endpointKey(std::string_view Service,
                                 std::string_view Address);
  void review(TimePoint Now, std::size_t Index);
  void reindex(TimePoint Now, std::size_t Index);
  static void count(Service &S, Endpoint &E, const Counted &Is);
  void dropEndpoint(std::size_t Index);
  void unlist(EndpointRecord &Record);
  void setLeaving(TimePoint Now, std::string_view Address, bool Leaving);
  void noteHealth(std::size_t Index, std::optional<HealthState> Changed);
  void noteEvent(PolicyEventKind Kind, std::string Address, TaskKey Key);

  // Tasks.
  absl::Status checkRequest(TimePoint Now, const QueuedTask &Request) const;
  absl::Status checkWait(TimePoint Now, const QueuedTask &Request,
                         double &WaitMs);
  Task *findRunning(TaskKey Key);
  void enqueue(TimePoint Now, Task &T, bool Front);
  void dequeue(Task &T);
  void setLate(Task &T);
  void erase(TaskKey Key);
  void demote(TimePoint Now, const Attempt &Of);
  void scheduleDemotion(TimePoint Now, const Task &T);
  void forgetStaleWork(TimePoint Now);
  void learn(TimePoint Now, const Task &T, TaskResult Result);

  // Placement.
  template <typename Rng>
  bool placeOne(TimePoint Now, Service &S, Rng &Random,
                std::vector<PlacementDecision> &Out);
  template <typename Rng>
  bool placeOf(TimePoint Now, Service &S, TaskClass Class, Rng &Random,
               std::vector<PlacementDecision> &Out);
  template <typename Rng>
  bool tryStart(TimePoint Now, Service &S, Task &T, Rng &Random,
                std::vector<PlacementDecision> &Out);
  bool leavesQueue(TimePoint Now, Service &S, Task &T);
  bool avoids(const Service &S, const Task &T, std::size_t Index) const;
  PlacementDecision describe(TimePoint Now, Service &S, const Task &T,
                             const PlacementChoice &Choice) const;
  void start(TimePoint Now, Service &S, Task &T, std::size_t Index,
             PlacementDecision &Decision);

  static constexpr std::size_t HeadsTried = 16;
  static constexpr std::size_t MaxEvents = 10000;

  PolicyParameters m_Parameters;
  TimePoint m_Now;
  std::deque<Service> m_Services;
  std::unordered_map<std::string, std::size_t> m_ServiceIndex;
  std::vector<std::optional<Endpoint>> m_Endpoints;
  std::vector<std::size_t> m_FreeIndices;
  std::unordered_map<std::string, std::size_t> m_EndpointIndex;
  std::unordered_set<std::string> m_Leaving;
  std::vector<Team> m_Teams;
  std::unordered_map<std::string, FairQueue::Team> m_TeamIndex;
  std::unordered_map<TaskKey, Task> m_Tasks;
  PoisonGuard m_Poison;
  TimedQueue<Attempt> m_Expiries;
  TimedQueue<Attempt> m_Demotions;
  TimedQueue<Attempt> m_Forgettings;
  TimedQueue<std::size_t> m_Reviews;
  std::vector<TaskKey> m_Late;
  std::vector<PolicyEvent> m_Events;
  TimePoint m_StaleCheckedAt = m_Now;
  std::uint64_t m_Attempts = 0;
  std::size_t m_Queued = 0;
  std::size_t m_Running = 0;
};

} // namespace auburnhub

#include "auburnhub/Policy/SchedulerEndpointsImpl.h"
#include "auburnhub/Policy/SchedulerTasksImpl.h"

#endif
