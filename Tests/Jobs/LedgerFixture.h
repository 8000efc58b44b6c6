#ifndef AUBURNHUB_TESTS_JOBS_LEDGERFIXTURE_H
#define AUBURNHUB_TESTS_JOBS_LEDGERFIXTURE_H

#include "auburnhub/Jobs/JobLedger.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburnhub {

/// A ledger with its effects collected by kind, a log written by the test, and
/// clocks controlled by the test.
struct LedgerFixture {
  static JobRequest job(const std::string &Id, std::uint32_t Tasks,
                        std::uint32_t Attempts = 2) {
    JobRequest Request;
    Request.m_Id = Id;
    Request.m_Policy = {"certify", "tile-orders", 0, Attempts, 1.6, 60};
    Request.m_Spec = "spec";
    JobStep Step;
    Step.m_Count = Tasks;
    Step.m_TaskResources = {1000, 64, 0};
    Request.m_Steps.push_back(Step);
    return Request;
  }

  static JobRequest twoSteps(const std::string &Id) {
    JobRequest Request = job(Id, 1);
    Request.m_Steps.push_back(Request.m_Steps.front());
    Request.m_Steps.back().m_DependsOn = {0};
    return Request;
  }

  /// Takes the next batch and writes it to the log.
  void store() {
    m_InFlight = m_Ledger->takeBatch();
    write();
    m_Ledger->appendSucceeded(m_Now);
    collect();
  }
  /// Writes the append in flight to the log.
  void write() {
    for (const LedgerRecord &Record : m_InFlight)
      if (Record.m_Value)
        m_Log[Record.m_Key] = *Record.m_Value;
      else
        m_Log.erase(Record.m_Key);
  }

  std::uint64_t submit(JobRequest Request) {
    m_Ledger->submit(m_Now, ++m_Call, std::move(Request));
    collect();
    return m_Call;
  }
  std::uint64_t cancel(const std::string &Id) {
    m_Ledger->cancel(m_Now, m_WallMs, ++m_Call, Id);
    collect();
    return m_Call;
  }
  /// Assigns the next task to an owner.
  std::optional<StoredTask> start(const std::string &Owner = "owner") {
    auto Task = m_Ledger->nextTask(m_Now);
    if (Task)
      m_Ledger->taskStarted(m_Now, Task->task(), Owner);
    return Task;
  }
  void endRun(const StoredTask &Task, StoredRunEnd Outcome,
              const std::string &Owner = "owner") {
    m_Ledger->runEndReported(m_Now, m_WallMs,
                             {Owner, "worker", Task.task(), Task.m_Number,
                              Outcome, WorkerIncarnation()});
    collect();
  }
  /// Ends a run because its worker became unreachable or restarted.
  void loseRun(const StoredTask &Task, const WorkerIncarnation &On,
               const std::string &Owner = "owner") {
    m_Ledger->runEndReported(m_Now, m_WallMs,
                             {Owner, On.m_Worker, Task.task(), Task.m_Number,
                              StoredRunEnd::Over, On});
    collect();
  }
  void seeWorker(const WorkerIncarnation &Seen) {
    m_Ledger->workerSeen(m_Now, Seen);
    collect();
  }
  void advanceTime(double Ms) {
    m_Now = addMs(m_Now, Ms);
    m_WallMs += static_cast<std::int64_t>(Ms);
    m_Ledger->advance(m_Now, m_WallMs);
    collect();
  }
  /// Lets a doubt period pass. A task that is ready then starts only once its
  /// number is stored.
  void passDoubt(double Ms) {
    advanceTime(Ms);
    store();
  }
  /// Another node takes over: it loads the log into a new ledger.
  void takeOver() {
    m_Ledger.emplace(JobLedgerParameters(), ++m_Epoch);
    for (const auto &[Key, Value] : m_Log)
      m_LoadOk = m_LoadOk && m_Ledger->load(Key, Value).ok();
    m_Ledger->begin(m_Now);
    collect();
  }

  void collect() {
    for (const LedgerEffect &Effect : m_Ledger->takeEffects())
      std::visit([this](const auto &Event) { record(Event); }, Effect);
  }
  void record(const LedgerCallAnswered &Event) {
    m_Answers[Event.m_Call] = Event.m_Done;
  }
  void record(const LedgerStopRun &Event) { m_StoppedRuns.push_back(Event); }
  void record(const LedgerEndStored &Event) {
    m_AcknowledgedEnds.push_back(Event);
  }
  void record(const LedgerJobFinished &Event) {
    m_FinishedJobs[Event.m_Job] = Event.m_State;
  }

  void record(const LedgerCrashConfirmed &) {}
  void record(const LedgerTaskHeld &Event) { m_HeldTasks.push_back(Event); }

  bool isAcknowledged(const StoredTask &Task) const {
    return std::any_of(m_AcknowledgedEnds.begin(), m_AcknowledgedEnds.end(),
                       [&](const auto &End) {
                         return End.m_Task == Task.task() &&
                                End.m_Number == Task.m_Number;
                       });
  }
  /// Returns whether the last acknowledgement of this end waits for the lease.
  bool isSuperseded(const StoredTask &Task) const {
    auto Last = std::find_if(m_AcknowledgedEnds.rbegin(),
                             m_AcknowledgedEnds.rend(), [&](const auto &End) {
                               return End.m_Task == Task.task() &&
                                      End.m_Number == Task.m_Number;
                             });
    return Last != m_AcknowledgedEnds.rend() && Last->m_Superseded;
  }
  bool isAnswered(std::uint64_t Call, bool Done) const {
    auto Found = m_Answers.find(Call);
    return Found != m_Answers.end() && Found->second == Done;
  }

  TimePoint m_Now = TimePoint(std::chrono::hours(1));
  std::int64_t m_WallMs = 1700000000000;
  LedgerEpoch m_Epoch = 1;
  std::optional<JobLedger> m_Ledger{std::in_place, JobLedgerParameters(),
                                    LedgerEpoch{1}};
  std::map<std::string, std::string> m_Log;
  std::vector<LedgerRecord> m_InFlight;
  bool m_LoadOk = true;
  std::uint64_t m_Call = 0;
  std::map<std::uint64_t, bool> m_Answers;
  std::vector<LedgerStopRun> m_StoppedRuns;
  std::vector<LedgerEndStored> m_AcknowledgedEnds;
  std::map<std::string, StoredJobState> m_FinishedJobs;
  std::vector<LedgerTaskHeld> m_HeldTasks;
};

} // namespace auburnhub

#endif
