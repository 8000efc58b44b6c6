#include "LineText.h"

#include <algorithm>

namespace auburnhub {

std::string_view lookUp(std::span<const NamePair> Table,
                        std::string_view Name) {
  auto It = std::find_if(Table.begin(), Table.end(), [&](const NamePair &Row) {
    return Row.first == Name;
  });
  return It == Table.end() ? std::string_view() : It->second;
}

std::string fillSentence(std::string_view Sentence, const DecisionLine &Line,
                         std::set<std::string> &Used) {
  std::string Result;
  while (!Sentence.empty()) {
    std::size_t Open = Sentence.find('{');
    Result += Sentence.substr(0, Open);
    if (Open == std::string_view::npos)
      break;
    std::size_t Close = Sentence.find('}', Open);
    std::string Field(Sentence.substr(Open + 1, Close - Open - 1));
    std::string Value = Line.text(Field);
    Result += Value.empty() ? "(not logged)" : Value;
    Used.insert(Field);
    Sentence.remove_prefix(Close + 1);
  }
  return Result;
}

std::string otherFields(const DecisionLine &Line, std::set<std::string> Used) {
  for (const char *Common : {"time", "level", "process", "vm", "data_centre",
                             "area", "event", "submission", "task"})
    Used.insert(Common);
  std::string Result;
  for (const auto &[Key, Value] : Line.m_Fields.items()) {
    std::string Text = Line.text(Key);
    if (Used.contains(Key) || Text.empty())
      continue;
    Result += Result.empty() ? " (" : ", ";
    Result += Key;
    Result += " ";
    Result += Text;
  }
  return Result.empty() ? Result : Result + ")";
}

std::string counted(std::size_t Count, const std::string &Noun) {
  return std::to_string(Count) + " " + Noun + (Count == 1 ? "" : "s");
}

const DecisionLine *lastOf(std::span<const DecisionLine> Lines,
                           std::string_view Event) {
  auto It =
      std::find_if(Lines.rbegin(), Lines.rend(), [&](const DecisionLine &Line) {
        return Line.m_Event == Event;
      });
  return It == Lines.rend() ? nullptr : &*It;
}

} // namespace auburnhub
