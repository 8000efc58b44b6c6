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

/// Times of the membership in the group of keepers, in milliseconds.
struct JobKeeperSettings {
  /// A member that says nothing for so long loses its partitions.
  double m_MembershipMs = 1000;
  /// Time between two signs of life: three fit into the membership.
  double m_JoinMs = 300;
  /// Period of what time brings: paused tasks, lapsed memberships.
  double m_TickMs = 40;
  LedgerPartitionSettings m_Partition;
};

/// Keeps the partitions of stored jobs that the log's group gives to this node.
///
/// It joins the group once jobs are stored; a system that stores none makes no
/// calls. A node that cannot confirm its membership gives its partitions up
/// before the group gives them to others.
template <JobLog Log> class JobKeeper {
public:
  JobKeeper(EventLoop &Loop, Log &Records, StateChart Chart,
            const JobKeeperSettings &Settings, OwnerTable &Owners,
            LedgerPartitionEffects Effects);

  /// Jobs are stored in this system. IsNoted: other nodes can read so.
  void activate(bool IsNoted);
  bool isActive() const { return m_Active; }

  void onCall(const std::string &From, const LedgerCall &Msg);
  void onReport(const std::string &From, const StoredTaskReport &Msg);
  void onRuns(const std::string &From, const LedgerRuns &Msg);
  void nodeUp(const std::string &Node);
  void nodeLost(const std::string &Node);
  /// Owners may have room again.
  void place();
  /// Gives all partitions up for good.
  void drain();
  /// Returns whether nothing is open any more.
  bool isDrained() const { return m_Partitions.empty() && m_Closing.empty(); }

  std::vector<LedgerStatus> statuses() const;

private:
  using Partition = LedgerPartition<Log>;

  void tick();
  void note();
  void join();
  void onJoined(TimePoint SentAt, const absl::StatusOr<JobLogMembership> &Now);
  /// Leaves the group and joins it again, for a higher generation: under the
  /// one at hand an append of a partition that was given up may still be on its
  /// way.
  void rejoin();
  void take(const JobLogMembership &Given);
  void open(std::uint32_t Part, LedgerEpoch Epoch);
  void closeAll();
  void closePartition(std::uint32_t Part);
  void dropClosed();
  bool membershipIsFresh(TimePoint Now) const;

  EventLoop &m_Loop;
  Log &m_Records;
  StateChart m_Chart;
  JobKeeperSettings m_Settings;
  OwnerTable &m_Owners;
  LedgerPartitionEffects m_Effects;
  auburnhub::Log m_Log{"keeper"};
  bool m_Active = false;
  bool m_Draining = false;
  bool m_Lost = false; ///< The last join failed.
  LedgerEpoch m_Generation = 0;
  /// The generation under which all partitions were given up, until the next.
  std::optional<LedgerEpoch> m_GivenUpUnder;
  TimePoint m_Confirmed; ///< When the last join that succeeded was sent.
  std::map<std::uint32_t, std::unique_ptr<Partition>> m_Partitions;
  std::vector<std::unique_ptr<Partition>> m_Closing;
  EventLoop::Timer m_Tick;
  EventLoop::Timer m_JoinTimer;
  EventLoop::Timer m_NoteTimer;
};

} // namespace auburnhub

#include "auburnhub/Node/JobKeeperImpl.h"

#endif
