#ifndef AUBURNHUB_TESTS_PLATFORM_FAKEEXECUTOR_H
#define AUBURNHUB_TESTS_PLATFORM_FAKEEXECUTOR_H

#include "auburnhub/Net/LoopHttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburnhub::platform {

/// Stands in for one executor: runs tasks under a lease and a fencing token,
/// and keeps a journal of every start, end and acknowledged end.
///
/// A spec that is a JSON object may set how long its tasks run (`ms`), how many
/// thousandths of a core they need (`cpu`), that each run fails (`fails`), and
/// the name of a task, as STEP.INDEX, that crashes the executor each time it is
/// started (`crash`).
class FakeExecutor {
public:
  struct Behaviour {
    EventLoop::Duration m_RunTime{20};
    bool m_Hangs = false; ///< Runs make no progress and never end.
    bool m_Fails = false; ///< Every run ends as failed.
    /// Number of the next start orders that are not answered, and carried out
    /// only after m_StartDelay.
    int m_DelayedStarts = 0;
    EventLoop::Duration m_StartDelay{1500};
    double m_RunTimeFactor = 1;    ///< Factor on the run time.
    double m_ClockRate = 1;        ///< Speed of its clock; real time is 1.
    bool m_IsUnresponsive = false; ///< Requests are not answered.
    /// Start orders that exceed the capacity are refused; otherwise they are
    /// carried out.
    bool m_GuardsCapacity = true;
    EventLoop::Duration m_StopTime{0}; ///< Time until a stopped run ends.
    /// Time between a start that crashes the executor and the crash.
    EventLoop::Duration m_CrashDelay{10};
    EventLoop::Duration m_RestartTime{1200}; ///< Time away after such a crash.
    bool m_RestartsUnderNewId = false;
  };

  /// A journal entry.
  struct Event {
    std::string m_Task;
    std::uint32_t m_Run = 0;
    /// "start", how the run ended, or "acknowledged" once a renewal has
    /// acknowledged its end.
    std::string m_What;
    TimePoint m_At;
  };

  FakeExecutor(EventLoop &Loop, std::string Id);

  absl::Status listen(const Address &NewAddress) {
    return m_Server.listen(NewAddress);
  }
  std::string address() const {
    return Address{"127.0.0.1", m_Server.port()}.str();
  }
  const std::string &id() const { return m_Id; }
  /// Returns the registration record that the executor writes to the store.
  std::string registration(const std::string &Service, const std::string &Zone,
                           const std::string &State) const;

  /// Sets the address in registrations, if it differs from the address on which
  /// the executor listens.
  void setPublicAddress(const Address &NewAddress) {
    m_PublicAddress = NewAddress.str();
  }

  /// Called when the executor crashes (true) and when it is back (false).
  void setAwayHandler(std::function<void(bool IsAway)> Handler) {
    m_AwayHandler = std::move(Handler);
  }

  /// Changes the capacity that registrations state from now on.
  void setCpuMillis(std::int64_t Value);

  /// Ends all runs and loses all state, like a restart as a new incarnation.
  /// Delayed start orders are executed by the new incarnation.
  void crash();
  /// Crashes and answers nothing for m_RestartTime.
  void crashAndRestart();

  /// Clears m_Hangs, and lets the hanging runs begin their run time now.
  void resume();

  Behaviour &behaviour() { return m_Behaviour; }
  const std::vector<Event> &journal() const { return m_Journal; }
  std::size_t running() const { return m_Running.size(); }
  std::size_t starts() const;
  std::size_t unacknowledgedEnds() const { return m_Ended.size(); }
  /// Returns the peak CPU use, in thousandths of a core.
  std::int64_t peakCpuMillis() const { return m_PeakCpuMillis; }
  /// Returns the times of starts that brought the CPU use above each capacity
  /// stated within CapacityNoticeTime before.
  const std::vector<TimePoint> &startsOverCapacity() const {
    return m_StartsOverCapacity;
  }
  /// Returns when leases have lapsed.
  const std::vector<TimePoint> &lapsedLeases() const { return m_LapsedLeases; }
  static constexpr std::int64_t CpuMillis = 16000;
  /// Time within which a change of the capacity need not be known to owners.
  static constexpr EventLoop::Duration CapacityNoticeTime{4000};

private:
  struct Running {
    std::uint32_t m_Run = 0;
    TimePoint m_Started;
    double m_DurationMs = 0;
    std::int64_t m_CpuMillis = 0;
    bool m_Fails = false;
    EventLoop::Timer m_Timer;
  };
  struct Ended {
    std::uint64_t m_Sequence;
    std::string m_Task;
    std::uint32_t m_Run;
    std::string m_EndKind;
  };

  void onCall(const HttpExchange &Exchange);
  void onStart(const HttpExchange &Exchange, const nlohmann::json &Body);
  void onStop(const HttpExchange &Exchange, const nlohmann::json &Body);
  void onRenew(const HttpExchange &Exchange, const nlohmann::json &Body);
  void end(const std::string &Task, const std::string &EndKind);
  void scheduleEnd(const std::string &Task, Running &Run);
  void extendLease(const nlohmann::json &Body);
  void answerRenewals();
  nlohmann::json encodeLists() const;
  std::int64_t clockMs() const;
  std::int64_t cpuMillisInUse() const;
  /// Returns the highest capacity stated within CapacityNoticeTime.
  std::int64_t noticedCpuMillis() const;
  void respondConflict(const HttpExchange &Exchange,
                       const std::string &Reason) const;

  EventLoop &m_Loop;
  std::string m_Id;
  LoopHttpServer m_Server;
  Behaviour m_Behaviour;
  std::string m_PublicAddress;
  TimePoint m_IncarnationStart;
  std::int64_t m_Incarnation = 1000; ///< Increases with each crash.
  std::function<void(bool)> m_AwayHandler;
  bool m_IsAway = false;
  EventLoop::Timer m_CrashTimer;
  EventLoop::Timer m_RestartTimer;
  /// Capacities stated since the start of the incarnation, and since when.
  std::vector<std::pair<TimePoint, std::int64_t>> m_Capacities;
  std::int64_t m_PeakCpuMillis = 0;
  std::vector<TimePoint> m_StartsOverCapacity;
  std::uint64_t m_Token = 0;
  std::map<std::string, Running> m_Running;
  std::map<std::string, std::uint32_t>
      m_HighestRun; ///< By task: highest run stopped or ended.
  std::vector<Ended> m_Ended;
  std::uint64_t m_LastSequence = 0;
  std::int64_t m_LeaseUntilMs = 0;
  EventLoop::Timer m_LeaseTimer;
  std::vector<TimePoint> m_LapsedLeases;
  std::vector<std::pair<HttpExchange, EventLoop::Timer>> m_Renewals;
  std::vector<EventLoop::Timer> m_DelayTimers;
  std::vector<HttpExchange> m_Unanswered;
  std::vector<Event> m_Journal;
};

} // namespace auburnhub::platform

#endif
