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

/// What a node knows of the owners of workers that take tasks, and the choice
/// among them: the nearest of those with room enough, else the one with the
/// most room.
class OwnerTable {
public:
  struct Owner {
    std::string m_DataCentre;
    double m_FreeSlots = 0;
    double m_WaitingTasks = 0;
    double m_SentSince = 0; ///< Tasks sent since the last word of its load.

    /// Returns how many more tasks it could start now.
    double room() const { return m_FreeSlots - m_WaitingTasks - m_SentSince; }
  };

  explicit OwnerTable(std::string DataCentre)
      : m_DataCentre(std::move(DataCentre)) {}

  /// Returns whether it is new.
  bool put(const std::string &Name, const std::string &DataCentre);
  void setLoad(const std::string &Name, std::uint64_t FreeSlots,
               std::uint64_t WaitingTasks);
  void erase(const std::string &Name) { m_Owners.erase(Name); }
  /// Tasks were sent to an owner.
  void noteSent(const std::string &Name, double Tasks);

  /// Returns the best owner that is not among Tried.
  std::optional<std::string> choose(double Tasks,
                                    const std::set<std::string> &Tried) const;
  const Owner &at(const std::string &Name) const { return m_Owners.at(Name); }
  bool empty() const { return m_Owners.empty(); }
  std::size_t size() const { return m_Owners.size(); }

private:
  std::string m_DataCentre;
  std::map<std::string, Owner> m_Owners;
};

} // namespace auburnhub

#endif
