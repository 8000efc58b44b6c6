#include "System/Support/Cluster.h"

#include "System/Support/FreePort.h"
#include "System/Support/HttpCall.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/File.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace auburnhub::test {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> DataCentreNames = {
    "brisbane", "ipswich", "toowoomba"};
constexpr std::array Roles = {Role::Control, Role::Dispatch, Role::Entry};
constexpr Milliseconds PollPeriod{20};
constexpr Milliseconds ReadyLimit{60000};
constexpr Milliseconds ProbeTimeout{2000};

std::string dataCentreName(int Index) {
  const auto Place = static_cast<std::size_t>(Index);
  if (Place < DataCentreNames.size())
    return std::string(DataCentreNames[Place]);
  return "data-centre-" + std::to_string(Index + 1);
}

bool isReady(const std::string &Address) {
  auto Reply = callHttp(Address, {"GET", "/readyz", {}, ""}, ProbeTimeout);
  return Reply.ok() && Reply->m_Status == 200;
}

absl::StatusOr<std::unique_ptr<ProcessRunner>>
startListening(const std::string &Program,
               const std::vector<std::string> &Arguments, Json &Http) {
  auto Runner = ProcessRunner::start(Program, Arguments);
  if (!Runner.ok())
    return Runner;
  auto Line = (*Runner)->waitForEvent("listening");
  if (!Line.ok())
    return Line.status();
  Http = (*Line)["http"];
  return Runner;
}

