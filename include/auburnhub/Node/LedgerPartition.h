#ifndef AUBURNHUB_NODE_LEDGERPARTITION_H
#define AUBURNHUB_NODE_LEDGERPARTITION_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/StateChart.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/JobLog.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Node/OwnerTable.h"
#include "auburnhub/Node/RefusedOwners.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburnhub {

/// Times of a partition, in milliseconds.
struct LedgerPartitionSettings {
  /// Maximum delay of records of ended runs for which no step or caller waits;
  /// the delay makes batches larger. Short compared with the time of a retry,
  /// long compared with the time between the ends of the runs of one step.
  double m_LingerMs = 40;
  /// Delay before a failed call to the log is retried, and before the next
  /// append after a batch was refused.
  double m_RetryDelayMs = 60;
  /// New jobs are refused when an append has been in progress for this time:
  /// most of the time that a caller of a sub-second task can wait.
  double m_RefuseAfterMs = 500;
  /// Delay before a state query of an unfinished job is answered, so that ends
  /// that are being stored are included: several times the time from the end of
  /// a run until it is stored.
  double m_StateWaitMs = 100;
  /// Maximum age of the count of jobs that have not started: a quarter of the
  /// age that callers are promised.
  double m_PendingMaxAgeMs = 500;
  /// Interval between two queries to owners for runs that are not reported.
  double m_QueryIntervalMs = 1000;
  /// Minimum interval between two log lines about tasks that wait for room.
  double m_WaitingLogIntervalMs = 1000;
  JobLedgerParameters m_Ledger;
};

/// Callbacks by which a partition acts on its node.
struct LedgerPartitionEffects {
  std::function<void(const std::string &Node, const StoredJobMessage &)> m_Send;
  std::function<void(const StoredJobMessage &)> m_Broadcast;
  /// Called after each change of the phase, and by JobKeeper when it has marked
  /// the log.
  std::function<void()> m_OnPhaseChanged;
  /// Returns false if another node may already keep the partition. Asked
  /// immediately before each start, because the process may have been paused
  /// since the last event.
  std::function<bool()> m_MayStart;
  /// Returns when the log last confirmed this node as the keeper.
  std::function<TimePoint()> m_ConfirmedAt;
  /// Returns a local time on the clock of a node, in milliseconds; earlier
  /// rather than later if the clock is not known exactly, and 0 if unknown.
  std::function<double(const std::string &Node, TimePoint)> m_ClockOf;
  /// Returns the registered workers.
  std::function<std::vector<WorkerIncarnation>()> m_Workers;
};

