#ifndef AUBURNHUB_JOBS_WORKERREGISTRY_H
#define AUBURNHUB_JOBS_WORKERREGISTRY_H

#include "auburnhub/Jobs/FailureAttribution.h"
#include "auburnhub/Jobs/Job.h"
#include "auburnhub/Jobs/JobParameters.h"
#include "auburnhub/Jobs/WorkerIndex.h"
#include "auburnhub/Policy/EndpointHealth.h"
#include "auburnhub/Policy/Types.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhub {

/// One worker: its free capacity, learned speed and health.
struct WorkerRecord {
  WorkerSpec m_Spec;
  Resources m_Free;
  bool m_Reachable = false; ///< Its session accepts orders.
  /// When the incarnation started that the session talks to; 0 if unknown.
  std::int64_t m_SessionStartMs = 0;
  double m_Speed = 1; ///< Relative to the service's mean.
  std::uint32_t m_SpeedSamples = 0;
  EndpointHealth m_Health;
  TimePoint m_EjectedUntil;
  TimePoint m_PausedUntil;   ///< No new runs until then, after a refusal.
  TimePoint m_LeaseEnd;      ///< Latest end of the lease that it may hold.
  std::size_t m_Running = 0; ///< Active runs ordered by the scheduler.
  /// Set aside for a task that runs alone; gets no other new runs.
  bool m_SetAside = false;
  bool m_Evacuated = false;  ///< Its data centre is evacuated; no new runs.
  TimePoint m_ColdUntil;     ///< It is slower until then.
  WorkerPosition m_Position; ///< Kept by WorkerRegistry.

  /// Returns whether m_Spec describes the incarnation that orders would reach:
  /// a later one may have other labels and another capacity.
  bool isDescribed() const {
    return m_SessionStartMs == 0 || m_Spec.m_IncarnationStartMs == 0 ||
           m_SessionStartMs == m_Spec.m_IncarnationStartMs;
  }

  /// Returns whether the worker may get a new run.
  bool isAvailable(TimePoint Now) const;
  /// The same whatever its health.
  bool isUsable(TimePoint Now) const;
};

/// Requirements of a task on the worker that is to run it.
struct TaskRequirements {
  std::string_view m_Service;
  const JobStep *m_Step = nullptr;
  double m_ExpectedMs = 0; ///< Expected run time on a worker of speed 1.
  /// Workers not to be chosen, or null.
  const std::set<std::string> *m_AvoidedWorkers = nullptr;
  /// Returns how many tasks of the step already run on a worker.
  std::function<std::uint32_t(const std::string &)> m_TasksOnWorker;
  bool m_RunsAlone = false; ///< The worker must have no runs.
  /// A worker that is ejected may be chosen if no other one is available.
  bool m_MayBeEjected = false;
  /// The lease of the worker must end by this time.
  TimePoint m_RunUntil = TimePoint::max();
  /// The worker that is set aside for this task, if any.
  std::string_view m_SetAsideWorker;
};

/// A worker chosen for a task, with the figures logged for the decision.
struct WorkerChoice {
  WorkerRecord *m_Worker = nullptr; ///< Null if none meets the requirements.
  double m_ExpectedMs = 0;          ///< Expected run time on this worker.
  std::size_t m_Candidates = 0;     ///< Workers with enough free CPU.
  /// A worker was left out only because its lease ends too late.
  bool m_IsLimitedByLease = false;
};

/// A worker was ejected, or taken back before its ejection had ended, with what
/// decided it.
struct WorkerHealthDecision {
  std::string m_Worker;
  bool m_IsEjected = false;
  std::uint32_t m_Failures = 0; ///< Since its last success.
  /// That another worker would have failed the same runs.
  double m_Probability = 1;
  double m_ForMs = 0; ///< Length of the ejection.
};

/// Registry of the workers of one owner. Chooses the worker with the shortest
/// expected run time and, among equals, the one with the least free CPU.
///
/// Each change of a worker's room, availability, speed or health must be
/// followed by update(); the functions of the registry do so themselves.
class WorkerRegistry {
public:
  explicit WorkerRegistry(const JobParameters &Parameters)
      : m_Parameters(Parameters), m_ColdSpeed(Parameters.m_ColdSpeed) {}

