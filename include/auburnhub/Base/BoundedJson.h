#ifndef AUBURNHUB_BASE_BOUNDEDJSON_H
#define AUBURNHUB_BASE_BOUNDEDJSON_H

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reads JSON that others wrote: bounds its size and depth, and checks the type
/// and range of each value.

namespace auburnhub {

struct JsonLimits {
  std::size_t m_MaxBytes = 4U << 20U;
  std::size_t m_MaxDepth = 32; ///< Of nested arrays and objects.
};

/// Parses JSON. Fails with BadMessage if it is malformed, too long or nested
/// too deep; the detail says which.
absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view Text,
                                                const JsonLimits &Limits = {});

/// Like parseBoundedJson(), but replaces bytes that are not UTF-8 and lone
/// surrogates by U+FFFD, so that one odd string does not spoil the others.
absl::StatusOr<nlohmann::json> parseRepairedJson(std::string_view Text,
                                                 const JsonLimits &Limits = {});

/// Returns a number without a fraction that lies in [Low, High]; otherwise
/// nothing. No value wraps.
std::optional<std::int64_t> wholeNumber(const nlohmann::json &Value,
                                        std::int64_t Low, std::int64_t High);

/// Reads the fields of one object and records the first fault. A getter whose
/// value is missing or wrong records a fault and returns the default; a field
/// that is optional may be missing, but not wrong.
class JsonFields {
public:
  /// Prefix stands before the names of fields in messages. The object must
  /// outlive the reader.
  explicit JsonFields(const nlohmann::json &Object, std::string Prefix = "");

  bool has(const std::string &Name) const;

  std::string requireText(const std::string &Name);
  std::int64_t requireWhole(const std::string &Name, std::int64_t Low,
                            std::int64_t High);
  /// Returns an empty array or object if it is missing or has another type.
  const nlohmann::json &requireArray(const std::string &Name);
  const nlohmann::json &requireObject(const std::string &Name);
  std::vector<std::string> requireTexts(const std::string &Name);

  std::string getText(const std::string &Name, std::string Default);
  std::int64_t getWhole(const std::string &Name, std::int64_t Low,
                        std::int64_t High, std::int64_t Default);
  /// Returns an empty list if the field is missing.
  std::vector<std::int64_t> getWholes(const std::string &Name, std::int64_t Low,
                                      std::int64_t High);
  bool getBool(const std::string &Name, bool Default);
  double getNumber(const std::string &Name, double Low, double High,
                   double Default);

  /// Records a fault that only the caller can see.
  void addFault(const std::string &Name, std::string_view Expected);
  /// Takes over the fault of the reader of a nested object.
  void addFaultOf(const JsonFields &Nested);

  /// Returns OK, or BadMessage with "field: what was expected".
  absl::Status status() const { return m_Status; }

private:
  const nlohmann::json *find(const std::string &Name, bool IsRequired,
                             std::string_view Expected);

  const nlohmann::json &m_Object;
  std::string m_Prefix;
  absl::Status m_Status;
};

} // namespace auburnhub

#endif
