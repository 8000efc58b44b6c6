#ifndef AUBURNHUB_PROGRAM_PROCESSLIFE_H
#define AUBURNHUB_PROGRAM_PROCESSLIFE_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/StateChart.h"

#include <mutex>
#include <string>
#include <string_view>

namespace auburnhub {

/// Follows a process through the chart process-life.yaml. Safe to use from any
/// thread.
class ProcessLife {
public:
  /// Loads the chart. Fails with BadSettings.
  static absl::StatusOr<StateChart> loadChart(const std::string &Directory);

  explicit ProcessLife(StateChart Chart);

  /// Moves on by an event of the chart and logs the change.
  void fire(std::string_view Event);

  std::string stateName() const;
  bool isReady() const { return stateName() == "ready"; }

private:
  const StateChart m_Chart;
  Log m_Log{"process"};
  mutable std::mutex m_Mutex;
  StateChart::StateId m_State;
};

} // namespace auburnhub

#endif
