#include "Fakes/EndpointJournal.h"

#include "auburnhub/Base/TimerService.h"

namespace auburnhub::test {

EndpointJournal::EndpointJournal(const std::string &Path) {
  if (!Path.empty())
    m_File.open(Path, std::ios::app);
}

void EndpointJournal::write(nlohmann::json Line) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (!m_File.is_open())
    return;
  Line["time_ms"] = TimerService::wallMilliseconds();
  m_File << Line.dump() + "\n" << std::flush;
}

} // namespace auburnhub::test
