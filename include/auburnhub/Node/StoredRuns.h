#ifndef AUBURNHUB_NODE_STOREDRUNS_H
#define AUBURNHUB_NODE_STOREDRUNS_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Jobs/JobScheduler.h"
#include "auburnhub/Node/NodeMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburnhub {

/// Callbacks by which StoredRuns acts on its node.
struct StoredRunsEffects {
  std::function<void(const StoredTask &, RunLimit)> m_Start;
  std::function<void(const TaskRef &)> m_Stop;
  /// Acknowledges the end of a run to its worker, which may then forget it.
  std::function<void(const std::string &Worker, const StoredEndConfirmed &)>
      m_Acknowledge;
  std::function<void(const std::string &Node, const StoredJobMessage &)> m_Send;
  /// Requests a read of the log that is sent after this call and tells whether
  /// jobs are stored. Its result is passed to setJobsAreStored() or
  /// setNoJobsStored().
  std::function<void()> m_ReadWhetherJobsAreStored;
};

/// The runs of stored tasks at an owner of workers: executes the orders of the
/// keepers of the partitions and reports the end of each run to its keeper,
/// again after a change of the keeper, until the end is stored.
///
/// Only orders of the keeper with the highest epoch seen are accepted. A run
/// continues while its keeper confirms it. One that is not confirmed any more
/// is stopped after a time that lets the next keeper take it over; the leases
/// of its worker end StoredRunLimitMs after the last confirmation even if it
/// cannot be stopped. The next keeper, which may not reach this owner, relies
/// on that.
class StoredRuns {
public:
  StoredRuns(std::uint32_t PartitionCount, StoredRunsEffects Effects)
      : m_PartitionCount(PartitionCount), m_Effects(std::move(Effects)) {}

  // From keepers.
  /// A keeper has opened a partition or asks for its runs: reports the ends
  /// that are not stored yet, then the runs.
  void opened(const std::string &Keeper, const LedgerOpened &Msg);
  /// Starts a run; an order that is received again is ignored. Refused if the
  /// keeper has been superseded, or if ConfirmedAt, when the log last confirmed
  /// it, is long ago. TimePoint::max() if the keeper does not say so.
  void run(const std::string &Keeper, const RunStoredTask &Msg,
           TimePoint ConfirmedAt);
  /// The log has confirmed the keeper at ConfirmedAt: the runs that it lists
  /// may continue.
  /// Ignored if ConfirmedAt is TimePoint::max().
  void confirmed(const std::string &Keeper, const StoredRunsConfirmed &Msg,
                 TimePoint ConfirmedAt);
  /// Reports to the keeper that the task is not run here.
  void refuse(const std::string &Keeper, const RunStoredTask &Msg,
              JobReason Reason) const;
  /// Stops a run; ignored if the run is unknown or has ended.
  void stop(const std::string &Keeper, const StopStoredRun &Msg);
  /// The end of a run is stored: forgets it and acknowledges it to its worker.
  void endStored(const StoredEndConfirmed &Msg);
  /// The keeper is unreachable; ends are reported to the next one.
  void keeperLost(const std::string &Keeper);
  /// Stops the runs that have not been confirmed for some time.
  void stopUnconfirmed(TimePoint Now);

  // From workers.
  /// A run that this owner ordered has ended: reports it to the keeper.
  void taskEnded(const StoredTaskEnded &Ended);
  /// A worker reports the end of a run that this owner did not order. Returns
  /// whether the worker must keep the end until it is acknowledged: by a keeper
  /// or, if no jobs are stored, once a later read of the log has shown that.
  bool strayRunEnded(const std::string &Worker, const TaskRef &Task,
                     std::uint32_t Number, RunEnd EndKind);

  /// Jobs are stored in this system, which never changes again.
  void setJobsAreStored() { m_JobsAreStored = true; }
  /// A read of the log that was sent at ReadAt has found that no jobs were
  /// stored: acknowledges the ends of stray runs that were listed before. Later
  /// ones may be those of jobs that have been stored since. Ignored if jobs
  /// are known to be stored.
  void setNoJobsStored(TimePoint ReadAt);
  /// Returns whether jobs are known to be stored. If not, there may be some all
  /// the same.
  bool jobsAreStored() const { return m_JobsAreStored; }

  std::size_t runs() const { return m_Runs.size(); }

private:
  struct Partition {
    LedgerEpoch m_Epoch = 0;
    std::string m_Keeper; ///< Empty after the keeper was lost.
  };
  struct Run {
    std::uint32_t m_PartitionId = 0;
    std::string m_Worker;
    /// Further workers that list the end: a best-effort job that is sent again
    /// reuses its run numbers.
    std::set<std::string> m_OtherWorkers;
    std::optional<StoredTaskReport> m_End; ///< Reported, but not stored yet.
    TimePoint m_ListedAt; ///< Of a stray run: when a worker last listed m_End.
    /// Shared with the lease of its worker; null for runs of earlier owners.
    std::shared_ptr<TimePoint> m_RunUntil;
    bool m_IsStopped = false; ///< For want of a confirmation.
  };
  using RunKey = std::pair<TaskRef, std::uint32_t>;

  /// Returns whether the claim has the highest epoch seen of its partition, and
  /// records the keeper if so. That there is a keeper shows that jobs are
  /// stored.
  bool acceptClaim(const std::string &Keeper, const LedgerClaim &Claim);
  void report(StoredTaskReport Report);
  /// Acknowledges the end of a run to all workers that list it.
  void acknowledge(const Run &Ended, const StoredEndConfirmed &Msg) const;
  static TimePoint runLimit(TimePoint ConfirmedAt);

  std::uint32_t m_PartitionCount;
  StoredRunsEffects m_Effects;
  Log m_Log{"stored-runs"};
  std::map<std::uint32_t, Partition> m_Partitions;
  std::map<RunKey, Run> m_Runs;
  bool m_JobsAreStored = false;
};

} // namespace auburnhub

#endif
