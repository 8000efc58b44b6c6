#include "auburnhub/Base/SettingsReader.h"

#include "auburnhub/Base/Failure.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace auburnhub {

struct SettingsReader::Document {
  std::string m_Name;
  std::vector<std::string> m_Faults;
  /// Full names of the keys that were asked for.
  std::set<std::string> m_Asked;
  YAML::Node m_Root;
};

namespace {

void collectUnasked(const YAML::Node &Node, const std::string &Prefix,
                    const std::set<std::string> &Asked,
                    std::vector<std::pair<YAML::Mark, std::string>> &Unasked) {
  for (const auto &Item : Node) {
    std::string Key = Prefix + Item.first.as<std::string>("?");
    if (!Asked.contains(Key)) {
      Unasked.emplace_back(Item.first.Mark(), Key);
      continue;
    }
    if (Item.second.IsMap() && !Asked.contains(Key + ".*"))
      collectUnasked(Item.second, Key + ".", Asked, Unasked);
    if (!Item.second.IsSequence())
      continue;
    std::size_t Index = 0;
    for (const YAML::Node &Element : Item.second) {
      std::string Inner = Key + "[" + std::to_string(Index++) + "].";
      if (Element.IsMap())
        collectUnasked(Element, Inner, Asked, Unasked);
    }
  }
}

std::string position(const std::string &Name, const YAML::Mark &Mark) {
  if (Mark.is_null())
    return Name;
  return Name + ":" + std::to_string(Mark.line + 1) + ":" +
         std::to_string(Mark.column + 1);
}

} // namespace

std::string Address::str() const {
  return m_Host + ":" + std::to_string(m_Port);
}

absl::StatusOr<Address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  Address Result;
  if (Colon != std::string_view::npos && Colon != 0) {
    Result.m_Host = std::string(Text.substr(0, Colon));
    std::string_view Port = Text.substr(Colon + 1);
    auto [End, Ec] =
        std::from_chars(Port.data(), Port.data() + Port.size(), Result.m_Port);
    if (Ec == std::errc() && End == Port.data() + Port.size() && !Port.empty())
      return Result;
  }
  return makeFailure(FailureCode::BadSettings, "expected HOST:PORT");
}

SettingsReader::SettingsReader(std::shared_ptr<Document> Doc,
                               std::string Prefix,
                               std::shared_ptr<YAML::Node> Node)
    : m_Document(std::move(Doc)), m_Prefix(std::move(Prefix)),
      m_Node(std::move(Node)) {}

