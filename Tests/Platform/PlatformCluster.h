#ifndef AUBURNHUB_TESTS_PLATFORM_PLATFORMCLUSTER_H
#define AUBURNHUB_TESTS_PLATFORM_PLATFORMCLUSTER_H

#include "FakeExecutor.h"
#include "FakeStore.h"
#include "FaultyProxy.h"
#include "StandInRecords.h"
#include "StoreClient.h"

#include "System/Support/ProcessRunner.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburnhub::platform {

/// Options of a PlatformCluster.
struct PlatformClusterOptions {
  /// Connects the nodes with executors, the store and each other through
  /// proxies, which can inject faults.
  bool m_UsesProxies = false;
  std::string m_LogFolder; ///< For copies of the nodes' logs; may be empty.
  /// Put over the `limits` of the nodes' settings.
  nlohmann::json m_MachineLimits = nlohmann::json::object();
};

/// Stand-ins for the executors and the store on one event loop, and nodes as
/// separate processes, all on loopback. Throws std::runtime_error if a
/// component cannot be set up.
class PlatformCluster {
public:
  static constexpr const char *Service = "tile-orders";
  static constexpr const char *Host = "jobs.example";
  static constexpr const char *Prefix = "/certify/";

  explicit PlatformCluster(const PlatformClusterOptions &Options = {});
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  FakeExecutor &addExecutor(const std::string &Zone = "a");
  void addNode(const std::string &Zone = "a");
  /// Restarts a node whose process has ended, on the same addresses.
  void restartNode(std::size_t Index);
  std::size_t nodes() const { return m_Nodes.size(); }
  std::size_t executors() const { return m_Executors.size(); }
  /// Sends a signal to a node's process.
  void signal(std::size_t Index, int Number) {
    m_Nodes[Index].m_Process->signal(Number);
  }
  bool running(std::size_t Index) const {
    return m_Nodes[Index].m_Process->running();
  }
  pid_t pid(std::size_t Index) const { return m_Nodes[Index].m_Process->pid(); }
  /// Returns the log lines of a node since its last start.
  std::vector<std::string> log(std::size_t Index) const {
    return m_Nodes[Index].m_Process->lines();
  }
  const NodeAddresses &addresses(std::size_t Index) const {
    return m_Nodes[Index].m_Addresses;
  }

  // May be called only if m_UsesProxies is set.
  FaultyProxy &linkProxy(std::size_t Node) {
    return *m_Nodes[Node].m_LinkProxy;
  }
  FaultyProxy &storeProxy(std::size_t Node) {
    return *m_Nodes[Node].m_StoreProxy;
  }
  FaultyProxy &executorProxy(std::size_t Executor) {
    return *m_ExecutorProxies[Executor];
  }
  /// Returns the index of the store's listener that only this node uses.
  std::size_t storeListener(std::size_t Node) const {
    return m_Nodes[Node].m_StoreListener;
  }

  /// Waits until a node has logged an event about a job, and returns a field of
  /// the newest one; null after the time limit of until(). An empty job matches
  /// any.
  nlohmann::json waitForLogField(std::size_t Index, const std::string &Job,
                                 const std::string &Event,
                                 const std::string &Field);

  void publishConfiguration(std::uint64_t Version,
                            const std::string &PathPrefix = Prefix);
  /// Publishes a configuration with limits for callers, and waits until all
  /// nodes have it. Returns false if they do not within 20 s.
  bool publishLimits(std::uint64_t Version, const nlohmann::json &Limits);
  /// Trims all topics that nodes follow, except for the newest records.
  void trimTopics();
  void registerExecutor(const FakeExecutor &Executor,
                        const std::string &State = "ready",
                        const std::string &Zone = "a");
  /// Changes the capacity of an executor and its registration.
  void resizeExecutor(std::size_t Index, std::int64_t CpuMillis);

