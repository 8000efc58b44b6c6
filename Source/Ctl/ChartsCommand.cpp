#include "ChartsCommand.h"

#include "auburnhub/Base/StateChart.h"

#include <filesystem>
#include <set>

namespace auburnhub {
namespace {

namespace po = boost::program_options;
namespace fs = std::filesystem;

/// Charts lie beside the programs' folder, installed or in the build tree.
std::string defaultDirectory() {
  std::error_code Ec;
  fs::path Program = fs::read_symlink("/proc/self/exe", Ec);
  return (Program.parent_path().parent_path() / "share/auburnhub/charts")
      .string();
}

std::set<fs::path> findCharts(const std::string &Directory) {
  std::set<fs::path> Result;
  std::error_code Ec;
  for (const fs::directory_entry &Entry : fs::directory_iterator(Directory, Ec))
    if (Entry.path().extension() == ".yaml")
      Result.insert(Entry.path());
  return Result;
}

} // namespace

void ChartsCommand::addOptions(po::options_description &To) {
  To.add_options()(
      "dir",
      po::value(&m_Directory)
          ->value_name("DIR")
          ->default_value(defaultDirectory(), "../share/auburnhub/charts"),
      "read state charts from DIR");
}

CtlExit ChartsCommand::run(const std::vector<std::string> &Words,
                           const Console &Terminal) {
  if (!Words.empty())
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "charts: expected no arguments");
  std::set<fs::path> Paths = findCharts(m_Directory);
  if (Paths.empty())
    return reportCtlFailure(Terminal, CtlExit::NotFound,
                            m_Directory + ": has no charts (*.yaml)");
  StateChart::Vocabulary AnyNames;
  AnyNames.m_OffersAll = true;
  CtlExit Exit = CtlExit::Success;
  for (const fs::path &Path : Paths) {
    auto Chart = StateChart::load(Path.string(), AnyNames);
    if (Chart.ok())
      Terminal.m_Out << Chart->dot();
    else
      Exit = reportCtlFailure(Terminal, CtlExit::Invalid, Chart.status());
  }
  return Exit;
}

} // namespace auburnhub
