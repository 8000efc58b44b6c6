#include "auburnhub/Ctl/DecisionLine.h"

#include <algorithm>
#include <set>

namespace auburnhub {

std::string DecisionLine::text(std::string_view Field) const {
  auto It = m_Fields.find(std::string(Field));
  if (It == m_Fields.end() || It->is_null())
    return {};
  return It->is_string() ? It->get<std::string>() : It->dump();
}

std::optional<int> DecisionLine::task() const {
  auto It = m_Fields.find("task");
  if (It == m_Fields.end() || !It->is_number_integer())
    return std::nullopt;
  return It->get<int>();
}

DecisionLog::DecisionLog(SubmissionId Id)
    : m_Concerns([Id](const DecisionLine &Line) {
        absl::StatusOr<SubmissionId> Named =
            SubmissionId::parse(Line.text("submission"));
        return Named.ok() && *Named == Id;
      }) {}

DecisionLog::DecisionLog(std::string Job)
    : m_Concerns([Job = std::move(Job)](const DecisionLine &Line) {
        // Tasks are named JOB/STEP/INDEX.
        return Line.text("job") == Job ||
               Line.text("task").starts_with(Job + "/");
      }) {}

void DecisionLog::read(std::istream &Input) {
  std::string Text;
  while (std::getline(Input, Text))
    if (!Text.empty())
      addLine(Text);
}

void DecisionLog::addLine(const std::string &Text) {
  nlohmann::json Fields = nlohmann::json::parse(Text, nullptr, false);
  if (!Fields.is_object()) {
    ++m_MalformedLines;
    return;
  }
  DecisionLine Line;
  Line.m_Fields = std::move(Fields);
  if (!m_Concerns(Line))
    return;
  Line.m_Time = Line.text("time");
  Line.m_Process = Line.text("process");
  Line.m_Vm = Line.text("vm");
  Line.m_DataCentre = Line.text("data_centre");
  Line.m_Event = Line.text("event");
  m_Lines.push_back(std::move(Line));
}

std::vector<DecisionLine> DecisionLog::ordered() const {
  std::vector<DecisionLine> Result;
  std::set<std::string> Seen;
  for (const DecisionLine &Line : m_Lines)
    if (Seen.insert(Line.m_Fields.dump()).second)
      Result.push_back(Line);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const DecisionLine &A, const DecisionLine &B) {
                     return A.m_Time < B.m_Time;
                   });
  return Result;
}

} // namespace auburnhub
