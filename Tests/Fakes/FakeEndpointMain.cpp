#include "Fakes/FakeEndpoint.h"
#include "Fakes/FakeServer.h"
#include "Fakes/StandInProgram.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/ThreadPool.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <vector>

using namespace auburnhub;
using namespace auburnhub::test;

namespace po = boost::program_options;

namespace {

constexpr int MaxConnections = 4000;
constexpr int IdleSeconds = 60;
constexpr int StackBytes = 128 * 1024;

/// The endpoints that one process serves, and their servers. Lives until the
/// process ends.
class EndpointGroup {
public:
  explicit EndpointGroup(const std::string &JournalPath)
      : m_Pool(2, MaxConnections, IdleSeconds, StackBytes),
        m_Journal(JournalPath) {}

  absl::Status add(const FakeEndpointOptions &Options, const std::string &Host,
                   std::uint16_t Port) {
    m_Endpoints.push_back(std::make_unique<FakeEndpoint>(Options, m_Journal));
    FakeEndpoint &Endpoint = *m_Endpoints.back();
    auto Server = FakeServer::start(
        Host, Port, m_Pool,
        [this, &Endpoint](Exchange &Call) { handle(Endpoint, Call); });
    if (!Server.ok())
      return Server.status();
    m_Addresses.push_back((*Server)->address());
    m_Servers.push_back(std::move(*Server));
    return absl::OkStatus();
  }

  nlohmann::json addresses() const { return m_Addresses; }

private:
  void handle(FakeEndpoint &Endpoint, Exchange &Call) {
    if (Call.path() == "/test/mode")
      return setMode(Call);
    if (Call.path() == "/test/stats")
      return showStats(Call);
    Endpoint.handle(Call);
  }

  void setMode(Exchange &Call) {
    absl::StatusOr<nlohmann::json> Body = Call.readJson();
    if (!Body.ok())
      return Call.replyBad(Body.status());
    auto Mode = endpointModeFromName(Body->value("mode", ""));
    const std::size_t Index = Body->value("endpoint", std::size_t{0});
    if (!Mode || Index >= m_Endpoints.size())
      return Call.replyJson(400, {{"error", "no such mode or endpoint"}});
    m_Endpoints[Index]->setMode(*Mode, Body->value("factor", 1.0));
    Call.replyJson(200, nlohmann::json::object());
  }

  void showStats(Exchange &Call) {
    nlohmann::json Total = {
        {"starts", 0}, {"finishes", 0}, {"refusals", 0}, {"running", 0}};
    nlohmann::json Each = nlohmann::json::array();
    for (const auto &Endpoint : m_Endpoints) {
      nlohmann::json Stats = Endpoint->stats();
      for (auto &[Name, Sum] : Total.items())
        Sum = Sum.get<std::int64_t>() + Stats[Name].get<std::int64_t>();
      Each.push_back(std::move(Stats));
    }
    Total["endpoints"] = std::move(Each);
    Call.replyJson(200, Total);
  }

  Poco::ThreadPool m_Pool;
  EndpointJournal m_Journal;
  std::vector<std::unique_ptr<FakeEndpoint>> m_Endpoints;
  std::vector<std::string> m_Addresses;
  std::vector<std::unique_ptr<FakeServer>> m_Servers;
};

po::options_description endpointOptions() {
  po::options_description Options("fake-endpoint: stand-in for endpoints");
  auto Add = Options.add_options();
  Add("host", po::value<std::string>()->default_value("127.0.0.1"),
      "IP number to listen on");
  Add("port", po::value<std::uint16_t>()->default_value(0),
      "port of the first endpoint, the others follow; 0 for free ones");
  Add("count", po::value<int>()->default_value(1), "number of endpoints");
  Add("name", po::value<std::string>()->default_value("endpoint"),
      "name in the journal, where -INDEX follows it");
  Add("slots", po::value<int>()->default_value(8),
      "most tasks that run at once on an endpoint");
  Add("speed", po::value<std::vector<double>>()->multitoken(),
      "divides run times; several values are given to the endpoints in turn");
  Add("default-ms", po::value<int>()->default_value(1),
      "run time of a body that names none (ms)");
  Add("journal", po::value<std::string>()->default_value(""),
      "file to append a line to for each start and finish");
  return Options;
}

FakeEndpointOptions readOptions(const po::variables_map &Values, int Index) {
  FakeEndpointOptions Options;
  Options.m_Name =
      Values["name"].as<std::string>() + "-" + std::to_string(Index);
  Options.m_Slots = Values["slots"].as<int>();
  Options.m_DefaultRun = Milliseconds(Values["default-ms"].as<int>());
  if (Values.contains("speed")) {
    const auto &Speeds = Values["speed"].as<std::vector<double>>();
    Options.m_Speed = Speeds[static_cast<std::size_t>(Index) % Speeds.size()];
  }
  return Options;
}

int startEndpoints(const po::variables_map &Values) {
  static EndpointGroup Group(Values["journal"].as<std::string>());
  const auto FirstPort = Values["port"].as<std::uint16_t>();
  for (int Index = 0; Index < Values["count"].as<int>(); ++Index) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort == 0 ? 0 : FirstPort + Index);
    absl::Status Added = Group.add(readOptions(Values, Index),
                                   Values["host"].as<std::string>(), Port);
    if (!Added.ok()) {
      std::cerr << failureDetail(Added) << '\n';
      return 1;
    }
  }
  nlohmann::json Line = {{"event", "listening"}, {"http", Group.addresses()}};
  std::cout << Line.dump() << std::endl;
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  return runStandIn(Argc, Argv, endpointOptions(), startEndpoints);
}
