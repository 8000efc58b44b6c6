#include "Fakes/FakePlatform.h"
#include "Fakes/FakeServer.h"
#include "Fakes/StandInProgram.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/ThreadPool.h>

#include <iostream>

using namespace auburnhub;
using namespace auburnhub::test;

namespace po = boost::program_options;

namespace {

constexpr int MaxConnections = 2000;
constexpr int IdleSeconds = 60;
constexpr int StackBytes = 256 * 1024;

po::options_description platformOptions() {
  po::options_description Options("fake-platform: stand-in for the platform");
  auto Add = Options.add_options();
  Add("host", po::value<std::string>()->default_value("127.0.0.1"),
      "IP number to listen on");
  Add("port", po::value<std::uint16_t>()->default_value(0),
      "port to listen on; 0 for a free one");
  Add("append-ms", po::value<int>()->default_value(5),
      "duration of a synced append (ms)");
  Add("appends-per-s", po::value<int>()->default_value(500),
      "most appends begun in a second");
  Add("keep", po::value<std::size_t>()->default_value(100000),
      "records kept of each stream");
  Add("vm-lag-ms", po::value<int>()->default_value(0),
      "age at which a VM list is shown (ms)");
  return Options;
}

FakePlatformOptions readOptions(const po::variables_map &Values) {
  FakePlatformOptions Options;
  Options.m_AppendTime = Milliseconds(Values["append-ms"].as<int>());
  Options.m_AppendsPerSecond = std::max(1, Values["appends-per-s"].as<int>());
  Options.m_Keep = Values["keep"].as<std::size_t>();
  Options.m_VmLag = Milliseconds(Values["vm-lag-ms"].as<int>());
  return Options;
}

int startPlatform(const po::variables_map &Values) {
  static Poco::ThreadPool Pool(2, MaxConnections, IdleSeconds, StackBytes);
  static FakePlatform Platform(readOptions(Values));
  static auto Server = FakeServer::start(
      Values["host"].as<std::string>(), Values["port"].as<std::uint16_t>(),
      Pool, [](Exchange &Call) { Platform.handle(Call); });
  if (!Server.ok()) {
    std::cerr << failureDetail(Server.status()) << '\n';
    return 1;
  }
  nlohmann::json Line = {{"event", "listening"},
                         {"http", (*Server)->address()}};
  std::cout << Line.dump() << std::endl;
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runStandIn(Argc, Argv, platformOptions(), startPlatform);
}
