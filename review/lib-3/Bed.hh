#ifndef AUBURNHUB_REVIEW_BED_H
#define AUBURNHUB_REVIEW_BED_H

#include "CaseExecutor.hh"
#include "LinkProxy.hh"

#include "FakeStore.h"
#include "FaultyProxy.h"
#include "StandInRecords.h"

#include "auburnhub/Net/LoopHttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

using auburnhub::Address;
using auburnhub::EventLoop;
using auburnhub::TimePoint;
using auburnhub::platform::FakeStore;

/// The site is a small deployment: these are the bounds of qthca-sched.
inline constexpr double ContactMs = 3000;
inline constexpr double VisibleMs = 3000;

struct ExecutorPlace {
  std::string m_Zone;
  std::string m_Rack;
};

struct BedOptions {
  std::vector<std::string> m_NodeZones;
  std::vector<ExecutorPlace> m_Executors;
  /// Connects the nodes with each other through proxies, so that they can be
  /// cut from each other.
  bool m_HasLinkProxies = false;
};

/// A platform of stand-ins on one event loop, and nodes as separate processes,
/// all on loopback addresses. Whatever cannot be set up throws.
class Bed {
public:
  static constexpr const char *Service = "tile-orders";
  static constexpr const char *Host = "jobs.example";
  static constexpr const char *Prefix = "/certify/";

  explicit Bed(BedOptions Options);
  ~Bed();

  EventLoop &loop() { return m_Loop; }
  FakeStore &store() { return m_Store; }
  CaseExecutor &executor(std::size_t I) { return *m_Executors[I].m_Executor; }
  std::size_t executors() const { return m_Executors.size(); }
  std::size_t nodes() const { return m_Nodes.size(); }

  void startNode(std::size_t I);
  void signal(std::size_t I, int Number);
  bool running(std::size_t I) const;
  TimePoint startedAt(std::size_t I) const { return m_Nodes[I].m_StartedAt; }

  /// Cuts a node from all other nodes, or connects it again.
  void cut(std::size_t I, bool Value);

  /// An executor crashes and is silent. It returns as a new incarnation after
  /// DarkMs, or never (0).
  void crash(std::size_t I, int DarkMs);
  bool isUp(std::size_t I) const { return !m_Executors[I].m_IsDown; }

  struct Answer {
    int m_Status = 0; ///< 0: none.
    std::string m_Body;
  };
  using Done = std::function<void(const Answer &)>;
  void call(std::size_t Node, const std::string &Method,
            const std::string &Path, const std::string &Body, int DeadlineMs,
            Done OnAnswer);
  /// Makes a call and waits for its answer.
  Answer ask(std::size_t Node, const std::string &Method,
             const std::string &Path, const std::string &Body = "",
             int DeadlineMs = 1500);
  /// Runs the loop until the condition holds. Returns false after LimitMs.
  bool until(const std::function<bool()> &Condition, double LimitMs);
  void waitMs(double Ms);
  bool untilReady(double LimitMs = 15000);
  /// Waits until all nodes have read the directory of nodes in the store within
  /// a second, which each does every 5 s. Returns false after 12 s.
  bool untilDirectoryRead();

  /// Milliseconds since the start of the case.
  double nowMs() const { return atMs(EventLoop::now()); }
  double atMs(TimePoint At) const;
  /// Adds a line to the record.
  void note(const std::string &Text);
  /// Writes the record, with what the executors ran, in the order of time.
  void writeRecord(const std::string &Path);

  /// Whether a task has ever started, whether a run of it is active and whether
  /// one has ended `done`, as the executors saw it.
  struct TaskView {
    bool m_HasStarted = false;
    int m_Active = 0;
    bool m_IsDone = false;
  };
  /// By task name.
  std::map<std::string, TaskView> tasks() const;

private:
  struct ExecutorSlot {
    std::unique_ptr<CaseExecutor> m_Executor;
    ExecutorPlace m_Place;
    bool m_IsDown = false;
    EventLoop::Timer m_Beat;
    EventLoop::Timer m_Expiry;
  };
  struct NodeSlot {
    std::string m_Name;
    std::string m_Zone;
    auburnhub::platform::NodeAddresses m_Addresses;
    std::unique_ptr<LinkProxy> m_Links;
    pid_t m_Pid = -1;
    bool m_HasStarted = false;
    TimePoint m_StartedAt;
  };

  void beat(std::size_t I);
  std::string writeSettings(std::size_t I) const;
  int findDialer(std::uint16_t Port, std::uint16_t ProxyPort) const;

  BedOptions m_Options;
  EventLoop m_Loop;
  FakeStore m_Store;
  /// Delays the store's answers, as the site states.
  auburnhub::platform::FaultyProxy m_StorePath;
  auburnhub::LoopHttpClient m_Client;
  std::vector<ExecutorSlot> m_Executors;
  std::vector<NodeSlot> m_Nodes;
  std::set<std::size_t> m_Cut;
  std::string m_Folder;
  TimePoint m_Begin;
  std::vector<std::pair<double, std::string>> m_Notes;
};

} // namespace review

#endif
