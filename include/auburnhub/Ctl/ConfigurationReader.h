#ifndef AUBURNHUB_CTL_CONFIGURATIONREADER_H
#define AUBURNHUB_CTL_CONFIGURATIONREADER_H

#include "auburnhub/Coordination/ConfigurationHistory.h"
#include "auburnhub/Ctl/PlatformStream.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnhub {

/// A record of the configuration stream and what became of it.
struct JudgedRecord {
  std::int64_t m_TimeMs = 0;
  nlohmann::json m_Data;
  ConfigurationDecision m_Decision;

  bool isAccepted() const {
    return m_Decision.m_Verdict == ConfigurationVerdict::Accepted ||
           m_Decision.m_Verdict == ConfigurationVerdict::Renewed;
  }

  /// Returns the body; null if the record has none.
  nlohmann::json body() const {
    return m_Data.is_object() && m_Data.contains("body") ? m_Data["body"]
                                                         : nlohmann::json();
  }
};

/// Reads the configuration stream and judges each record as every process
/// does.
class ConfigurationReader {
public:
  /// Reads from where the last call stopped to the stream's end. Fails with
  /// the stream's failure.
  template <RecordStream Stream> absl::Status readToEnd(Stream &Source) {
    while (true) {
      absl::StatusOr<RecordPage> Page = Source.read(m_History.nextOffset());
      if (!Page.ok())
        return Page.status();
      take(*Page);
      if (Page->m_Records.empty() || m_History.nextOffset() >= Page->m_End)
        break;
    }
    finish();
    return absl::OkStatus();
  }

  const ConfigurationHistory &history() const { return m_History; }

  /// Returns the records read, by offset.
  const std::map<std::int64_t, JudgedRecord> &records() const {
    return m_Records;
  }

  /// Returns the record that decides a change's fate: the accepted one, or
  /// else the last one that carries its id. Null if none was read.
  const JudgedRecord *findChange(const std::string &ChangeId) const;

  /// Returns the accepted records with offsets in (After, Before).
  std::vector<const JudgedRecord *> acceptedBetween(std::int64_t After,
                                                    std::int64_t Before) const;

private:
  void take(const RecordPage &Page);
  void finish();

  ConfigurationHistory m_History;
  std::map<std::int64_t, JudgedRecord> m_Records;
};

} // namespace auburnhub

#endif
