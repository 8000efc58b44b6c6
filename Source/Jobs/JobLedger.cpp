#include "auburnhub/Jobs/JobLedger.h"

#include "auburnhub/Messages/Codec.h"

#include <algorithm>

namespace auburnhub {
namespace {

constexpr std::string_view JobKey = "job/";
constexpr std::string_view ProgressKey = "progress/";

template <detail::HasFields Type> std::string encodeRecord(const Type &Value) {
  std::vector<std::uint8_t> Cbor = nlohmann::json::to_cbor(toJson(Value));
  return {Cbor.begin(), Cbor.end()};
}

template <detail::HasFields Type>
absl::StatusOr<Type> decodeRecord(std::string_view Bytes) {
  constexpr bool Strict = true;
  constexpr bool Throw = false;
  auto Json = nlohmann::json::from_cbor(Bytes, Strict, Throw);
  return fromJson<Type>(Json);
}

std::string keyOf(std::string_view Kind, const std::string &Job) {
  return std::string(Kind) + Job;
}

} // namespace

JobLedger::Job *JobLedger::find(const std::string &Id) {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : Found->second.get();
}

JobLedger::Job &JobLedger::add(JobRequest Request, LedgerEpoch Epoch) {
  auto &Owned = m_Jobs[Request.m_Id];
  Owned = std::make_unique<Job>();
  Job &Item = *Owned;
  Item.m_Record.m_Job = std::move(Request);
  Item.m_Record.m_Epoch = Epoch;
  Item.m_Order = ++m_LastOrder;
  for (const JobStep &Step : Item.m_Record.m_Job.m_Steps) {
    Item.m_FirstOfStep.push_back(
        static_cast<std::uint32_t>(Item.m_Tasks.size()));
    Item.m_LeftOfStep.push_back(Step.m_Count);
    Item.m_Tasks.resize(Item.m_Tasks.size() + Step.m_Count);
  }
  return Item;
}

std::optional<std::uint32_t> JobLedger::placeOf(const Job &Item,
                                                const TaskRef &Task) {
  const auto &Steps = Item.m_Record.m_Job.m_Steps;
  if (Task.m_Step >= Steps.size() || Task.m_Index >= Steps[Task.m_Step].m_Count)
    return std::nullopt;
  return Item.m_FirstOfStep[Task.m_Step] + Task.m_Index;
}

TaskRef JobLedger::refOf(const Job &Item, std::uint32_t Place) {
  auto After = std::upper_bound(Item.m_FirstOfStep.begin(),
                                Item.m_FirstOfStep.end(), Place);
  // An empty step has the same first index as the next step.
  auto Step =
      static_cast<std::uint32_t>(After - Item.m_FirstOfStep.begin() - 1);
  return {Item.m_Record.m_Job.m_Id, Step, Place - Item.m_FirstOfStep[Step]};
}

JobLedger::ReadyKey JobLedger::readyKey(const Job &Item,
                                        std::uint32_t Place) const {
  return {Item.m_Record.m_Job.m_Policy.m_Priority, Item.m_Order,
          Item.m_Record.m_Job.m_Id, Place};
}

void JobLedger::set(Job &Item, std::uint32_t Place, TaskState State,
                    TimePoint Until) {
  Task &Which = Item.m_Tasks[Place];
  ReadyKey Key = readyKey(Item, Place);
  m_Ready.erase(Key);
  m_Timed.erase({Which.m_Until, Key});
  Which.m_State = State;
  Which.m_Until = Until;
  if (State == TaskState::Ready)
    m_Ready.insert(Key);
  if (State == TaskState::Paused || State == TaskState::InDoubt)
    m_Timed.insert({Until, Key});
}

bool JobLedger::mayRun(const Job &Item, std::uint32_t Place) {
  if (!Item.m_IsStored || Item.m_Progress.isOver())
    return false;
  const auto &After =
      Item.m_Record.m_Job.m_Steps[refOf(Item, Place).m_Step].m_After;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Step) {
    return Item.m_LeftOfStep[Step] == 0;
  });
}

void JobLedger::unblock(Job &Item, TaskState As, TimePoint Until) {
  for (std::uint32_t Place = 0; Place < Item.m_Tasks.size(); ++Place)
    if (Item.m_Tasks[Place].m_State == TaskState::Blocked &&
        mayRun(Item, Place))
      set(Item, Place, As, Until);
}

