#ifndef AUBURNHUB_CONTROL_STREAMTAILER_H
#define AUBURNHUB_CONTROL_STREAMTAILER_H

#include "PlatformClient.h"

#include "auburnhub/Base/SerialTask.h"
#include "auburnhub/Base/TimerService.h"

#include <atomic>
#include <functional>
#include <string>

namespace auburnhub {

/// How a stream is followed.
struct TailOptions {
  std::string m_Stream;
  int m_PageRecords = 100;
  Milliseconds m_PollWait{1000};
  /// How far back to begin, by platform time before the end of the stream;
  /// zero: at the oldest kept record.
  Milliseconds m_GoBack{0};
  Milliseconds m_ClockBound{60000}; ///< Largest difference of two clocks.
};

/// What a StreamTailer tells its owner, on the owner's task.
struct TailEvents {
  /// Reading begins at an offset, and every record made at ReadFromMs or
  /// later, by the platform's clock, will be read; 0: all ever made.
  std::function<void(std::int64_t Offset, std::int64_t ReadFromMs)> m_Begun;
  std::function<void(const StreamPage &)> m_Page;
  std::function<void(const absl::Status &)> m_Failed;
};

/// Follows a stream of the platform by long polls on a thread of its own.
class StreamTailer {
public:
  StreamTailer(Address Platform, std::string Vm, TailOptions Options,
               SerialTask &Owner, TimerService &Timers, TailEvents Events);
  ~StreamTailer();

  /// Begins to read.
  void start();

  /// Asks the thread to end; stop() waits for it.
  void requestStop() { m_IsStopping = true; }

  /// Ends the thread, at the latest when the poll in progress ends. Events
  /// that are already queued at the owner may still come.
  void stop();

private:
  void step();
  absl::Status findBegin();
  absl::Status readPage();
  void begin(std::int64_t Offset, std::int64_t ReadFromMs);

  const TailOptions m_Options;
  SerialTask &m_Owner;
  TimerService &m_Timers;
  TailEvents m_Events;
  PlatformClient m_Client;
  std::int64_t m_Next = -1; ///< -1: where to begin is not known yet.
  Milliseconds m_Backoff{0};
  TimerService::Subscription m_Retry = 0;
  std::atomic<bool> m_IsStopping{false};
  SerialTask m_Task;
};

} // namespace auburnhub

#endif
