#ifndef AUBURNHUB_NODE_OWNERTABLE_H
#define AUBURNHUB_NODE_OWNERTABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
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

    /// Returns the free capacity: how many more tasks the owner could start
    /// now. Negative if more tasks wait than slots are free.
    double freeCapacity() const {
      return m_FreeSlots - m_WaitingTasks - m_TasksSentSinceLoad;
    }
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

  /// Returns the best owner for this number of tasks that is not in
  /// TriedOwners, or nothing if there is none.
  std::optional<std::string>
  choose(double TaskCount, const std::set<std::string> &TriedOwners) const;
  const Owner &at(const std::string &Name) const { return m_Owners.at(Name); }
  bool empty() const { return m_Owners.empty(); }
  std::size_t size() const { return m_Owners.size(); }

private:
  std::string m_DataCentre;
  std::map<std::string, Owner> m_Owners;
};

} // namespace auburnhub

#endif
