#include "Demand.h"

#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <utility>

namespace auburnhub::bench {
namespace {

constexpr double ShortestLongFactor = 20;

} // namespace

double DemandShape::meanRunMs() const {
  const double LongMs = m_ShortMs * (ShortestLongFactor + m_LongestFactor) / 2;
  return m_ShortMs * (1 - m_LongShare) + LongMs * m_LongShare;
}

std::vector<Arrival>
DemandShape::arrivals(std::span<const double> Speeds) const {
  std::mt19937_64 Random(m_Seed);
  std::bernoulli_distribution IsLong(m_LongShare);
  std::uniform_real_distribution<double> Factor(ShortestLongFactor,
                                                m_LongestFactor);
  const double Speed = std::accumulate(Speeds.begin(), Speeds.end(), 0.0);
  std::vector<Arrival> Made;
  double Begin = 0;
  for (const DemandPhase &Phase : m_Phases) {
    std::exponential_distribution<double> Gap(Phase.m_Load * Speed /
                                              meanRunMs());
    const double End = Begin + Phase.m_DurationMs;
    for (double At = Begin + Gap(Random); At < End; At += Gap(Random)) {
      const bool Long = IsLong(Random);
      const double RunMs = Long ? m_ShortMs * Factor(Random) : m_ShortMs;
      Made.push_back({At, RunMs, Long});
    }
    Begin = End;
  }
  return Made;
}

double centralQueueMeanMs(std::span<const Arrival> Arrivals,
                          std::span<const double> Speeds, double FromMs,
                          double UntilMs) {
  using Busy = std::pair<double, double>; // Free again at, speed.
  std::priority_queue<Busy, std::vector<Busy>, std::greater<>> Running;
  std::priority_queue<double> Free(Speeds.begin(), Speeds.end());
  double Sum = 0;
  std::size_t Count = 0;
  for (const Arrival &Task : Arrivals) {
    double Start = Task.m_AtMs;
    if (Free.empty())
      Start = std::max(Start, Running.top().first);
    while (!Running.empty() && Running.top().first <= Start) {
      Free.push(Running.top().second);
      Running.pop();
    }
    const double End = Start + Task.m_RunMs / Free.top();
    Running.emplace(End, Free.top());
    Free.pop();
    if (Task.m_AtMs < FromMs || Task.m_AtMs >= UntilMs)
      continue;
    Sum += End - Task.m_AtMs;
    ++Count;
  }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

} // namespace auburnhub::bench
