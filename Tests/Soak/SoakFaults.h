#ifndef AUBURNHUB_TESTS_SOAK_SOAKFAULTS_H
#define AUBURNHUB_TESTS_SOAK_SOAKFAULTS_H

#include "SoakJob.h"
#include "SoakLoad.h"

#include "PlatformCluster.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace auburnhub::soak {

/// Harms a cluster at random times, in series and overlapping, and heals what
/// it has harmed.
class SoakFaults {
public:
  SoakFaults(platform::PlatformCluster &Cluster, SoakLoad &Load,
             std::uint64_t Seed);

  /// MeanPauseMs is the mean time between two faults.
  void start(double MeanPauseMs);
  /// Begins no new faults; those under way are healed in their time.
  void stop();
  /// Returns whether nothing is harmed any more.
  bool isOver() const { return m_Open == 0; }

  const std::vector<Disturbance> &disturbances() const { return m_Past; }
  /// Returns since when an executor has been announced as draining.
  std::optional<TimePoint> drainingSince(std::size_t Executor) const;
  /// Returns the nodes that have ended though nobody asked them to.
  std::vector<std::size_t> unexpectedEnds() const;
  /// Returns the nodes that took longer to stop than they were granted.
  const std::vector<std::size_t> &slowStops() const { return m_SlowStops; }

private:
  using Duration = EventLoop::Duration;

  void beginLater(double MeanPauseMs);
  void beginOne();

  // Nodes.
  void killNode();
  void stopNode();
  void pauseNode();
  void awaitEnd(std::size_t Node, std::size_t Past, TimePoint Asked);
  void restart(std::size_t Node, std::size_t Past);

  // Connections.
  void cutLinks();
  void resetLinks();
  void silenceLinks();
  void delayLinks();
  void cutNodeFromStore();
  void cutExecutor();

  // The store.
  void breakStore();
  void turnNodeAway();
  void slowStore();
  void loseAnswers();
  void forgetHistory();

  // Executors.
  void crashExecutor();
  void slowExecutor();
  void hangExecutor();
  void failExecutor();
  void delayOrders();
  void drainExecutor();
  /// Shrinks an executor for a while. A series of its own, so that the other
  /// faults of a seed remain as they are.
  void resizeLater(double MeanPauseMs);
  void resizeExecutor();
  void setCapacity(std::size_t Executor, std::int64_t CpuMillis);

  // Plans and callers.
  void changeConfiguration();
  void cancelMany();

  Duration lasting(int LeastMs, int MostMs);
  std::size_t begin(const std::string &Kind, bool Planned = false);
  void end(std::size_t Past);
  /// Calls after a time, then counts the disturbance as over.
  void healLater(std::size_t Past, Duration After,
                 const std::function<void()> &Heal);
  /// Returns a node that runs and is not harmed as a process, keeping one
  /// untouched; none if there is none.
  std::optional<std::size_t> pickNode();
  std::optional<std::size_t> pickExecutor();
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }

  platform::PlatformCluster &m_Cluster;
  SoakLoad &m_Load;
  std::mt19937_64 m_Random;
  std::mt19937_64 m_ResizeRandom;
  std::vector<Disturbance> m_Past;
  std::size_t m_Open = 0;
  std::map<std::size_t, std::string> m_HarmedNodes;
  std::map<std::size_t, std::string> m_HarmedExecutors;
  std::map<std::size_t, TimePoint> m_Draining;
  std::set<std::size_t> m_Shrunk;
  std::vector<std::size_t> m_SlowStops;
  std::uint64_t m_Version = 1;
  EventLoop::Timer m_Next;
  EventLoop::Timer m_NextResize;
  std::vector<EventLoop::Timer> m_Timers;
};

} // namespace auburnhub::soak

#endif
