#include "auburnhub/Base/SubmissionId.h"

#include "auburnhub/Base/Failure.h"

#include <random>

namespace auburnhub {
namespace {

constexpr std::size_t TextLength = 36;
constexpr unsigned TimeShift = 16;
constexpr unsigned VersionShift = 12;
constexpr std::uint64_t VariantBits = 0x8000000000000000;
constexpr std::uint64_t LowPayloadMask = 0x3FFFFFFFFFFFFFFF;
/// A ticket's incarnation begins with the 12 bits after the version and goes
/// on with the first 34 of the 62 bits after the variant.
constexpr unsigned IncarnationLowBits = 34;
constexpr std::uint64_t IncarnationLowMask =
    (std::uint64_t{1} << IncarnationLowBits) - 1;
constexpr std::uint64_t CounterMask =
    (std::uint64_t{1} << SubmissionId::CounterBits) - 1;

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

bool isHyphenPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

absl::Status badId() {
  return makeFailure(FailureCode::BadId,
                     "expected a UUID of version 7 (minted by the caller) or "
                     "a ticket, in its 36-character form");
}

} // namespace

absl::StatusOr<SubmissionId> SubmissionId::parse(std::string_view Text) {
  if (Text.size() != TextLength)
    return badId();
  SubmissionId Id;
  std::size_t Nibble = 0;
  for (std::size_t I = 0; I != TextLength; ++I) {
    if (isHyphenPosition(I)) {
      if (Text[I] != '-')
        return badId();
      continue;
    }
    int Value = hexValue(Text[I]);
    if (Value < 0)
      return badId();
    std::uint8_t &Byte = Id.m_Bytes[Nibble / 2];
    Byte = static_cast<std::uint8_t>((Byte << 4) | Value);
    ++Nibble;
  }
  bool Variant = (Id.m_Bytes[8] & 0xC0) == 0x80;
  if (!Variant || (!Id.isTicket() && !Id.isCallerId()))
    return badId();
  return Id;
}

SubmissionId SubmissionId::makeTicket(std::int64_t TimeMs, Incarnation Owner,
                                      std::uint32_t Counter) {
  std::uint64_t High = (static_cast<std::uint64_t>(TimeMs) << TimeShift) |
                       (std::uint64_t{8} << VersionShift) |
                       ((Owner >> IncarnationLowBits) & 0xFFF);
  std::uint64_t Low =
      ((Owner & IncarnationLowMask) << CounterBits) | (Counter & CounterMask);
  return fromWords(High, VariantBits | Low);
}

SubmissionId SubmissionId::makeCallerId(std::int64_t TimeMs,
                                        std::uint64_t RandomA,
                                        std::uint64_t RandomB) {
  std::uint64_t High = (static_cast<std::uint64_t>(TimeMs) << TimeShift) |
                       (std::uint64_t{7} << VersionShift) | (RandomA & 0xFFF);
  return fromWords(High, VariantBits | (RandomB & LowPayloadMask));
}

bool SubmissionId::isNil() const { return *this == SubmissionId(); }

std::int64_t SubmissionId::timeMs() const {
  return static_cast<std::int64_t>(high() >> TimeShift);
}

Incarnation SubmissionId::incarnation() const {
  std::uint64_t Top = high() & 0xFFF;
  std::uint64_t Bottom = (low() & LowPayloadMask) >> CounterBits;
  return (Top << IncarnationLowBits) | Bottom;
}

std::uint32_t SubmissionId::counter() const {
  return static_cast<std::uint32_t>(low() & CounterMask);
}

std::string SubmissionId::str() const {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(TextLength);
  for (std::uint8_t Byte : m_Bytes) {
    if (isHyphenPosition(Text.size()))
      Text.push_back('-');
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 0xF]);
  }
  return Text;
}

std::uint64_t SubmissionId::hash() const {
  // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
  std::uint64_t Z = high() * 31 + low();
  Z = (Z ^ (Z >> 30)) * 0xBF58476D1CE4E5B9;
  Z = (Z ^ (Z >> 27)) * 0x94D049BB133111EB;
  return Z ^ (Z >> 31);
}

unsigned SubmissionId::version() const { return m_Bytes[6] >> 4; }

std::uint64_t SubmissionId::high() const {
  std::uint64_t Word = 0;
  for (std::size_t I = 0; I != 8; ++I)
    Word = (Word << 8) | m_Bytes[I];
  return Word;
}

std::uint64_t SubmissionId::low() const {
  std::uint64_t Word = 0;
  for (std::size_t I = 8; I != 16; ++I)
    Word = (Word << 8) | m_Bytes[I];
  return Word;
}

SubmissionId SubmissionId::fromWords(std::uint64_t High, std::uint64_t Low) {
  SubmissionId Id;
  for (std::size_t I = 0; I != 8; ++I) {
    Id.m_Bytes[I] = static_cast<std::uint8_t>(High >> (56 - 8 * I));
    Id.m_Bytes[8 + I] = static_cast<std::uint8_t>(Low >> (56 - 8 * I));
  }
  return Id;
}

Incarnation drawIncarnation() {
  std::random_device Device;
  std::uint64_t Word = (std::uint64_t{Device()} << 32) | Device();
  Word &= (std::uint64_t{1} << SubmissionId::IncarnationBits) - 1;
  return Word == 0 ? 1 : Word;
}

} // namespace auburnhub