/// Returns whether the kernel has stopped all of a process.
bool standsStill(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Number;
  std::string Name;
  std::string State;
  File >> Number >> Name >> State;
  return State == "T";
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace

std::string_view roleName(Role Which) {
  static constexpr std::array<std::string_view, 3> Names = {
      "control", "dispatch", "entry"};
  return Names[static_cast<std::size_t>(Which)];
}

absl::StatusOr<std::unique_ptr<Cluster>>
Cluster::start(const ClusterOptions &Options) {
  std::unique_ptr<Cluster> Made(new Cluster(Options));
  absl::Status Status = Made->startPlatform();
  Status.Update(Made->startEndpoints());
  Status.Update(Made->planVms());
  if (Status.ok())
    Status = Made->publishVms();
  if (Status.ok())
    Status = Made->publish(Made->configuration(), -1).status();
  if (Status.ok())
    Status = Made->startVms();
  if (!Status.ok())
    return Status;
  return Made;
}

Cluster::Cluster(const ClusterOptions &Options) : m_Options(Options) {
  Poco::File(m_Folder.path()).createDirectories();
}

absl::Status Cluster::startPlatform() {
  Json Http;
  auto Runner = startListening(program("fake-platform"),
                               m_Options.m_PlatformArguments, Http);
  if (!Runner.ok())
    return Runner.status();
  m_Platform = std::move(*Runner);
  m_PlatformAddress = Http;
  return absl::OkStatus();
}

absl::Status Cluster::startEndpoints() {
  absl::Status Status;
  for (int Index = 0; Index < m_Options.m_DataCentres; ++Index)
    for (const ClusterService &Service : m_Options.m_Services)
      Status.Update(startService(Service, dataCentreName(Index)));
  return Status;
}

absl::Status Cluster::startService(const ClusterService &Service,
                                   const std::string &DataCentre) {
  const std::string Name = DataCentre + "-" + Service.m_Name;
  m_Journals.push_back(file(Name + ".journal"));
  std::vector<std::string> Arguments = {
      "--name",    Name,
      "--count",   std::to_string(Service.m_Endpoints),
      "--slots",   std::to_string(Service.m_Slots),
      "--journal", m_Journals.back()};
  if (!Service.m_Speeds.empty())
    Arguments.emplace_back("--speed");
  Arguments.insert(Arguments.end(), Service.m_Speeds.begin(),
                   Service.m_Speeds.end());
  Json Http;
  auto Runner = startListening(program("fake-endpoint"), Arguments, Http);
  if (!Runner.ok())
    return Runner.status();
  m_EndpointRunners.push_back(std::move(*Runner));
  for (std::size_t Index = 0; Index < Http.size(); ++Index)
    m_Endpoints.push_back({Name + "-" + std::to_string(Index), Service.m_Name,
                           DataCentre, Http[Index], Http[0], Index,
                           m_EndpointRunners.size() - 1});
  return absl::OkStatus();
}

absl::Status Cluster::planVms() {
  absl::Status Status;
  auto Take = [&Status] {
    absl::StatusOr<std::string> Address = takeFreeAddress();
    Status.Update(Address.status());
    return Address.value_or("");
  };
  for (int Index = 0; Index < m_Options.m_DataCentres; ++Index)
    for (int Vm = 1; Vm <= m_Options.m_VmsPerDataCentre; ++Vm) {
      const std::string DataCentre = dataCentreName(Index);
      ClusterVm Planned{DataCentre + "-" + std::to_string(Vm),
                        DataCentre,
                        Take(),
                        Take(),
                        {}};
      for (Role Which : Roles)
        Planned.m_Http[Which] = Take();
      m_Vms.push_back(std::move(Planned));
    }
  return Status;
}

absl::Status Cluster::startVms() {
  absl::Status Status;
  for (Role Which : Roles)
    for (std::size_t Vm = 0; Vm < m_Vms.size(); ++Vm)
      Status.Update(startProcess(Vm, Which));
  for (std::size_t Vm = 0; Vm < m_Vms.size() && Status.ok(); ++Vm)
    for (Role Which : Roles)
      Status.Update(waitReady(Vm, Which));
  return Status;
}

const std::string &Cluster::http(std::size_t Vm, Role Which) const {
  return m_Vms.at(Vm).m_Http.at(Which);
}

ProcessRunner &Cluster::process(std::size_t Vm, Role Which) {
  return *m_Processes.at({Vm, Which}).back();
}

absl::Status Cluster::startProcess(std::size_t Vm, Role Which) {
  absl::StatusOr<std::string> Settings = writeSettings(m_Vms.at(Vm), Which);
  if (!Settings.ok())
    return Settings.status();
  const std::string Name(roleName(Which));
  const std::vector<std::string> Arguments = {"--settings", *Settings};
  auto Runner = ProcessRunner::start(program("auburnhub-" + Name), Arguments);
  if (!Runner.ok())
    return Runner.status();
  m_Processes[{Vm, Which}].push_back(std::move(*Runner));
  return absl::OkStatus();
}

void Cluster::stopProcess(std::size_t Vm, Role Which) {
  noteEnd(Vm, Which, true);
  process(Vm, Which).signal(SIGTERM);
}

void Cluster::killProcess(std::size_t Vm, Role Which) {
  noteEnd(Vm, Which, false);
  process(Vm, Which).signal(SIGKILL);
}

void Cluster::noteEnd(std::size_t Vm, Role Which, bool Planned) {
  const int Life = static_cast<int>(m_Processes.at({Vm, Which}).size()) - 1;
  m_Ends.push_back({m_Vms.at(Vm).m_Name, std::string(roleName(Which)), Life,
                    Planned, TimerService::wallMilliseconds()});
}

absl::Status Cluster::pauseProcess(std::size_t Vm, Role Which) {
  ProcessRunner &Paused = process(Vm, Which);
  m_PausedSince[{Vm, Which}] = TimerService::wallMilliseconds();
  Paused.signal(SIGSTOP);
  const MonotonicTime Due = TimerService::now() + ReadyLimit;
  while (!standsStill(Paused.pid())) {
    if (TimerService::now() > Due)
      return makeFailure(FailureCode::Timeout, "the process does not stop");
    std::this_thread::sleep_for(PollPeriod);
  }
  return absl::OkStatus();
}

void Cluster::resumeProcess(std::size_t Vm, Role Which) {
  m_Isolations.push_back({m_Vms.at(Vm).m_Name, m_PausedSince.at({Vm, Which}),
                          TimerService::wallMilliseconds()});
  process(Vm, Which).signal(SIGCONT);
}

absl::Status Cluster::waitReady(std::size_t Vm, Role Which) {
  const std::string &Address = http(Vm, Which);
  const std::string Name =
      std::string(roleName(Which)) + " of " + m_Vms.at(Vm).m_Name;
  const MonotonicTime Due = TimerService::now() + ReadyLimit;
  while (!isReady(Address)) {
    if (!process(Vm, Which).running())
      return makeFailure(FailureCode::Internal, Name + " has ended");
    if (TimerService::now() >= Due)
      return makeFailure(FailureCode::Timeout, Name + " did not get ready");
    std::this_thread::sleep_for(PollPeriod); // Nothing announces readiness.
  }
  return absl::OkStatus();
}

absl::Status Cluster::tellPlatform(const std::string &Path, const Json &Body) {
  return postJson(m_PlatformAddress, Path, Body).status();
}

absl::Status Cluster::setMode(std::size_t Endpoint, const std::string &Mode,
                              double Factor) {
  const ClusterEndpoint &Told = m_Endpoints.at(Endpoint);
  return postJson(
             Told.m_TestAddress, "/test/mode",
             {{"endpoint", Told.m_Index}, {"mode", Mode}, {"factor", Factor}})
      .status();
}

void Cluster::killEndpoint(std::size_t Endpoint) {
  ProcessRunner &Killed = *m_EndpointRunners[m_Endpoints[Endpoint].m_Runner];
  Killed.signal(SIGKILL);
  Killed.wait().IgnoreError();
}

std::int64_t Cluster::endpointCount(const std::string &Service,
                                    const std::string &What) const {
  std::int64_t Sum = 0;
  for (const ClusterEndpoint &Asked : m_Endpoints) {
    // The first endpoint of a process tells the sum over all of them.
    if (Asked.m_Service != Service || Asked.m_Index != 0)
      continue;
    auto Reply = callHttp(Asked.m_TestAddress, {"GET", "/test/stats", {}, ""});
    if (Reply.ok() && Reply->m_Status == 200)
      Sum += Reply->json()[What].get<std::int64_t>();
  }
  return Sum;
}

absl::StatusOr<Json> Cluster::readStream(const std::string &Stream) const {
  auto Reply = callHttp(
      m_PlatformAddress,
      {"GET", "/v1/streams/" + Stream + "/records?from=0&limit=10000", {}, ""});
  if (!Reply.ok())
    return Reply.status();
  return Reply->json()["records"];
}

Json Cluster::status(std::size_t Vm, Role Which) const {
  auto Reply =
      callHttp(http(Vm, Which), {"GET", "/v1/status", {}, ""}, ProbeTimeout);
  return Reply.ok() ? Reply->json().value("role", Json()) : Json();
}

absl::Status Cluster::publishVms(const std::vector<std::string> &Leaving) {
  Json List = Json::array();
  auto Add = [&](const std::string &Name, const std::string &DataCentre,
                 const std::string &Kind, const std::string &Address) {
    const bool Leaves = std::ranges::find(Leaving, Name) != Leaving.end();
    List.push_back({{"vm", Name},
                    {"data_centre", DataCentre},
                    {"role", Kind},
                    {"address", Address},
                    {"state", Leaves ? "leaving" : "live"}});
  };
  for (const ClusterVm &Vm : m_Vms)
    Add(Vm.m_Name, Vm.m_DataCentre, "entry", Vm.m_ControlLink);
  for (const ClusterEndpoint &Endpoint : m_Endpoints)
    Add(Endpoint.m_Name, Endpoint.m_DataCentre, "endpoint", Endpoint.m_Address);
  return tellPlatform("/test/vms", {{"vms", std::move(List)}});
}

Json Cluster::configuration() const {
  Json Services = Json::object();
  for (const ClusterService &Service : m_Options.m_Services) {
    Json Endpoints = Json::array();
    for (const ClusterEndpoint &Endpoint : m_Endpoints)
      if (Endpoint.m_Service == Service.m_Name)
        Endpoints.push_back({{"address", Endpoint.m_Address},
                             {"slots", Service.m_Slots},
                             {"data_centre", Endpoint.m_DataCentre},
                             {"vm", Endpoint.m_Name}});
    Services[Service.m_Name] = {{"repeatable", Service.m_Repeatable},
                                {"endpoints", std::move(Endpoints)}};
  }
  Json Teams = Json::object();
  for (const std::string &Team : m_Options.m_Teams)
    Teams[Team] = {{"weight", 1}, {"max_queued", m_Options.m_MaxQueued}};
  return {{"services", std::move(Services)},
          {"teams", std::move(Teams)},
          {"limits", m_Options.m_Limits},
          {"policy", m_Options.m_Policy}};
}

absl::StatusOr<std::int64_t> Cluster::publish(const Json &Body,
                                              std::int64_t Base) {
  const Json Record = {
      {"schema", 1},
      {"change_id",
       Poco::UUIDGenerator::defaultGenerator().createRandom().toString()},
      {"base", Base},
      {"author", "test"},
      {"body", Body}};
  auto Reply = postJson(m_PlatformAddress, "/v1/streams/configuration/records",
                        {{"records", {Record}}});
  if (!Reply.ok())
    return Reply.status();
  return (*Reply)["first"].get<std::int64_t>();
}

absl::Status Cluster::collect(History &Into) const {
  absl::Status Status;
  for (const std::string &Journal : m_Journals)
    Status.Update(Into.addLines(readFile(Journal)));
  Into.m_Ends.insert(Into.m_Ends.end(), m_Ends.begin(), m_Ends.end());
  Into.m_Isolations.insert(Into.m_Isolations.end(), m_Isolations.begin(),
                           m_Isolations.end());
  for (const auto &[Key, Runners] : m_Processes)
    for (std::size_t Life = 0; Life < Runners.size(); ++Life)
      for (const std::string &Line : Runners[Life]->lines())
        Status.Update(Into.addLogLine(Line, static_cast<int>(Life)));
  return Status;
}

Json Cluster::settings(const ClusterVm &Vm, Role Which) const {
  Json Settings = {{"schema", 1},
                   {"vm", Vm.m_Name},
                   {"data_centre", Vm.m_DataCentre},
                   {"log", {{"level", m_Options.m_LogLevel}}},
                   {"http", Vm.m_Http.at(Which)}};
  if (Which != Role::Control)
    Settings["control"] = Vm.m_ControlLink;
  if (Which == Role::Dispatch)
    Settings["link"] = Vm.m_DispatchLink;
  if (Which == Role::Control) {
    Settings["link"] = Vm.m_ControlLink;
    Settings["platform"] = m_PlatformAddress;
    Settings["seeds"] = Json::array();
    for (const ClusterVm &Peer : m_Vms)
      if (Peer.m_Name != Vm.m_Name)
        Settings["seeds"].push_back(Peer.m_ControlLink);
    Settings.update(m_Options.m_ControlSettings);
  }
  return Settings;
}

/// Writes the settings as JSON, which is YAML.
absl::StatusOr<std::string> Cluster::writeSettings(const ClusterVm &Vm,
                                                   Role Which) {
  const std::string Path =
      file(Vm.m_Name + "-" + std::string(roleName(Which)) + ".yaml");
  std::ofstream File(Path, std::ios::trunc);
  File << settings(Vm, Which).dump(2) << std::endl;
  if (!File)
    return makeFailure(FailureCode::Internal, "cannot write " + Path);
  return Path;
}

std::string Cluster::program(const std::string &Name) const {
  return m_Options.m_Binaries + "/" + Name;
}

std::string Cluster::file(const std::string &Name) const {
  return m_Folder.path() + "/" + Name;
}

} // namespace auburnhub::test
