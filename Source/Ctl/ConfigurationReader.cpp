#include "auburnhub/Ctl/ConfigurationReader.h"

namespace auburnhub {

void ConfigurationReader::take(const RecordPage &Page) {
  m_History.beginPage(Page.m_First);
  for (const StoredRecord &Record : Page.m_Records) {
    ConfigurationDecision Decision =
        m_History.apply(Record.m_Offset, Record.m_Data);
    m_Records[Record.m_Offset] = {Record.m_TimeMs, Record.m_Data,
                                  std::move(Decision)};
  }
}

void ConfigurationReader::finish() {
  for (ConfigurationDecision &Decision : m_History.caughtUp())
    m_Records[Decision.m_Offset].m_Decision = std::move(Decision);
}

const JudgedRecord *
ConfigurationReader::findChange(const std::string &ChangeId) const {
  const JudgedRecord *Last = nullptr;
  for (const auto &[Offset, Record] : m_Records) {
    if (Record.m_Decision.m_ChangeId != ChangeId)
      continue;
    if (Record.isAccepted())
      return &Record;
    Last = &Record;
  }
  return Last;
}

std::vector<const JudgedRecord *>
ConfigurationReader::acceptedBetween(std::int64_t After,
                                     std::int64_t Before) const {
  std::vector<const JudgedRecord *> Result;
  for (const auto &[Offset, Record] : m_Records)
    if (Offset > After && Offset < Before && Record.isAccepted())
      Result.push_back(&Record);
  return Result;
}

} // namespace auburnhub
