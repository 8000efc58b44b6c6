#include "auburnhub/Base/BoundedJson.h"

#include "auburnhub/Base/Failure.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnhub {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxDetailBytes = 200;
constexpr std::string_view Replacement = "\xef\xbf\xbd";
constexpr std::string_view ReplacementEscape = "\\ufffd";

/// Returns the deepest nesting of a text, which need not be valid.
std::size_t nestingDepth(std::string_view Text) {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (InString) {
      if (C == '\\')
        ++I;
      InString = C != '"';
    } else if (C == '"') {
      InString = true;
    } else if (C == '[' || C == '{') {
      Deepest = std::max(Deepest, ++Depth);
    } else if ((C == ']' || C == '}') && Depth > 0) {
      --Depth;
    }
  }
  return Deepest;
}

bool isContinuation(char C) {
  return (static_cast<unsigned char>(C) & 0xc0U) == 0x80U;
}

/// Returns the length of the UTF-8 sequence at the start of a text that is not
/// empty; 0 if it is not one.
std::size_t sequenceLength(std::string_view Text) {
  auto First = static_cast<unsigned char>(Text[0]);
  if (First < 0x80U)
    return 1;
  std::size_t Length = First >= 0xf0U ? 4 : First >= 0xe0U ? 3 : 2;
  if (First < 0xc2U || First > 0xf4U || Text.size() < Length)
    return 0;
  for (std::size_t I = 1; I < Length; ++I)
    if (!isContinuation(Text[I]))
      return 0;
  auto Second = static_cast<unsigned char>(Text[1]);
  bool IsOverlong =
      (First == 0xe0U && Second < 0xa0U) || (First == 0xf0U && Second < 0x90U);
  bool IsBeyond =
      (First == 0xedU && Second > 0x9fU) || (First == 0xf4U && Second > 0x8fU);
  return IsOverlong || IsBeyond ? 0 : Length;
}

enum class Surrogate { None, High, Low };

Surrogate surrogateAt(std::string_view Text) {
  constexpr std::size_t EscapeBytes = 6;
  bool IsEscape = Text.size() >= EscapeBytes && Text.starts_with("\\u") &&
                  (Text[2] == 'd' || Text[2] == 'D');
  if (!IsEscape ||
      std::string_view("89abAB").find(Text[3]) != std::string_view::npos)
    return IsEscape ? Surrogate::High : Surrogate::None;
  return std::string_view("cdefCDEF").find(Text[3]) != std::string_view::npos
             ? Surrogate::Low
             : Surrogate::None;
}

std::string repaired(std::string_view Text) {
  constexpr std::size_t EscapeBytes = 6;
  std::string Result;
  Result.reserve(Text.size());
  while (!Text.empty()) {
    std::size_t Length = sequenceLength(Text);
    std::string_view Added = Length == 0 ? Replacement : Text.substr(0, Length);
    if (Text[0] == '\\') {
      Surrogate First = surrogateAt(Text);
      Length = First == Surrogate::None ? 2 : EscapeBytes;
      bool IsPair = First == Surrogate::High &&
                    surrogateAt(Text.substr(EscapeBytes)) == Surrogate::Low;
      if (IsPair)
        Length = 2 * EscapeBytes;
      Added = First == Surrogate::None || IsPair ? Text.substr(0, Length)
                                                 : ReplacementEscape;
    }
    Result += Added;
    Text.remove_prefix(std::min(Text.size(), std::max<std::size_t>(Length, 1)));
  }
  return Result;
}

absl::Status misread(const std::string &Name, std::string_view Expected) {
  return makeFailure(FailureCode::BadMessage,
                     Name + ": expected " + std::string(Expected));
}

std::string range(double Low, double High) {
  auto Text = [](double Value) { return Json(Value).dump(); };
  return "from " + Text(Low) + " to " + Text(High);
}

std::string range(std::int64_t Low, std::int64_t High) {
  return "from " + std::to_string(Low) + " to " + std::to_string(High);
}

} // namespace

absl::StatusOr<Json> parseBoundedJson(std::string_view Text,
                                      const JsonLimits &Limits) {
  if (Text.size() > Limits.m_MaxBytes)
    return makeFailure(FailureCode::BadMessage,
                       "expected at most " + std::to_string(Limits.m_MaxBytes) +
                           " bytes of JSON");
  if (nestingDepth(Text) > Limits.m_MaxDepth)
    return makeFailure(FailureCode::BadMessage,
                       "expected JSON nested at most " +
                           std::to_string(Limits.m_MaxDepth) + " deep");
  try {
    return Json::parse(Text);
  } catch (const Json::exception &E) {
    // The detail quotes the text.
    std::string Detail = E.what();
    if (Detail.size() > MaxDetailBytes)
      Detail = Detail.substr(0, MaxDetailBytes) + "...";
    return makeFailure(FailureCode::BadMessage, "expected JSON: " + Detail);
  }
}

absl::StatusOr<Json> parseRepairedJson(std::string_view Text,
                                       const JsonLimits &Limits) {
  absl::StatusOr<Json> Parsed = parseBoundedJson(Text, Limits);
  if (Parsed.ok() || Text.size() > Limits.m_MaxBytes)
    return Parsed;
  JsonLimits Wider = Limits;
  Wider.m_MaxBytes *= Replacement.size();
  return parseBoundedJson(repaired(Text), Wider);
}

