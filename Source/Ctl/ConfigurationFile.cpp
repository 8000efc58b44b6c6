#include "auburnhub/Ctl/ConfigurationFile.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Coordination/ConfigurationBody.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>

namespace auburnhub {
namespace {

nlohmann::json scalarToJson(const YAML::Node &Node) {
  // yaml-cpp gives quoted scalars the tag "!".
  bool IsQuoted = Node.Tag() == "!";
  if (bool Flag = false; !IsQuoted && YAML::convert<bool>::decode(Node, Flag))
    return Flag;
  if (std::int64_t Number = 0;
      !IsQuoted && YAML::convert<std::int64_t>::decode(Node, Number))
    return Number;
  if (double Number = 0;
      !IsQuoted && YAML::convert<double>::decode(Node, Number))
    return Number;
  return Node.Scalar();
}

/// Converts YAML to JSON and notes keys that occur twice in one mapping.
class YamlConverter {
public:
  explicit YamlConverter(const std::string &Name) : m_Name(Name) {}

  nlohmann::json convert(const YAML::Node &Node) {
    if (Node.IsMap())
      return convertMapping(Node);
    if (Node.IsScalar())
      return scalarToJson(Node);
    if (!Node.IsSequence())
      return nullptr;
    nlohmann::json List = nlohmann::json::array();
    for (const YAML::Node &Element : Node)
      List.push_back(convert(Element));
    return List;
  }

  const std::string &faults() const { return m_Faults; }

private:
  nlohmann::json convertMapping(const YAML::Node &Node) {
    nlohmann::json Object = nlohmann::json::object();
    for (const auto &Item : Node) {
      std::string Key = Item.first.IsScalar() ? Item.first.Scalar() : "?";
      if (Object.contains(Key))
        m_Faults += (m_Faults.empty() ? "" : "\n") + m_Name + ":" +
                    std::to_string(Item.first.Mark().line + 1) + ": " + Key +
                    ": the key occurs twice; expected it once";
      Object[Key] = convert(Item.second);
    }
    return Object;
  }

  const std::string &m_Name;
  std::string m_Faults;
};

/// Finds where a path such as "teams.club-desk.weight" stands in a document.
/// Keys may contain dots; a path that does not exist leads to its parent.
class PathFinder {
public:
  static int line(const YAML::Node &Root, std::string_view Path) {
    PathFinder Finder;
    Finder.descend(Root, Path);
    return Finder.m_Line;
  }

private:
  void descend(const YAML::Node &Node, std::string_view Path) {
    if (!Node.Mark().is_null() && m_Line == 0)
      m_Line = Node.Mark().line + 1;
    if (Node.IsMap())
      descendMapping(Node, Path);
    else if (Node.IsSequence())
      descendSequence(Node, Path);
  }

  void descendMapping(const YAML::Node &Node, std::string_view Path) {
    if (Path.starts_with('.'))
      Path.remove_prefix(1);
    std::string BestKey;
    YAML::Node Best;
    for (const auto &Item : Node) {
      std::string Key = Item.first.IsScalar() ? Item.first.Scalar() : "?";
      bool Matches = Path.starts_with(Key) && isEnd(Path, Key.size());
      if (!Matches || Key.size() < BestKey.size())
        continue;
      BestKey = Key;
      Best.reset(Item.second);
      m_Line = Item.first.Mark().line + 1;
    }
    if (!BestKey.empty())
      descend(Best, Path.substr(BestKey.size()));
  }

  void descendSequence(const YAML::Node &Node, std::string_view Path) {
    std::size_t Close = Path.find(']');
    if (!Path.starts_with('[') || Close == std::string_view::npos)
      return;
    std::size_t Index =
        std::stoul("0" + std::string(Path.substr(1, Close - 1)));
    if (Index >= Node.size())
      return;
    YAML::Node Element = Node[Index];
    m_Line = Element.Mark().line + 1;
    descend(Element, Path.substr(Close + 1));
  }

  static bool isEnd(std::string_view Path, std::size_t Length) {
    return Path.size() == Length || Path[Length] == '.' || Path[Length] == '[';
  }

  int m_Line = 0;
};

/// Puts file and line before each line "path: what was expected".
std::string withPlaces(const std::string &Faults, const std::string &Name,
                       const YAML::Node &Root) {
  std::istringstream Lines(Faults);
  std::string Result;
  std::string Line;
  while (std::getline(Lines, Line)) {
    std::string_view Path = std::string_view(Line).substr(0, Line.find(": "));
    if (!Result.empty())
      Result += "\n";
    Result += Name + ":" + std::to_string(PathFinder::line(Root, Path));
    Result += ": ";
    Result += Line;
  }
  return Result;
}

absl::StatusOr<nlohmann::json>
checkDocument(const YAML::Node &Root, const std::string &Name, int Schema) {
  YamlConverter Converter(Name);
  nlohmann::json Body = Converter.convert(Root);
  absl::StatusOr<ConfigurationBody> Checked =
      ConfigurationBody::read(Body, Schema);
  std::string Faults = Converter.faults();
  if (!Checked.ok()) {
    if (failureCode(Checked.status()) == FailureCode::UnsupportedSchema)
      return Checked.status();
    Faults += (Faults.empty() ? "" : "\n") +
              withPlaces(failureDetail(Checked.status()), Name, Root);
  }
  if (!Faults.empty())
    return makeFailure(FailureCode::BadSettings, Faults);
  return Body;
}

} // namespace

absl::StatusOr<nlohmann::json> parseConfigurationText(const std::string &Text,
                                                      const std::string &Name,
                                                      int Schema) {
  try {
    return checkDocument(YAML::Load(Text), Name, Schema);
  } catch (const YAML::Exception &E) {
    std::string Place = Name;
    if (!E.mark.is_null())
      Place += ":" + std::to_string(E.mark.line + 1);
    return makeFailure(FailureCode::BadSettings,
                       Place + ": expected YAML or JSON: " + E.msg);
  }
}

absl::StatusOr<nlohmann::json> loadConfigurationFile(const std::string &Path,
                                                     int Schema) {
  std::ifstream File(Path);
  std::stringstream Text;
  if (File)
    Text << File.rdbuf();
  if (!File)
    return makeFailure(FailureCode::BadSettings,
                       Path + ": cannot be read; expected a file");
  return parseConfigurationText(Text.str(), Path, Schema);
}

} // namespace auburnhub
