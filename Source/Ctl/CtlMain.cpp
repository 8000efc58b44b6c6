#include "auburnhub/Ctl/Command.h"

#include "auburnhub/Base/Failure.h"

#include "ChartsCommand.h"
#include "ConfigCheckCommand.h"
#include "ConfigDiffCommand.h"
#include "ConfigHistoryCommand.h"
#include "ConfigPublishCommand.h"
#include "ConfigShowCommand.h"
#include "ExplainCommand.h"
#include "JobCallCommand.h"
#include "JobSubmitCommand.h"
#include "StatusCommand.h"

#include <optional>
#include <span>

namespace auburnhub {
namespace {

namespace po = boost::program_options;

constexpr std::string_view ExitStatusHelp =
    "Exit status:\n"
    "  0  success\n"
    "  1  config diff found differences\n"
    "  2  wrong command line\n"
    "  3  a file is not valid, or the change or job was refused\n"
    "  4  the platform or a process could not be reached\n"
    "  5  another change was accepted first\n"
    "  6  it is not known whether the change or job was accepted\n"
    "  7  there is no such record, submission or job\n";

/// Returns the words after a command's name, or nothing if it is another.
std::optional<std::vector<std::string>>
matchCommand(std::string_view Name, std::span<const std::string> Arguments) {
  std::size_t Used = 0;
  while (!Name.empty()) {
    std::string_view Word = Name.substr(0, Name.find(' '));
    if (Used == Arguments.size() || Arguments[Used] != Word)
      return std::nullopt;
    ++Used;
    Name.remove_prefix(std::min(Name.size(), Word.size() + 1));
  }
  return std::vector<std::string>(
      Arguments.begin() + static_cast<std::ptrdiff_t>(Used), Arguments.end());
}

CtlExit usageFault(const Console &Terminal, const std::string &What) {
  return reportCtlFailure(Terminal, CtlExit::Usage,
                          What + "\nTry 'auburnhub-ctl --help'.");
}

template <CtlCommand Command> void showHelp(std::ostream &Out) {
  Command Sample;
  po::options_description Options;
  Sample.addOptions(Options);
  Out << "auburnhub-ctl " << Command::Name << " " << Command::Arguments << "\n"
      << "  " << Command::Summary << "\n"
      << Options << "\n";
}

template <CtlCommand Command>
CtlExit runCommand(const std::vector<std::string> &Arguments,
                   const Console &Terminal) {
  Command Chosen;
  po::options_description Options;
  Chosen.addOptions(Options);
  po::options_description All(Options);
  All.add_options()("help", "show this help and exit") //
      ("word", po::value<std::vector<std::string>>(), "");
  po::positional_options_description Positions;
  Positions.add("word", -1);
  po::variables_map Values;
  try {
    po::store(po::command_line_parser(Arguments)
                  .options(All)
                  .positional(Positions)
                  .run(),
              Values);
    if (Values.count("help") != 0) {
      showHelp<Command>(Terminal.m_Out);
      return CtlExit::Success;
    }
    po::notify(Values);
  } catch (const po::error &E) {
    return usageFault(Terminal, E.what());
  }
  std::vector<std::string> Words;
  if (Values.count("word") != 0)
    Words = Values["word"].as<std::vector<std::string>>();
  return Chosen.run(Words, Terminal);
}

/// The commands, in the order in which the help shows them.
template <CtlCommand... Commands> class CommandTable {
public:
  static void showAll(std::ostream &Out) { (showHelp<Commands>(Out), ...); }

  /// Runs the command that the arguments name; nothing if there is none.
  static std::optional<CtlExit> run(std::span<const std::string> Arguments,
                                    const Console &Terminal) {
    std::optional<CtlExit> Result;
    (tryCommand<Commands>(Arguments, Terminal, Result), ...);
    return Result;
  }

private:
  template <CtlCommand Command>
  static void tryCommand(std::span<const std::string> Arguments,
                         const Console &Terminal,
                         std::optional<CtlExit> &Result) {
    auto Rest = matchCommand(Command::Name, Arguments);
    if (!Result && Rest)
      Result = runCommand<Command>(*Rest, Terminal);
  }
};

using AllCommands =
    CommandTable<ConfigCheckCommand, ConfigPublishCommand, ConfigShowCommand,
                 ConfigDiffCommand, ConfigHistoryCommand, JobSubmitCommand,
                 JobCallCommand<JobShowCall>, JobCallCommand<JobCancelCall>,
                 JobCallCommand<JobWaitingCall>, StatusCommand, ExplainCommand,
                 ChartsCommand>;

void showAllHelp(std::ostream &Out) {
  Out << "Usage: auburnhub-ctl COMMAND [OPTION]...\n\n"
         "The operators' command line of auburnhub.\n\n"
         "Options:\n"
         "  --help                show this help and exit; after a command, "
         "its help\n"
         "  --version             show the version and exit\n\n"
         "Commands:\n\n";
  AllCommands::showAll(Out);
  Out << ExitStatusHelp;
}

} // namespace

CtlExit reportCtlFailure(const Console &Terminal, CtlExit Exit,
                         std::string_view Message) {
  Terminal.m_Error << "auburnhub-ctl: " << Message << "\n";
  return Exit;
}

CtlExit reportCtlFailure(const Console &Terminal, CtlExit Exit,
                         const absl::Status &Status) {
  return reportCtlFailure(Terminal, Exit, failureDetail(Status));
}

int ctlMain(int Argc, const char *const *Argv, const Console &Terminal) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  std::string First = Arguments.empty() ? "" : Arguments.front();
  if (First == "--help") {
    showAllHelp(Terminal.m_Out);
    return static_cast<int>(CtlExit::Success);
  }
  if (First == "--version") {
    Terminal.m_Out << "auburnhub-ctl " << AUBURNHUB_VERSION << "\n";
    return static_cast<int>(CtlExit::Success);
  }
  std::optional<CtlExit> Exit = AllCommands::run(Arguments, Terminal);
  if (!Exit)
    Exit =
        usageFault(Terminal, First.empty() ? "a command is required"
                                           : "unknown command '" + First + "'");
  return static_cast<int>(*Exit);
}

} // namespace auburnhub
