#include "ConfigurationService.h"

namespace auburnhub {
namespace {

constexpr const char *ConfigurationStream = "configuration";
constexpr int ConfigurationPageRecords = 20;

TailOptions configurationTail(Milliseconds PollWait) {
  TailOptions Options;
  Options.m_Stream = ConfigurationStream;
  Options.m_PageRecords = ConfigurationPageRecords;
  Options.m_PollWait = PollWait;
  return Options;
}

} // namespace

ConfigurationService::ConfigurationService(
    const ControlSettings &Settings, const std::string &Vm, SerialTask &Owner,
    TimerService &Timers, MetricsRegistry &Metrics,
    std::function<void()> Changed, PlatformListener NotePlatform)
    : m_Owner(Owner), m_Changed(std::move(Changed)),
      m_NotePlatform(std::move(NotePlatform)),
      m_Offset(Metrics.gauge("auburnhub_configuration_offset",
                             "Offset of the configuration in force")),
      m_Refused(Metrics.counter("auburnhub_configuration_refused_total",
                                "Configuration records not accepted")),
      m_AppendClient(Settings.m_Platform, Vm),
      m_Tailer(Settings.m_Platform, Vm, configurationTail(Settings.m_PollWait),
               Owner, Timers,
               {[](std::int64_t, std::int64_t) {},
                [this](const StreamPage &Page) { onPage(Page); },
                [this](const absl::Status &Why) { m_NotePlatform(Why); }}) {
  m_Offset.set(static_cast<double>(offset()));
}

void ConfigurationService::start() { m_Tailer.start(); }

void ConfigurationService::stop() {
  m_AppendTask.stop();
  m_Tailer.stop();
}

void ConfigurationService::adopt(const ConfigurationUpdate &FromPeer) {
  if (FromPeer.m_Offset > offset())
    report(m_History.adopt(FromPeer), "peer");
}

void ConfigurationService::renewIfDue() {
  bool IsDue =
      m_History.isRenewalDue(m_First, m_End) && m_RenewedOffset != offset();
  if (!IsDue)
    return;
  m_RenewedOffset = offset();
  m_Log.info("configuration_renewal", {{"offset", offset()}});
  nlohmann::json Records = nlohmann::json::array({toJson(m_History.renewal())});
  m_AppendTask.post([this, Records = std::move(Records)] {
    auto Appended = m_AppendClient.append(ConfigurationStream, Records);
    if (!Appended.ok())
      m_Owner.post([this] { m_RenewedOffset = -1; });
  });
}

nlohmann::json ConfigurationService::status() const {
  nlohmann::json Status = {{"offset", offset()},
                           {"next_offset", m_History.nextOffset()},
                           {"first", m_First},
                           {"end", m_End}};
  if (accepted()) {
    Status["change_id"] = accepted()->m_Record.m_ChangeId;
    Status["author"] = accepted()->m_Record.m_Author;
  }
  return Status;
}

void ConfigurationService::onPage(const StreamPage &Page) {
  m_NotePlatform(absl::OkStatus());
  m_First = Page.m_First;
  m_End = Page.m_End;
  m_History.beginPage(Page.m_First);
  for (const StreamRecord &Record : Page.m_Records)
    report(m_History.apply(Record.m_Offset, Record.m_Data), "log");
  if (m_History.nextOffset() < Page.m_End)
    return;
  for (const ConfigurationDecision &Decision : m_History.caughtUp())
    report(Decision, "log");
}

void ConfigurationService::report(const ConfigurationDecision &Decision,
                                  std::string_view Source) {
  nlohmann::json Fields = {{"offset", Decision.m_Offset},
                           {"change_id", Decision.m_ChangeId},
                           {"author", Decision.m_Author},
                           {"source", Source}};
  switch (Decision.m_Verdict) {
  case ConfigurationVerdict::Accepted:
  case ConfigurationVerdict::Renewed:
    Fields["renewed"] = Decision.m_Verdict == ConfigurationVerdict::Renewed;
    m_Log.info("configuration_in_force", std::move(Fields));
    m_Offset.set(static_cast<double>(offset()));
    m_Changed();
    return;
  case ConfigurationVerdict::Passed:
  case ConfigurationVerdict::Held:
    return;
  case ConfigurationVerdict::Repeated:
  case ConfigurationVerdict::Conflict:
  case ConfigurationVerdict::Malformed:
  case ConfigurationVerdict::UnknownSchema:
    break;
  }
  m_Refused.add();
  Fields["reason"] = configurationVerdictName(Decision.m_Verdict);
  Fields["detail"] = Decision.m_Detail;
  m_Log.warning("configuration_not_accepted", std::move(Fields));
}

} // namespace auburnhub
