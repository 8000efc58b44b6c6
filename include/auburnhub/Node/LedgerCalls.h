#ifndef AUBURNHUB_NODE_LEDGERCALLS_H
#define AUBURNHUB_NODE_LEDGERCALLS_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Net/EventLoop.h"
#include "auburnhub/Node/NodeMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace auburnhub {

/// Callers' calls about stored jobs at the node that takes them: sends each to
/// the keeper of the job's partition and sees to it that each gets one answer
/// in time.
///
/// A call whose keeper is lost is sent to the next one: the job's id makes it
/// the same call.
class LedgerCalls {
public:
  using Done = std::function<void(LedgerCallOutcome, StoredJobState)>;
  using Send = std::function<void(const std::string &Node, const LedgerCall &)>;

  LedgerCalls(EventLoop &Loop, std::uint32_t Parts, MetricsRegistry &Metrics,
              Send Send);

  /// What a node says that it keeps.
  void keeps(const std::string &Node, std::span<const LedgerStatus> Ledgers);
  void nodeLost(const std::string &Node);

  /// Done is called once, never from within this call. TimeLeftMs is how long
  /// the caller still waits.
  void call(LedgerCallKind Kind, const std::string &Id, JobRequest Job,
            double TimeLeftMs, Done Done);
  void answered(const LedgerCallAnswer &Answer);
  /// Answers every call at once: the process ends.
  void giveUpAll();

  std::size_t calls() const { return m_Calls.size(); }
  /// Returns how many stored jobs of a queue have not started, by what keepers
  /// have said last; a partition counts on while its keeper changes.
  std::uint64_t pending(const std::string &Queue) const;

private:
  struct Keeper {
    std::string m_Node;
    LedgerEpoch m_Epoch = 0;
  };
  struct Call {
    LedgerCall m_Message;
    Done m_Done;
    TimePoint m_Received;
    std::string m_Keeper;   ///< Empty while it waits for one.
    bool m_InDoubt = false; ///< A keeper that was lost may have acted on it.
    EventLoop::Timer m_WaitTimer;
    EventLoop::Timer m_Deadline;
  };

  void route(std::uint64_t Id);
  void routeWaiting(std::uint32_t Part);
  void finish(std::uint64_t Id, LedgerCallOutcome Outcome,
              StoredJobState State = StoredJobState::Queued);
  void giveUp(std::uint64_t Id);

  EventLoop &m_Loop;
  std::uint32_t m_PartCount;
  Send m_Send;
  Log m_Log{"stored-calls"};
  std::map<std::uint32_t, Keeper> m_Keepers;
  std::map<std::uint32_t, LedgerStatus> m_Statuses; ///< The last of each part.
  std::map<std::uint64_t, Call> m_Calls;
  std::uint64_t m_LastCall = 0;
  MetricsRegistry &m_Metrics;
  LatencyHistogram &m_Latency;
};

} // namespace auburnhub

#endif
