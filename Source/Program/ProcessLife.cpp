#include "auburnhub/Program/ProcessLife.h"

namespace auburnhub {

absl::StatusOr<StateChart>
ProcessLife::loadChart(const std::string &Directory) {
  return StateChart::load(Directory + "/process-life.yaml", {});
}

ProcessLife::ProcessLife(StateChart Chart)
    : m_Chart(std::move(Chart)), m_State(m_Chart.initial()) {}

void ProcessLife::fire(std::string_view Event) {
  std::lock_guard Lock(m_Mutex);
  auto EventId = m_Chart.findEvent(Event);
  if (!EventId)
    return;
  const StateChart::Transition *Taken =
      m_Chart.next(m_State, *EventId, [](std::string_view) { return true; });
  if (!Taken)
    return;
  m_Log.info("process_state", {{"from", m_Chart.stateName(m_State)},
                               {"to", m_Chart.stateName(Taken->m_To)},
                               {"cause", Event}});
  m_State = Taken->m_To;
}

std::string ProcessLife::stateName() const {
  std::lock_guard Lock(m_Mutex);
  return m_Chart.stateName(m_State);
}

} // namespace auburnhub
