#ifndef AUBURNHUB_CTL_CONFIGURATIONPUBLISHER_H
#define AUBURNHUB_CTL_CONFIGURATIONPUBLISHER_H

#include "auburnhub/Ctl/ConfigurationReader.h"

#include <limits>
#include <string>

namespace auburnhub {

/// What became of a change that was to be published.
enum class PublishFate {
  Accepted, ///< In force everywhere within seconds.
  Conflict, ///< Another change was accepted on its base; it never will be.
  Refused,  ///< Appended, but readers do not accept it.
  Unknown,  ///< Not seen on the stream; an append may still take effect.
};

struct PublishResult {
  PublishFate m_Fate = PublishFate::Unknown;
  std::int64_t m_Offset = -1; ///< The change's own offset, if known.
  std::string m_Detail;
  int m_Appends = 0; ///< How often the record was sent.
};

/// Appends a configuration change and finds out what became of it.
///
/// An append whose reply is lost is made again with the same change_id, which
/// every reader takes for the same change. The record's place on the stream
/// alone decides; the reply to an append decides nothing.
template <RecordStream Stream> class ConfigurationPublisher {
public:
  /// Source must outlive the publisher.
  explicit ConfigurationPublisher(Stream &Source) : m_Stream(Source) {}

  /// Reads the stream to its end. Fails with the stream's failure.
  absl::Status read() { return m_Reader.readToEnd(m_Stream); }

  const ConfigurationReader &reader() const { return m_Reader; }

  /// Publishes a record. Call read() before, for its base.
  PublishResult publish(const ConfigurationRecord &Record) {
    PublishResult Result;
    if (const JudgedRecord *Known = m_Reader.findChange(Record.m_ChangeId))
      return judge(*Known, Result);
    if (Record.m_Base != m_Reader.history().offset()) {
      Result.m_Fate = PublishFate::Conflict;
      Result.m_Detail = "its base is not the record in force; nothing was "
                        "appended";
      return Result;
    }
    const nlohmann::json Data = toJson(Record);
    while (Result.m_Appends < MaxAppends) {
      ++Result.m_Appends;
      absl::Status Status = appendAndRead(Data);
      if (const JudgedRecord *Known = m_Reader.findChange(Record.m_ChangeId))
        return judge(*Known, Result);
      Result.m_Detail = failureDetail(Status);
      if (Result.m_Appends < MaxAppends)
        m_Stream.waitBeforeRetry();
    }
    return Result;
  }

private:
  static constexpr int MaxAppends = 5;

  absl::Status appendAndRead(const nlohmann::json &Data) {
    absl::StatusOr<std::int64_t> Appended = m_Stream.append(Data);
    absl::Status Read = read();
    return Appended.ok() ? Read : Appended.status();
  }

  static PublishResult judge(const JudgedRecord &Known, PublishResult Result) {
    Result.m_Offset = Known.m_Decision.m_Offset;
    Result.m_Detail = Known.m_Decision.m_Detail;
    if (Known.isAccepted())
      Result.m_Fate = PublishFate::Accepted;
    else if (Known.m_Decision.m_Verdict == ConfigurationVerdict::Conflict)
      Result.m_Fate = PublishFate::Conflict;
    else if (Known.m_Decision.m_Verdict == ConfigurationVerdict::Malformed ||
             Known.m_Decision.m_Verdict == ConfigurationVerdict::UnknownSchema)
      Result.m_Fate = PublishFate::Refused;
    return Result;
  }

  Stream &m_Stream;
  ConfigurationReader m_Reader;
};

/// Tells the loser of a race which records won, by whom, what they changed and
/// how to rebase. OwnOffset is -1 if nothing was appended.
std::string describeConflict(const ConfigurationReader &Reader,
                             const ConfigurationRecord &Own,
                             std::int64_t OwnOffset);

} // namespace auburnhub

#endif