  /// Runs the event loop until the condition holds. Returns false if it does
  /// not within 20 s.
  bool until(const std::function<bool()> &Condition);
  /// Runs the event loop until every running node is ready; false after 20 s.
  bool untilReady();

  struct Reply {
    std::optional<absl::StatusOr<HttpResponse>> m_Answer;
    bool has(int Status) const {
      return m_Answer && m_Answer->ok() && (*m_Answer)->m_Status == Status;
    }
  };
  /// Sends a request to a node. The reply is set while the event loop runs.
  std::shared_ptr<Reply> call(std::size_t Node, const std::string &Method,
                              const std::string &Path, std::string Body = "",
                              int DeadlineMs = 5000);
  std::shared_ptr<Reply> callAt(const Address &To, const std::string &Method,
                                const std::string &Path, std::string Body = "",
                                int DeadlineMs = 5000);
  /// Submits a job that is not stored (best effort).
  std::shared_ptr<Reply> submit(std::size_t Node, const std::string &Id,
                                int Tasks, int DeadlineMs = 5000);
  /// Submits a job that must be stored.
  std::shared_ptr<Reply> submitStored(std::size_t Node, const std::string &Id,
                                      int Tasks,
                                      const std::string &Spec = "text");
  /// Submits a job that must be stored. Its tasks state the CPU (`cpu`) and the
  /// run time (`ms`) of the spec.
  std::shared_ptr<Reply> submitStoredSpec(std::size_t Node,
                                          const std::string &Id, int Tasks,
                                          const nlohmann::json &Spec);
  /// Queries a node for the state of a stored job; empty unless it answers 200.
  std::string state(std::size_t Node, const std::string &Id);
  /// Queries the readiness address of a node.
  bool isReady(std::size_t Node);

  EventLoop &loop() { return m_Loop; }
  FakeStore &store() { return m_Store; }
  const FakeStore &store() const { return m_Store; }
  FakeExecutor &executor(std::size_t Index) { return *m_Executors[Index]; }
  const FakeExecutor &executor(std::size_t Index) const {
    return *m_Executors[Index];
  }
  std::size_t totalStarts() const;
  std::size_t totalRunning() const;
  /// Returns whether two runs of a task were active at the same time.
  bool hasOverlappingRuns() const;

  /// Grace period of nodes that are started from now on.
  int m_StopGraceSeconds = 6;
  /// Maximum bytes of a record, as the settings of these nodes state it.
  std::size_t m_StoreRecordBytes = 262144;

private:
  struct NodeProcess {
    std::string m_Name;
    std::string m_Zone;
    NodeAddresses m_Addresses;
    std::size_t m_StoreListener = 0;
    std::unique_ptr<FaultyProxy> m_LinkProxy;
    std::unique_ptr<FaultyProxy> m_StoreProxy;
    std::unique_ptr<test::ProcessRunner> m_Process;
  };

  /// Returns a free address that is not assigned to another node of the
  /// cluster.
  Address freeAddress();
  /// Breaks the connections of an executor that has crashed, and registers one
  /// that is back.
  void onExecutorAway(std::size_t Index, bool IsAway, const std::string &Zone);
  /// Writes the settings file of a node and returns its path.
  std::string writeSettings(const NodeProcess &Node) const;
  void start(NodeProcess &Node);

  PlatformClusterOptions m_Options;
  EventLoop m_Loop;
  FakeStore m_Store;
  LoopHttpClient m_Client;
  std::vector<std::unique_ptr<FakeExecutor>> m_Executors;
  std::vector<std::unique_ptr<FaultyProxy>> m_ExecutorProxies;
  std::vector<std::string> m_RegisteredIds; ///< By executor.
  std::vector<NodeProcess> m_Nodes;
  std::set<std::uint16_t> m_Ports; ///< Assigned to nodes.
  std::string m_Folder;            ///< Holds the nodes' settings.
};

} // namespace auburnhub::platform

#endif
