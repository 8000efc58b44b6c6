#include "auburnhub/Ctl/FieldDiff.h"

#include <map>

namespace auburnhub {
namespace {

using Fields = std::map<std::string, const nlohmann::json *>;

bool hasAddress(const nlohmann::json &Element) {
  return Element.is_object() && Element.contains("address") &&
         Element["address"].is_string();
}

/// Returns the inner fields of an object or list by the last part of their
/// path. An address that occurs twice in a list keeps its place as well.
Fields innerFields(const nlohmann::json &Value) {
  Fields Result;
  if (Value.is_object()) {
    for (const auto &[Key, Inner] : Value.items())
      Result["." + Key] = &Inner;
    return Result;
  }
  std::size_t Index = 0;
  for (const nlohmann::json &Element : Value) {
    std::string Place = std::to_string(Index++);
    std::string Name =
        hasAddress(Element) ? Element["address"].get<std::string>() : Place;
    if (Result.contains("[" + Name + "]"))
      Name += "#" + Place;
    Result["[" + Name + "]"] = &Element;
  }
  return Result;
}

bool isContainer(const nlohmann::json &Value) {
  return Value.is_object() || Value.is_array();
}

std::string withoutLeadingDot(const std::string &Path) {
  return Path.starts_with('.') ? Path.substr(1) : Path;
}

class FieldComparison {
public:
  void compare(const std::string &Path, const nlohmann::json *Old,
               const nlohmann::json *New) {
    if (Old != nullptr && New != nullptr && *Old == *New)
      return;
    bool Descend = Old != nullptr && New != nullptr && isContainer(*Old) &&
                   Old->type() == New->type();
    if (Descend)
      return compareInner(Path, innerFields(*Old), innerFields(*New));
    FieldChange Change;
    Change.m_Path = withoutLeadingDot(Path);
    if (Old != nullptr)
      Change.m_Old = *Old;
    if (New != nullptr)
      Change.m_New = *New;
    m_Changes.push_back(std::move(Change));
  }

  std::vector<FieldChange> takeChanges() { return std::move(m_Changes); }

private:
  void compareInner(const std::string &Path, const Fields &Old,
                    const Fields &New) {
    Fields All = Old;
    All.insert(New.begin(), New.end());
    for (const auto &[Name, Ignored] : All)
      compare(Path + Name, find(Old, Name), find(New, Name));
  }

  static const nlohmann::json *find(const Fields &In, const std::string &Name) {
    auto It = In.find(Name);
    return It == In.end() ? nullptr : It->second;
  }

  std::vector<FieldChange> m_Changes;
};

} // namespace

std::vector<FieldChange> compareFields(const nlohmann::json &Old,
                                       const nlohmann::json &New) {
  FieldComparison Comparison;
  Comparison.compare("", &Old, &New);
  return Comparison.takeChanges();
}

std::string formatChanges(std::span<const FieldChange> Changes) {
  std::string Result;
  for (const FieldChange &Change : Changes) {
    if (!Change.m_Old)
      Result += "+ " + Change.m_Path + ": " + Change.m_New->dump();
    else if (!Change.m_New)
      Result += "- " + Change.m_Path + ": " + Change.m_Old->dump();
    else
      Result += "~ " + Change.m_Path + ": " + Change.m_Old->dump() + " -> " +
                Change.m_New->dump();
    Result += '\n';
  }
  return Result;
}

} // namespace auburnhub
