#ifndef AUBURNHUB_PROGRAM_PROGRAM_H
#define AUBURNHUB_PROGRAM_PROGRAM_H

#include "auburnhub/Http/HttpServer.h"
#include "auburnhub/Http/Problem.h"
#include "auburnhub/Program/ProcessContext.h"
#include "auburnhub/Program/ProcessLife.h"

#include <concepts>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhub {

/// The exit statuses of the system's processes.
enum class ExitCode {
  Success = 0,
  Usage = 2,        ///< Wrong command line.
  BadSettings = 3,  ///< Settings or a state chart are not valid.
  CannotStart = 4,  ///< An address could not be bound.
  DrainExpired = 5, ///< Work in progress was cut at the end of the drain.
};

/// Names a program and says in one paragraph what it does.
struct ProgramInfo {
  std::string_view m_Name;    ///< For instance "auburnhub-entry".
  std::string_view m_Process; ///< For instance "entry".
  std::string_view m_Description;
};

/// What a process does beyond the frame: the part that makes it an entry, a
/// dispatcher or a control.
template <typename Type>
concept ProgramRole = requires(Type &Role, SettingsReader &Reader,
                               const HttpRequest &Request,
                               std::function<void(bool)> Drained) {
  typename Type::Settings;
  { Type::readSettings(Reader) } -> std::same_as<typename Type::Settings>;
  /// Starts listening and connecting.
  { Role.start() } -> std::same_as<absl::Status>;
  /// Says whether new work is welcome; called from any thread.
  { Role.isReady() } -> std::same_as<bool>;
  /// Describes the role's state for /v1/status; called from any thread.
  { Role.status() } -> std::same_as<nlohmann::json>;
  /// Handles a request that is not one of the frame's pages.
  { Role.handle(Request) } -> std::same_as<HttpResponse>;
  /// Takes no new work, finishes what runs, then calls Drained with
  /// whether everything was finished in time.
  Role.beginStop(Drained);
  /// Ends connections and threads.
  Role.stop();
};

namespace detail {

struct CommandLine {
  std::string m_SettingsFile;
  std::string m_ChartDirectory;
  bool m_CheckOnly = false;
};

/// Parses the command line; returns an exit code if the program is done.
std::optional<ExitCode> parseCommandLine(int Argc, const char *const *Argv,
                                         const ProgramInfo &Info,
                                         CommandLine &Result);

/// Writes a failure to standard error.
void reportFailure(const ProgramInfo &Info, const absl::Status &Status);

/// Keeps stop signals for waitForStopSignal(); call before any thread starts.
void blockStopSignals();
void waitForStopSignal();

/// Answers the pages that all processes have; nothing for other paths.
std::optional<HttpResponse>
handleCommonPage(const HttpRequest &Request, const ProcessContext &Context,
                 const ProcessLife &Life, bool RoleIsReady,
                 const std::function<nlohmann::json()> &RoleStatus);

} // namespace detail

/// Runs a role as a process and returns its exit status: options, settings,
/// charts, logs, status pages, signals and the graceful stop.
template <ProgramRole Role>
int programMain(int Argc, const char *const *Argv, const ProgramInfo &Info,
                HttpServerOptions HttpOptions = {}) {
  detail::CommandLine Line;
  if (auto Done = detail::parseCommandLine(Argc, Argv, Info, Line))
    return static_cast<int>(*Done);
  detail::blockStopSignals();

  absl::StatusOr<SettingsReader> Reader =
      SettingsReader::load(Line.m_SettingsFile);
  if (!Reader.ok()) {
    detail::reportFailure(Info, Reader.status());
    return static_cast<int>(ExitCode::BadSettings);
  }
  CommonSettings Common = readCommonSettings(*Reader, Info.m_Process);
  typename Role::Settings RoleSettings = Role::readSettings(*Reader);
  absl::Status Checked = Reader->finish();
  absl::StatusOr<StateChart> LifeChart =
      ProcessLife::loadChart(Line.m_ChartDirectory);
  if (Checked.ok())
    Checked = LifeChart.status();
  if (!Checked.ok()) {
    detail::reportFailure(Info, Checked);
    return static_cast<int>(ExitCode::BadSettings);
  }
  if (Line.m_CheckOnly)
    return static_cast<int>(ExitCode::Success);

  startLogging(Common.m_Log);
  ProcessLife Life(std::move(*LifeChart));
  TimerService Timers;
  MetricsRegistry Metrics;
  ProcessContext Context{Common, Timers, Metrics, drawIncarnation(),
                         Line.m_ChartDirectory};
  Role Running(Context, RoleSettings);
  absl::Status Started = Running.start();
  if (!Started.ok()) {
    detail::reportFailure(Info, Started);
    Running.stop();
    Timers.stop();
    return static_cast<int>(failureCode(Started) == FailureCode::BadSettings
                                ? ExitCode::BadSettings
                                : ExitCode::CannotStart);
  }
  auto Handle = [&](const HttpRequest &Request) {
    auto Page =
        detail::handleCommonPage(Request, Context, Life, Running.isReady(),
                                 [&] { return Running.status(); });
    return Page ? std::move(*Page) : Running.handle(Request);
  };
  auto Server = HttpServer::start(Common.m_Http, HttpOptions, Handle);
  if (!Server.ok()) {
    detail::reportFailure(Info, Server.status());
    Running.stop();
    Timers.stop();
    return static_cast<int>(ExitCode::CannotStart);
  }
  Log ProcessLog("process");
  ProcessLog.info("listening", {{"http", (*Server)->address().str()}});
  Life.fire("started");

  detail::waitForStopSignal();
  Life.fire("stop_requested");
  std::promise<bool> Drained;
  Running.beginStop([&](bool InTime) { Drained.set_value(InTime); });
  bool InTime = Drained.get_future().get();
  (*Server)->stop();
  Life.fire(InTime ? "drained" : "drain_expired");
  Running.stop();
  Timers.stop();
  return static_cast<int>(InTime ? ExitCode::Success : ExitCode::DrainExpired);
}

} // namespace auburnhub

#endif
