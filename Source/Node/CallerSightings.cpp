#include "auburnhub/Node/CallerSightings.h"

#include <algorithm>

namespace auburnhub {

void CallerSightings::put(const std::string &Job, const JobRequester &Caller,
                          TimePoint SeenAt) {
  m_Jobs[Job] = {Caller, SeenAt};
}

void CallerSightings::erase(const std::string &Job,
                            const JobRequester &Caller) {
  auto Found = m_Jobs.find(Job);
  if (Found != m_Jobs.end() && Found->second.m_Caller == Caller)
    m_Jobs.erase(Found);
}

CallerSightings::Update
CallerSightings::update(std::string_view Node, TimePoint SeenAt,
                        std::uint64_t LastCall,
                        std::span<const std::uint64_t> WaitingCalls) {
  Update Result;
  for (auto &[Job, Known] : m_Jobs) {
    if (Known.m_Caller.m_Node != Node)
      continue;
    bool IsWaiting = std::ranges::find(WaitingCalls, Known.m_Caller.m_Call) !=
                     WaitingCalls.end();
    if (IsWaiting) {
      Known.m_SeenAt = std::max(Known.m_SeenAt, SeenAt);
      Result.m_Waiting.push_back(Job);
    } else if (Known.m_Caller.m_Call <= LastCall) {
      Result.m_Left.push_back(Job);
    }
  }
  return Result;
}

std::vector<std::string> CallerSightings::unseenSince(TimePoint Since) const {
  std::vector<std::string> Result;
  for (const auto &[Job, Known] : m_Jobs)
    if (Known.m_SeenAt < Since)
      Result.push_back(Job);
  return Result;
}

} // namespace auburnhub
