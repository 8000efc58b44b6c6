#ifndef AUBURNHUB_FAKES_FAKEENDPOINT_H
#define AUBURNHUB_FAKES_FAKEENDPOINT_H

#include "Fakes/EndpointJournal.h"
#include "Fakes/Exchange.h"

#include "auburnhub/Base/TimerService.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace auburnhub::test {

/// What a fake endpoint does with the tasks that it is given.
enum class EndpointMode {
  Ok,          ///< Runs each task.
  Fail,        ///< Runs each task and replies 500.
  FailAllFast, ///< Starts each task and replies 500 at once.
  Hang,        ///< Starts each task; resets the connection when the mode
               ///< changes.
  ResetBefore, ///< Resets the connection before it reads the body.
  ResetDuring, ///< Starts the task and resets the connection.
  ResetAfter,  ///< Finishes the task and resets the connection.
  Truncate,    ///< Sends less than the length that it announces.
  Oversize,    ///< Sends as many MiB as the mode's factor.
  WrongCall,   ///< Replies with another call's number.
  Stale,       ///< Replies with the answer to the call before.
  Refuse,      ///< Refuses each task before it starts.
  Leaving,     ///< Refuses each task and says that it is leaving.
  Slow,        ///< Takes the mode's factor times as long.
};

/// Returns the mode with the given name, e.g. "reset_before".
std::optional<EndpointMode> endpointModeFromName(std::string_view Name);

/// How a fake endpoint behaves from its start.
struct FakeEndpointOptions {
  std::string m_Name;           ///< Name in the journal.
  int m_Slots = 8;              ///< Most tasks that run at once.
  double m_Speed = 1;           ///< Divides every run time.
  Milliseconds m_DefaultRun{1}; ///< Run time of a body that names none.
};

/// An executor that runs tasks by waiting, and journals each start and finish.
/// A task's body may be a JSON object: `run_ms`, `echo`, `fail` and `hold`,
/// which runs the task until the endpoint is told a mode.
///
/// handle() may run on many threads at once and blocks while a task runs.
class FakeEndpoint {
public:
  /// The journal must outlive the endpoint.
  FakeEndpoint(const FakeEndpointOptions &Options, EndpointJournal &Journal);

  /// Answers one request that is not for test control.
  void handle(Exchange &Call);

  /// Changes what happens to tasks from now on, and ends those that hang.
  void setMode(EndpointMode Mode, double Factor);

  /// Returns the counts of starts, finishes, refusals and running tasks.
  nlohmann::json stats();

private:
  struct Task {
    std::string m_Service;
    std::string m_Submission;
    std::string m_Index;
    std::string m_Attempt;
    std::string m_Call;
    std::string m_Body;
  };
  struct Result {
    std::string m_Submission;
    std::string m_Call;
    std::string m_Body;
    bool m_Failed = false;
  };
  struct Behaviour {
    EndpointMode m_Mode = EndpointMode::Ok;
    double m_Factor = 1;
    std::uint64_t m_Version = 0; ///< Counts changes of the mode.
  };

  void handleRun(Exchange &Call);
  void runTask(Exchange &Call, const Task &Work, const Behaviour &How);
  void replyHealth(Exchange &Call);
  void refuse(Exchange &Call, const Task &Work);
  bool takeSlot(const Behaviour &How);
  void releaseSlot();
  void waitForRun(const Task &Work, const Behaviour &How);
  Result makeResult(const Task &Work, const Behaviour &How) const;
  void sendResult(Exchange &Call, const Result &Done, const Behaviour &How);
  nlohmann::json journalLine(std::string_view Event, const Task &Work) const;
  Behaviour behaviour();

  const FakeEndpointOptions m_Options;
  EndpointJournal &m_Journal;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  Behaviour m_Behaviour;
  std::optional<Result> m_Previous;
  int m_Running = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Finishes = 0;
  std::uint64_t m_Refusals = 0;
};

} // namespace auburnhub::test

#endif
