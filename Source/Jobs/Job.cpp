#include "auburnhub/Jobs/Job.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Jobs/WorkerTransport.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace auburnhub {

Resources &Resources::operator+=(const Resources &Other) {
  m_CpuMillis += Other.m_CpuMillis;
  m_MemoryMb += Other.m_MemoryMb;
  m_Gpus += Other.m_Gpus;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  m_CpuMillis -= Other.m_CpuMillis;
  m_MemoryMb -= Other.m_MemoryMb;
  m_Gpus -= Other.m_Gpus;
  return *this;
}

namespace {

/// Sums over the tasks of a job stay far below what an integer holds.
constexpr std::int64_t MaxResources = 1'000'000'000'000;

/// A day. Times are added to the clock.
constexpr double MaxEstimatedMs = 86'400'000;

bool isInRange(const JobStep &Step) {
  const Resources &Each = Step.m_TaskResources;
  for (std::int64_t Value : {Each.m_CpuMillis, Each.m_MemoryMb, Each.m_Gpus})
    if (Value < 0 || Value > MaxResources)
      return false;
  return Step.m_EstimatedMs >= 0 && Step.m_EstimatedMs <= MaxEstimatedMs;
}

} // namespace

absl::Status checkSteps(std::span<const JobStep> Steps) {
  constexpr std::uint64_t MaxTasks = 1000;
  std::uint64_t Tasks = 0;
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    Tasks += Steps[I].m_Count;
    if (!isInRange(Steps[I]))
      return makeFailure(
          FailureCode::BadRequest,
          "invalid step: expected resources from 0 to 1000000000000 and an "
          "estimate from 0 to 86400000 ms");
    for (std::uint32_t After : Steps[I].m_DependsOn)
      if (After >= I)
        return makeFailure(
            FailureCode::BadRequest,
            "invalid step order: each step may depend only on earlier steps");
  }
  if (Tasks == 0 || Tasks > MaxTasks)
    return makeFailure(
        FailureCode::BadRequest,
        "invalid number of tasks: expected 1 to 1000 over all steps");
  return absl::OkStatus();
}

std::string_view jobOutcomeName(JobOutcome Outcome) {
  static constexpr std::array<std::string_view, 4> Names = {
      "completed", "failed", "not_run", "given_up"};
  return Names[static_cast<std::size_t>(Outcome)];
}

std::string_view jobReasonName(JobReason Reason) {
  static constexpr std::array<std::string_view, 13> Names = {
      "none",
      "no_room",
      "timed_out",
      "cancelled",
      "attempts_spent",
      "never_fits",
      "owner_lost",
      "no_owner",
      "stopping",
      "not_stored",
      "evacuated",
      "would_be_late",
      "no_healthy_worker"};
  // A later version may send further reasons.
  auto Index = static_cast<std::size_t>(Reason);
  return Index < Names.size() ? Names[Index] : "unknown";
}

std::string_view runEndName(RunEnd End) {
  static constexpr std::array<std::string_view, 5> Names = {
      "done", "failed", "stopped", "lapsed", "lost"};
  return Names[static_cast<std::size_t>(End)];
}

std::string_view orderAnswerName(OrderAnswer Answer) {
  static constexpr std::array<std::string_view, 10> Names = {
      "accepted", "fenced",    "number_used",       "expired",  "no_room",
      "invalid",  "unhealthy", "other_incarnation", "not_sent", "no_answer"};
  return Names[static_cast<std::size_t>(Answer)];
}

bool TaskRef::operator<(const TaskRef &Other) const {
  return std::tie(m_Job, m_Step, m_Index) <
         std::tie(Other.m_Job, Other.m_Step, Other.m_Index);
}

std::string TaskRef::str() const {
  return m_Job + "/" + std::to_string(m_Step) + "/" + std::to_string(m_Index);
}

bool WorkerSpec::hasLabel(std::string_view Label) const {
  return std::find(m_Labels.begin(), m_Labels.end(), Label) != m_Labels.end();
}

} // namespace auburnhub
