#ifndef AUBURNHUB_COORDINATION_CLAIMTABLE_H
#define AUBURNHUB_COORDINATION_CLAIMTABLE_H

#include "auburnhub/Coordination/Claim.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburnhub {

enum class ClaimVerdict {
  Winner,       ///< The first claim of the id in log order is known.
  NotClaimed,   ///< No claim of the id was read so far.
  TooOld,       ///< Minted before the resubmission window.
  FromFuture,   ///< Minted later than the clock bound allows.
  HistoryUnread ///< A claim may lie in a part of the stream that was not read.
};

/// What a ClaimTable knows of one id.
struct ClaimDecision {
  ClaimVerdict m_Verdict = ClaimVerdict::HistoryUnread;
  std::optional<Claim> m_Winner; ///< Set for ClaimVerdict::Winner only.
};

/// Remembers the first claim of each id in log order.
///
/// Feed it with the records of the claim stream in order. It decides ids whose
/// claims cannot lie before the part that was read: an id cannot have been
/// claimed before it was minted, so with records read from platform time T on,
/// every id minted at T + clock bound or later is decided. It keeps claims for
/// the resubmission window and the clock bound, then forgets them by mint time.
///
/// Memory: an entry has 48 bytes and one of hash metadata; with the load of
/// the hash table between 7/16 and 7/8 a claim takes 56 to 112 bytes. Digests
/// longer than 16 bytes (32 hexadecimal digits) are kept aside and take more.
class ClaimTable {
public:
  explicit ClaimTable(ClaimLimits Limits = {}) : m_Limits(Limits) {}

  /// Changes the limits. What was forgotten stays refused.
  void setLimits(ClaimLimits Limits) { m_Limits = Limits; }
  const ClaimLimits &limits() const { return m_Limits; }

  /// Says that every record at or after an offset will be observed, and that
  /// those have all the claims made since platform time ReadFromMs.
  void begin(std::int64_t Offset, std::int64_t ReadFromMs);

  /// Takes the record at an offset. Records observed before are ignored; if
  /// records were skipped, the history begins again after this record's time.
  void observe(std::int64_t Offset, std::int64_t PlatformTimeMs,
               std::span<const Claim> Claims);

  /// Decides an id at wall-clock time NowMs.
  ClaimDecision decide(const SubmissionId &Id, std::int64_t NowMs) const;

  /// Forgets ids that nobody may resubmit any more.
  void forgetExpired(std::int64_t NowMs);

  /// Returns the offset of the next record to observe; -1 before begin().
  std::int64_t nextOffset() const { return m_NextOffset; }

  /// Returns the number of claims remembered.
  std::size_t size() const;

private:
  static constexpr std::size_t PackedDigestBytes = 16;
  static constexpr std::uint8_t LongDigest = 0xFF;

  /// A claim without its id.
  struct Entry {
    Incarnation m_Incarnation;
    std::uint32_t m_Team; ///< Index into m_Teams.
    std::array<std::uint8_t, PackedDigestBytes> m_Digest;
    std::uint8_t m_DigestBytes; ///< LongDigest: kept in the slice's map.
  };
  static_assert(sizeof(Entry) == 32);

  /// The ids minted in one span of time, so that they are forgotten at once.
  struct Slice {
    absl::flat_hash_map<SubmissionId, Entry> m_Entries;
    std::unordered_map<SubmissionId, std::string> m_LongDigests;
  };

  void add(const Claim &What);
  Claim unpack(const SubmissionId &Id, const Entry &From,
               const Slice &Within) const;
  std::uint32_t teamIndex(std::string_view Team);

  ClaimLimits m_Limits;
  std::int64_t m_NextOffset = -1;
  std::int64_t m_ReadFromMs = 0;
  std::int64_t m_ForgottenBeforeMs = 0;   ///< Ids minted before are refused.
  std::map<std::int64_t, Slice> m_Slices; ///< By mint time / slice length.
  std::vector<std::string> m_Teams;
  std::map<std::string, std::uint32_t, std::less<>> m_TeamIndexes;
};

} // namespace auburnhub

#endif
