#include "ConfigPublishCommand.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Ctl/ConfigurationFile.h"
#include "auburnhub/Ctl/FieldDiff.h"

#include "CommonOptions.h"
#include "ProcessPage.h"

#include <random>

namespace auburnhub {
namespace {

namespace po = boost::program_options;

/// Returns a fresh id for a change.
std::string drawChangeId() {
  std::random_device Device;
  std::uniform_int_distribution<std::uint64_t> Bits;
  return SubmissionId::makeCallerId(TimerService::wallMilliseconds(),
                                    Bits(Device), Bits(Device))
      .str();
}

} // namespace

void ConfigPublishCommand::addOptions(po::options_description &To) {
  addPlatformOption(To, m_Platform);
  auto Add = To.add_options();
  Add("author", po::value(&m_Author)->value_name("NAME")->required(),
      "who makes the change; required");
  Add("base",
      po::value(&m_Base)->value_name("N")->notifier(
          [this](std::int64_t) { m_HasBase = true; }),
      "offset that the file was made from, -1 for none; default: the one in "
      "force now");
  Add("change-id", po::value(&m_ChangeId)->value_name("UUID"),
      "id of the change, to try an earlier one again; default: a new one");
  Add("schema", po::value(&m_Schema)->value_name("N")->default_value(1),
      "schema version of the body");
  Add("control", po::value(&m_Controls)->value_name("HOST:PORT")->multitoken(),
      "HTTP addresses of control processes to ask for the oldest reader");
  Add("force", po::bool_switch(&m_Force),
      "publish though a live process may not read the schema");
}

CtlExit ConfigPublishCommand::run(const std::vector<std::string> &Words,
                                  const Console &Terminal) {
  if (Words.size() != 1)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "config publish: expected one FILE");
  absl::StatusOr<ConfigurationRecord> Record = makeRecord(Words.front());
  if (!Record.ok())
    return reportCtlFailure(Terminal, CtlExit::Invalid, Record.status());
  absl::StatusOr<Address> Platform = parseUrl(m_Platform);
  if (!Platform.ok())
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "--platform: expected HOST:PORT");
  if (!mayBeRead(Terminal))
    return CtlExit::Invalid;
  PlatformStream Stream(*Platform, ConfigurationStream);
  ConfigurationPublisher Publisher(Stream);
  absl::Status Read = Publisher.read();
  if (!Read.ok())
    return reportCtlFailure(Terminal, CtlExit::Unreachable, Read);
  if (!m_HasBase)
    Record->m_Base = Publisher.reader().history().offset();
  nlohmann::json Before;
  if (const auto &InForce = Publisher.reader().history().accepted())
    Before = InForce->m_Record.m_Body;
  PublishResult Result = Publisher.publish(*Record);
  if (Result.m_Fate == PublishFate::Accepted)
    Terminal.m_Out << formatChanges(compareFields(
        Before.is_null() ? nlohmann::json::object() : Before, Record->m_Body));
  return report(Publisher.reader(), *Record, Result, Terminal);
}

absl::StatusOr<ConfigurationRecord>
ConfigPublishCommand::makeRecord(const std::string &File) const {
  auto Body = loadConfigurationFile(File, m_Schema);
  if (!Body.ok())
    return Body.status();
  ConfigurationRecord Record;
  Record.m_Schema = m_Schema;
  Record.m_ChangeId = m_ChangeId.empty() ? drawChangeId() : m_ChangeId;
  Record.m_Base = m_Base;
  Record.m_Author = m_Author;
  Record.m_Body = std::move(*Body);
  return Record;
}

bool ConfigPublishCommand::mayBeRead(const Console &Terminal) const {
  bool EveryoneReads = m_Schema <= OldestReadableConfigurationSchema;
  if (EveryoneReads || m_Force)
    return true;
  std::optional<int> Oldest = oldestReaderSchema(fetchStatuses(m_Controls));
  if (Oldest && m_Schema <= *Oldest)
    return true;
  std::string Why =
      Oldest ? "the oldest live reader reads schemas up to " +
                   std::to_string(*Oldest)
             : "no control process given by --control said what the live "
               "processes read";
  reportCtlFailure(Terminal, CtlExit::Invalid,
                   Why + "; schema " + std::to_string(m_Schema) +
                       " was not published. Upgrade the readers first, or "
                       "use --force.");
  return false;
}

CtlExit ConfigPublishCommand::report(const ConfigurationReader &Reader,
                                     const ConfigurationRecord &Record,
                                     const PublishResult &Result,
                                     const Console &Terminal) const {
  switch (Result.m_Fate) {
  case PublishFate::Accepted:
    Terminal.m_Out << "Accepted at offset " << Result.m_Offset << ", change "
                   << Record.m_ChangeId << ".\n";
    return CtlExit::Success;
  case PublishFate::Conflict:
    return reportCtlFailure(
        Terminal, CtlExit::Conflict,
        "the change was not accepted: another was accepted on its base.\n" +
            describeConflict(Reader, Record, Result.m_Offset));
  case PublishFate::Refused:
    return reportCtlFailure(Terminal, CtlExit::Invalid,
                            "readers refuse the record: " + Result.m_Detail);
  case PublishFate::Unknown:
    break;
  }
  return reportCtlFailure(
      Terminal, CtlExit::UnknownFate,
      "it is not known whether the change was accepted, and it may still be: " +
          Result.m_Detail + "\nTo find out, run the same command with --base " +
          std::to_string(Record.m_Base) + " --change-id " + Record.m_ChangeId +
          ".");
}

} // namespace auburnhub
