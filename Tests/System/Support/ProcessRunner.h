#ifndef AUBURNHUB_SYSTEM_SUPPORT_PROCESSRUNNER_H
#define AUBURNHUB_SYSTEM_SUPPORT_PROCESSRUNNER_H

#include "auburnhub/Base/TimerService.h"

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstddef>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace auburnhub::test {

/// Runs a program and keeps what it writes to standard output.
///
/// Any thread may call the functions. The destructor kills the program if it
/// still runs.
class ProcessRunner {
public:
  using Matcher = std::function<bool(const nlohmann::json &Line)>;

  static constexpr Milliseconds DefaultLimit{60000};

  /// Starts a program. Its lines are also written to the file at LogPath,
  /// unless that is empty. Fails with Internal if it cannot be started.
  static absl::StatusOr<std::unique_ptr<ProcessRunner>>
  start(const std::string &Program, std::span<const std::string> Arguments,
        const std::string &LogPath = "");

  ~ProcessRunner();
  ProcessRunner(const ProcessRunner &) = delete;
  ProcessRunner &operator=(const ProcessRunner &) = delete;

  pid_t pid() const { return m_Pid; }

  /// Returns the lines written so far.
  std::vector<std::string> lines() const;

  /// Waits for the first JSON line that matches, from the line with the given
  /// index. Fails with Timeout, or ConnectionLost if the output ended.
  absl::StatusOr<nlohmann::json>
  waitForLine(const Matcher &Matches, std::size_t FromLine = 0,
              Milliseconds Limit = DefaultLimit) const;

  /// Waits for a line whose `event` is as given; fails as waitForLine().
  absl::StatusOr<nlohmann::json>
  waitForEvent(std::string_view Event, std::size_t FromLine = 0,
               Milliseconds Limit = DefaultLimit) const;

  /// Sends a signal, for instance SIGTERM, SIGSTOP, SIGCONT or SIGKILL.
  /// Returns false if the program has ended.
  bool signal(int Number);

  /// Waits for the end of the program. Returns its exit status, or 128 and the
  /// signal that ended it; fails with Timeout.
  absl::StatusOr<int> wait(Milliseconds Limit = DefaultLimit) const;

  bool running() const;

private:
  ProcessRunner(pid_t Pid, int Output, const std::string &LogPath);
  void readOutput();
  void addText(std::string_view Text);
  void addLine(std::string Line);
  void reap();

  const pid_t m_Pid;
  const int m_Output;
  std::ofstream m_LogFile; ///< Used by the reading thread only.
  std::string m_Partial;   ///< Used by the reading thread only.
  mutable std::mutex m_Mutex;
  mutable std::condition_variable m_Changed;
  std::vector<std::string> m_Lines;
  bool m_OutputEnded = false;
  std::optional<int> m_Exit;
  std::thread m_Reader;
};

} // namespace auburnhub::test

#endif
