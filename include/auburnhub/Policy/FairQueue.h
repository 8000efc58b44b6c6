#ifndef AUBURNHUB_POLICY_FAIRQUEUE_H
#define AUBURNHUB_POLICY_FAIRQUEUE_H

#include "auburnhub/Policy/Types.h"

#include <cstddef>
#include <list>
#include <set>
#include <utility>
#include <vector>

namespace auburnhub {

/// A queue that shares service between teams by weight.
///
/// Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair
/// Queuing: A Scheduling Algorithm for Integrated Services Packet Switching
/// Networks", SIGCOMM 1996. A team's head gets its start tag when it becomes
/// the head, so that removing a task leaves no trace in the shares. Tasks of
/// one team keep their order. Operations take time logarithmic in the number
/// of teams with queued tasks and constant in the number of tasks.
class FairQueue {
public:
  using Team = std::size_t;

  struct Item {
    TaskKey m_Key;
    double m_Cost;
  };

  /// Where a queued task stands; valid until it is erased.
  struct Handle {
    Team m_Team = 0;
    std::list<Item>::iterator m_It;
  };

  /// Sets a team's weight, which must be positive; it is 1 at first.
  void setWeight(Team T, double Weight);

  /// Queues a task. Cost is the service it takes, in milliseconds.
  Handle push(Team T, TaskKey Key, double Cost);

  /// Queues a task before its team's others.
  Handle pushFront(Team T, TaskKey Key, double Cost);

  /// Removes a task without charging its team.
  void erase(const Handle &H);

  /// Removes a task and charges its team.
  void take(const Handle &H);

  std::size_t size() const { return m_Size; }
  bool empty() const { return m_Size == 0; }

  /// Returns the summed cost of all tasks, in milliseconds.
  double costMs() const { return m_CostMs; }

  /// Returns the summed cost of a team's tasks, in milliseconds.
  double costMs(Team T) const;

  /// Returns a team's share of the service while the present teams queue and
  /// it does too.
  double share(Team T) const;

  /// Returns the key of each team's first task, in the order of service, at
  /// most Limit ones.
  std::vector<TaskKey> heads(std::size_t Limit) const;

  /// Returns the first key in the order of service. Must not be empty.
  TaskKey front() const;

private:
  struct TeamQueue {
    double m_Weight = 1;
    double m_FinishTag = 0;
    double m_StartTag = 0;
    double m_CostMs = 0;
    std::list<Item> m_Items;
  };

  TeamQueue &queue(Team T);
  void activate(Team T, TeamQueue &Q);
  void deactivate(Team T, TeamQueue &Q);

  std::vector<TeamQueue> m_Teams;
  std::set<std::pair<double, Team>> m_Active;
  double m_VirtualTime = 0;
  double m_ActiveWeight = 0;
  double m_CostMs = 0;
  std::size_t m_Size = 0;
};

} // namespace auburnhub

#endif
