#ifndef AUBURNHUB_BASE_SETTINGSREADER_H
#define AUBURNHUB_BASE_SETTINGSREADER_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace YAML {
class Node;
} // namespace YAML

namespace auburnhub {

/// A host given as an IP number, and a TCP port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  /// Returns "host:port".
  std::string str() const;
  bool operator==(const Address &) const = default;
  bool operator<(const Address &Other) const {
    return std::tie(m_Host, m_Port) < std::tie(Other.m_Host, Other.m_Port);
  }
};

/// Parses "host:port". Fails with BadSettings.
absl::StatusOr<Address> parseAddress(std::string_view Text);

/// Reads one mapping of a YAML document and collects every fault in it.
///
/// Ask for each key once, then call finish() on the reader of the document: it
/// reports all faults at once, among them each key that nobody asked for.
/// A getter whose value is missing or wrong records a fault and returns the
/// default. Readers of nested mappings share the faults of the document's.
class SettingsReader {
public:
  /// Loads a file. Fails with BadSettings if it cannot be read or parsed.
  static absl::StatusOr<SettingsReader> load(const std::string &Path);

  /// Reads a document from text; Name stands for the file in messages.
  static absl::StatusOr<SettingsReader> parse(const std::string &Text,
                                              const std::string &Name);

  /// Required values.
  std::string requireString(std::string_view Key);
  Address requireAddress(std::string_view Key);

  /// Optional values. Numbers must lie in [Low, High].
  std::string getString(std::string_view Key, std::string_view Default);
  bool getBool(std::string_view Key, bool Default);
  std::int64_t getInteger(std::string_view Key, std::int64_t Default,
                          std::int64_t Low, std::int64_t High);
  double getNumber(std::string_view Key, double Default, double Low,
                   double High);
  std::vector<Address> getAddresses(std::string_view Key);
  std::map<std::string, std::string> getStringMap(std::string_view Key);

  /// Returns a reader of a nested mapping; of an empty one if it is missing.
  SettingsReader section(std::string_view Key);

  /// Returns readers of the mappings in a list; none if the key is missing.
  std::vector<SettingsReader> list(std::string_view Key);

  bool has(std::string_view Key) const;

  /// Records a fault that only the caller can see, such as a clash of keys.
  void addFault(std::string_view Key, std::string_view Expected);

  /// Returns OK, or BadSettings with one line for each fault:
  /// "file:line:column: key: what was expected".
  absl::Status finish();

private:
  struct Document;
  SettingsReader(std::shared_ptr<Document> Doc, std::string Prefix,
                 std::shared_ptr<YAML::Node> Node);

  template <typename Value>
  Value read(std::string_view Key, Value Default, std::string_view Expected,
             const std::function<bool(const Value &)> &Accept);
  YAML::Node find(std::string_view Key);
  void faultAt(const YAML::Node &Where, std::string_view Key,
               std::string_view Expected);
  std::string fullKey(std::string_view Key) const;

  std::shared_ptr<Document> m_Document;
  std::string m_Prefix;
  std::shared_ptr<YAML::Node> m_Node;
};

} // namespace auburnhub

#endif
