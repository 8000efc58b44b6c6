#ifndef AUBURNHUB_SYSTEM_SUPPORT_CALLERLOAD_H
#define AUBURNHUB_SYSTEM_SUPPORT_CALLERLOAD_H

#include "System/Support/RecordingCaller.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace auburnhub::test {

/// Concurrent callers that send requests and jobs, without an id and under
/// their own, until the load is stopped.
///
/// As behind a balancer, an entry that refuses connections or says that it
/// stops gets no more calls until use() names it again.
class CallerLoad {
public:
  /// Starts callers that use each of the entries ("host:port") in turn.
  CallerLoad(RecordingCaller &Recorder, const std::vector<std::string> &Entries,
             std::size_t Callers = 8);
  ~CallerLoad();
  CallerLoad(const CallerLoad &) = delete;
  CallerLoad &operator=(const CallerLoad &) = delete;

  /// Sends calls to an entry again.
  void use(const std::string &Entry);

  /// Waits until so many more calls have been completed, but no longer than a
  /// generous limit; returns whether they have.
  bool waitForCompleted(std::size_t Count);

  /// Waits for the calls in progress and ends the callers.
  void stop();

private:
  void run(std::size_t Caller);
  void send(const std::string &Entry, std::size_t Caller, std::size_t Turn);
  std::string chooseEntry(std::size_t Turn);
  void drop(const std::string &Entry);

  RecordingCaller &m_Recorder;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, bool> m_InUse;
  std::size_t m_Completed = 0;
  std::atomic<bool> m_Stopping{false};
  std::vector<std::thread> m_Threads;
};

} // namespace auburnhub::test

#endif
