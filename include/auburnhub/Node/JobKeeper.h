#ifndef AUBURNHUB_NODE_JOBKEEPER_H
#define AUBURNHUB_NODE_JOBKEEPER_H

#include "auburnhub/Node/LedgerPartition.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburnhub {

/// Times of the membership in the log's group of keepers, in milliseconds.
struct JobKeeperSettings {
  /// A member that does not renew its membership for this time loses its
  /// partitions.
  double m_MembershipTimeoutMs = 1000;
  /// Interval between two join calls, which renew the membership: three fit
  /// into m_MembershipTimeoutMs.
  double m_JoinIntervalMs = 300;
  /// Interval at which the keeper checks whether task retries are due and
  /// whether the membership has expired.
  double m_TickIntervalMs = 40;
  LedgerPartitionSettings m_Partition;
};

/// Keeps the partitions of stored jobs that the log's group assigns to this
/// node.
///
/// It joins the group once jobs are stored; a system that stores none makes no
/// calls to the log. A node that cannot renew its membership releases its
/// partitions before the group assigns them to other nodes.
template <JobLog Log> class JobKeeper {
public:
  JobKeeper(EventLoop &Loop, Log &StoredJobLog, StateChart Chart,
            const JobKeeperSettings &Settings, OwnerTable &Owners,
            LedgerPartitionEffects Effects);

  /// Joins the group; called once jobs are stored in this system. IsPublished
  /// is true if the log says so already; if false, JobLog::markInUse() must
  /// succeed before the group is joined. A keeper that drains only marks the
  /// log, for the others. Ignored if active.
  void activate(bool IsPublished);
  bool isActive() const { return m_Active; }
  /// Returns whether the log says that jobs are stored. Another keeper may be
  /// activated as published only then: no task of a stored job may start
  /// before, as nodes conclude from a log without the mark that none has.
  bool isPublished() const { return m_IsPublished; }

  void onCall(const std::string &From, const LedgerCall &Msg);
  void onReport(const std::string &From, const StoredTaskReport &Msg);
  void onRuns(const std::string &From, const LedgerRuns &Msg);
  void nodeUp(const std::string &Node);
  void nodeLost(const std::string &Node);
  /// A worker has registered, or its registration has changed.
  void workerSeen(const WorkerIncarnation &Seen);
  /// Starts ready tasks; to be called when owners may have free capacity.
  void startReadyTasks();
  /// Releases all partitions and leaves the group; it does not join again.
  void drain();
  /// Returns whether all partitions are closed and no append is in flight.
  bool isDrained() const {
    return m_Partitions.empty() && m_ClosingPartitions.empty();
  }

  std::vector<LedgerStatus> statuses() const;

private:
  using Partition = LedgerPartition<Log>;

  void tick();
  void recordInUse();
  void join();
  void onJoined(TimePoint SentAt,
                const absl::StatusOr<JobLogMembership> &Membership);
  /// Leaves the group and joins it again to get a higher generation: an append
  /// of a released partition may still be in flight under the current one.
  void rejoin();
  void applyMembership(const JobLogMembership &Membership);
  void open(std::uint32_t PartitionId, LedgerEpoch Epoch);
  void closeAll();
  void closePartition(std::uint32_t PartitionId);
  void removeClosed();
  bool isMembershipCurrent(TimePoint Now) const;

  EventLoop &m_Loop;
  Log &m_StoredJobLog;
  StateChart m_Chart;
  JobKeeperSettings m_Settings;
  OwnerTable &m_Owners;
  LedgerPartitionEffects m_Effects;
  auburnhub::Log m_Log{"keeper"};
  bool m_Active = false;
  bool m_IsPublished = false;
  bool m_Draining = false;
  bool m_JoinFailed = false; ///< Whether the last join call failed.
  LedgerEpoch m_Generation = 0;
  /// The generation under which all partitions were released because the
  /// membership expired; empty once a later generation is received.
  std::optional<LedgerEpoch> m_ReleasedGeneration;
  TimePoint m_ConfirmedAt; ///< Send time of the last successful join.
  std::map<std::uint32_t, std::unique_ptr<Partition>> m_Partitions;
  /// Closed partitions with an append in flight.
  std::vector<std::unique_ptr<Partition>> m_ClosingPartitions;
  EventLoop::Timer m_TickTimer;
  EventLoop::Timer m_JoinTimer;
  EventLoop::Timer m_RecordTimer;
};

} // namespace auburnhub

#include "auburnhub/Node/JobKeeperImpl.h"

#endif
