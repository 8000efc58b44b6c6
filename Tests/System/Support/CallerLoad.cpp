#include "System/Support/CallerLoad.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Base/SubmissionId.h"

#include <random>

namespace auburnhub::test {
namespace {

constexpr Milliseconds CompletionLimit{60000};
constexpr std::size_t TasksOfAJob = 4;
constexpr int Sorts = 6;
constexpr int LongestRunMs = 80;

std::string taskBody(std::size_t Caller, std::size_t Turn, std::size_t Task) {
  // Callers of different turns run for different times, so that a stop finds
  // calls in every state.
  const std::size_t RunMs = (Turn * 7 + Task * 13 + Caller * 5) % LongestRunMs;
  return nlohmann::json{{"run_ms", RunMs}, {"echo", {Caller, Turn, Task}}}
      .dump();
}

std::string makeKey(std::size_t Caller, std::size_t Turn) {
  std::mt19937_64 Random(Caller << 32U | Turn);
  const std::uint64_t First = Random();
  return SubmissionId::makeCallerId(TimerService::wallMilliseconds(), First,
                                    Random())
      .str();
}

CallerSubmission makeSubmission(std::size_t Caller, std::size_t Turn) {
  const std::size_t Sort = Turn % Sorts;
  const bool IsJob = Sort == 1 || Sort == 4;
  CallerSubmission Sent;
  Sent.m_Team = Caller % 2 == 0 ? "club-desk" : "collectors";
  Sent.m_Kind = IsJob ? SubmissionKind::Job : SubmissionKind::Request;
  for (std::size_t Task = 0; Task < (IsJob ? TasksOfAJob : 1); ++Task)
    Sent.m_Bodies.push_back(taskBody(Caller, Turn, Task));
  Sent.m_Repeatable = Sort != 2;
  if (!Sent.m_Repeatable)
    Sent.m_Service = "engraving-proofs";
  if (Sort >= 3)
    Sent.m_Key = makeKey(Caller, Turn);
  return Sent;
}

bool saysStopping(const HttpReply &Reply) {
  return Reply.m_Body.find("problems/shutting-down") != std::string::npos;
}

} // namespace

CallerLoad::CallerLoad(RecordingCaller &Recorder,
                       const std::vector<std::string> &Entries,
                       std::size_t Callers)
    : m_Recorder(Recorder) {
  for (const std::string &Entry : Entries)
    m_InUse[Entry] = true;
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    m_Threads.emplace_back([this, Caller] { run(Caller); });
}

CallerLoad::~CallerLoad() { stop(); }

void CallerLoad::use(const std::string &Entry) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_InUse[Entry] = true;
  m_Changed.notify_all();
}

bool CallerLoad::waitForCompleted(std::size_t Count) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  const std::size_t Wanted = m_Completed + Count;
  return m_Changed.wait_for(Lock, CompletionLimit,
                            [&] { return m_Completed >= Wanted; });
}

void CallerLoad::stop() {
  m_Stopping = true;
  m_Changed.notify_all();
  for (std::thread &Each : m_Threads)
    Each.join();
  m_Threads.clear();
}

void CallerLoad::run(std::size_t Caller) {
  for (std::size_t Turn = 0; !m_Stopping; ++Turn)
    if (std::string Entry = chooseEntry(Caller + Turn); !Entry.empty())
      send(Entry, Caller, Turn);
}

void CallerLoad::send(const std::string &Entry, std::size_t Caller,
                      std::size_t Turn) {
  auto Reply = m_Recorder.submit(Entry, makeSubmission(Caller, Turn));
  const bool IsRefused =
      !Reply.ok() && failureCode(Reply.status()) == FailureCode::NoEndpoint;
  if (IsRefused || (Reply.ok() && saysStopping(*Reply)))
    drop(Entry);
  if (!Reply.ok() || Reply->m_Status != 200)
    return;
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Completed;
  m_Changed.notify_all();
}

/// Waits until an entry is in use; returns none if the load is stopped.
std::string CallerLoad::chooseEntry(std::size_t Turn) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  std::vector<std::string> Usable;
  m_Changed.wait(Lock, [&] {
    for (const auto &[Entry, InUse] : m_InUse)
      if (InUse)
        Usable.push_back(Entry);
    return m_Stopping || !Usable.empty();
  });
  return Usable.empty() ? "" : Usable[Turn % Usable.size()];
}

void CallerLoad::drop(const std::string &Entry) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_InUse[Entry] = false;
}

} // namespace auburnhub::test
