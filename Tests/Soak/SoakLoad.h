#ifndef AUBURNHUB_TESTS_SOAK_SOAKLOAD_H
#define AUBURNHUB_TESTS_SOAK_SOAKLOAD_H

#include "SoakJob.h"

#include "PlatformCluster.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnhub::soak {

/// What callers send. Rates are for all callers together.
struct SoakLoadSettings {
  double m_JobsPerSecond = 25;
  double m_StoredShare = 0.5;
  double m_CancelShare = 0.08;
  double m_RepeatShare = 0.1; ///< Stored jobs handed in again once accepted.
  std::size_t m_Callers = 6;
};

/// Callers of all nodes. Each keeps its connections open and uses them until
/// they are closed.
class SoakLoad {
public:
  SoakLoad(platform::PlatformCluster &Cluster, const SoakLoadSettings &Settings,
           std::uint64_t Seed);

  void start();
  /// Sends no new jobs; those under way are followed to their end.
  void stop();
  /// The next jobs are cancelled right after they were handed in.
  void setCancelShare(double Value) { m_Settings.m_CancelShare = Value; }
  /// Returns whether no call is open.
  bool isIdle() const { return m_OpenCalls == 0; }
  /// Returns whether every accepted job is over, as a caller has seen it.
  bool allOver() const;
  /// Asks for the states of jobs that are not over.
  void askForStates();
  const std::map<std::string, SoakJob> &jobs() const { return m_Jobs; }

private:
  void sendLater();
  void sendJob();
  void handIn(const std::string &Id);
  void cancel(const std::string &Id);
  void askForState(const std::string &Id);
  void followLater(const std::string &Id);
  void onHandedIn(SoakJob &Job, const SoakCall &Call);
  void call(const std::string &Id, const std::string &Method, std::string Body,
            int DeadlineMs,
            const std::function<void(SoakJob &, const SoakCall &)> &Done);
  std::string bodyOf(const SoakJob &Job) const;
  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Share;
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }

  platform::PlatformCluster &m_Cluster;
  SoakLoadSettings m_Settings;
  std::mt19937_64 m_Random;
  std::vector<std::unique_ptr<LoopHttpClient>> m_Clients;
  std::map<std::string, SoakJob> m_Jobs;
  std::map<std::string, EventLoop::Timer> m_Timers; ///< By job.
  EventLoop::Timer m_Next;
  std::size_t m_OpenCalls = 0;
  bool m_Sending = false;
};

} // namespace auburnhub::soak

#endif
