#include "System/Support/ProcessRunner.h"

#include "auburnhub/Base/Failure.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace auburnhub::test {
namespace {

constexpr int SignalExitBase = 128;

struct OutputPipe {
  int m_Read = -1;
  int m_Write = -1;
};

absl::StatusOr<OutputPipe> makePipe() {
  std::array<int, 2> Ends{};
  if (pipe2(Ends.data(), O_CLOEXEC) != 0)
    return makeFailure(FailureCode::Internal, std::strerror(errno));
  return OutputPipe{Ends[0], Ends[1]};
}

/// Starts a program with its standard output on the given descriptor.
absl::StatusOr<pid_t> spawn(const std::string &Program,
                            std::span<const std::string> Arguments,
                            int Output) {
  std::vector<std::string> Words{Program};
  Words.insert(Words.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Argv;
  for (std::string &Word : Words)
    Argv.push_back(Word.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Output, STDOUT_FILENO);
  pid_t Pid = -1;
  const int Error = posix_spawn(&Pid, Program.c_str(), &Actions, nullptr,
                                Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    return makeFailure(FailureCode::Internal,
                       Program + ": " + std::strerror(Error));
  return Pid;
}

int exitStatus(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status)
                           : SignalExitBase + WTERMSIG(Status);
}

} // namespace

absl::StatusOr<std::unique_ptr<ProcessRunner>>
ProcessRunner::start(const std::string &Program,
                     std::span<const std::string> Arguments,
                     const std::string &LogPath) {
  absl::StatusOr<OutputPipe> Pipe = makePipe();
  if (!Pipe.ok())
    return Pipe.status();
  absl::StatusOr<pid_t> Pid = spawn(Program, Arguments, Pipe->m_Write);
  close(Pipe->m_Write);
  if (!Pid.ok()) {
    close(Pipe->m_Read);
    return Pid.status();
  }
  return std::unique_ptr<ProcessRunner>(
      new ProcessRunner(*Pid, Pipe->m_Read, LogPath));
}

ProcessRunner::ProcessRunner(pid_t Pid, int Output, const std::string &LogPath)
    : m_Pid(Pid), m_Output(Output) {
  if (!LogPath.empty())
    m_LogFile.open(LogPath, std::ios::app);
  m_Reader = std::thread([this] { readOutput(); });
}

ProcessRunner::~ProcessRunner() {
  signal(SIGKILL);
  m_Reader.join();
  close(m_Output);
}

std::vector<std::string> ProcessRunner::lines() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Lines;
}

absl::StatusOr<nlohmann::json>
ProcessRunner::waitForLine(const Matcher &Matches, std::size_t FromLine,
                           Milliseconds Limit) const {
  const MonotonicTime Due = TimerService::now() + Limit;
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (std::size_t Next = FromLine;; ++Next) {
    const bool InTime = m_Changed.wait_until(
        Lock, Due, [&] { return m_OutputEnded || m_Lines.size() > Next; });
    if (!InTime)
      return makeFailure(FailureCode::Timeout, "no line matched in time");
    if (m_Lines.size() <= Next)
      return makeFailure(FailureCode::ConnectionLost, "the output ended");
    nlohmann::json Line = nlohmann::json::parse(m_Lines[Next], nullptr, false);
    if (Line.is_object() && Matches(Line))
      return Line;
  }
}

absl::StatusOr<nlohmann::json>
ProcessRunner::waitForEvent(std::string_view Event, std::size_t FromLine,
                            Milliseconds Limit) const {
  return waitForLine(
      [Event](const nlohmann::json &Line) {
        return Line.value("event", nlohmann::json()) == Event;
      },
      FromLine, Limit);
}

bool ProcessRunner::signal(int Number) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return !m_Exit && kill(m_Pid, Number) == 0;
}

absl::StatusOr<int> ProcessRunner::wait(Milliseconds Limit) const {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (!m_Changed.wait_for(Lock, Limit, [&] { return m_Exit.has_value(); }))
    return makeFailure(FailureCode::Timeout, "the program did not end in time");
  return *m_Exit;
}

bool ProcessRunner::running() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return !m_Exit;
}

void ProcessRunner::readOutput() {
  std::array<char, 16384> Buf{};
  ssize_t Size = 0;
  while ((Size = read(m_Output, Buf.data(), Buf.size())) > 0 ||
         (Size < 0 && errno == EINTR))
    if (Size > 0)
      addText({Buf.data(), static_cast<std::size_t>(Size)});
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_OutputEnded = true;
  }
  m_Changed.notify_all();
  reap();
}

void ProcessRunner::addText(std::string_view Text) {
  for (std::size_t End = 0; (End = Text.find('\n')) != std::string_view::npos;
       Text.remove_prefix(End + 1)) {
    m_Partial += Text.substr(0, End);
    addLine(std::exchange(m_Partial, {}));
  }
  m_Partial += Text;
}

void ProcessRunner::addLine(std::string Line) {
  if (m_LogFile.is_open())
    m_LogFile << Line << std::endl;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Lines.push_back(std::move(Line));
  }
  m_Changed.notify_all();
}

/// Waits for the end first and takes the pid out of use under the lock, so
/// that signal() never reaches another process with the same pid.
void ProcessRunner::reap() {
  siginfo_t Info;
  while (waitid(P_PID, static_cast<id_t>(m_Pid), &Info, WEXITED | WNOWAIT) !=
             0 &&
         errno == EINTR)
    ;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    int Status = 0;
    waitpid(m_Pid, &Status, 0);
    m_Exit = exitStatus(Status);
  }
  m_Changed.notify_all();
}

} // namespace auburnhub::test
