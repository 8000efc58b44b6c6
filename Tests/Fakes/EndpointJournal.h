#ifndef AUBURNHUB_FAKES_ENDPOINTJOURNAL_H
#define AUBURNHUB_FAKES_ENDPOINTJOURNAL_H

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace auburnhub::test {

/// Appends JSON lines to a file, each handed to the system before write()
/// returns, so that it outlives a SIGKILL of the process.
class EndpointJournal {
public:
  /// Writes to the file at Path; nowhere if Path is empty.
  explicit EndpointJournal(const std::string &Path);

  /// Adds the field `time_ms` and writes the line. Any thread may call it.
  void write(nlohmann::json Line);

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
};

} // namespace auburnhub::test

#endif
