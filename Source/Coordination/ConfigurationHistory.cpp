#include "auburnhub/Coordination/ConfigurationHistory.h"

#include <algorithm>

namespace auburnhub {
namespace {

/// Accepted change ids that are remembered to tell repetitions from conflicts.
constexpr std::size_t MostChangeIds = 256;

ConfigurationDecision describe(ConfigurationVerdict Verdict,
                               std::int64_t Offset,
                               const ConfigurationRecord &Record,
                               std::string Detail = "") {
  return {Verdict, Offset, Record.m_ChangeId, Record.m_Author,
          std::move(Detail)};
}

absl::StatusOr<ConfigurationRecord> readRecord(const nlohmann::json &Data) {
  absl::StatusOr<ConfigurationRecord> Record =
      fromJson<ConfigurationRecord>(Data);
  if (!Record.ok())
    return Record;
  for (const char *Key : {"schema", "change_id", "base", "body"})
    if (!Data.contains(Key))
      return makeFailure(FailureCode::BadMessage,
                         std::string(Key) + ": is required");
  if (Record->m_ChangeId.empty())
    return makeFailure(FailureCode::BadMessage, "change_id: is empty");
  return Record;
}

ConfigurationVerdict verdictOf(const absl::Status &Failure) {
  return failureCode(Failure) == FailureCode::UnsupportedSchema
             ? ConfigurationVerdict::UnknownSchema
             : ConfigurationVerdict::Malformed;
}

} // namespace

std::string_view configurationVerdictName(ConfigurationVerdict Verdict) {
  switch (Verdict) {
  case ConfigurationVerdict::Accepted:
    return "accepted";
  case ConfigurationVerdict::Renewed:
    return "renewed";
  case ConfigurationVerdict::Repeated:
    return "repeated";
  case ConfigurationVerdict::Conflict:
    return "conflict";
  case ConfigurationVerdict::Malformed:
    return "malformed";
  case ConfigurationVerdict::UnknownSchema:
    return "unknown_schema";
  case ConfigurationVerdict::Passed:
    return "passed";
  case ConfigurationVerdict::Held:
    return "held";
  }
  return "malformed";
}

void ConfigurationHistory::beginPage(std::int64_t First) {
  if (First <= m_NextOffset)
    return;
  m_NextOffset = First;
  m_Held.clear();
  m_UnreadableBases.clear();
  bool IsKnown = m_Accepted && m_Accepted->m_Offset + 1 >= First;
  m_HeldFrom.reset();
  if (!IsKnown)
    m_HeldFrom = First;
}

ConfigurationDecision ConfigurationHistory::apply(std::int64_t Offset,
                                                  const nlohmann::json &Data) {
  if (Offset < m_NextOffset)
    return {ConfigurationVerdict::Passed, Offset, "", "", ""};
  beginPage(Offset);
  m_NextOffset = Offset + 1;
  absl::StatusOr<ConfigurationRecord> Record = readRecord(Data);
  if (!Record.ok())
    return {ConfigurationVerdict::Malformed, Offset, "", "",
            failureDetail(Record.status())};
  if (Offset <= offset())
    return describe(ConfigurationVerdict::Passed, Offset, *Record);
  auto Body = ConfigurationBody::read(Record->m_Body, Record->m_Schema);
  if (!Body.ok()) {
    ConfigurationVerdict Verdict = verdictOf(Body.status());
    if (Verdict == ConfigurationVerdict::UnknownSchema)
      m_UnreadableBases.push_back(Record->m_Base);
    return describe(Verdict, Offset, *Record, failureDetail(Body.status()));
  }
  Candidate What{Offset, std::move(*Record), std::move(*Body)};
  if (!m_HeldFrom)
    return decide(std::move(What));
  m_Held.push_back(std::move(What));
  return describe(ConfigurationVerdict::Held, Offset, m_Held.back().m_Record);
}

std::vector<ConfigurationDecision> ConfigurationHistory::caughtUp() {
  std::vector<ConfigurationDecision> Decisions;
  if (!m_HeldFrom)
    return Decisions;
  std::vector<std::int64_t> Bases = std::exchange(m_UnreadableBases, {});
  for (const Candidate &What : m_Held)
    Bases.push_back(What.m_Record.m_Base);
  std::int64_t LargestBase = offset();
  for (std::int64_t Base : Bases)
    if (Base < *m_HeldFrom)
      LargestBase = std::max(LargestBase, Base);
  m_HeldFrom.reset();
  bool IsAnchored = LargestBase <= offset();
  for (Candidate &What : std::exchange(m_Held, {})) {
    if (IsAnchored) {
      Decisions.push_back(decide(std::move(What)));
      continue;
    }
    IsAnchored = What.m_Record.m_Base == LargestBase;
    Decisions.push_back(describe(IsAnchored ? ConfigurationVerdict::Accepted
                                            : ConfigurationVerdict::Conflict,
                                 What.m_Offset, What.m_Record));
    if (IsAnchored)
      accept(std::move(What));
  }
  return Decisions;
}

ConfigurationDecision
ConfigurationHistory::adopt(const ConfigurationUpdate &FromPeer) {
  if (FromPeer.m_Offset <= offset())
    return describe(ConfigurationVerdict::Passed, FromPeer.m_Offset,
                    FromPeer.m_Record);
  auto Body = ConfigurationBody::read(FromPeer.m_Record.m_Body,
                                      FromPeer.m_Record.m_Schema);
  if (!Body.ok())
    return describe(verdictOf(Body.status()), FromPeer.m_Offset,
                    FromPeer.m_Record, failureDetail(Body.status()));
  accept({FromPeer.m_Offset, FromPeer.m_Record, std::move(*Body)});
  return describe(ConfigurationVerdict::Accepted, FromPeer.m_Offset,
                  FromPeer.m_Record);
}

ConfigurationRecord ConfigurationHistory::renewal() const {
  ConfigurationRecord Record = m_Accepted->m_Record;
  Record.m_Base = m_Accepted->m_Offset;
  return Record;
}

bool ConfigurationHistory::isRenewalDue(std::int64_t First,
                                        std::int64_t End) const {
  bool WasTrimmed = First > 0;
  return m_Accepted && WasTrimmed &&
         m_Accepted->m_Offset < First + (End - First) / 2;
}

ConfigurationDecision ConfigurationHistory::decide(Candidate What) {
  const ConfigurationRecord &Record = What.m_Record;
  if (What.m_Offset <= offset())
    return describe(ConfigurationVerdict::Passed, What.m_Offset, Record);
  if (Record.m_Base != offset())
    return describe(wasAccepted(Record.m_ChangeId)
                        ? ConfigurationVerdict::Repeated
                        : ConfigurationVerdict::Conflict,
                    What.m_Offset, Record,
                    "the offset in force is " + std::to_string(offset()) +
                        ", its base " + std::to_string(Record.m_Base));
  bool IsSame = m_Accepted &&
                m_Accepted->m_Record.m_ChangeId == Record.m_ChangeId &&
                m_Accepted->m_Record.m_Body == Record.m_Body;
  auto Decision = describe(IsSame ? ConfigurationVerdict::Renewed
                                  : ConfigurationVerdict::Accepted,
                           What.m_Offset, Record);
  accept(std::move(What));
  return Decision;
}

void ConfigurationHistory::accept(Candidate What) {
  if (!wasAccepted(What.m_Record.m_ChangeId))
    m_ChangeIds.push_back(What.m_Record.m_ChangeId);
  if (m_ChangeIds.size() > MostChangeIds)
    m_ChangeIds.pop_front();
  m_Body = std::move(What.m_Body);
  m_Accepted = ConfigurationUpdate{What.m_Offset, std::move(What.m_Record)};
}

bool ConfigurationHistory::wasAccepted(const std::string &ChangeId) const {
  return std::find(m_ChangeIds.begin(), m_ChangeIds.end(), ChangeId) !=
         m_ChangeIds.end();
}

} // namespace auburnhub
