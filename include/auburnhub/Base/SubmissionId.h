#ifndef AUBURNHUB_BASE_SUBMISSIONID_H
#define AUBURNHUB_BASE_SUBMISSIONID_H

#include "absl/status/statusor.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace auburnhub {

/// Identifies one run of a dispatcher process: a random number drawn at start.
/// It has IncarnationBits significant bits and is never zero.
using Incarnation = std::uint64_t;

/// Names one submission. Its kind, and with it who may start the submission,
/// is in its UUID version (RFC 9562): version 7 was minted by a caller,
/// version 8 is a ticket that a dispatcher minted.
class SubmissionId {
public:
  static constexpr unsigned IncarnationBits = 46;
  static constexpr unsigned CounterBits = 28;

  /// The nil id, which names no submission.
  SubmissionId() = default;

  /// Parses the 36-character text form in either case. Fails with BadId for
  /// malformed text and for UUIDs of other versions or variants.
  static absl::StatusOr<SubmissionId> parse(std::string_view Text);

  /// Makes a ticket: mint time (ms since the Unix epoch), incarnation, counter.
  static SubmissionId makeTicket(std::int64_t TimeMs, Incarnation Owner,
                                 std::uint32_t Counter);

  /// Makes an id as a caller does, from two words of random bits.
  static SubmissionId makeCallerId(std::int64_t TimeMs, std::uint64_t RandomA,
                                   std::uint64_t RandomB);

  bool isNil() const;
  bool isTicket() const { return version() == 8; }
  bool isCallerId() const { return version() == 7; }

  /// Returns the mint time in milliseconds since the Unix epoch.
  std::int64_t timeMs() const;

  /// Returns the incarnation that minted a ticket.
  Incarnation incarnation() const;

  /// Returns a ticket's counter.
  std::uint32_t counter() const;

  std::string str() const;

  /// Returns a hash that spreads ids evenly over 64 bits.
  std::uint64_t hash() const;

  auto operator<=>(const SubmissionId &) const = default;

private:
  unsigned version() const;
  std::uint64_t high() const;
  std::uint64_t low() const;
  static SubmissionId fromWords(std::uint64_t High, std::uint64_t Low);

  std::array<std::uint8_t, 16> m_Bytes{};
};

/// Draws an incarnation from the system's random device.
Incarnation drawIncarnation();

} // namespace auburnhub

template <> struct std::hash<auburnhub::SubmissionId> {
  std::size_t operator()(const auburnhub::SubmissionId &Id) const noexcept {
    return Id.hash();
  }
};

#endif
