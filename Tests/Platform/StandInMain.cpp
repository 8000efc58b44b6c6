#include "FakeExecutor.h"
#include "FakeStore.h"
#include "StandInRecords.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

using namespace auburnhub;
using namespace auburnhub::platform;

namespace {

constexpr const char *Service = "tile-orders";
constexpr const char *Host = "jobs.example";
constexpr const char *Prefix = "/certify/";
constexpr const char *Zone = "brisbane";
constexpr int Nodes = 2;
constexpr int Executors = 2;
constexpr EventLoop::Duration RunTime{1500};

Address freeAddress(EventLoop &Loop) {
  using boost::asio::ip::tcp;
  tcp::acceptor Probe(
      Loop.io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", Probe.local_endpoint().port()};
}

/// Writes one settings file for each node that the user of this program may
/// start. Returns the paths of the files and the nodes' addresses.
nlohmann::json describeNodes(EventLoop &Loop, const std::string &Folder,
                             const Address &Store) {
  nlohmann::json Result = nlohmann::json::array();
  for (int I = 0; I < Nodes; ++I) {
    NodeDescription Node;
    Node.m_Name = "node-" + std::to_string(I);
    Node.m_Zone = Zone;
    Node.m_Addresses = {freeAddress(Loop), freeAddress(Loop),
                        freeAddress(Loop)};
    Node.m_Store = Store;
    std::string Path = Folder + "/" + Node.m_Name + ".yaml";
    std::ofstream(Path) << settingsFile(Node).dump();
    Result.push_back({{"settings", Path},
                      {"callers", Node.m_Addresses.m_Callers.str()},
                      {"readiness", Node.m_Addresses.m_Readiness.str()}});
  }
  return Result;
}

int run(const std::string &Folder) {
  EventLoop Loop;
  FakeStore Store(Loop);
  if (!Store.listen({"127.0.0.1", 0}).ok())
    return EXIT_FAILURE;
  Store.put("keyed.op", "config",
            configurationRecord(1, Host, Prefix, Service).dump());
  std::vector<std::unique_ptr<FakeExecutor>> Workers;
  for (int I = 0; I < Executors; ++I) {
    Workers.push_back(
        std::make_unique<FakeExecutor>(Loop, "i-" + std::to_string(I)));
    FakeExecutor &Added = *Workers.back();
    if (!Added.listen({"127.0.0.1", 0}).ok())
      return EXIT_FAILURE;
    Added.behaviour().m_RunTime = RunTime;
    Store.put("keyed.servers", Added.id(),
              Added.registration(Service, Zone, "ready"));
  }
  nlohmann::json Description = {
      {"host", Host},
      {"prefix", Prefix},
      {"nodes", describeNodes(Loop, Folder, Store.address())}};
  std::cout << Description.dump() << std::endl;
  boost::asio::signal_set Signals(Loop.io(), SIGTERM, SIGINT);
  Signals.async_wait([&Loop](const auto &, int) { Loop.stop(); });
  Loop.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "Usage: fake-users-platform FOLDER\n\n"
                 "Stands in for the users' platform with two workers. Writes "
                 "the settings of two nodes\nto FOLDER and one line of JSON "
                 "that describes them.\n";
    return 2;
  }
  return run(Argv[1]);
}
