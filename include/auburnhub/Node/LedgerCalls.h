#ifndef AUBURNHUB_NODE_LEDGERCALLS_H
#define AUBURNHUB_NODE_LEDGERCALLS_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/CallNumbers.h"
#include "auburnhub/Node/NodeMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace auburnhub {

/// Tracks callers' calls about stored jobs at the node that received them.
/// Sends each call to the keeper of the job's partition and ensures that each
/// gets exactly one answer before its timeout.
///
/// A call whose keeper is lost is sent to the next keeper, which is safe
/// because calls are idempotent by the job's id.
class LedgerCalls {
public:
  using Done = std::function<void(LedgerCallOutcome, StoredJobState)>;
  using Send = std::function<void(const std::string &Node, const LedgerCall &)>;

  LedgerCalls(EventLoop &Loop, std::uint32_t PartitionCount,
              CallNumbers Numbers, MetricsRegistry &Metrics, Send Send);

  /// Replaces the partitions of which a node is known to be the keeper.
  void updateLedgers(const std::string &Node,
                     std::span<const LedgerStatus> Ledgers);
  /// Sends the calls of a lost keeper to the next keepers.
  void nodeLost(const std::string &Node);

  /// Sends a call about the job Id. Done is called exactly once, and never
  /// before this function has returned. TimeLeftMs is the time until the
  /// caller's timeout.
  void call(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
            double TimeLeftMs, Done Done);
  /// Handles the answer of a node that was asked as keeper. Ignored if it is
  /// for another process or job, if the call has been answered, or if another
  /// keeper was asked since and the call is not done.
  void answered(const std::string &Node, const LedgerCallAnswer &Answer);
  /// Answers all calls at once; called when the process exits.
  void abandonAllCalls();

  std::size_t calls() const { return m_Calls.size(); }
  /// Returns how many stored jobs of a queue have not started, from the last
  /// report on each partition; the last report counts while the keeper changes.
  std::uint64_t pending(const std::string &Queue) const;

private:
  struct Keeper {
    std::string m_Node;
    LedgerEpoch m_Epoch = 0;
  };
  struct Call {
    LedgerCall m_Message;
    Done m_Done;
    TimePoint m_ReceivedAt;
    std::string m_Keeper;        ///< Empty while no keeper is known.
    bool m_MayBeApplied = false; ///< A former keeper may have applied it.
    EventLoop::Timer m_WaitTimer;
    EventLoop::Timer m_DeadlineTimer;
  };

  void route(std::uint64_t Id);
  void routeWaiting(std::uint32_t PartitionId);
  void finish(std::uint64_t Id, LedgerCallOutcome Outcome,
              StoredJobState State = StoredJobState::Queued);
  /// Answers Unknown if a keeper may have applied the call, else NoKeeper.
  void abandon(std::uint64_t Id);

  EventLoop &m_Loop;
  std::uint32_t m_PartitionCount;
  Send m_Send;
  Log m_Log{"stored-calls"};
  std::map<std::uint32_t, Keeper> m_Keepers;
  /// The newest status of each partition.
  std::map<std::uint32_t, LedgerStatus> m_Statuses;
  std::map<std::uint64_t, Call> m_Calls;
  CallNumbers m_Numbers;
  MetricsRegistry &m_Metrics;
  LatencyHistogram &m_Latency;
};

} // namespace auburnhub

#endif
