#include "auburnhub/Messages/Codec.h"

#include <optional>
#include <vector>

namespace auburnhub {
namespace {

/// Each level of a tree takes a call of the decoder.
constexpr std::size_t MaxCborDepth = 64;

enum CborMajor : unsigned {
  MajorBytes = 2,
  MajorText = 3,
  MajorArray = 4,
  MajorMap = 5,
  MajorSimple = 7,
};

/// The first byte of an item and the number that follows it.
struct CborHead {
  unsigned m_Major = 0;
  std::uint64_t m_Number = 0;
  bool m_IsIndefinite = false;
};

/// Takes a head from the front of the bytes; nothing if they end within it.
std::optional<CborHead> takeHead(std::string_view &Cbor) {
  constexpr unsigned LongNumbers = 24;
  constexpr unsigned Indefinite = 31;
  auto First = static_cast<unsigned char>(Cbor[0]);
  Cbor.remove_prefix(1);
  CborHead Head{static_cast<unsigned>(First) >> 5U, First & 31U};
  Head.m_IsIndefinite = Head.m_Number == Indefinite;
  if (Head.m_Number < LongNumbers || Head.m_IsIndefinite)
    return Head;
  std::size_t Bytes = std::size_t{1} << (Head.m_Number - LongNumbers);
  if (Bytes > sizeof(std::uint64_t) || Bytes > Cbor.size())
    return std::nullopt;
  Head.m_Number = 0;
  for (std::size_t I = 0; I < Bytes; ++I)
    Head.m_Number = (Head.m_Number << 8U) | static_cast<unsigned char>(Cbor[I]);
  Cbor.remove_prefix(Bytes);
  return Head;
}

/// Returns whether the first item is nested at most MaxCborDepth deep, and no
/// array or map is longer than what follows it can hold. Bytes that are
/// malformed otherwise are left to the decoder, which reads no further either.
bool isBounded(std::string_view Cbor) {
  constexpr std::uint64_t Unbounded = std::numeric_limits<std::uint64_t>::max();
  std::vector<std::uint64_t> ItemsLeft; // Of each array and map that is open.
  while (!Cbor.empty()) {
    std::optional<CborHead> Head = takeHead(Cbor);
    if (!Head)
      return true;
    bool IsString = Head->m_Major == MajorBytes || Head->m_Major == MajorText;
    bool IsTree = Head->m_Major == MajorArray || Head->m_Major == MajorMap;
    bool IsBreak = Head->m_Major == MajorSimple && Head->m_IsIndefinite;
    if (IsString && !Head->m_IsIndefinite) {
      if (Head->m_Number > Cbor.size())
        return true;
      Cbor.remove_prefix(Head->m_Number);
    } else if (IsTree || IsString) {
      std::uint64_t Items = Head->m_Number;
      if (!Head->m_IsIndefinite && Items > Cbor.size())
        return false;
      if (Head->m_Major == MajorMap)
        Items *= 2;
      ItemsLeft.push_back(Head->m_IsIndefinite ? Unbounded : Items);
    } else if (IsBreak && !ItemsLeft.empty()) {
      ItemsLeft.back() = 0;
    }
    if (ItemsLeft.size() > MaxCborDepth)
      return false;
    bool IsOpened = IsTree || (IsString && Head->m_IsIndefinite);
    if (!IsOpened && !IsBreak && !ItemsLeft.empty() &&
        ItemsLeft.back() != Unbounded)
      --ItemsLeft.back();
    while (!ItemsLeft.empty() && ItemsLeft.back() == 0) {
      ItemsLeft.pop_back();
      if (!ItemsLeft.empty() && ItemsLeft.back() != Unbounded)
        --ItemsLeft.back();
    }
    if (ItemsLeft.empty())
      return true;
  }
  return true;
}

} // namespace

nlohmann::json boundedFromCbor(std::string_view Cbor) {
  if (!isBounded(Cbor))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  try {
    return nlohmann::json::from_cbor(Cbor.begin(), Cbor.end(), /*strict=*/true,
                                     /*allow_exceptions=*/false);
  } catch (const nlohmann::json::exception &) {
    // Thrown for some lengths whatever is allowed.
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
}

std::string encodeEnvelope(std::string_view Type, nlohmann::json Body) {
  nlohmann::json Json = {
      {"v", WireSchema}, {"t", Type}, {"b", std::move(Body)}};
  std::string Cbor;
  nlohmann::json::to_cbor(Json, Cbor);
  return Cbor;
}

absl::StatusOr<Envelope> decodeEnvelope(std::string_view Cbor) {
  nlohmann::json Json = boundedFromCbor(Cbor);
  bool Valid = Json.is_object() && Json.contains("v") && Json.contains("t") &&
               Json.contains("b") && Json["v"].is_number_integer() &&
               Json["t"].is_string() && Json["b"].is_object();
  if (!Valid)
    return makeFailure(FailureCode::BadMessage, "not an envelope in CBOR");
  Envelope Result;
  Result.m_Schema = Json["v"].get<int>();
  Result.m_Type = Json["t"].get<std::string>();
  Result.m_Body = std::move(Json["b"]);
  if (Result.m_Schema < OldestWireSchema || Result.m_Schema > WireSchema)
    return makeFailure(FailureCode::UnsupportedSchema,
                       "schema version " + std::to_string(Result.m_Schema));
  return Result;
}

} // namespace auburnhub
