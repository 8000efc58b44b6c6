#ifndef AUBURNHUB_NODE_OWNERTABLE_H
#define AUBURNHUB_NODE_OWNERTABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace auburnhub {

/// Table of the shard owners that accept tasks, with their last reported load.
///
/// choose() prefers owners with enough free capacity; among these, owners in
/// the data centre of this node, then the one with the most free capacity. If
/// no owner has enough, it returns the one with the most free capacity.
class OwnerTable {
public:
  struct Owner {
    std::string m_DataCentre;
    double m_FreeSlots = 0;
    double m_WaitingTasks = 0;
    double m_TasksSentSinceLoad = 0; ///< Tasks sent since the last load report.
    /// Mean number of slots that the tasks of other nodes take up between two
    /// load reports. Learned; 0 until the second report.
    double m_TakenByOthers = 0;
    bool m_HasLoad = false; ///< A load report has been received.
    /// Largest free CPU of one of its workers, in thousandths of a core, less
    /// that of the tasks sent since it was reported.
    std::int64_t m_LargestFreeCpu = 0;

    /// Returns the free capacity: how many more tasks the owner could start
    /// now. Negative if more tasks wait than slots are free.
    double freeCapacity() const {
      return m_FreeSlots - m_WaitingTasks - m_TasksSentSinceLoad;
    }
  };

  /// The owner to which a job is sent.
  struct Choice {
    std::string m_Owner;
    /// The owner may keep the job waiting: no other owner that has not been
    /// tried is known to have free capacity for it.
    bool m_MayWait = true;
  };

  explicit OwnerTable(std::string DataCentre)
      : m_DataCentre(std::move(DataCentre)) {}

  /// Adds or updates an owner. Returns whether it is new.
  bool put(const std::string &Name, const std::string &DataCentre);
  void setLoad(const std::string &Name, std::uint64_t FreeSlots,
               std::uint64_t WaitingTasks);
  void erase(const std::string &Name) { m_Owners.erase(Name); }
  /// Records that tasks were sent to an owner. They reduce its free capacity
  /// until the next setLoad().
  void addSentTasks(const std::string &Name, double TaskCount);
  /// Updates the largest free CPU of one of the owner's workers, in thousandths
  /// of a core.
  void setLargestFreeCpu(const std::string &Name, std::int64_t CpuMillis);
  /// Records that one task of this size was sent to an owner.
  void addSentTask(const std::string &Name, std::int64_t CpuMillis);

  /// Returns the best owner for this number of tasks that is not in
  /// TriedOwners, or nothing if there is none.
  std::optional<std::string>
  choose(double TaskCount, const std::set<std::string> &TriedOwners) const;

  /// Returns the owner for a job of this number of tasks, or nothing if each
  /// owner has been tried.
  ///
  /// Load pattern: the demand of one data centre rises above what its own
  /// workers can do while those of the others are free, and dozens of nodes
  /// choose by figures that are tens of milliseconds old. The owner in the data
  /// centre of this node is chosen while its free capacity also covers what
  /// other nodes are expected to take before its next report. Beyond that, jobs
  /// spread over the owners with enough free capacity in proportion to it, by
  /// rendezvous hash of the job, so that nodes with the same figures do not all
  /// choose the same owner.
  std::optional<Choice>
  chooseForJob(std::string_view Job, double TaskCount,
               const std::set<std::string> &TriedOwners) const;
  /// Returns the owner for one task of this size, in thousandths of a core: one
  /// with free capacity, else one with a worker that has as much free CPU. One
  /// in the data centre of this node is preferred. Returns nothing if no owner
  /// that is not in TriedOwners is known to have room.
  ///
  /// Load pattern: small tasks beside such large ones that no worker has room
  /// for another large one. Free capacity is counted in tasks of typical size.
  std::optional<std::string>
  chooseForTask(std::int64_t CpuMillis,
                const std::set<std::string> &TriedOwners) const;
  /// Returns whether an owner that is not in TriedOwners has enough free
  /// capacity for this number of tasks.
  bool hasCapacityFor(double TaskCount,
                      const std::set<std::string> &TriedOwners) const;
  /// Returns the largest free CPU of a worker of any owner as far as known, in
  /// thousandths of a core.
  std::int64_t largestFreeCpu() const;
  bool contains(const std::string &Name) const {
    return m_Owners.contains(Name);
  }
  const Owner &at(const std::string &Name) const { return m_Owners.at(Name); }
  bool empty() const { return m_Owners.empty(); }
  std::size_t size() const { return m_Owners.size(); }

private:
  /// Returns the owner in the data centre of this node that has the most free
  /// capacity of those that are sure to have enough, or nothing.
  std::optional<std::string>
  chooseNearby(double TaskCount,
               const std::set<std::string> &TriedOwners) const;

  std::string m_DataCentre;
  std::map<std::string, Owner> m_Owners;
};

} // namespace auburnhub

#endif