absl::Status JobLedger::load(std::string_view Key, std::string_view Value) {
  if (Key.starts_with(JobKey)) {
    auto Record = decodeRecord<StoredJobRecord>(Value);
    if (!Record.ok())
      return Record.status();
    add(std::move(Record->m_Job), Record->m_Epoch).m_IsStored = true;
    return absl::OkStatus();
  }
  if (Key.starts_with(ProgressKey)) {
    auto Progress = decodeRecord<StoredJobProgress>(Value);
    if (!Progress.ok())
      return Progress.status();
    m_Loaded[std::string(Key.substr(ProgressKey.size()))] =
        *std::move(Progress);
    return absl::OkStatus();
  }
  return makeFailure(FailureCode::BadMessage,
                     "unknown ledger record: expected a job or its progress");
}

void JobLedger::begin(TimePoint Now) {
  TimePoint Until = addMs(Now, m_Parameters.m_TakeoverDoubtMs);
  for (auto &Entry : m_Jobs) {
    Job &Item = *Entry.second;
    auto Loaded = m_Loaded.find(Entry.first);
    if (Loaded != m_Loaded.end())
      Item.m_Progress = std::move(Loaded->second);
    restore(Now, Item);
    unblock(Item, TaskState::InDoubt, Until);
  }
  m_Loaded.clear();
}

void JobLedger::restore(TimePoint Now, Job &Item) {
  Item.m_Received = Now;
  Item.m_Shown = Item.m_Progress.m_State;
  if (Item.m_Progress.isOver()) {
    m_Over.insert({Item.m_Progress.m_OverAtMs, Item.m_Record.m_Job.m_Id});
    shrink(Item);
    return;
  }
  for (std::uint32_t Place : Item.m_Progress.m_Done) {
    if (Place >= Item.m_Tasks.size())
      continue;
    set(Item, Place, TaskState::Done);
    --Item.m_LeftOfStep[refOf(Item, Place).m_Step];
    Item.m_HasStarted = true;
  }
}

void JobLedger::submit(TimePoint Now, std::uint64_t Call, JobRequest Request) {
  std::string Id = Request.m_Id;
  Job *Known = find(Id);
  if (Known && Known->m_IsStored) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
    return;
  }
  if (Known) {
    Known->m_Submitters.push_back(Call);
    return;
  }
  if (m_Jobs.size() >= m_Parameters.m_MaxJobs) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, false});
    return;
  }
  Job &Item = add(std::move(Request), m_Epoch);
  Item.m_Received = Now;
  Item.m_Submitters.push_back(Call);
  m_Next.m_NewJobs.push_back(Id);
  m_Next.m_Urgent = true;
}

void JobLedger::cancel(TimePoint Now, std::int64_t WallMs, std::uint64_t Call,
                       const std::string &Id) {
  Job *Item = find(Id);
  if (!Item || Item->m_Shown >= StoredJobState::Completed) {
    m_Effects.emplace_back(LedgerCallAnswered{Call, Item != nullptr});
    return;
  }
  // A finished job keeps its state; the call is answered once that is stored.
  if (!Item->m_Progress.isOver())
    finish(*Item, StoredJobState::Cancelled, WallMs);
  m_Next.m_Progress.insert(Id);
  m_Next.m_Cancellers.push_back(Call);
  m_Next.m_Urgent = true;
  advance(Now, WallMs);
}

std::optional<StoredJobState> JobLedger::state(const std::string &Id) const {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end() || !Found->second->m_IsStored)
    return std::nullopt;
  const Job &Item = *Found->second;
  if (Item.m_Shown == StoredJobState::Queued && Item.m_HasStarted)
    return StoredJobState::Running;
  return Item.m_Shown;
}

std::map<std::string, std::uint64_t> JobLedger::pending() const {
  std::map<std::string, std::uint64_t> Result;
  for (const auto &[Id, Item] : m_Jobs)
    if (Item->m_IsStored && !Item->m_HasStarted && !Item->m_Progress.isOver())
      ++Result[Item->m_Record.m_Job.m_Policy.m_Queue];
  return Result;
}

