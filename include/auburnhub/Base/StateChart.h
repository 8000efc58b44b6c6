#ifndef AUBURNHUB_BASE_STATECHART_H
#define AUBURNHUB_BASE_STATECHART_H

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// A state chart read from a file, checked and ready to be interpreted.
///
/// The file names the states, for each state the events it handles with their
/// targets, guards and actions, and the events it ignores. load() refuses a
/// chart with an unknown or unreachable state, or with a state that neither
/// handles nor ignores one of the events, or one that names a guard or action
/// which the code does not have. The chart holds no current state: a StateId
/// does, so that many objects share one chart.
class StateChart {
public:
  using StateId = std::uint16_t;
  using EventId = std::uint16_t;

  /// The guards and actions that the code offers to a chart.
  struct Vocabulary {
    std::vector<std::string> m_Guards;
    std::vector<std::string> m_Actions;
    /// Offers every name, for a reader that does not run the chart.
    bool m_OffersAll = false;
  };

  struct Transition {
    StateId m_To;
    std::string m_Guard;                ///< Empty: always taken.
    std::vector<std::string> m_Actions; ///< In order.
  };

  /// Loads a chart file. Fails with BadSettings and the list of all faults.
  static absl::StatusOr<StateChart> load(const std::string &Path,
                                         const Vocabulary &Offered);

  /// Reads a chart from text; Name stands for the file in messages.
  static absl::StatusOr<StateChart> parse(const std::string &Text,
                                          const std::string &Name,
                                          const Vocabulary &Offered);

  const std::string &name() const { return m_Name; }
  StateId initial() const { return m_Initial; }
  const std::string &stateName(StateId State) const {
    return m_States[State].m_Name;
  }
  bool isFinal(StateId State) const { return m_States[State].m_Final; }

  /// Returns the state or event with this name, if there is one.
  std::optional<StateId> findState(std::string_view Name) const;
  std::optional<EventId> findEvent(std::string_view Name) const;

  /// Returns the transition that an event causes: the first whose guard
  /// HoldsGuard accepts. Null if the state ignores the event.
  const Transition *
  next(StateId State, EventId Event,
       const std::function<bool(std::string_view)> &HoldsGuard) const;

  /// Returns the chart in the DOT language of Graphviz.
  std::string dot() const;

private:
  struct State {
    std::string m_Name;
    bool m_Final = false;
    std::map<EventId, std::vector<Transition>> m_On;
    std::vector<EventId> m_Ignored;
  };
  friend class StateChartReader;

  std::string m_Name;
  StateId m_Initial = 0;
  std::vector<std::string> m_Events;
  std::vector<State> m_States;
};

} // namespace auburnhub

#endif
