#ifndef AUBURNHUB_MESSAGES_CODEC_H
#define AUBURNHUB_MESSAGES_CODEC_H

#include "auburnhub/Base/BoundedJson.h"
#include "auburnhub/Base/Failure.h"
#include "auburnhub/Base/SubmissionId.h"

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace auburnhub {

/// The schema version of the messages between processes. A process speaks to
/// peers whose version lies in [OldestWireSchema, WireSchema].
inline constexpr int WireSchema = 1;
inline constexpr int OldestWireSchema = 1;

/// Opaque bytes; a CBOR byte string on the wire.
struct Bytes {
  std::string m_Data;
  bool operator==(const Bytes &) const = default;
};

namespace detail {

/// A struct that lists its fields by `template fields(Visitor &)`.
struct AnyVisitor {
  template <typename Value> void operator()(std::string_view, Value &) {}
};
template <typename Type>
concept HasFields = requires(Type &Value, AnyVisitor &Visitor) {
  Value.fields(Visitor);
};

template <typename Value> nlohmann::json toJson(const Value &In);
template <typename Value> void fromJson(const nlohmann::json &In, Value &Out);

class FieldWriter {
public:
  template <typename Value>
  void operator()(std::string_view Name, const Value &Field) {
    m_Json[std::string(Name)] = toJson(Field);
  }
  nlohmann::json m_Json = nlohmann::json::object();
};

class FieldReader {
public:
  explicit FieldReader(const nlohmann::json &Json) : m_Json(Json) {}
  template <typename Value>
  void operator()(std::string_view Name, Value &Field) {
    auto Found = m_Json.find(std::string(Name));
    // A field that the sender does not know keeps its default.
    if (Found != m_Json.end())
      fromJson(*Found, Field);
  }

private:
  const nlohmann::json &m_Json;
};

template <typename Type> struct IsVector : std::false_type {};
template <typename Item> struct IsVector<std::vector<Item>> : std::true_type {};
template <typename Type> struct IsMap : std::false_type {};
template <typename Item>
struct IsMap<std::map<std::string, Item>> : std::true_type {};

template <typename Value> nlohmann::json toJson(const Value &In) {
  if constexpr (HasFields<Value>) {
    FieldWriter Writer;
    const_cast<Value &>(In).fields(Writer);
    return std::move(Writer.m_Json);
  } else if constexpr (std::same_as<Value, Bytes>) {
    return nlohmann::json::binary(
        std::vector<std::uint8_t>(In.m_Data.begin(), In.m_Data.end()));
  } else if constexpr (std::same_as<Value, SubmissionId>) {
    return In.isNil() ? nlohmann::json("") : nlohmann::json(In.str());
  } else if constexpr (std::is_enum_v<Value>) {
    return static_cast<int>(In);
  } else if constexpr (IsVector<Value>::value) {
    nlohmann::json Array = nlohmann::json::array();
    for (const auto &Item : In)
      Array.push_back(toJson(Item));
    return Array;
  } else if constexpr (IsMap<Value>::value) {
    nlohmann::json Object = nlohmann::json::object();
    for (const auto &[Key, Item] : In)
      Object[Key] = toJson(Item);
    return Object;
  } else {
    return In;
  }
}

/// Returns a whole number that fits into the type; throws other_error if it is
/// not one.
template <std::integral Value> Value integerFrom(const nlohmann::json &In) {
  if (In.is_number_unsigned() && std::in_range<Value>(In.get<std::uint64_t>()))
    return static_cast<Value>(In.get<std::uint64_t>());
  auto Number = wholeNumber(In, std::numeric_limits<std::int64_t>::min(),
                            std::numeric_limits<std::int64_t>::max());
  if (!Number || !std::in_range<Value>(*Number))
    throw nlohmann::json::other_error::create(
        501, "expected a whole number that fits into its field", nullptr);
  return static_cast<Value>(*Number);
}

/// Throws nlohmann::json::exception if a value has another type or does not fit
/// into its field; decode() turns that into a status.
template <typename Value> void fromJson(const nlohmann::json &In, Value &Out) {
  if constexpr (HasFields<Value>) {
    FieldReader Reader(In);
    Out.fields(Reader);
  } else if constexpr (std::same_as<Value, Bytes>) {
    const auto &Binary = In.get_binary();
    Out.m_Data.assign(Binary.begin(), Binary.end());
  } else if constexpr (std::same_as<Value, SubmissionId>) {
    std::string Text = In.get<std::string>();
    Out = SubmissionId();
    if (Text.empty())
      return;
    absl::StatusOr<SubmissionId> Parsed = SubmissionId::parse(Text);
    if (!Parsed.ok())
      throw nlohmann::json::other_error::create(501, "bad id", nullptr);
    Out = *Parsed;
  } else if constexpr (std::is_enum_v<Value>) {
    Out = static_cast<Value>(integerFrom<int>(In));
  } else if constexpr (std::integral<Value> && !std::same_as<Value, bool>) {
    Out = integerFrom<Value>(In);
  } else if constexpr (IsVector<Value>::value) {
    Out.clear();
    for (const nlohmann::json &Item : In) {
      Out.emplace_back();
      fromJson(Item, Out.back());
    }
  } else if constexpr (IsMap<Value>::value) {
    Out.clear();
    for (const auto &[Key, Item] : In.items())
      fromJson(Item, Out[Key]);
  } else {
    In.get_to(Out);
  }
}

} // namespace detail

/// A message of the protocols between processes: a struct with a TypeName that
/// lists its fields.
template <typename Type>
concept WireMessage = detail::HasFields<Type> && requires {
  { Type::TypeName } -> std::convertible_to<std::string_view>;
};

/// A received message whose body is still to be decoded.
struct Envelope {
  int m_Schema = 0;
  std::string m_Type;
  nlohmann::json m_Body;
};

/// Decodes CBOR. Returns a discarded value if it is malformed or nested too
/// deep.
nlohmann::json boundedFromCbor(std::string_view Cbor);

/// Encodes an envelope as CBOR (RFC 8949).
std::string encodeEnvelope(std::string_view Type, nlohmann::json Body);

/// Decodes CBOR. Fails with BadMessage, or with UnsupportedSchema if the
/// sender's schema version is not one that this process reads.
absl::StatusOr<Envelope> decodeEnvelope(std::string_view Cbor);

/// Encodes a message with its envelope.
template <WireMessage Type> std::string encode(const Type &Msg) {
  return encodeEnvelope(Type::TypeName, detail::toJson(Msg));
}

/// Converts a struct that lists its fields to JSON, for logs and pages.
template <detail::HasFields Type> nlohmann::json toJson(const Type &Value) {
  return detail::toJson(Value);
}

/// Decodes a struct from JSON. Fails with BadMessage if a field has a wrong
/// type; missing fields keep their defaults, unknown ones are ignored.
template <detail::HasFields Type>
absl::StatusOr<Type> fromJson(const nlohmann::json &Json) {
  Type Value;
  if (!Json.is_object())
    return makeFailure(FailureCode::BadMessage, "expected an object");
  try {
    detail::fromJson(Json, Value);
  } catch (const nlohmann::json::exception &E) {
    return makeFailure(FailureCode::BadMessage, E.what());
  }
  return Value;
}

/// Decodes the body of an envelope. Fails with BadMessage.
template <WireMessage Type>
absl::StatusOr<Type> decode(const Envelope &Received) {
  if (Received.m_Type != Type::TypeName)
    return makeFailure(FailureCode::BadMessage, "another type of message");
  return fromJson<Type>(Received.m_Body);
}

} // namespace auburnhub

#endif
