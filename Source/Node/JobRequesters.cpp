#include "auburnhub/Node/JobRequesters.h"

#include <utility>

namespace auburnhub {

void JobRequesters::add(const std::string &Job, JobRequester From) {
  m_Jobs[Job].push_back(std::move(From));
}

std::optional<JobRequester>
JobRequesters::replaceLast(const std::string &Job, const JobRequester &From) {
  auto Found = m_Jobs.find(Job);
  if (Found == m_Jobs.end())
    return std::nullopt;
  return std::exchange(Found->second.back(), From);
}

std::optional<JobRequester> JobRequesters::takeFirst(const std::string &Job) {
  auto Found = m_Jobs.find(Job);
  if (Found == m_Jobs.end())
    return std::nullopt;
  JobRequester First = std::move(Found->second.front());
  Found->second.pop_front();
  if (Found->second.empty())
    m_Jobs.erase(Found);
  return First;
}

bool JobRequesters::mayCancel(const std::string &Job,
                              const JobRequester &From) const {
  if (From.m_Call == 0)
    return true;
  auto Found = m_Jobs.find(Job);
  return Found != m_Jobs.end() && Found->second.back() == From;
}

std::vector<std::string> JobRequesters::jobsOf(const std::string &Node) const {
  std::vector<std::string> Result;
  for (const auto &[Job, Calls] : m_Jobs)
    if (Calls.back().m_Node == Node)
      Result.push_back(Job);
  return Result;
}

} // namespace auburnhub
