#include "auburnhub/Node/RefusedOwners.h"

#include <utility>

namespace auburnhub {
namespace {

/// Time between two searches for old rounds, in milliseconds.
constexpr double CheckIntervalMs = 1000;

} // namespace

bool isOwnersRefusal(JobReason Reason) {
  switch (Reason) {
  case JobReason::NoRoom:
  case JobReason::NoHealthyWorker:
  case JobReason::WouldBeLate:
  case JobReason::Evacuated:
  case JobReason::NeverFits:
  case JobReason::NoOwner:
  case JobReason::Stopping:
    return true;
  case JobReason::None:
  case JobReason::TimedOut:
  case JobReason::Cancelled:
  case JobReason::AttemptsSpent:
  case JobReason::OwnerLost:
  case JobReason::NotStored:
    return false;
  }
  return false;
}

void RefusedOwners::add(TimePoint Now, const TaskRef &Task,
                        const std::string &Owner, JobReason Reason) {
  Round &Current = m_Rounds[Task];
  Current.m_Owners.insert(Owner);
  if (Reason == JobReason::NoHealthyWorker)
    Current.m_WithEjectedWorker = Owner;
  Current.m_LastAt = Now;
}

const std::set<std::string> &RefusedOwners::of(const TaskRef &Task) const {
  static const std::set<std::string> None;
  auto Found = m_Rounds.find(Task);
  return Found == m_Rounds.end() ? None : Found->second.m_Owners;
}

bool RefusedOwners::planLastResort(const TaskRef &Task) {
  auto Found = m_Rounds.find(Task);
  if (Found == m_Rounds.end() || Found->second.m_WithEjectedWorker.empty() ||
      std::exchange(Found->second.m_IsLastResortPlanned, true))
    return false;
  Found->second.m_LastResort = Found->second.m_WithEjectedWorker;
  return true;
}

std::string RefusedOwners::takeLastResort(const TaskRef &Task) {
  auto Found = m_Rounds.find(Task);
  return Found == m_Rounds.end()
             ? std::string()
             : std::exchange(Found->second.m_LastResort, {});
}

void RefusedOwners::eraseOld(TimePoint Now) {
  if (millisecondsBetween(m_CheckedAt, Now) < CheckIntervalMs)
    return;
  m_CheckedAt = Now;
  std::erase_if(m_Rounds, [&](const auto &Entry) {
    return millisecondsBetween(Entry.second.m_LastAt, Now) > MaxAgeMs;
  });
}

} // namespace auburnhub
