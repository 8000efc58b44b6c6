#ifndef AUBURNHUB_NODE_LEDGERPARTITION_H
#define AUBURNHUB_NODE_LEDGERPARTITION_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/StateChart.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/JobLog.h"
#include "auburnhub/Node/NodeMessages.h"
#include "auburnhub/Node/OwnerTable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnhub {

/// Times of a partition's appends, in milliseconds.
struct LedgerPartitionSettings {
  /// An end on which neither a step nor a caller waits goes with what is
  /// written within this time: short against the time of a retry, long against
  /// the time between the ends of one step.
  double m_LingerMs = 40;
  /// Pause before a call to the log is repeated.
  double m_RetryMs = 60;
  /// New jobs are refused when they could not be stored for so long: most of
  /// what a caller of a sub-second task has.
  double m_RefuseAfterMs = 500;
  /// A caller that asks for the state of a job waits so long for its end: the
  /// time from the end of a run until it is stored, several times over.
  double m_StateWaitMs = 100;
  /// Age that the count of jobs that have not started may reach: a quarter of
  /// what callers are promised.
  double m_PendingMs = 500;
  JobLedgerParameters m_Ledger;
};

/// What a partition asks of its node.
struct LedgerPartitionEffects {
  std::function<void(const std::string &Node, const StoredJobMessage &)> m_Send;
  std::function<void(const StoredJobMessage &)> m_SendAll;
  /// It serves, or it is closed and may be dropped.
  std::function<void()> m_Changed;
};

/// Keeps one partition of the stored jobs under one epoch: reads it back,
/// answers callers, gives tasks to owners of workers, and appends what has
/// become of them. Its phases are the chart ledger-partition.yaml.
template <JobLog Log> class LedgerPartition {
public:
  LedgerPartition(EventLoop &Loop, Log &Records, const StateChart &Chart,
                  const LedgerPartitionSettings &Settings, LedgerClaim Claim,
                  OwnerTable &Owners, LedgerPartitionEffects Effects);

  void begin();
  void onCall(const std::string &From, const LedgerCall &Msg);
  void onReport(const std::string &From, const StoredTaskReport &Msg);
  void onRuns(const std::string &From, const LedgerRuns &Msg);
  void ownerLost(const std::string &Owner);
  /// Applies what time brings, and gives out what can start. MayStart is false
  /// while another node may already keep the partition.
  void advance(bool MayStart);
  /// Serves no more. Calls that are still open are answered once the append on
  /// its way is known.
  void close() { fire("given_up"); }

  const LedgerClaim &claim() const { return m_Claim; }
  bool isServing() const { return m_Phase == m_Serving; }
  /// Returns whether it is closed and nothing is open any more.
  bool isOver() const { return m_Phase == m_Closed && !m_OnItsWay; }
  const JobLedger &ledger() const { return m_Ledger; }
  /// Returns the jobs of each queue of which no task has started; the count is
  /// a little old.
  const std::map<std::string, std::uint64_t> &pending() const {
    return m_Pending;
  }

  static const StateChart::Vocabulary &vocabulary();

private:
  struct Caller {
    std::string m_Node;
    std::uint64_t m_Call = 0;
    LedgerCallKind m_Kind = LedgerCallKind::State;
  };

  /// A caller that waits for the end of a job.
  struct Watcher {
    Caller m_To;
    TimePoint m_Until;
  };

  void fire(std::string_view Event);
  void act(std::string_view Action);
  void openPartition();
  void readPage();
  void takePage(const JobLogPage &Page);
  void beginServing();
  void stopServing();
  void onLogFailure(const absl::Status &Why);
  void append();
  void sendBatch();
  void onAppended(const absl::Status &Status);
  bool appendIsDue(TimePoint Now);
  void place(TimePoint Now);
  void countPending(TimePoint Now);
  void carryOutEffects();
  void carryOut(const LedgerCallAnswered &Effect);
  void carryOut(const LedgerRunStopped &Effect);
  void carryOut(const LedgerEndSettled &Effect);
  void carryOut(const LedgerJobOver &Effect);
  void tellState(const Caller &To, const std::string &Job);
  void watch(const Caller &To, const std::string &Job);
  void tellWatchers(TimePoint Now);
  void answer(const Caller &To, LedgerCallOutcome Outcome,
              StoredJobState State = StoredJobState::Queued);

  EventLoop &m_Loop;
  Log &m_Records;
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
  std::map<std::string, std::uint64_t> m_Pending;
  TimePoint m_Counted;
  std::string m_LastKey;
  std::uint64_t m_LastCall = 0;
  std::map<std::uint64_t, Caller> m_Callers;
  std::multimap<std::string, Watcher> m_Watchers; ///< By job.
  std::vector<LedgerRecord> m_Batch;
  std::uint64_t m_Sequence = 0;
  bool m_OnItsWay = false; ///< The batch is with the log, or will be again.
  bool m_InDoubt = false;  ///< Some try of it may be carried out.
  TimePoint m_BatchSince;
  TimePoint m_AppendNotBefore;
  std::optional<TimePoint> m_WaitingSince; ///< The oldest record not sent.
  EventLoop::Timer m_Retry;
  EventLoop::Timer m_Linger;
  /// Callbacks of the log hold this weakly.
  std::shared_ptr<LedgerPartition *> m_Self;
};

} // namespace auburnhub

#include "auburnhub/Node/LedgerPartitionImpl.h"

#endif
