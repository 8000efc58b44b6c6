#include "auburnhub/Coordination/ClaimTable.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr std::int64_t SliceMs = 10000;
constexpr std::string_view HexDigits = "0123456789abcdef";

/// Packs lower-case hexadecimal digits into bytes; returns the number of
/// bytes, or nothing if the text has another form or does not fit.
std::optional<std::uint8_t> packHex(std::string_view Text,
                                    std::span<std::uint8_t> Out) {
  if (Text.size() % 2 != 0 || Text.size() / 2 > Out.size())
    return std::nullopt;
  for (std::size_t I = 0; I != Text.size(); ++I) {
    std::size_t Digit = HexDigits.find(Text[I]);
    if (Digit == std::string_view::npos)
      return std::nullopt;
    std::uint8_t &Byte = Out[I / 2];
    Byte = static_cast<std::uint8_t>((Byte << 4) | Digit);
  }
  return static_cast<std::uint8_t>(Text.size() / 2);
}

std::string unpackHex(std::span<const std::uint8_t> Packed) {
  std::string Text;
  for (std::uint8_t Byte : Packed) {
    Text += HexDigits[Byte >> 4];
    Text += HexDigits[Byte & 0xF];
  }
  return Text;
}

} // namespace

void ClaimTable::begin(std::int64_t Offset, std::int64_t ReadFromMs) {
  m_NextOffset = Offset;
  m_ReadFromMs = ReadFromMs;
}

void ClaimTable::observe(std::int64_t Offset, std::int64_t PlatformTimeMs,
                         std::span<const Claim> Claims) {
  if (Offset < m_NextOffset)
    return;
  if (Offset > m_NextOffset)
    m_ReadFromMs = std::max(m_ReadFromMs, PlatformTimeMs + 1);
  m_NextOffset = Offset + 1;
  for (const Claim &What : Claims)
    add(What);
}

ClaimDecision ClaimTable::decide(const SubmissionId &Id,
                                 std::int64_t NowMs) const {
  std::int64_t MintMs = Id.timeMs();
  bool IsTooOld = MintMs < NowMs - m_Limits.m_ResubmissionWindowMs ||
                  MintMs < m_ForgottenBeforeMs;
  if (IsTooOld)
    return {ClaimVerdict::TooOld, std::nullopt};
  if (MintMs > NowMs + m_Limits.m_ClockBoundMs)
    return {ClaimVerdict::FromFuture, std::nullopt};
  bool IsRead =
      m_NextOffset >= 0 &&
      (m_ReadFromMs == 0 || MintMs >= m_ReadFromMs + m_Limits.m_ClockBoundMs);
  if (!IsRead)
    return {ClaimVerdict::HistoryUnread, std::nullopt};
  auto Within = m_Slices.find(MintMs / SliceMs);
  if (Within == m_Slices.end())
    return {ClaimVerdict::NotClaimed, std::nullopt};
  auto Found = Within->second.m_Entries.find(Id);
  if (Found == Within->second.m_Entries.end())
    return {ClaimVerdict::NotClaimed, std::nullopt};
  return {ClaimVerdict::Winner, unpack(Id, Found->second, Within->second)};
}

void ClaimTable::forgetExpired(std::int64_t NowMs) {
  std::int64_t KeepFromMs =
      NowMs - m_Limits.m_ResubmissionWindowMs - m_Limits.m_ClockBoundMs;
  std::int64_t FirstSlice = KeepFromMs / SliceMs;
  if (FirstSlice <= 0)
    return;
  m_Slices.erase(m_Slices.begin(), m_Slices.lower_bound(FirstSlice));
  m_ForgottenBeforeMs = std::max(m_ForgottenBeforeMs, FirstSlice * SliceMs);
}

std::size_t ClaimTable::size() const {
  std::size_t Total = 0;
  for (const auto &[Unused, Within] : m_Slices)
    Total += Within.m_Entries.size();
  return Total;
}

void ClaimTable::add(const Claim &What) {
  std::int64_t MintMs = What.m_Id.timeMs();
  if (MintMs < m_ForgottenBeforeMs)
    return;
  Slice &Within = m_Slices[MintMs / SliceMs];
  auto [Place, IsFirst] = Within.m_Entries.try_emplace(What.m_Id);
  if (!IsFirst)
    return;
  Entry &Into = Place->second;
  Into = Entry{};
  Into.m_Incarnation = What.m_Incarnation;
  Into.m_Team = teamIndex(What.m_Team);
  auto Packed = packHex(What.m_Digest, Into.m_Digest);
  Into.m_DigestBytes = Packed.value_or(LongDigest);
  if (!Packed)
    Within.m_LongDigests[What.m_Id] = What.m_Digest;
}

Claim ClaimTable::unpack(const SubmissionId &Id, const Entry &From,
                         const Slice &Within) const {
  Claim Result;
  Result.m_Id = Id;
  Result.m_Team = m_Teams[From.m_Team];
  Result.m_Incarnation = From.m_Incarnation;
  if (From.m_DigestBytes == LongDigest)
    Result.m_Digest = Within.m_LongDigests.at(Id);
  else
    Result.m_Digest =
        unpackHex(std::span(From.m_Digest).first(From.m_DigestBytes));
  return Result;
}

std::uint32_t ClaimTable::teamIndex(std::string_view Team) {
  auto Found = m_TeamIndexes.find(Team);
  if (Found != m_TeamIndexes.end())
    return Found->second;
  auto Index = static_cast<std::uint32_t>(m_Teams.size());
  m_Teams.emplace_back(Team);
  m_TeamIndexes.emplace(Team, Index);
  return Index;
}

} // namespace auburnhub
