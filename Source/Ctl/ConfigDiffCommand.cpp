#include "ConfigDiffCommand.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Ctl/ConfigurationFile.h"
#include "auburnhub/Ctl/FieldDiff.h"

#include "CommonOptions.h"

#include <algorithm>
#include <cctype>

namespace auburnhub {
namespace {

namespace po = boost::program_options;

bool isOffset(const std::string &Word) {
  constexpr std::size_t MostDigits = 18;
  return !Word.empty() && Word.size() <= MostDigits &&
         std::all_of(Word.begin(), Word.end(),
                     [](unsigned char C) { return std::isdigit(C) != 0; });
}

bool isOnStream(const std::string &Word) {
  return Word == "current" || isOffset(Word);
}

} // namespace

void ConfigDiffCommand::addOptions(po::options_description &To) {
  To.add_options()("platform", po::value(&m_Platform)->value_name("HOST:PORT"),
                   "address of the platform's log service; required for "
                   "offsets and current");
}

CtlExit ConfigDiffCommand::run(const std::vector<std::string> &Words,
                               const Console &Terminal) {
  if (Words.size() != 2)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "config diff: expected two of OFFSET, current "
                            "and FILE");
  ConfigurationReader Reader;
  if (std::any_of(Words.begin(), Words.end(), isOnStream)) {
    if (m_Platform.empty())
      return reportCtlFailure(Terminal, CtlExit::Usage,
                              "config diff: --platform is required for "
                              "offsets and current");
    auto Read = readConfiguration(m_Platform);
    if (!Read.ok())
      return reportCtlFailure(Terminal, CtlExit::Unreachable, Read.status());
    Reader = std::move(*Read);
  }
  auto Old = load(Words[0], Reader);
  auto New = load(Words[1], Reader);
  for (const auto &Loaded : {Old, New})
    if (!Loaded.ok())
      return reportCtlFailure(Terminal,
                              failureCode(Loaded.status()) ==
                                      FailureCode::NotFound
                                  ? CtlExit::NotFound
                                  : CtlExit::Invalid,
                              Loaded.status());
  std::vector<FieldChange> Changes = compareFields(*Old, *New);
  Terminal.m_Out << formatChanges(Changes);
  return Changes.empty() ? CtlExit::Success : CtlExit::Different;
}

absl::StatusOr<nlohmann::json>
ConfigDiffCommand::load(const std::string &Word,
                        const ConfigurationReader &Reader) const {
  if (!isOnStream(Word))
    return loadConfigurationFile(Word, ConfigurationSchema);
  std::int64_t Offset =
      Word == "current" ? Reader.history().offset() : std::stoll(Word);
  auto It = Reader.records().find(Offset);
  if (It == Reader.records().end())
    return makeFailure(FailureCode::NotFound,
                       Word + ": there is no such record");
  return It->second.body();
}

} // namespace auburnhub
