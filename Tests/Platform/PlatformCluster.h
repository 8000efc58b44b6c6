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

/// How the parts of a cluster are connected.
struct PlatformClusterOptions {
  /// Executors, the store and the links of each node are reached through
  /// proxies, which can harm the connections.
  bool m_UsesProxies = false;
  std::string
      m_LogFolder; ///< Nodes' logs are also written there, unless empty.
};

/// Stand-ins of executors and of a store on one event loop, and nodes as
/// processes of their own, all on loopback. What cannot be set up throws
/// std::runtime_error.
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
  /// Starts a node again that has ended, on the same addresses.
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
  /// Returns what a node has logged since it was started last.
  std::vector<std::string> log(std::size_t Index) const {
    return m_Nodes[Index].m_Process->lines();
  }
  const NodeAddresses &addresses(std::size_t Index) const {
    return m_Nodes[Index].m_Where;
  }

  // With proxies only.
  FaultyProxy &linkProxy(std::size_t Node) { return *m_Nodes[Node].m_Links; }
  FaultyProxy &storeProxy(std::size_t Node) { return *m_Nodes[Node].m_Store; }
  FaultyProxy &executorProxy(std::size_t Executor) {
    return *m_ExecutorProxies[Executor];
  }
  /// Returns the store's door that only this node uses.
  std::size_t storeDoor(std::size_t Node) const { return m_Nodes[Node].m_Door; }

  /// Waits until a node has logged an event of a job, and returns a field of
  /// it. An empty job stands for any.
  nlohmann::json loggedOf(std::size_t Index, const std::string &Job,
                          const std::string &Event, const std::string &Field);

  void publishConfiguration(std::uint64_t Version,
                            const std::string &PathPrefix = Prefix);
  /// Drops the history of all that is followed; the newest records stay.
  void dropHistory();
  void registerExecutor(const FakeExecutor &Executor,
                        const std::string &State = "ready",
                        const std::string &Zone = "a");

  /// Runs the loop until the condition holds; false if it never did.
  bool until(const std::function<bool()> &Condition);
  /// Runs the loop until every node that runs is ready.
  bool untilReady();

  struct Reply {
    std::optional<absl::StatusOr<HttpResponse>> m_Answer;
    bool has(int Status) const {
      return m_Answer && m_Answer->ok() && (*m_Answer)->m_Status == Status;
    }
  };
  /// Sends a call to a node; the reply fills in while the loop runs.
  std::shared_ptr<Reply> call(std::size_t Node, const std::string &Method,
                              const std::string &Path, std::string Body = "",
                              int DeadlineMs = 5000);
  std::shared_ptr<Reply> callAt(const Address &To, const std::string &Method,
                                const std::string &Path, std::string Body = "",
                                int DeadlineMs = 5000);
  /// Hands in a job of some tasks.
  std::shared_ptr<Reply> submit(std::size_t Node, const std::string &Id,
                                int Tasks, int DeadlineMs = 5000);
  /// Hands in a job that must be stored.
  std::shared_ptr<Reply> submitStored(std::size_t Node, const std::string &Id,
                                      int Tasks);
  /// Asks a node for the state of a stored job; empty if it gives none.
  std::string state(std::size_t Node, const std::string &Id);
  /// Asks a node whether it is ready.
  bool isReady(std::size_t Node);

  EventLoop &loop() { return m_Loop; }
  FakeStore &store() { return m_Store; }
  FakeExecutor &executor(std::size_t Index) { return *m_Executors[Index]; }
  const FakeExecutor &executor(std::size_t Index) const {
    return *m_Executors[Index];
  }
  std::size_t startsInAll() const;
  std::size_t runningInAll() const;
  /// Tells whether two runs of one task overlapped on any executors.
  bool anyOverlap() const;

  /// Used for nodes that are added later.
  int m_StopGraceSeconds = 6;

private:
  struct NodeProcess {
    std::string m_Name;
    std::string m_Zone;
    NodeAddresses m_Where;
    std::size_t m_Door = 0;
    std::unique_ptr<FaultyProxy> m_Links;
    std::unique_ptr<FaultyProxy> m_Store;
    std::unique_ptr<test::ProcessRunner> m_Process;
  };

  /// Returns an address that no other node of the cluster was given.
  Address freeAddress();
  std::string writeSettings(const NodeProcess &Node) const;
  void start(NodeProcess &Node);

  PlatformClusterOptions m_Options;
  EventLoop m_Loop;
  FakeStore m_Store;
  LoopHttpClient m_Client;
  std::vector<std::unique_ptr<FakeExecutor>> m_Executors;
  std::vector<std::unique_ptr<FaultyProxy>> m_ExecutorProxies;
  std::vector<NodeProcess> m_Nodes;
  std::set<std::uint16_t> m_Ports; ///< Given to nodes.
  std::string m_Folder;            ///< Of the nodes' settings.
};

} // namespace auburnhub::platform

#endif
