#include "SubmissionTable.h"

namespace auburnhub {
namespace {

std::size_t resultBytes(const Answer &Of) {
  std::size_t Total = 0;
  for (const Bytes &Result : Of.m_Results)
    Total += Result.m_Data.size();
  return Total;
}

} // namespace

Submission *SubmissionTable::find(const SubmissionId &Id) {
  auto Found = m_ById.find(Id);
  return Found == m_ById.end() ? nullptr : Found->second.get();
}

Submission &SubmissionTable::add(std::unique_ptr<Submission> Added) {
  SubmissionId Id = Added->m_Id;
  auto [It, IsNew] = m_ById.emplace(Id, std::move(Added));
  return *It->second;
}

void SubmissionTable::noteAnswered(const Submission &Over) {
  m_Answered.emplace(Over.m_Id.timeMs(), Over.m_Id);
  std::size_t Size = resultBytes(*Over.m_Answer);
  if (Size == 0)
    return;
  m_ResultBytes += Size;
  m_WithResults.emplace(Over.m_Id.timeMs(), Over.m_Id);
  dropResults();
}

void SubmissionTable::erase(const SubmissionId &Id) {
  auto EraseFrom = [&Id](auto &Map) {
    auto [First, Last] = Map.equal_range(Id.timeMs());
    for (auto It = First; It != Last; ++It) {
      if (It->second != Id)
        continue;
      Map.erase(It);
      return true;
    }
    return false;
  };
  auto Found = m_ById.find(Id);
  if (Found == m_ById.end())
    return;
  EraseFrom(m_Answered);
  if (EraseFrom(m_WithResults))
    m_ResultBytes -= resultBytes(*Found->second->m_Answer);
  m_ById.erase(Found);
}

void SubmissionTable::forgetBefore(std::int64_t TimeMs) {
  while (!m_Answered.empty() && m_Answered.begin()->first < TimeMs)
    erase(SubmissionId(m_Answered.begin()->second));
}

void SubmissionTable::dropResults() {
  while (m_ResultBytes > m_MaxResultBytes && m_WithResults.size() > 1) {
    auto Oldest = m_WithResults.begin();
    Answer &Remembered = *m_ById.at(Oldest->second)->m_Answer;
    m_ResultBytes -= resultBytes(Remembered);
    Remembered.m_Results.clear();
    Remembered.m_Outcome = Outcome::Unknown;
    Remembered.m_Failure = failureName(FailureCode::AnswerForgotten);
    Remembered.m_Detail = "it was complete; its results are not kept any more";
    m_WithResults.erase(Oldest);
  }
}

} // namespace auburnhub