  /// Adds a worker or updates its description. The result is valid until the
  /// worker is erased.
  WorkerRecord &put(TimePoint Now, const WorkerSpec &Spec);
  void erase(const std::string &Id);
  /// Returns null if the worker is unknown.
  WorkerRecord *find(const std::string &Id);
  const std::map<std::string, WorkerRecord> &all() const { return m_Workers; }

  /// Sets the evacuated data centres. Their workers are not available. Those of
  /// a data centre that is taken back become available one after another within
  /// m_EvacuationRampMs.
  ///
  /// Load pattern: the work of a whole data centre waits for its workers, which
  /// may be cold, when it is taken back.
  void setEvacuated(TimePoint Now, const std::set<std::string> &DataCentres);
  const std::set<std::string> &evacuated() const { return m_Evacuated; }

  /// Must be called after each change of a worker.
  void update(WorkerRecord &Worker);
  /// Reserves room for a run and counts it.
  void beginRun(WorkerRecord &Worker, const Resources &Used);
  void endRun(WorkerRecord &Worker, const Resources &Used);

  /// Makes workers available whose pause or ejection has ended.
  void wake(TimePoint Now);
  /// Returns when wake() next makes a worker available, if known.
  std::optional<TimePoint> nextWake(TimePoint Now) const;

  /// Returns the best choice; without a worker if no available one meets the
  /// requirements now.
  WorkerChoice choose(TimePoint Now, const TaskRequirements &Requirements);

  /// Returns the highest free CPU, since the last call, of a worker of the
  /// service that has gained room or become available; the minimum if there was
  /// none. A task that fitted nowhere before and needs more still does not fit.
  std::int64_t takeGainedCpu(std::string_view Service);
  /// Returns the highest free CPU of the available workers of a service.
  std::int64_t maxFreeCpu(std::string_view Service) const;

  /// Returns the available worker with the fewest runs that meets the
  /// requirements once it is idle, or null.
  WorkerRecord *chooseToSetAside(TimePoint Now,
                                 const TaskRequirements &Requirements);

  /// Returns whether the worker is in use and meets the requirements once it is
  /// idle. Avoided workers count.
  static bool meetsWhenIdle(const WorkerRecord &Worker,
                            std::string_view Service, const JobStep &Step);

  /// Returns whether a later incarnation is registered at the same address.
  bool hasSuccessor(const WorkerIncarnation &Earlier) const;

  /// Returns whether a task of the step would fit on some worker of the service
  /// if that worker were idle.
  bool fitsAnyIdleWorker(std::string_view Service, const JobStep &Step) const;

  /// The same for workers outside of evacuated data centres.
  bool fitsAnyWorkerInUse(std::string_view Service, const JobStep &Step) const;

  /// Returns the highest speed among available workers of a service, accurate
  /// to the width of a speed class; 1 if none.
  double bestSpeed(std::string_view Service, std::string_view Label = "") const;

  /// Returns whether a worker with the label could get a new run, now or once
  /// it has room.
  bool hasAvailable(std::string_view Service, std::string_view Label) const {
    const WorkerIndex *Index = findIndex(Service, Label);
    return Index && !Index->empty();
  }
  /// Calls Visit(const WorkerRecord &) for each of these workers.
  template <typename Visitor>
  void visit(std::string_view Service, std::string_view Label,
             Visitor &&Visit) const {
    if (const WorkerIndex *Index = findIndex(Service, Label))
      Index->visit(Visit);
  }

  /// Sets the size of a task for freeSlots(). Small changes are ignored.
  void setSlotSize(std::int64_t CpuMillis);
  /// Returns how many tasks of that size could start now. Only the CPU counts.
  std::size_t freeSlots(TimePoint Now) const;
  /// Returns the largest free CPU of a worker that may get a run now, in
  /// thousandths of a core; 0 if there is none.
  std::int64_t largestFreeCpu(TimePoint Now) const;

  /// Returns how many workers were looked at by choose() so far.
  std::uint64_t looks() const { return m_Looks; }