void JobLedger::stopRun(Job &Item, std::uint32_t Place) {
  const Task &Which = Item.m_Tasks[Place];
  if (Which.m_State == TaskState::Running)
    m_Effects.emplace_back(
        LedgerRunStopped{Which.m_Owner, refOf(Item, Place), Which.m_Number});
}

void JobLedger::finish(Job &Item, StoredJobState State, std::int64_t WallMs) {
  Item.m_Progress.m_State = State;
  Item.m_Progress.m_OverAtMs = WallMs;
  m_Over.insert({WallMs, Item.m_Record.m_Job.m_Id});
  for (std::uint32_t Place = 0; Place < Item.m_Tasks.size(); ++Place) {
    TaskState Was = Item.m_Tasks[Place].m_State;
    if (Was == TaskState::Done || Was == TaskState::Ending)
      continue;
    stopRun(Item, Place);
    set(Item, Place, TaskState::Blocked);
  }
  m_Next.m_Progress.insert(Item.m_Record.m_Job.m_Id);
  m_Next.m_Urgent = true;
}

std::vector<LedgerRecord> JobLedger::takeBatch() {
  std::vector<LedgerRecord> Records;
  std::size_t Bytes = 0;
  auto HasRoom = [&] {
    return Records.size() < m_Parameters.m_MaxBatchRecords &&
           Bytes < m_Parameters.m_MaxBatchBytes;
  };
  auto Write = [&](std::string Key, std::optional<std::string> Value) {
    Bytes += Key.size() + (Value ? Value->size() : 0);
    Records.push_back({std::move(Key), std::move(Value)});
  };
  Batch Rest;
  m_Current = Batch();
  for (std::string &Id : m_Next.m_Dropped) {
    if (!HasRoom()) {
      Rest.m_Dropped.push_back(std::move(Id));
      continue;
    }
    Write(keyOf(JobKey, Id), std::nullopt);
    Write(keyOf(ProgressKey, Id), std::nullopt);
    m_Current.m_Dropped.push_back(std::move(Id));
  }
  for (std::string &Id : m_Next.m_NewJobs) {
    if (!HasRoom()) {
      Rest.m_NewJobs.push_back(std::move(Id));
      continue;
    }
    Write(keyOf(JobKey, Id), encodeRecord(m_Jobs.at(Id)->m_Record));
    m_Current.m_NewJobs.push_back(std::move(Id));
  }
  for (const std::string &Id : m_Next.m_Progress) {
    if (!HasRoom()) {
      Rest.m_Progress.insert(Id);
      continue;
    }
    const StoredJobProgress &Progress = m_Jobs.at(Id)->m_Progress;
    Write(keyOf(ProgressKey, Id), encodeRecord(Progress));
    m_Current.m_Written[Id] = Progress.m_State;
    m_Current.m_Progress.insert(Id);
  }
  // Ends and cancellations depend on records that may be in either batch, so
  // they are completed with the later one.
  Batch &Waiting = Rest.empty() ? m_Current : Rest;
  Waiting.m_Ends = std::move(m_Next.m_Ends);
  Waiting.m_Cancellers = std::move(m_Next.m_Cancellers);
  Rest.m_Urgent = !Rest.empty();
  m_Next = std::move(Rest);
  m_Appending = true;
  return Records;
}

void JobLedger::jobIsStored(const std::string &Id) {
  Job *Item = find(Id);
  if (!Item)
    return;
  Item->m_IsStored = true;
  for (std::uint64_t Call : std::exchange(Item->m_Submitters, {}))
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
  unblock(*Item, TaskState::Ready);
}

void JobLedger::progressIsStored(TimePoint Now, const std::string &Id,
                                 StoredJobState State) {
  Job *Item = find(Id);
  if (!Item || Item->m_Shown >= StoredJobState::Completed)
    return;
  Item->m_Shown = State;
  if (State < StoredJobState::Completed)
    return;
  m_Effects.emplace_back(
      LedgerJobOver{Id, State, millisecondsBetween(Item->m_Received, Now)});
  shrink(*Item);
}

void JobLedger::shrink(Job &Item) {
  JobRequest &Request = Item.m_Record.m_Job;
  Request.m_Spec = std::string();
  Request.m_Steps = {};
  Item.m_Tasks = {};
  Item.m_FirstOfStep = {};
  Item.m_LeftOfStep = {};
  Item.m_Progress.m_Done = {};
  Item.m_Progress.m_Failed = {};
}

