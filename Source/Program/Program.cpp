#include "auburnhub/Program/Program.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace auburnhub {
namespace {

namespace po = boost::program_options;

/// Charts lie beside the programs' folder, installed or in the build tree.
std::string defaultChartDirectory() {
  std::error_code Ec;
  std::filesystem::path Program =
      std::filesystem::read_symlink("/proc/self/exe", Ec);
  return (Program.parent_path().parent_path() / "share/auburnhub/charts")
      .string();
}

po::options_description describeOptions(detail::CommandLine &Result) {
  po::options_description Options("Options");
  Options.add_options()                        //
      ("help", "show this help and exit")      //
      ("version", "show the version and exit") //
      ("settings", po::value(&Result.m_SettingsFile)->value_name("FILE"),
       "read settings from FILE (YAML); required") //
      ("charts",
       po::value(&Result.m_ChartDirectory)
           ->value_name("DIR")
           ->default_value(defaultChartDirectory(),
                           "../share/auburnhub/charts"),
       "read state charts from DIR") //
      ("check", po::bool_switch(&Result.m_CheckOnly),
       "check the settings and charts, then exit");
  return Options;
}

void showHelp(const ProgramInfo &Info, const po::options_description &Options) {
  std::cout << "Usage: " << Info.m_Name << " --settings FILE [OPTION]...\n\n"
            << Info.m_Description << "\n\n"
            << Options << "\nExit status:\n"
            << "  0  stopped after all work in progress was finished\n"
            << "  2  wrong command line\n"
            << "  3  settings or a state chart are not valid\n"
            << "  4  cannot start, for instance an address is taken\n"
            << "  5  work in progress was cut when the drain time ended\n";
}

ExitCode usageFault(const ProgramInfo &Info, const std::string &What) {
  std::cerr << Info.m_Name << ": " << What << "\nTry '" << Info.m_Name
            << " --help'.\n";
  return ExitCode::Usage;
}

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

HttpResponse textPage(int Status, std::string Text) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_ContentType = "text/plain; version=0.0.4; charset=utf-8";
  Response.m_Body = std::move(Text);
  return Response;
}

HttpResponse statusPage(const ProcessContext &Context, const ProcessLife &Life,
                        const nlohmann::json &RoleStatus) {
  nlohmann::json Body = {{"process", Context.m_Common.m_Log.m_Process},
                         {"vm", Context.m_Common.m_Vm},
                         {"data_centre", Context.m_Common.m_DataCentre},
                         {"version", AUBURNHUB_VERSION},
                         {"incarnation", Context.m_Incarnation},
                         {"state", Life.stateName()},
                         {"role", RoleStatus}};
  HttpResponse Response;
  Response.m_Body = Body.dump() + "\n";
  return Response;
}

} // namespace

CommonSettings readCommonSettings(SettingsReader &Reader,
                                  std::string_view Process) {
  constexpr int OnlySchema = 1;
  CommonSettings Result;
  if (!Reader.has("schema"))
    Reader.addFault("schema", "is required: expected 1");
  Reader.getInteger("schema", OnlySchema, OnlySchema, OnlySchema);
  Result.m_Vm = Reader.requireString("vm");
  Result.m_DataCentre = Reader.requireString("data_centre");
  Result.m_Http = Reader.requireAddress("http");
  SettingsReader LogSection = Reader.section("log");
  Result.m_Log.m_Process = std::string(Process);
  Result.m_Log.m_Vm = Result.m_Vm;
  Result.m_Log.m_DataCentre = Result.m_DataCentre;
  Result.m_Log.m_Level = LogSection.getString("level", "info");
  Result.m_Log.m_AreaLevels = LogSection.getStringMap("areas");
  auto IsLevel = [](const std::string &Name) {
    return Name == "debug" || Name == "info" || Name == "warning" ||
           Name == "error";
  };
  if (!IsLevel(Result.m_Log.m_Level))
    LogSection.addFault("level", "expected debug, info, warning or error");
  for (const auto &[Area, Level] : Result.m_Log.m_AreaLevels)
    if (!IsLevel(Level))
      LogSection.addFault("areas", "expected debug, info, warning or error "
                                   "for the area " +
                                       Area);
  return Result;
}

namespace detail {

std::optional<ExitCode> parseCommandLine(int Argc, const char *const *Argv,
                                         const ProgramInfo &Info,
                                         CommandLine &Result) {
  po::options_description Options = describeOptions(Result);
  po::variables_map Values;
  try {
    po::store(po::command_line_parser(Argc, Argv)
                  .options(Options)
                  .positional({})
                  .run(),
              Values);
    po::notify(Values);
  } catch (const po::error &E) {
    return usageFault(Info, E.what());
  }
  if (Values.count("help") != 0) {
    showHelp(Info, Options);
    return ExitCode::Success;
  }
  if (Values.count("version") != 0) {
    std::cout << Info.m_Name << " " << AUBURNHUB_VERSION << "\n";
    return ExitCode::Success;
  }
  if (Result.m_SettingsFile.empty())
    return usageFault(Info, "--settings FILE is required");
  return std::nullopt;
}

void reportFailure(const ProgramInfo &Info, const absl::Status &Status) {
  std::cerr << Info.m_Name << ": " << failureDetail(Status) << "\n";
}

void blockStopSignals() {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes a socket must not end the process.
  signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  sigset_t Signals = stopSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

std::optional<HttpResponse>
handleCommonPage(const HttpRequest &Request, const ProcessContext &Context,
                 const ProcessLife &Life, bool RoleIsReady,
                 const std::function<nlohmann::json()> &RoleStatus) {
  std::string_view Path = Request.m_Path;
  Path = Path.substr(0, Path.find('?'));
  bool IsPage = Path == "/healthz" || Path == "/readyz" || Path == "/metrics" ||
                Path == "/v1/status";
  if (!IsPage)
    return std::nullopt;
  if (Request.m_Method != "GET") {
    HttpResponse Refusal =
        problemResponse({FailureCode::MethodNotAllowed,
                         "only GET is supported here", "not_run", "", 0});
    Refusal.m_Headers.set("Allow", "GET");
    return Refusal;
  }
  if (Path == "/healthz")
    return textPage(200, "alive\n");
  if (Path == "/readyz") {
    bool IsReady = Life.isReady() && RoleIsReady;
    return textPage(IsReady ? 200 : 503, IsReady ? "ready\n" : "not ready\n");
  }
  if (Path == "/metrics")
    return textPage(200, Context.m_Metrics.expose());
  return statusPage(Context, Life, RoleStatus());
}

} // namespace detail
} // namespace auburnhub
