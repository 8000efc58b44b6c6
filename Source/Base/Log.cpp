#include "auburnhub/Base/Log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <chrono>
#include <climits>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace auburnhub {
namespace {

/// Writes each message, which is one JSON object already, as a line to
/// standard output, and never waits for its reader: a line that does not fit,
/// or that is over the bound of its second, is dropped and counted. A line with
/// the count follows as soon as one fits again.
class BoundedLineAppender : public log4cplus::Appender {
public:
  explicit BoundedLineAppender(std::uint32_t MaxLinesPerSecond)
      : m_MaxLinesPerSecond(MaxLinesPerSecond) {}
  ~BoundedLineAppender() override { destructorImpl(); }
  BoundedLineAppender(const BoundedLineAppender &) = delete;
  BoundedLineAppender &operator=(const BoundedLineAppender &) = delete;

  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    if (m_Dropped > 0 && withinRate()) {
      std::string Note = R"({"area":"log","event":"lines_dropped","count":)" +
                         std::to_string(m_Dropped) + "}";
      if (writeLine(Note))
        m_Dropped = 0;
    }
    if (!withinRate() || !writeLine(Event.getMessage()))
      ++m_Dropped;
  }

private:
  bool withinRate() {
    auto Now = std::chrono::steady_clock::now();
    if (Now - m_SecondBegan >= std::chrono::seconds(1)) {
      m_SecondBegan = Now;
      m_LinesInSecond = 0;
    }
    return m_LinesInSecond < m_MaxLinesPerSecond;
  }

  /// Returns false if the line could have blocked. A pipe that is ready takes
  /// PIPE_BUF bytes at once, so longer lines are not tried.
  bool writeLine(std::string Line) {
    Line += '\n';
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    if (Line.size() > PIPE_BUF || poll(&Output, 1, 0) != 1 ||
        (Output.revents & POLLOUT) == 0)
      return false;
    ++m_LinesInSecond;
    return ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
           static_cast<ssize_t>(Line.size());
  }

  const std::uint32_t m_MaxLinesPerSecond;
  std::chrono::steady_clock::time_point m_SecondBegan;
  std::uint32_t m_LinesInSecond = 0;
  std::uint64_t m_Dropped = 0;
};

struct LoggingState {
  log4cplus::Initializer m_Initializer;
  LogOptions m_Options;
};

LoggingState &loggingState() {
  static LoggingState State;
  return State;
}

log4cplus::LogLevel toLibraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string_view levelName(LogLevel Level) {
  static constexpr std::array<std::string_view, 4> Names = {"debug", "info",
                                                            "warning", "error"};
  return Names[static_cast<std::size_t>(Level)];
}

log4cplus::LogLevel parseLevel(std::string_view Name) {
  for (LogLevel Level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error})
    if (levelName(Level) == Name)
      return toLibraryLevel(Level);
  return log4cplus::INFO_LOG_LEVEL;
}

std::string utcTime() {
  auto Now = std::chrono::system_clock::now();
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                Now.time_since_epoch())
                .count() %
            1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Buf{};
  std::size_t Length =
      std::strftime(Buf.data(), Buf.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::string Fraction = std::to_string(1000 + Ms).substr(1);
  return std::string(Buf.data(), Length) + "." + Fraction + "Z";
}

} // namespace

void startLogging(const LogOptions &Options) {
  LoggingState &State = loggingState();
  State.m_Options = Options;
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(log4cplus::SharedAppenderPtr(
      new BoundedLineAppender(Options.m_MaxLinesPerSecond)));
  Root.setLogLevel(parseLevel(Options.m_Level));
  for (const auto &[Area, Level] : Options.m_AreaLevels)
    log4cplus::Logger::getInstance(Area).setLogLevel(parseLevel(Level));
}

Log::Log(std::string_view Area) : m_Area(Area) {
  loggingState();
  m_Logger = std::make_shared<log4cplus::Logger>(
      log4cplus::Logger::getInstance(m_Area));
}

bool Log::enabled(LogLevel Level) const {
  return m_Logger->isEnabledFor(toLibraryLevel(Level));
}

void Log::write(LogLevel Level, std::string_view Event,
                nlohmann::json Fields) const {
  if (!enabled(Level))
    return;
  const LogOptions &Options = loggingState().m_Options;
  Fields["time"] = utcTime();
  Fields["level"] = levelName(Level);
  Fields["process"] = Options.m_Process;
  Fields["vm"] = Options.m_Vm;
  Fields["data_centre"] = Options.m_DataCentre;
  Fields["area"] = m_Area;
  Fields["event"] = Event;
  using Handler = nlohmann::json::error_handler_t;
  m_Logger->log(toLibraryLevel(Level),
                Fields.dump(-1, ' ', false, Handler::replace));
}

} // namespace auburnhub
