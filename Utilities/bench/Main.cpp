#include "Scenarios.h"

#include "auburnhub/Base/Failure.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

using namespace auburnhub;
using namespace auburnhub::bench;

namespace po = boost::program_options;

namespace {

constexpr int UsageError = 2;
constexpr double MaxSeconds = 120;
constexpr std::size_t MaxThreads = 2000;

using Scenario = absl::StatusOr<Report> (*)(const ScenarioOptions &);

const std::map<std::string, Scenario> Scenarios = {{"steady", steadyLoad},
                                                   {"crest", crest},
                                                   {"faults", faults},
                                                   {"overhead", overhead}};

po::options_description benchOptions() {
  po::options_description Options(
      "auburnhub-bench SCENARIO: measures the real processes on loopback");
  auto Add = Options.add_options();
  Add("help", "print this help");
  Add("scenario", po::value<std::string>()->default_value("steady"),
      "steady, crest, faults or overhead");
  Add("binaries", po::value<std::string>()->default_value("build/release/bin"),
      "folder of the programs");
  Add("csv", po::value<std::string>()->default_value(""),
      "file for the report as CSV");
  Add("variants",
      po::value<std::vector<std::string>>()->multitoken()->default_value(
          {"policy", "fifo-random"}, "policy fifo-random"),
      "policies to compare: policy, fifo-random, fifo-round-robin, "
      "fifo-two-choices, fifo, no-lending");
  Add("loads",
      po::value<std::vector<double>>()->multitoken()->default_value({0.7},
                                                                    "0.7"),
      "ratios of demand to capacity");
  Add("long-shares",
      po::value<std::vector<double>>()->multitoken()->default_value({0.0}, "0"),
      "shares of long tasks");
  Add("seed", po::value<std::uint64_t>()->default_value(1),
      "of the demand; the same for all variants");
  Add("seconds", po::value<double>()->default_value(10),
      "length of demand of each trial; at most 120");
  Add("short-ms", po::value<double>()->default_value(50),
      "run time of short work on an endpoint of speed 1 (ms)");
  Add("longest-factor", po::value<double>()->default_value(100),
      "long work is 20 to this times short work");
  Add("vms", po::value<int>()->default_value(3), "entry VMs");
  Add("endpoints", po::value<int>()->default_value(17), "endpoints");
  Add("slots", po::value<int>()->default_value(8), "of each endpoint");
  Add("threads", po::value<std::size_t>()->default_value(600),
      "most requests in flight; at most 2000");
  Add("log-level", po::value<std::string>()->default_value("warning"),
      "of the product's processes");
  return Options;
}

std::vector<Variant> findVariants(const std::vector<std::string> &Names) {
  std::vector<Variant> Found;
  for (const std::string &Name : Names)
    for (const Variant &Known : allVariants())
      if (Known.m_Name == Name)
        Found.push_back(Known);
  return Found;
}

ScenarioOptions readOptions(const po::variables_map &Values) {
  ScenarioOptions Options;
  Fleet &Used = Options.m_Fleet;
  Used.m_Binaries = Values["binaries"].as<std::string>();
  Used.m_LogLevel = Values["log-level"].as<std::string>();
  Used.m_Vms = Values["vms"].as<int>();
  Used.m_Endpoints = Values["endpoints"].as<int>();
  Used.m_Slots = Values["slots"].as<int>();
  Options.m_Variants =
      findVariants(Values["variants"].as<std::vector<std::string>>());
  Options.m_Loads = Values["loads"].as<std::vector<double>>();
  Options.m_LongShares = Values["long-shares"].as<std::vector<double>>();
  Options.m_Seed = Values["seed"].as<std::uint64_t>();
  Options.m_Seconds = std::min(Values["seconds"].as<double>(), MaxSeconds);
  Options.m_ShortMs = Values["short-ms"].as<double>();
  Options.m_LongestFactor = Values["longest-factor"].as<double>();
  Options.m_Threads = std::min(Values["threads"].as<std::size_t>(), MaxThreads);
  return Options;
}

int run(const po::variables_map &Values) {
  auto Chosen = Scenarios.find(Values["scenario"].as<std::string>());
  const ScenarioOptions Options = readOptions(Values);
  const std::size_t Named =
      Values["variants"].as<std::vector<std::string>>().size();
  if (Chosen == Scenarios.end() || Options.m_Variants.size() != Named) {
    std::cerr << "no such scenario or variant; see --help\n";
    return UsageError;
  }
  absl::StatusOr<Report> Made = Chosen->second(Options);
  if (!Made.ok()) {
    std::cerr << failureDetail(Made.status()) << '\n';
    return 1;
  }
  Made->writeText(std::cout);
  const std::string Csv = Values["csv"].as<std::string>();
  if (Csv.empty())
    return 0;
  std::ofstream File(Csv, std::ios::trunc);
  Made->writeCsv(File);
  return File.good() ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    po::positional_options_description Positions;
    Positions.add("scenario", 1);
    po::variables_map Values;
    po::store(po::command_line_parser(Argc, Argv)
                  .options(benchOptions())
                  .positional(Positions)
                  .run(),
              Values);
    if (Values.contains("help")) {
      std::cout << benchOptions();
      return 0;
    }
    return run(Values);
  } catch (const po::error &E) {
    std::cerr << E.what() << "; see --help\n";
    return UsageError;
  }
}
