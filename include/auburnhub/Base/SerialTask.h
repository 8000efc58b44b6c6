#ifndef AUBURNHUB_BASE_SERIALTASK_H
#define AUBURNHUB_BASE_SERIALTASK_H

#include "absl/functional/any_invocable.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace auburnhub {

/// Runs messages one after the other on a thread of its own.
///
/// A part of a process keeps its state in an object that only its SerialTask's
/// messages touch, so that the state needs no lock. Other threads reach the
/// part by post(). A message is a move-only call without arguments.
class SerialTask {
public:
  using Message = absl::AnyInvocable<void()>;

  /// Starts the thread. Name is shown by debuggers (15 bytes at most).
  explicit SerialTask(std::string Name);

  /// Stops as stop() does.
  ~SerialTask();

  SerialTask(const SerialTask &) = delete;
  SerialTask &operator=(const SerialTask &) = delete;

  /// Queues a message. Messages from one thread keep their order. Returns
  /// false, and drops the message, once the task has stopped.
  bool post(Message Msg);

  /// Runs what is queued, then ends the thread. Safe to call twice, but not
  /// from the task's own thread.
  void stop();

  /// Returns the number of messages that wait.
  std::size_t backlog() const;

private:
  void run();

  const std::string m_Name;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Ready;
  std::deque<Message> m_Queue;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace auburnhub

#endif