std::optional<std::int64_t> wholeNumber(const Json &Value, std::int64_t Low,
                                        std::int64_t High) {
  std::int64_t Result = 0;
  if (Value.is_number_unsigned()) {
    auto Unsigned = Value.get<std::uint64_t>();
    if (!std::in_range<std::int64_t>(Unsigned))
      return std::nullopt;
    Result = static_cast<std::int64_t>(Unsigned);
  } else if (Value.is_number_integer()) {
    Result = Value.get<std::int64_t>();
  } else if (Value.is_number_float()) {
    constexpr double MaxExact = 9007199254740992; // 2^53
    auto Number = Value.get<double>();
    if (!(std::abs(Number) <= MaxExact) || std::trunc(Number) != Number)
      return std::nullopt;
    Result = static_cast<std::int64_t>(Number);
  } else {
    return std::nullopt;
  }
  if (Result < Low || Result > High)
    return std::nullopt;
  return Result;
}

JsonFields::JsonFields(const Json &Object, std::string Prefix)
    : m_Object(Object), m_Prefix(std::move(Prefix)) {
  if (!m_Object.is_object())
    m_Status = misread(m_Prefix.empty() ? "JSON" : m_Prefix, "an object");
}

const Json *JsonFields::find(const std::string &Name, bool IsRequired,
                             std::string_view Expected) {
  auto Found = m_Object.is_object() ? m_Object.find(Name) : m_Object.end();
  if (Found != m_Object.end())
    return &*Found;
  if (IsRequired)
    addFault(Name, Expected);
  return nullptr;
}

bool JsonFields::has(const std::string &Name) const {
  return m_Object.is_object() && m_Object.contains(Name);
}

void JsonFields::addFault(const std::string &Name, std::string_view Expected) {
  if (m_Status.ok())
    m_Status = misread(m_Prefix + Name, Expected);
}

void JsonFields::addFaultOf(const JsonFields &Nested) {
  if (m_Status.ok())
    m_Status = Nested.m_Status;
}

std::string JsonFields::requireText(const std::string &Name) {
  const Json *Found = find(Name, true, "text");
  return Found ? getText(Name, "") : "";
}

std::string JsonFields::getText(const std::string &Name, std::string Default) {
  const Json *Found = find(Name, false, "text");
  if (!Found)
    return Default;
  if (Found->is_string())
    return Found->get<std::string>();
  addFault(Name, "text");
  return Default;
}

std::int64_t JsonFields::requireWhole(const std::string &Name, std::int64_t Low,
                                      std::int64_t High) {
  const Json *Found = find(Name, true, "a whole number " + range(Low, High));
  return Found ? getWhole(Name, Low, High, Low) : Low;
}

std::int64_t JsonFields::getWhole(const std::string &Name, std::int64_t Low,
                                  std::int64_t High, std::int64_t Default) {
  const Json *Found = find(Name, false, "");
  if (!Found)
    return Default;
  if (auto Number = wholeNumber(*Found, Low, High))
    return *Number;
  addFault(Name, "a whole number " + range(Low, High));
  return Default;
}

std::vector<std::int64_t> JsonFields::getWholes(const std::string &Name,
                                                std::int64_t Low,
                                                std::int64_t High) {
  std::vector<std::int64_t> Result;
  if (!find(Name, false, ""))
    return Result;
  for (const Json &Item : requireArray(Name)) {
    auto Number = wholeNumber(Item, Low, High);
    if (!Number) {
      addFault(Name, "a list of whole numbers " + range(Low, High));
      return {};
    }
    Result.push_back(*Number);
  }
  return Result;
}

bool JsonFields::getBool(const std::string &Name, bool Default) {
  const Json *Found = find(Name, false, "");
  if (!Found)
    return Default;
  if (Found->is_boolean())
    return Found->get<bool>();
  addFault(Name, "true or false");
  return Default;
}

double JsonFields::getNumber(const std::string &Name, double Low, double High,
                             double Default) {
  const Json *Found = find(Name, false, "");
  if (!Found)
    return Default;
  double Number = Found->is_number() ? Found->get<double>() : Low - 1;
  if (Number >= Low && Number <= High)
    return Number;
  addFault(Name, "a number " + range(Low, High));
  return Default;
}

const Json &JsonFields::requireArray(const std::string &Name) {
  static const Json Empty = Json::array();
  const Json *Found = find(Name, true, "a list");
  if (Found && Found->is_array())
    return *Found;
  addFault(Name, "a list");
  return Empty;
}

const Json &JsonFields::requireObject(const std::string &Name) {
  static const Json Empty = Json::object();
  const Json *Found = find(Name, true, "an object");
  if (Found && Found->is_object())
    return *Found;
  addFault(Name, "an object");
  return Empty;
}

std::vector<std::string> JsonFields::requireTexts(const std::string &Name) {
  std::vector<std::string> Result;
  for (const Json &Item : requireArray(Name)) {
    if (!Item.is_string()) {
      addFault(Name, "a list of texts");
      return {};
    }
    Result.push_back(Item.get<std::string>());
  }
  return Result;
}

} // namespace auburnhub