absl::StatusOr<SettingsReader> SettingsReader::load(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return makeFailure(FailureCode::BadSettings, Path + ": cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parse(Text.str(), Path);
}

absl::StatusOr<SettingsReader> SettingsReader::parse(const std::string &Text,
                                                     const std::string &Name) {
  auto Doc = std::make_shared<Document>();
  Doc->m_Name = Name;
  try {
    Doc->m_Root = YAML::Load(Text);
  } catch (const YAML::Exception &E) {
    return makeFailure(FailureCode::BadSettings,
                       position(Name, E.mark) + ": " + E.msg);
  }
  if (!Doc->m_Root.IsMap())
    return makeFailure(FailureCode::BadSettings,
                       Name + ": expected a mapping of keys to values");
  auto Root = std::make_shared<YAML::Node>(Doc->m_Root);
  return SettingsReader(std::move(Doc), "", std::move(Root));
}

template <typename Value>
Value SettingsReader::read(std::string_view Key, Value Default,
                           std::string_view Expected,
                           const std::function<bool(const Value &)> &Accept) {
  YAML::Node Node = find(Key);
  if (!Node.IsDefined())
    return Default;
  try {
    Value Result = Node.as<Value>();
    if (Accept(Result))
      return Result;
  } catch (const YAML::Exception &) {
    // Reported below, like a value out of range.
  }
  faultAt(Node, Key, Expected);
  return Default;
}

std::string SettingsReader::requireString(std::string_view Key) {
  if (!has(Key))
    addFault(Key, "is required: expected a string");
  return getString(Key, "");
}

Address SettingsReader::requireAddress(std::string_view Key) {
  std::string Text = requireString(Key);
  absl::StatusOr<Address> Parsed = parseAddress(Text);
  if (Parsed.ok())
    return *Parsed;
  if (!Text.empty())
    faultAt(find(Key), Key, "expected HOST:PORT, with an IP number for HOST");
  return Address();
}

std::string SettingsReader::getString(std::string_view Key,
                                      std::string_view Default) {
  return read<std::string>(Key, std::string(Default),
                           "expected a string that is not empty",
                           [](const std::string &S) { return !S.empty(); });
}

bool SettingsReader::getBool(std::string_view Key, bool Default) {
  return read<bool>(Key, Default, "expected true or false",
                    [](const bool &) { return true; });
}

std::int64_t SettingsReader::getInteger(std::string_view Key,
                                        std::int64_t Default, std::int64_t Low,
                                        std::int64_t High) {
  std::string Expected = "expected a whole number from " + std::to_string(Low) +
                         " to " + std::to_string(High);
  return read<std::int64_t>(Key, Default, Expected, [=](const std::int64_t &N) {
    return N >= Low && N <= High;
  });
}

double SettingsReader::getNumber(std::string_view Key, double Default,
                                 double Low, double High) {
  std::ostringstream Expected;
  Expected << "expected a number from " << Low << " to " << High;
  return read<double>(Key, Default, Expected.str(),
                      [=](const double &N) { return N >= Low && N <= High; });
}

std::vector<Address> SettingsReader::getAddresses(std::string_view Key) {
  using Strings = std::vector<std::string>;
  Strings Texts = read<Strings>(Key, {}, "expected a list of HOST:PORT",
                                [](const Strings &) { return true; });
  std::vector<Address> Result;
  for (const std::string &Text : Texts) {
    absl::StatusOr<Address> Parsed = parseAddress(Text);
    if (Parsed.ok())
      Result.push_back(*Parsed);
    else
      faultAt(find(Key), Key, "expected a list of HOST:PORT, got " + Text);
  }
  return Result;
}

std::map<std::string, std::string>
SettingsReader::getStringMap(std::string_view Key) {
  using Map = std::map<std::string, std::string>;
  m_Document->m_Asked.insert(fullKey(Key) + ".*");
  return read<Map>(Key, {}, "expected a mapping of strings",
                   [](const Map &) { return true; });
}

SettingsReader SettingsReader::section(std::string_view Key) {
  YAML::Node Node = find(Key);
  if (Node.IsDefined() && !Node.IsMap()) {
    faultAt(Node, Key, "expected a mapping of keys to values");
    Node = YAML::Node(YAML::NodeType::Map);
  }
  if (!Node.IsDefined())
    Node = YAML::Node(YAML::NodeType::Map);
  return SettingsReader(m_Document, fullKey(Key) + ".",
                        std::make_shared<YAML::Node>(Node));
}

std::vector<SettingsReader> SettingsReader::list(std::string_view Key) {
  std::vector<SettingsReader> Result;
  YAML::Node Node = find(Key);
  if (!Node.IsDefined())
    return Result;
  if (!Node.IsSequence()) {
    faultAt(Node, Key, "expected a list");
    return Result;
  }
  for (std::size_t I = 0; I != Node.size(); ++I) {
    YAML::Node Element = Node[I];
    if (!Element.IsMap()) {
      faultAt(Element, Key, "expected a list of mappings");
      continue;
    }
    std::string Prefix = fullKey(Key) + "[" + std::to_string(I) + "].";
    Result.push_back(SettingsReader(m_Document, Prefix,
                                    std::make_shared<YAML::Node>(Element)));
  }
  return Result;
}

bool SettingsReader::has(std::string_view Key) const {
  const YAML::Node &Node = *m_Node;
  return Node[std::string(Key)].IsDefined();
}

void SettingsReader::addFault(std::string_view Key, std::string_view Expected) {
  YAML::Node Node = find(Key);
  faultAt(Node.IsDefined() ? Node : *m_Node, Key, Expected);
}

absl::Status SettingsReader::finish() {
  std::vector<std::pair<YAML::Mark, std::string>> Unasked;
  collectUnasked(m_Document->m_Root, "", m_Document->m_Asked, Unasked);
  std::vector<std::string> Faults = m_Document->m_Faults;
  for (const auto &[Mark, Key] : Unasked)
    Faults.push_back(position(m_Document->m_Name, Mark) + ": " + Key +
                     ": unknown key; see the sample settings");
  if (Faults.empty())
    return absl::OkStatus();
  std::string Detail;
  for (const std::string &Fault : Faults)
    Detail += (Detail.empty() ? "" : "\n") + Fault;
  return makeFailure(FailureCode::BadSettings, Detail);
}

YAML::Node SettingsReader::find(std::string_view Key) {
  m_Document->m_Asked.insert(fullKey(Key));
  const YAML::Node &Node = *m_Node;
  YAML::Node Found = Node[std::string(Key)];
  if (Found.IsDefined())
    return Found;
  return YAML::Node(YAML::NodeType::Undefined);
}

void SettingsReader::faultAt(const YAML::Node &Where, std::string_view Key,
                             std::string_view Expected) {
  YAML::Mark Mark = Where.IsDefined() ? Where.Mark() : YAML::Mark::null_mark();
  m_Document->m_Faults.push_back(position(m_Document->m_Name, Mark) + ": " +
                                 fullKey(Key) + ": " + std::string(Expected));
}

std::string SettingsReader::fullKey(std::string_view Key) const {
  return m_Prefix + std::string(Key);
}

} // namespace auburnhub
