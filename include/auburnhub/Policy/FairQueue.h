#ifndef AUBURNHUB_POLICY_FAIRQUEUE_H
#define AUBURNHUB_POLICY_FAIRQUEUE_H

#include "auburnhub/Policy/Types.h"

#include <cstddef>
#include <list>
#include <set>
#include <utility>
#include <vector>

namespace auburnhub {

/// A queue that divides service time between teams in proportion to their
/// weights.
///
/// Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair
/// Queuing: A Scheduling Algorithm for Integrated Services Packet Switching
/// Networks", SIGCOMM 1996. A task gets its start tag only when it becomes the
/// head of its team's queue, so that removing a task does not affect the
/// shares. Tasks of one team are served first in, first out, except for those
/// added by pushFront(). Operations take time logarithmic in the number of
/// teams with queued tasks and constant in the number of tasks.
class FairQueue {
public:
  /// The index of a team, assigned by the caller. Indices should be small: the
  /// queue keeps an entry for every index up to the largest.
  using Team = std::size_t;

  struct Entry {
    TaskKey m_Key;
    double m_Cost; ///< Expected service time, in milliseconds.
  };

  /// The position of a queued task; valid until the task is removed.
  struct Handle {
    Team m_Team = 0;
    std::list<Entry>::iterator m_It;
  };

  /// Sets a team's weight, which must be positive; the default is 1.
  void setWeight(Team T, double Weight);

  /// Appends a task to its team's queue. Cost is its expected service time, in
  /// milliseconds.
  Handle push(Team T, TaskKey Key, double Cost);

  /// Inserts a task at the head of its team's queue.
  Handle pushFront(Team T, TaskKey Key, double Cost);

  /// Removes a task without charging its team.
  void erase(const Handle &H);

  /// Removes a task that starts now and charges its cost to its team.
  void serve(const Handle &H);

  std::size_t size() const { return m_Size; }
  bool empty() const { return m_Size == 0; }

  /// Returns the total cost of all queued tasks, in milliseconds.
  double costMs() const { return m_CostMs; }

  /// Returns the total cost of a team's queued tasks, in milliseconds.
  double costMs(Team T) const;

  /// Returns the share of the service, in (0, 1], that a team gets when it
  /// competes with all teams that have queued tasks.
  double share(Team T) const;

  /// Returns the key of the first task of each team, in order of service, for
  /// at most Limit teams.
  std::vector<TaskKey> heads(std::size_t Limit) const;

  /// Returns the key of the task to serve next. The queue must not be empty.
  TaskKey front() const;

private:
  struct TeamQueue {
    double m_Weight = 1;
    double m_FinishTag = 0;
    double m_StartTag = 0;
    double m_CostMs = 0;
    std::list<Entry> m_Entries;
  };

  TeamQueue &queue(Team T);
  void activate(Team T, TeamQueue &Q);
  void deactivate(Team T, TeamQueue &Q);

  std::vector<TeamQueue> m_Teams;
  /// The start tag and the index of each team with queued tasks.
  std::set<std::pair<double, Team>> m_Active;
  double m_VirtualTime = 0;  ///< The highest start tag served so far.
  double m_ActiveWeight = 0; ///< Total weight of the teams in m_Active.
  double m_CostMs = 0;
  std::size_t m_Size = 0;
};

} // namespace auburnhub

#endif
