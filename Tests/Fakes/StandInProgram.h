#ifndef AUBURNHUB_FAKES_STANDINPROGRAM_H
#define AUBURNHUB_FAKES_STANDINPROGRAM_H

#include <boost/program_options.hpp>

#include <functional>

namespace auburnhub::test {

/// Runs the main function of a stand-in: parses the command line with the
/// given options and --help, calls Start, which prints the listening line, and
/// ends the process with status 0 at SIGTERM or SIGINT without waiting for
/// open connections. Returns only on a wrong command line (2), after --help
/// (0), or with the status that Start returned if that is not 0.
int runStandIn(
    int Argc, char **Argv,
    const boost::program_options::options_description &Options,
    const std::function<int(const boost::program_options::variables_map &)>
        &Start);

} // namespace auburnhub::test

#endif
