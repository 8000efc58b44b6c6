#ifndef AUBURNHUB_TESTS_PLATFORM_PLATFORMCLUSTER_H
#define AUBURNHUB_TESTS_PLATFORM_PLATFORMCLUSTER_H

#include "FakeExecutor.h"
#include "FakeStore.h"
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

/// Stand-ins of executors and of a store on one event loop, and nodes as
/// processes of their own, all on loopback.
class PlatformCluster {
public:
  static constexpr const char *Service = "tile-orders";
  static constexpr const char *Host = "jobs.example";
  static constexpr const char *Prefix = "/certify/";

  PlatformCluster();
  ~PlatformCluster();

  FakeExecutor &addExecutor(const std::string &Zone = "a");
  void addNode(const std::string &Zone = "a");
  /// Sends a signal to a node's process.
  void signal(std::size_t Index, int Number) { m_Nodes[Index]->signal(Number); }
  bool running(std::size_t Index) const { return m_Nodes[Index]->running(); }
  /// Returns what a node has logged.
  std::vector<std::string> log(std::size_t Index) const {
    return m_Nodes[Index]->lines();
  }

  /// Waits until a node has logged an event of a job, and returns a field of
  /// it. An empty job stands for any.
  nlohmann::json loggedOf(std::size_t Index, const std::string &Job,
                          const std::string &Event, const std::string &Field);

  void publishConfiguration(std::uint64_t Version,
                            const std::string &PathPrefix = Prefix);
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
  std::size_t startsInAll() const;
  std::size_t runningInAll() const;
  /// Tells whether two runs of one task overlapped on any executors.
  bool anyOverlap() const;

  /// Used for nodes that are added later.
  int m_StopGraceSeconds = 6;

private:
  EventLoop m_Loop;
  FakeStore m_Store;
  LoopHttpClient m_Client;
  std::vector<std::unique_ptr<FakeExecutor>> m_Executors;
  /// Returns an address that no other node of the cluster was given.
  Address freeAddress();
  std::string writeSettings(const std::string &Name, const std::string &Zone,
                            const NodeAddresses &Where) const;

  std::vector<std::unique_ptr<test::ProcessRunner>> m_Nodes;
  std::vector<NodeAddresses> m_Addresses;
  std::set<std::uint16_t> m_Ports; ///< Given to nodes.
  std::string m_Folder;            ///< Of the nodes' settings.
};

} // namespace auburnhub::platform

#endif
