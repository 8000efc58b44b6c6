#ifndef AUBURNHUB_CTL_PLATFORMSTREAM_H
#define AUBURNHUB_CTL_PLATFORMSTREAM_H

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Http/HttpClient.h"

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnhub {

/// One record of a stream of the platform's log.
struct StoredRecord {
  std::int64_t m_Offset = -1;
  std::int64_t m_TimeMs = 0; ///< Platform time since the Unix epoch.
  nlohmann::json m_Data;
};

/// Records read at once.
struct RecordPage {
  std::int64_t m_First = 0; ///< Oldest kept offset.
  std::int64_t m_End = 0;   ///< Next offset to be written.
  std::vector<StoredRecord> m_Records;
};

/// A stream that can be read and appended to.
template <typename Type>
concept RecordStream = requires(Type &Stream, std::int64_t From,
                                const nlohmann::json &Data) {
  /// Returns the records from an offset on, perhaps not all of them.
  { Stream.read(From) } -> std::same_as<absl::StatusOr<RecordPage>>;
  /// Returns the new record's offset. After a failure the record may have
  /// been appended.
  { Stream.append(Data) } -> std::same_as<absl::StatusOr<std::int64_t>>;
  /// Returns after the time to wait before another attempt.
  Stream.waitBeforeRetry();
};

/// A stream of the platform, over HTTP. Fails with PlatformUnavailable.
class PlatformStream {
public:
  PlatformStream(const Address &Platform, const std::string &Stream);

  absl::StatusOr<RecordPage> read(std::int64_t From);
  absl::StatusOr<std::int64_t> append(const nlohmann::json &Data);
  void waitBeforeRetry();

private:
  absl::StatusOr<nlohmann::json> call(const HttpRequest &Request);

  std::string m_Path;
  HttpClient m_Client;
  TimerService m_Timers;
};

static_assert(RecordStream<PlatformStream>);

} // namespace auburnhub

#endif
