#include "auburnhub/Jobs/FailureAttribution.h"

#include <algorithm>
#include <cmath>

namespace auburnhub {
namespace {

/// Without evidence, one run in ten is assumed to fail on a sound worker; this
/// has the weight of two runs.
constexpr double AssumedFailures = 0.2;
constexpr double AssumedRuns = 2;

/// Queues with less failures, by weight and by share, are not stated to others.
constexpr double MinStatedFailures = 0.5;
constexpr double MinStatedShare = 0.05;

/// A worker with this weight of failures and no success fails all that it
/// starts of a queue.
constexpr double MinFailuresOfSuspect = 2.5;
/// A success counts until its weight falls below this.
constexpr double MinSuccess = 0.25;

bool isSuspect(const RunOutcomes &Outcomes) {
  return Outcomes.m_Failed >= MinFailuresOfSuspect &&
         Outcomes.m_Done < MinSuccess;
}

double failureProbability(const RunOutcomes &Outcomes) {
  return (Outcomes.m_Failed + AssumedFailures) /
         (Outcomes.m_Failed + Outcomes.m_Done + AssumedRuns);
}

} // namespace

void FailureAttribution::DecayingOutcomes::add(TimePoint Now,
                                               const RunOutcomes &Added) {
  m_Outcomes = at(Now);
  m_Outcomes += Added;
  m_At = Now;
}

RunOutcomes FailureAttribution::DecayingOutcomes::at(TimePoint Now) const {
  double Weight = std::exp2(-millisecondsBetween(m_At, Now) / HalfLifeMs);
  return {Weight * m_Outcomes.m_Done, Weight * m_Outcomes.m_Failed};
}

void FailureAttribution::runDone(TimePoint Now, const std::string &Queue,
                                 const std::string &Worker) {
  WorkerRuns &Runs = m_Workers[Worker];
  Runs.m_ByQueue[Queue].add(Now, {1, 0});
  m_Total[Queue].add(Now, {1, 0});
  Runs.m_Streak.clear();
  Runs.m_Refusals = 0;
}

void FailureAttribution::runFailed(TimePoint Now, const std::string &Queue,
                                   const std::string &Worker, bool IsRepeated) {
  WorkerRuns &Runs = IsRepeated ? m_Workers[Worker] : extendStreak(Now, Worker);
  if (!IsRepeated)
    ++Runs.m_Streak[Queue];
  Runs.m_ByQueue[Queue].add(Now, {0, 1});
  m_Total[Queue].add(Now, {0, 1});
}

void FailureAttribution::runRefused(TimePoint Now, const std::string &Worker) {
  ++extendStreak(Now, Worker).m_Refusals;
}

FailureAttribution::WorkerRuns &
FailureAttribution::extendStreak(TimePoint Now, const std::string &Worker) {
  WorkerRuns &Runs = m_Workers[Worker];
  // Failures of long ago are no evidence beside those of now.
  if (millisecondsBetween(Runs.m_FailedAt, Now) > HalfLifeMs) {
    Runs.m_Streak.clear();
    Runs.m_Refusals = 0;
  }
  Runs.m_FailedAt = Now;
  return Runs;
}

RunOutcomes FailureAttribution::outcomesHere(TimePoint Now,
                                             const std::string &Queue,
                                             const WorkerRuns *Excluded) const {
  RunOutcomes All;
  RunOutcomes WithoutSuspects;
  for (const auto &[Worker, Runs] : m_Workers) {
    auto Found = Runs.m_ByQueue.find(Queue);
    if (&Runs == Excluded || Found == Runs.m_ByQueue.end())
      continue;
    RunOutcomes Outcomes = Found->second.at(Now);
    All += Outcomes;
    if (!isSuspect(Outcomes))
      WithoutSuspects += Outcomes;
  }
  return WithoutSuspects.m_Done >= MinSuccess ? WithoutSuspects : All;
}

RunOutcomes FailureAttribution::othersOutcomes(TimePoint Now,
                                               const std::string &Queue,
                                               const WorkerRuns &Judged) const {
  RunOutcomes Here = outcomesHere(Now, Queue, &Judged);
  // Its own runs before the streak are as good evidence as those of others.
  if (auto Own = Judged.m_ByQueue.find(Queue); Own != Judged.m_ByQueue.end()) {
    RunOutcomes Earlier = Own->second.at(Now);
    auto Streak = Judged.m_Streak.find(Queue);
    if (Streak != Judged.m_Streak.end())
      Earlier.m_Failed = std::max(0.0, Earlier.m_Failed - Streak->second);
    if (Earlier.m_Done >= MinSuccess)
      Here += Earlier;
  }
  RunOutcomes Elsewhere;
  for (const auto &[Owner, Queues] : m_Peers)
    if (auto Stated = Queues.find(Queue); Stated != Queues.end())
      Elsewhere += Stated->second;
  // The other workers here may fail all that they start, too.
  if (Here.m_Done < MinSuccess && Elsewhere.m_Done >= MinSuccess)
    return Elsewhere;
  Here += Elsewhere;
  return Here;
}

std::uint32_t
FailureAttribution::streakLength(const std::string &Worker) const {
  auto Found = m_Workers.find(Worker);
  if (Found == m_Workers.end())
    return 0;
  std::uint32_t Length = Found->second.m_Refusals;
  for (const auto &[Queue, Failures] : Found->second.m_Streak)
    Length += Failures;
  return Length;
}

double FailureAttribution::streakProbability(TimePoint Now,
                                             const std::string &Worker) const {
  auto Found = m_Workers.find(Worker);
  if (Found == m_Workers.end())
    return 1;
  const WorkerRuns &Runs = Found->second;
  double Result = std::pow(failureProbability({}), Runs.m_Refusals);
  for (const auto &[Queue, Failures] : Runs.m_Streak)
    Result *= std::pow(failureProbability(othersOutcomes(Now, Queue, Runs)),
                       Failures);
  return Result;
}

QueueOutcomes FailureAttribution::failingQueues(TimePoint Now) const {
  QueueOutcomes Result;
  for (const auto &[Queue, Outcomes] : m_Total) {
    RunOutcomes Current = Outcomes.at(Now);
    double Runs = Current.m_Failed + Current.m_Done;
    if (Current.m_Failed >= MinStatedFailures &&
        Current.m_Failed >= MinStatedShare * Runs)
      Result[Queue] = outcomesHere(Now, Queue, /*Excluded=*/nullptr);
  }
  return Result;
}

} // namespace auburnhub