void JobLedger::endIsStored(TimePoint Now, const End &Which) {
  settle(Which);
  Job *Item = find(Which.m_Task.m_Job);
  auto Place = Item ? placeOf(*Item, Which.m_Task) : std::nullopt;
  if (!Place)
    return;
  Task &Of = Item->m_Tasks[*Place];
  if (Of.m_State != TaskState::Ending || Of.m_Number != Which.m_Number)
    return;
  if (Item->m_Progress.isOver()) {
    set(*Item, *Place, TaskState::Blocked);
    return;
  }
  const auto &Done = Item->m_Progress.m_Done;
  if (std::find(Done.begin(), Done.end(), *Place) == Done.end()) {
    Of.m_Refusals = 0;
    pause(Now, *Item, *Place);
    return;
  }
  set(*Item, *Place, TaskState::Done);
  if (--Item->m_LeftOfStep[Which.m_Task.m_Step] == 0)
    unblock(*Item, TaskState::Ready);
}

void JobLedger::appended(TimePoint Now) {
  m_Appending = false;
  Batch Stored = std::exchange(m_Current, {});
  for (const std::string &Id : Stored.m_NewJobs)
    jobIsStored(Id);
  for (const auto &[Id, State] : Stored.m_Written)
    progressIsStored(Now, Id, State);
  for (const End &Which : Stored.m_Ends)
    endIsStored(Now, Which);
  for (std::uint64_t Call : Stored.m_Cancellers)
    m_Effects.emplace_back(LedgerCallAnswered{Call, true});
}

void JobLedger::dropNewJobs(std::vector<std::string> &Ids) {
  for (const std::string &Id : std::exchange(Ids, {})) {
    Job *Item = find(Id);
    if (!Item)
      continue;
    for (std::uint64_t Call : Item->m_Submitters)
      m_Effects.emplace_back(LedgerCallAnswered{Call, false});
    m_Next.m_Progress.erase(Id);
    m_Over.erase({Item->m_Progress.m_OverAtMs, Id});
    m_Jobs.erase(Id);
  }
}

void JobLedger::refuseWaiting() { dropNewJobs(m_Next.m_NewJobs); }

void JobLedger::refused() {
  m_Appending = false;
  Batch Failed = std::exchange(m_Current, {});
  for (const std::string &Id : Failed.m_NewJobs)
    Failed.m_Progress.erase(Id);
  dropNewJobs(Failed.m_NewJobs);
  m_Next.m_Progress.merge(Failed.m_Progress);
  m_Next.m_Dropped.insert(m_Next.m_Dropped.begin(), Failed.m_Dropped.begin(),
                          Failed.m_Dropped.end());
  m_Next.m_Ends.insert(m_Next.m_Ends.begin(), Failed.m_Ends.begin(),
                       Failed.m_Ends.end());
  m_Next.m_Cancellers.insert(m_Next.m_Cancellers.begin(),
                             Failed.m_Cancellers.begin(),
                             Failed.m_Cancellers.end());
  m_Next.m_Urgent = m_Next.m_Urgent || !m_Next.m_Progress.empty();
}

void JobLedger::forgetOld(std::int64_t WallMs) {
  while (!m_Over.empty()) {
    auto [At, Id] = *m_Over.begin();
    if (static_cast<double>(WallMs - At) < m_Parameters.m_RetentionMs)
      return;
    Job *Item = find(Id);
    // The record of its final state is not stored yet.
    if (Item && Item->m_Shown < StoredJobState::Completed)
      return;
    m_Over.erase(m_Over.begin());
    m_Next.m_Progress.erase(Id);
    m_Next.m_Dropped.push_back(Id);
    m_Jobs.erase(Id);
  }
}

void JobLedger::advance(TimePoint Now, std::int64_t WallMs) {
  while (!m_Timed.empty() && m_Timed.begin()->first <= Now) {
    auto [Until, Key] = *m_Timed.begin();
    const auto &[Priority, Order, Id, Place] = Key;
    set(*m_Jobs.at(Id), Place, TaskState::Ready);
  }
  forgetOld(WallMs);
}

std::vector<LedgerEffect> JobLedger::takeEffects() {
  return std::exchange(m_Effects, {});
}

} // namespace auburnhub
