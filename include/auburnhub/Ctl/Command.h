#ifndef AUBURNHUB_CTL_COMMAND_H
#define AUBURNHUB_CTL_COMMAND_H

#include "absl/status/status.h"

#include <boost/program_options.hpp>

#include <concepts>
#include <istream>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// The exit statuses of auburnhub-ctl.
enum class CtlExit {
  Success = 0,
  Different = 1,   ///< `config diff` found differences.
  Usage = 2,       ///< Wrong command line.
  Invalid = 3,     ///< A file is not valid, or the change or job was refused.
  Unreachable = 4, ///< The platform or a process could not be reached.
  Conflict = 5,    ///< Another change was accepted first.
  UnknownFate = 6, ///< Whether the change or job was accepted is not known.
  NotFound = 7,    ///< There is no such record, submission or job.
};

/// Where a command reads and writes.
struct Console {
  std::istream &m_In;
  std::ostream &m_Out;
  std::ostream &m_Error;
};

/// One command of auburnhub-ctl.
///
/// Its object holds the values of its options: addOptions() binds them, and
/// run() gets the words that are no options.
template <typename Type>
concept CtlCommand = std::default_initializable<Type> &&
    requires(Type &Command, boost::program_options::options_description &To,
             const std::vector<std::string> &Words, const Console &Terminal) {
  { Type::Name } -> std::convertible_to<std::string_view>;
  /// The words that follow, for the usage line.
  { Type::Arguments } -> std::convertible_to<std::string_view>;
  { Type::Summary } -> std::convertible_to<std::string_view>;
  Command.addOptions(To);
  { Command.run(Words, Terminal) } -> std::same_as<CtlExit>;
};

/// Writes a message to standard error and returns the exit status.
CtlExit reportCtlFailure(const Console &Terminal, CtlExit Exit,
                         std::string_view Message);
CtlExit reportCtlFailure(const Console &Terminal, CtlExit Exit,
                         const absl::Status &Status);

/// Runs auburnhub-ctl and returns its exit status.
int ctlMain(int Argc, const char *const *Argv, const Console &Terminal);

} // namespace auburnhub

#endif
