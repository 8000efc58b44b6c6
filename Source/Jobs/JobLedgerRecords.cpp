#include "auburnhub/Jobs/JobLedger.h"

#include "auburnhub/Messages/Codec.h"

#include <algorithm>
#include <functional>
#include <iterator>

/// \file
/// The part of JobLedger that reads records from the log and appends them.

namespace auburnhub {
namespace {

constexpr std::string_view JobKeyPrefix = "job/";
constexpr std::string_view ProgressKeyPrefix = "progress/";

std::string encodeRecord(const nlohmann::json &Value) {
  std::vector<std::uint8_t> Cbor = nlohmann::json::to_cbor(Value);
  return {Cbor.begin(), Cbor.end()};
}

/// Removes the fields that are 0 or empty.
void eraseEmptyFields(nlohmann::json &Object) {
  for (auto It = Object.begin(); It != Object.end();) {
    if (It->is_object())
      eraseEmptyFields(*It);
    bool IsZero = It->is_number() && It->get<double>() == 0;
    bool IsEmpty = It->is_string() ? It->get_ref<std::string &>().empty()
                                   : It->is_structured() && It->empty();
    It = IsZero || IsEmpty ? Object.erase(It) : std::next(It);
  }
}

template <detail::HasFields Type>
absl::StatusOr<Type> decodeRecord(std::string_view Bytes) {
  return fromJson<Type>(boundedFromCbor(Bytes));
}

/// Returns what the next keeper needs of a job's progress: of a finished job
/// only its state, which can always be stored.
StoredJobProgress neededProgress(const StoredJobProgress &Progress) {
  if (!Progress.isFinished())
    return Progress;
  StoredJobProgress Result;
  Result.m_State = Progress.m_State;
  Result.m_FinishedAtMs = Progress.m_FinishedAtMs;
  Result.m_Version = Progress.m_Version;
  return Result;
}

std::string recordKey(std::string_view Prefix, const std::string &Job) {
  return std::string(Prefix) + Job;
}

} // namespace

std::size_t JobLedger::recordBytes(std::string_view Job,
                                   std::string_view Value) {
  // The key, and what frames a record in the log.
  constexpr std::size_t MaxFramingBytes = 8;
  return ProgressKeyPrefix.size() + Job.size() + Value.size() + MaxFramingBytes;
}

std::string JobLedger::encodeJob(const LedgerJob &Job) {
  nlohmann::json Record = toJson(Job.m_Record);
  // All fields of a step are 0 or empty by default.
  for (nlohmann::json &Step : Record.at("job").at("steps"))
    eraseEmptyFields(Step);
  return encodeRecord(Record);
}

absl::Status JobLedger::load(std::string_view Key, std::string_view Value) {
  if (Key.starts_with(JobKeyPrefix)) {
    auto Record = decodeRecord<StoredJobRecord>(Value);
    if (!Record.ok())
      return Record.status();
    add(std::move(Record->m_Job), Record->m_Epoch).m_IsStored = true;
    return absl::OkStatus();
  }
  if (Key.starts_with(ProgressKeyPrefix)) {
    auto Progress = decodeRecord<StoredJobProgress>(Value);
    if (!Progress.ok())
      return Progress.status();
    m_LoadedProgress[std::string(Key.substr(ProgressKeyPrefix.size()))] =
        *std::move(Progress);
    return absl::OkStatus();
  }
  return makeFailure(
      FailureCode::BadMessage,
      "unknown key of a ledger record: expected the prefix job/ or progress/");
}

std::vector<LedgerRecord> JobLedger::takeBatch() {
  std::vector<LedgerRecord> Records;
  std::size_t Bytes = 0;
  std::size_t Jobs = 0;
  bool IsFull = false;
  // Adds the record of a job. Returns false if the batch is full.
  auto Write = [&](std::string_view Prefix, const std::string &Id,
                   const std::function<std::string()> &Encode) {
    IsFull = IsFull || Jobs >= m_JobsPerBatch ||
             Records.size() >= m_Parameters.m_MaxBatchRecords;
    if (IsFull)
      return false;
    std::string Value = Encode();
    std::size_t Added = recordBytes(Id, Value);
    IsFull = Jobs > 0 && Bytes + Added > m_Parameters.m_MaxBatchBytes;
    if (IsFull)
      return false;
    Bytes += Added;
    ++Jobs;
    Records.push_back({recordKey(Prefix, Id), std::move(Value)});
    return true;
  };
  Batch Remaining;
  m_CurrentBatch = Batch();
  for (std::string &Id : m_NextBatch.m_DeletedJobs) {
    if (!Write(JobKeyPrefix, Id, [] { return std::string(); })) {
      Remaining.m_DeletedJobs.push_back(std::move(Id));
      continue;
    }
    Records.back().m_Value.reset();
    Records.push_back({recordKey(ProgressKeyPrefix, Id), std::nullopt});
    m_CurrentBatch.m_DeletedJobs.push_back(std::move(Id));
  }
  for (std::string &Id : m_NextBatch.m_NewJobs) {
    bool IsWritten =
        Write(JobKeyPrefix, Id, [&] { return m_Jobs.at(Id)->m_Encoded; });
    (IsWritten ? m_CurrentBatch : Remaining).m_NewJobs.push_back(std::move(Id));
  }
  for (const std::string &Id : m_NextBatch.m_Progress) {
    const StoredJobProgress &Progress = m_Jobs.at(Id)->m_Progress;
    bool IsWritten = Write(ProgressKeyPrefix, Id, [&] {
      return encodeRecord(toJson(neededProgress(Progress)));
    });
    (IsWritten ? m_CurrentBatch : Remaining).m_Progress.insert(Id);
    if (IsWritten)
      m_CurrentBatch.m_WrittenStates[Id] = Progress.m_State;
    if (auto Kept = m_EndsOfUnstorable.extract(Id); !Kept.empty())
      m_NextBatch.m_Ends.insert(m_NextBatch.m_Ends.end(), Kept.mapped().begin(),
                                Kept.mapped().end());
  }
  takeDependants(Remaining);
  Remaining.m_Urgent = !Remaining.empty();
  m_NextBatch = std::move(Remaining);
  m_Appending = true;
  return Records;
}

void JobLedger::takeDependants(Batch &Remaining) {
  // Ends and calls of cancel() depend on records that may be in either batch,
  // so they are acknowledged after the later batch is stored.
  Batch &LaterBatch = Remaining.empty() ? m_CurrentBatch : Remaining;
  LaterBatch.m_Ends = std::move(m_NextBatch.m_Ends);
  LaterBatch.m_CancelCalls = std::move(m_NextBatch.m_CancelCalls);
  for (const auto &Reserved : m_NextBatch.m_Reservations) {
    bool IsWritten = m_CurrentBatch.m_Progress.contains(Reserved.first);
    (IsWritten ? m_CurrentBatch : Remaining).m_Reservations.insert(Reserved);
  }
}

void JobLedger::appendSucceeded(TimePoint Now) {
  m_Appending = false;
  m_JobsPerBatch = std::min(2 * m_JobsPerBatch, m_Parameters.m_MaxBatchRecords);
  completeBatch(Now, std::exchange(m_CurrentBatch, {}));
}

void JobLedger::completeBatch(TimePoint Now, const Batch &Stored) {
  for (const std::string &Id : Stored.m_NewJobs)
    onJobStored(Id);
  for (const auto &[Id, State] : Stored.m_WrittenStates)
    onProgressStored(Now, Id, State);
  for (const ReportedEnd &End : Stored.m_Ends)
    onEndStored(Now, End);
  for (const auto &[Id, TaskIndex] : Stored.m_Reservations)
    onReserved(Id, TaskIndex);
  for (std::uint64_t Call : Stored.m_CancelCalls)
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
}

void JobLedger::refuseNewJobs(std::vector<std::string> &Ids) {
  for (const std::string &Id : std::exchange(Ids, {})) {
    LedgerJob *Job = find(Id);
    if (!Job)
      continue;
    for (std::uint64_t Call : Job->m_SubmitCalls)
      m_Effects.emplace_back(LedgerCallAnswered{Call, false});
    eraseJob(Id);
  }
}

void JobLedger::refuseUnappendedJobs() { refuseNewJobs(m_NextBatch.m_NewJobs); }

void JobLedger::appendRefused() {
  m_Appending = false;
  Batch Failed = std::exchange(m_CurrentBatch, {});
  for (const std::string &Id : Failed.m_NewJobs)
    Failed.m_Progress.erase(Id);
  refuseNewJobs(Failed.m_NewJobs);
  requeue(std::move(Failed));
}

void JobLedger::requeue(Batch Failed) {
  auto Prepend = [](auto &To, const auto &From) {
    To.insert(To.begin(), From.begin(), From.end());
  };
  Prepend(m_NextBatch.m_NewJobs, Failed.m_NewJobs);
  Prepend(m_NextBatch.m_DeletedJobs, Failed.m_DeletedJobs);
  Prepend(m_NextBatch.m_Ends, Failed.m_Ends);
  Prepend(m_NextBatch.m_CancelCalls, Failed.m_CancelCalls);
  m_NextBatch.m_Progress.merge(Failed.m_Progress);
  m_NextBatch.m_Reservations.merge(Failed.m_Reservations);
  m_NextBatch.m_Urgent = m_NextBatch.m_Urgent ||
                         !m_NextBatch.m_NewJobs.empty() ||
                         !m_NextBatch.m_Progress.empty();
}

void JobLedger::appendRejected(TimePoint Now) {
  m_Appending = false;
  Batch Rejected = std::exchange(m_CurrentBatch, {});
  std::size_t Jobs = Rejected.m_NewJobs.size() + Rejected.m_Progress.size() +
                     Rejected.m_DeletedJobs.size();
  if (Jobs > 1) {
    m_JobsPerBatch = Jobs / 2;
    requeue(std::move(Rejected));
    return;
  }
  refuseNewJobs(Rejected.m_NewJobs);
  std::set<std::string> Unstorable = std::exchange(Rejected.m_Progress, {});
  Rejected.m_DeletedJobs.clear();
  requeue(std::move(Rejected));
  for (const std::string &Id : Unstorable)
    keepEndsOf(Id);
  // The records on which the other ends depend are stored already; the numbers
  // of the job that cannot be stored are not.
  if (m_NextBatch.empty()) {
    auto NotStored = std::exchange(m_NextBatch.m_Reservations, {});
    completeBatch(Now, std::exchange(m_NextBatch, {}));
    m_NextBatch.m_Reservations = std::move(NotStored);
  }
}

void JobLedger::keepEndsOf(const std::string &Id) {
  auto &Ends = m_NextBatch.m_Ends;
  auto First =
      std::stable_partition(Ends.begin(), Ends.end(), [&Id](const auto &End) {
        return End.m_Task.m_Job != Id;
      });
  auto &Kept = m_EndsOfUnstorable[Id];
  Kept.insert(Kept.end(), std::make_move_iterator(First),
              std::make_move_iterator(Ends.end()));
  Ends.erase(First, Ends.end());
}

} // namespace auburnhub
