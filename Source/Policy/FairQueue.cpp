#include "auburnhub/Policy/FairQueue.h"

#include <algorithm>

namespace auburnhub {

void FairQueue::setWeight(Team T, double Weight) {
  TeamQueue &Q = queue(T);
  if (!Q.m_Entries.empty())
    m_ActiveWeight += Weight - Q.m_Weight;
  Q.m_Weight = Weight;
}

FairQueue::Handle FairQueue::push(Team T, TaskKey Key, double Cost) {
  TeamQueue &Q = queue(T);
  Q.m_Entries.push_back({Key, Cost});
  Q.m_CostMs += Cost;
  m_CostMs += Cost;
  ++m_Size;
  if (Q.m_Entries.size() == 1)
    activate(T, Q);
  return {T, std::prev(Q.m_Entries.end())};
}

FairQueue::Handle FairQueue::pushFront(Team T, TaskKey Key, double Cost) {
  TeamQueue &Q = queue(T);
  Q.m_Entries.push_front({Key, Cost});
  Q.m_CostMs += Cost;
  m_CostMs += Cost;
  ++m_Size;
  if (Q.m_Entries.size() == 1)
    activate(T, Q);
  return {T, Q.m_Entries.begin()};
}

void FairQueue::erase(const Handle &H) {
  TeamQueue &Q = m_Teams[H.m_Team];
  Q.m_CostMs -= H.m_It->m_Cost;
  m_CostMs -= H.m_It->m_Cost;
  --m_Size;
  Q.m_Entries.erase(H.m_It);
  if (Q.m_Entries.empty())
    deactivate(H.m_Team, Q);
  if (m_Size == 0)
    m_CostMs = 0;
}

void FairQueue::serve(const Handle &H) {
  TeamQueue &Q = m_Teams[H.m_Team];
  double StartTag = Q.m_StartTag;
  Q.m_FinishTag = StartTag + H.m_It->m_Cost / Q.m_Weight;
  m_VirtualTime = std::max(m_VirtualTime, StartTag);
  m_Active.erase({StartTag, H.m_Team});
  Q.m_StartTag = Q.m_FinishTag;
  m_Active.emplace(Q.m_StartTag, H.m_Team);
  erase(H);
}

double FairQueue::costMs(Team T) const {
  return T < m_Teams.size() ? m_Teams[T].m_CostMs : 0;
}

double FairQueue::share(Team T) const {
  double OwnWeight = T < m_Teams.size() ? m_Teams[T].m_Weight : 1;
  bool Active = T < m_Teams.size() && !m_Teams[T].m_Entries.empty();
  double TotalWeight = Active ? m_ActiveWeight : m_ActiveWeight + OwnWeight;
  return OwnWeight / TotalWeight;
}

std::vector<TaskKey> FairQueue::heads(std::size_t Limit) const {
  std::vector<TaskKey> Keys;
  for (const auto &[Tag, T] : m_Active) {
    if (Keys.size() == Limit)
      break;
    Keys.push_back(m_Teams[T].m_Entries.front().m_Key);
  }
  return Keys;
}

TaskKey FairQueue::front() const {
  return m_Teams[m_Active.begin()->second].m_Entries.front().m_Key;
}

FairQueue::TeamQueue &FairQueue::queue(Team T) {
  if (T >= m_Teams.size())
    m_Teams.resize(T + 1);
  return m_Teams[T];
}

void FairQueue::activate(Team T, TeamQueue &Q) {
  Q.m_StartTag = std::max(m_VirtualTime, Q.m_FinishTag);
  m_Active.emplace(Q.m_StartTag, T);
  m_ActiveWeight += Q.m_Weight;
}

void FairQueue::deactivate(Team T, TeamQueue &Q) {
  m_Active.erase({Q.m_StartTag, T});
  Q.m_CostMs = 0;
  m_ActiveWeight = m_Active.empty() ? 0 : m_ActiveWeight - Q.m_Weight;
}

} // namespace auburnhub