  /// Updates the learned speed from the time of a successful run and the time
  /// expected on a worker of speed 1.
  void recordRunTime(WorkerRecord &Worker, double TookMs, double ExpectedMs);
  /// Updates the learned speed of cold workers, relative to their own speed.
  void recordColdRunTime(const WorkerRecord &Worker, double TookMs,
                         double ExpectedMs);
  void recordRunSuccess(TimePoint Now, WorkerRecord &Worker,
                        const std::string &Queue);
  /// Records a failed or stalled run. Ejects the worker if its failures speak
  /// against it (FailureAttribution), another worker may run its tasks, and the
  /// share of workers that are not healthy is below m_MaxEjectedShare.
  /// IsRepeated: the task has failed before.
  void recordRunFailure(TimePoint Now, WorkerRecord &Worker,
                        const std::string &Queue, bool IsRepeated);
  /// Records that the worker has refused a run because it is unhealthy.
  void recordUnhealthy(TimePoint Now, WorkerRecord &Worker);
  /// See FailureAttribution.
  void setPeerOutcomes(TimePoint Now, const std::string &Owner,
                       QueueOutcomes Outcomes);
  void erasePeer(const std::string &Owner) { m_Failures.erasePeer(Owner); }
  QueueOutcomes failingQueues(TimePoint Now) const {
    return m_Failures.failingQueues(Now);
  }
  /// Returns the decisions since the last call.
  std::vector<WorkerHealthDecision> takeHealthDecisions() {
    return std::exchange(m_HealthDecisions, {});
  }
  /// Returns whether a task of the step lacks nothing but a healthy worker.
  bool fitsUnhealthyWorker(std::string_view Service, const JobStep &Step) const;

private:
  static constexpr std::int64_t NoCpu =
      std::numeric_limits<std::int64_t>::min();

  struct ServiceWorkers {
    /// By label; the one without a label holds all workers of the service.
    std::map<std::string, WorkerIndex, std::less<>> m_ByLabel;
    std::int64_t m_GainedCpu = NoCpu; ///< See takeGainedCpu().
  };

  /// Returns the workers whose wake-up is due but was not processed by wake().
  std::set<const WorkerRecord *> workersToWake(TimePoint Now) const;
  const WorkerIndex *findIndex(std::string_view Service,
                               std::string_view Label) const;
  void addToIndices(WorkerRecord &Worker);
  void removeFromIndices(WorkerRecord &Worker);
  void setPosition(WorkerRecord &Worker, bool IsIndexed);
  void scheduleWake(const WorkerRecord &Worker);
  /// Ejects the worker or not after a failure.
  void judge(TimePoint Now, WorkerRecord &Worker);
  /// Takes workers back whose failures do not speak against them any more.
  void reviewEjections(TimePoint Now);
  void takeBack(TimePoint Now, WorkerRecord &Worker);
  /// Returns whether another worker than this one may run its tasks.
  bool hasAlternative(const WorkerRecord &Worker) const;
  std::int64_t slotsOf(const WorkerRecord &Worker, TimePoint Now) const;
  /// Returns whether the worker meets the requirements now. Counts the look.
  bool meets(TimePoint Now, const WorkerRecord &Worker,
             const TaskRequirements &Requirements, bool &IsLimitedByLease);

  /// Returns the speed of a worker as of the last wake().
  double speed(const WorkerRecord &Worker) const {
    return Worker.m_Speed * (m_Now < Worker.m_ColdUntil ? m_ColdSpeed : 1);
  }

  JobParameters m_Parameters;
  std::map<std::string, WorkerRecord> m_Workers;
  std::map<std::string, ServiceWorkers, std::less<>> m_Services;
  /// When a pause or an ejection may end, by worker; others may be stale.
  std::set<std::pair<TimePoint, std::string>> m_Wakes;
  TimePoint m_Now; ///< Time of the last wake().
  std::int64_t m_SlotCpuMillis = 0;
  std::int64_t m_Slots = 0;          ///< Total of WorkerPosition::m_Slots.
  std::set<std::string> m_Unhealthy; ///< Workers that are not healthy.
  FailureAttribution m_Failures;
  TimePoint m_ReviewedAt; ///< Time of the last reviewEjections().
  std::vector<WorkerHealthDecision> m_HealthDecisions;
  std::uint64_t m_Looks = 0;
  std::set<std::string> m_Evacuated; ///< Data centres.
  double m_ColdSpeed;                ///< Of cold workers; learned.
};

} // namespace auburnhub

#endif
