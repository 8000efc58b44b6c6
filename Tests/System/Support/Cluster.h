#ifndef AUBURNHUB_SYSTEM_SUPPORT_CLUSTER_H
#define AUBURNHUB_SYSTEM_SUPPORT_CLUSTER_H

#include "System/Support/History.h"
#include "System/Support/ProcessRunner.h"

#include "absl/status/statusor.h"
#include <Poco/TemporaryFile.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub::test {

/// A service and the executors that each data centre has for it.
struct ClusterService {
  std::string m_Name = "tile-orders";
  bool m_Repeatable = true;
  int m_Endpoints = 2;                 ///< In each data centre.
  int m_Slots = 8;                     ///< Of each endpoint.
  std::vector<std::string> m_Speeds{}; ///< Given to the endpoints in turn.
};

/// What a cluster consists of.
struct ClusterOptions {
  std::string m_Binaries; ///< Folder of the programs.
  int m_DataCentres = 1;
  int m_VmsPerDataCentre = 1;
  std::vector<ClusterService> m_Services = {{"tile-orders", true},
                                            {"engraving-proofs", false}};
  std::vector<std::string> m_Teams = {"club-desk", "collectors"};
  std::vector<std::string> m_PlatformArguments{};
  std::string m_LogLevel = "info";
  /// Sections of the configuration that start() publishes.
  nlohmann::json m_Limits = nlohmann::json::object();
  nlohmann::json m_Policy = nlohmann::json::object();
  int m_MaxQueued = 10000; ///< Of each team.
  /// Members added to the settings of the controls.
  nlohmann::json m_ControlSettings = nlohmann::json::object();
};

enum class Role { Control, Dispatch, Entry };

/// Returns "control", "dispatch" or "entry".
std::string_view roleName(Role Which);

/// An entry VM and its addresses ("host:port").
struct ClusterVm {
  std::string m_Name;
  std::string m_DataCentre;
  std::string m_ControlLink;
  std::string m_DispatchLink;
  std::map<Role, std::string> m_Http;
};

/// One endpoint as the configuration names it.
struct ClusterEndpoint {
  std::string m_Name; ///< In the journal, and of its VM.
  std::string m_Service;
  std::string m_DataCentre;
  std::string m_Address;
  std::string m_TestAddress; ///< Takes `/test/mode` with m_Index.
  std::size_t m_Index = 0;
  std::size_t m_Runner = 0; ///< Index of its process among endpoints'.
};

/// Runs a platform, entry VMs in several data centres and endpoints on
/// loopback, and keeps what they write in a temporary folder.
///
/// The destructor kills what still runs and removes the folder.
class Cluster {
public:
  /// Starts everything, publishes a configuration and the VM list, and waits
  /// until every process is ready.
  static absl::StatusOr<std::unique_ptr<Cluster>>
  start(const ClusterOptions &Options);

  const std::vector<ClusterVm> &vms() const { return m_Vms; }
  const std::vector<ClusterEndpoint> &endpoints() const { return m_Endpoints; }
  const std::string &platform() const { return m_PlatformAddress; }

  /// Returns the HTTP address of a process.
  const std::string &http(std::size_t Vm, Role Which) const;

  /// Returns the newest process of a role on a VM. It exists from start() on.
  ProcessRunner &process(std::size_t Vm, Role Which);

  /// Starts a process, after the one before it has ended.
  absl::Status startProcess(std::size_t Vm, Role Which);

  /// Sends SIGTERM to a process and notes the stop in the history.
  void stopProcess(std::size_t Vm, Role Which);

  /// Kills a process and notes it in the history.
  void killProcess(std::size_t Vm, Role Which);

  /// Stops the time of a process (SIGSTOP), and waits until it stands still.
  absl::Status pauseProcess(std::size_t Vm, Role Which);

  /// Lets a paused process go on, and notes in the history that its VM could
  /// not be reached meanwhile.
  void resumeProcess(std::size_t Vm, Role Which);

  /// Waits until `/readyz` of a process says 200.
  absl::Status waitReady(std::size_t Vm, Role Which);

  /// Posts JSON to the platform's test control, e.g. to "/test/faults".
  absl::Status tellPlatform(const std::string &Path,
                            const nlohmann::json &Body);

  /// Sets an endpoint's mode.
  absl::Status setMode(std::size_t Endpoint, const std::string &Mode,
                       double Factor = 1);

  /// Kills the process that serves an endpoint and others of its service and
  /// data centre.
  void killEndpoint(std::size_t Endpoint);

  /// Returns a sum over all endpoints of a service that live: "starts",
  /// "finishes", "refusals" or "running".
  std::int64_t endpointCount(const std::string &Service,
                             const std::string &What) const;

  /// Returns the records of a stream that the platform keeps.
  absl::StatusOr<nlohmann::json> readStream(const std::string &Stream) const;

  /// Returns what a role says of itself on `/v1/status`; null if nothing.
  nlohmann::json status(std::size_t Vm, Role Which) const;

  /// Publishes the VM list; Leaving names the VMs that are leaving.
  absl::Status publishVms(const std::vector<std::string> &Leaving = {});

  /// Returns the body of the configuration that start() publishes.
  nlohmann::json configuration() const;

  /// Appends a configuration record and returns its offset.
  absl::StatusOr<std::int64_t> publish(const nlohmann::json &Body,
                                       std::int64_t Base);

  /// Adds the endpoints' journals, the ends of processes and the
  /// configurations in force to a history.
  absl::Status collect(History &Into) const;

private:
  /// The processes that a role on a VM has had, newest last.
  using Lives = std::vector<std::unique_ptr<ProcessRunner>>;

  explicit Cluster(const ClusterOptions &Options);
  absl::Status startPlatform();
  absl::Status startEndpoints();
  absl::Status startService(const ClusterService &Service,
                            const std::string &DataCentre);
  absl::Status planVms();
  absl::Status startVms();
  nlohmann::json settings(const ClusterVm &Vm, Role Which) const;
  absl::StatusOr<std::string> writeSettings(const ClusterVm &Vm, Role Which);
  std::string program(const std::string &Name) const;
  std::string file(const std::string &Name) const;
  void noteEnd(std::size_t Vm, Role Which, bool Planned);

  const ClusterOptions m_Options;
  Poco::TemporaryFile m_Folder;
  std::unique_ptr<ProcessRunner> m_Platform;
  std::string m_PlatformAddress;
  std::vector<std::unique_ptr<ProcessRunner>> m_EndpointRunners;
  std::vector<std::string> m_Journals;
  std::vector<ClusterEndpoint> m_Endpoints;
  std::vector<ClusterVm> m_Vms;
  std::map<std::pair<std::size_t, Role>, Lives> m_Processes;
  std::vector<ProcessEnd> m_Ends;
  std::map<std::pair<std::size_t, Role>, std::int64_t> m_PausedSince;
  std::vector<Isolation> m_Isolations;
};

} // namespace auburnhub::test

#endif
