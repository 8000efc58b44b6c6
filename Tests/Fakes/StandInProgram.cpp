#include "Fakes/StandInProgram.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace auburnhub::test {
namespace {

namespace po = boost::program_options;

constexpr int UsageError = 2;

/// Blocks the signals that end the program, in this thread and in those that
/// it starts later.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

} // namespace

int runStandIn(int Argc, char **Argv, const po::options_description &Options,
               const std::function<int(const po::variables_map &)> &Start) {
  po::options_description All(Options);
  All.add_options()("help", "print this help");
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(Argc, Argv, All), Values);
    po::notify(Values);
  } catch (const po::error &Error) {
    std::cerr << Error.what() << "; see --help\n";
    return UsageError;
  }
  if (Values.contains("help")) {
    std::cout << All;
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t Signals = blockStopSignals();
  if (int Status = Start(Values); Status != 0)
    return Status;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  std::_Exit(0);
}

} // namespace auburnhub::test