/// Keeps one partition of the stored jobs under one epoch: recovers it from the
/// log, answers callers, assigns tasks to owners of workers, and appends the
/// results. Its phases are defined by the chart ledger-partition.yaml.
template <JobLog Log> class LedgerPartition {
public:
  LedgerPartition(EventLoop &Loop, Log &StoredJobLog, const StateChart &Chart,
                  const LedgerPartitionSettings &Settings, LedgerClaim Claim,
                  OwnerTable &Owners, LedgerPartitionEffects Effects);

  /// Opens the partition in the log under its epoch and reads its records.
  void begin();
  /// Handles a call about a job and answers it to the node From.
  void onCall(const std::string &From, const LedgerCall &Msg);
  /// An owner reports the end of a run, or that it did not start it.
  void onReport(const std::string &From, const StoredTaskReport &Msg);
  /// An owner lists the runs of this partition that it has.
  void onRuns(const std::string &From, const LedgerRuns &Msg);
  /// Tells the owners which of their runs go on; called after each confirmation
  /// of this node as the keeper.
  void confirmRuns();
  /// An owner is unreachable; its runs may still be active.
  void ownerLost(const std::string &Owner);
  /// A worker has registered, or its registration has changed.
  void workerSeen(const WorkerIncarnation &Seen);
  /// Processes expired timeouts, starts tasks that are ready, and appends
  /// records that are due.
  void advance();
  /// Stops serving. Open calls are answered at once, except those that wait for
  /// an append in flight, which are answered with its result.
  void close() { fire("given_up"); }

  const LedgerClaim &claim() const { return m_Claim; }
  bool isServing() const { return m_Phase == m_Serving; }
  /// Returns whether the partition is closed and no append is in flight; it may
  /// then be destroyed.
  bool isDrained() const { return m_Phase == m_Closed && !m_AppendInFlight; }
  const JobLedger &ledger() const { return m_Ledger; }
  /// Returns, for each queue, the number of jobs of which no task has started;
  /// updated every m_PendingMaxAgeMs.
  const std::map<std::string, std::uint64_t> &pending() const {
    return m_Pending;
  }

  static const StateChart::Vocabulary &vocabulary();

private:
  struct Caller {
    std::string m_Node;
    std::uint64_t m_Call = 0;
    std::string m_Job;
    LedgerCallKind m_Kind = LedgerCallKind::State;
  };

  /// A state query of an unfinished job, held until m_Until.
  struct HeldQuery {
    Caller m_To;
    TimePoint m_Until;
  };

  void fire(std::string_view Event);
  void runAction(std::string_view Action);
  void openPartition();
  void readPage();
  void loadPage(const JobLogPage &Page);
  void beginServing();
  void stopServing();
  void onLogFailure(const absl::Status &Status);
  void append();
  void sendBatch();
  void onAppended(const absl::Status &Status);
  void onRejected(const absl::Status &Status);
  /// Returns whether records must be appended now; if they may still wait for
  /// a larger batch, starts m_LingerTimer.
  bool isAppendDue(TimePoint Now);
  /// Gives ready tasks to owners with room, in order; a task for which there is
  /// none does not hold up smaller ones.
  void assignTasks(TimePoint Now);
  void giveTask(TimePoint Now, const std::string &Owner, StoredTask Task);
  /// Returns the owner with room for the task, which needs this much CPU in
  /// thousandths of a core, that has not refused it in the current round, or
  /// nothing.
  std::optional<std::string> chooseOwner(const TaskRef &Task,
                                         std::int64_t CpuMillis) const;
  /// Notes whether an owner has refused the task. Returns whether it has and
  /// another one may run the task now.
  bool noteRefusal(TimePoint Now, const std::string &From,
                   const StoredTaskReport &Msg);
  /// Logs that no owner is known to have room for the next task, at most once
  /// per m_WaitingLogIntervalMs.
  void logWaiting(TimePoint Now, const StoredTask &Next);
  void confirmRuns(const std::string &Owner, std::vector<StoredRun> Runs);
  /// Passes the registered workers to the ledger, or only those at an address.
  void passRegisteredWorkers(std::optional<std::string_view> Address);
  void countPending(TimePoint Now);
  /// Asks owners for runs whose end they have not reported: the order or the
  /// report may be lost.
  void queryRuns(TimePoint Now);
  void applyEffects();
  void apply(const LedgerCallAnswered &Effect);
  void apply(const LedgerStopRun &Effect);
  void apply(const LedgerEndStored &Effect);
  void apply(const LedgerJobFinished &Effect);
  void apply(const LedgerCrashConfirmed &Effect);
  void apply(const LedgerTaskHeld &Effect);
  void submit(TimePoint Now, std::uint64_t Call, const LedgerCall &Msg);
  void answerState(const Caller &To, const std::string &Job);
  void holdQuery(const Caller &To, const std::string &Job);
  void answerDueQueries(TimePoint Now);
  void answer(const Caller &To, LedgerCallOutcome Outcome,
              StoredJobState State = StoredJobState::Queued);

  EventLoop &m_Loop;
  Log &m_StoredJobLog;
  const StateChart &m_Chart;
  LedgerPartitionSettings m_Settings;
  LedgerClaim m_Claim;
  OwnerTable &m_Owners;
  LedgerPartitionEffects m_Effects;
  auburnhub::Log m_Log{"ledger"};
  StateChart::StateId m_Phase;
  const StateChart::StateId m_Serving;
  const StateChart::StateId m_Closed;
  JobLedger m_Ledger;
  RefusedOwners m_RefusedOwners;
  std::map<std::string, std::uint64_t> m_Pending;
  TimePoint m_PendingCountedAt;
  TimePoint m_WaitingLoggedAt;
  std::string m_LastReadKey;
  TimePoint m_QueriedAt;
  std::uint64_t m_LastQuery = 0; ///< Sent at m_QueriedAt.
  std::uint64_t m_LastCall = 0;
  std::map<std::uint64_t, Caller> m_Callers;
  std::multimap<std::string, HeldQuery> m_HeldQueries; ///< By job.
  std::vector<LedgerRecord> m_Batch;
  std::uint64_t m_Sequence = 0;
  /// m_Batch was sent to the log and not answered, or waits for its retry.
  bool m_AppendInFlight = false;
  /// An attempt to append m_Batch may have been applied or may yet be.
  bool m_MayBeApplied = false;
  TimePoint m_BatchTakenAt;
  TimePoint m_AppendNotBefore;
  /// When m_LingerMs began for the oldest record that is not sent yet.
  std::optional<TimePoint> m_OldestUnsentAt;
  EventLoop::Timer m_RetryTimer;
  EventLoop::Timer m_LingerTimer;
  /// Callbacks passed to the log hold a weak pointer to m_Self, so that they do
  /// nothing after this object is destroyed.
  std::shared_ptr<LedgerPartition *> m_Self;
};

} // namespace auburnhub

#include "auburnhub/Node/LedgerPartitionAppendsImpl.h"
#include "auburnhub/Node/LedgerPartitionImpl.h"
#include "auburnhub/Node/LedgerPartitionLossesImpl.h"
#include "auburnhub/Node/LedgerPartitionTasksImpl.h"

#endif
