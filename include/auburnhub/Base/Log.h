#ifndef AUBURNHUB_BASE_LOG_H
#define AUBURNHUB_BASE_LOG_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace log4cplus {
class Logger;
} // namespace log4cplus

namespace auburnhub {

enum class LogLevel { Debug, Info, Warning, Error };

/// What every log line of a process carries, and which levels are written.
struct LogOptions {
  std::string m_Process;                           ///< For instance "entry".
  std::string m_Vm;                                ///< The VM's name.
  std::string m_DataCentre;                        ///< The data centre's name.
  std::string m_Level = "info";                    ///< Level of all areas.
  std::map<std::string, std::string> m_AreaLevels; ///< Area to level.
  /// Lines over this bound are dropped and counted. Two lines for each run and
  /// each job of a node at three times its share of today's peak fit.
  std::uint32_t m_MaxLinesPerSecond = 3000;
};

/// Starts logging to standard output, which never blocks the process: lines
/// that its reader does not take are dropped, and a line says how many. Call
/// once, before the first Log.
void startLogging(const LogOptions &Options);

/// Writes JSON lines of one area, e.g. "routing" or "config".
///
/// Each line has `time` (UTC, milliseconds), `level`, `process`, `vm`,
/// `data_centre`, `area`, `event` and the fields given. Copies share the area.
class Log {
public:
  explicit Log(std::string_view Area);

  bool enabled(LogLevel Level) const;
  void write(LogLevel Level, std::string_view Event,
             nlohmann::json Fields = nlohmann::json::object()) const;

  void debug(std::string_view Event,
             nlohmann::json Fields = nlohmann::json::object()) const {
    write(LogLevel::Debug, Event, std::move(Fields));
  }
  void info(std::string_view Event,
            nlohmann::json Fields = nlohmann::json::object()) const {
    write(LogLevel::Info, Event, std::move(Fields));
  }
  void warning(std::string_view Event,
               nlohmann::json Fields = nlohmann::json::object()) const {
    write(LogLevel::Warning, Event, std::move(Fields));
  }
  void error(std::string_view Event,
             nlohmann::json Fields = nlohmann::json::object()) const {
    write(LogLevel::Error, Event, std::move(Fields));
  }

private:
  std::shared_ptr<log4cplus::Logger> m_Logger;
  std::string m_Area;
};

} // namespace auburnhub

#endif
