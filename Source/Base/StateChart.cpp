#include "auburnhub/Base/StateChart.h"

#include "auburnhub/Base/Failure.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace auburnhub {

/// Builds a StateChart from YAML and collects the faults.
class StateChartReader {
public:
  StateChartReader(const std::string &File,
                   const StateChart::Vocabulary &Offered)
      : m_File(File), m_Offered(Offered) {}

  absl::StatusOr<StateChart> read(const YAML::Node &Root) {
    readNames(Root);
    if (m_Faults.empty())
      for (const auto &Item : Root["states"])
        readState(Item.first.as<std::string>(), Item.second);
    if (m_Faults.empty())
      checkReachable();
    if (m_Faults.empty())
      return std::move(m_Chart);
    std::string Detail;
    for (const std::string &Fault : m_Faults)
      Detail += (Detail.empty() ? "" : "\n") + Fault;
    return makeFailure(FailureCode::BadSettings, Detail);
  }

private:
  void fault(const YAML::Node &Where, const std::string &What) {
    std::string Place = m_File;
    if (Where.IsDefined() && !Where.Mark().is_null())
      Place += ":" + std::to_string(Where.Mark().line + 1);
    m_Faults.push_back(Place + ": " + What);
  }

  void readNames(const YAML::Node &Root) {
    if (!Root.IsMap() || !Root["states"].IsMap() ||
        !Root["events"].IsSequence() || !Root["chart"].IsScalar() ||
        !Root["initial"].IsScalar()) {
      fault(Root, "expected the keys chart, initial, events and states");
      return;
    }
    m_Chart.m_Name = Root["chart"].as<std::string>();
    m_Chart.m_Events = Root["events"].as<std::vector<std::string>>();
    for (const auto &Item : Root["states"]) {
      StateChart::State State;
      State.m_Name = Item.first.as<std::string>();
      m_Chart.m_States.push_back(std::move(State));
    }
    auto Initial = m_Chart.findState(Root["initial"].as<std::string>());
    if (!Initial)
      fault(Root["initial"], "the initial state is unknown");
    m_Chart.m_Initial = Initial.value_or(0);
  }

  void readState(const std::string &Name, const YAML::Node &Node) {
    StateChart::State &State = m_Chart.m_States[*m_Chart.findState(Name)];
    State.m_Final = Node["final"].as<bool>(false);
    for (const auto &Item : Node["on"]) {
      auto Event = findEvent(Item.first);
      if (!Event)
        continue;
      std::vector<StateChart::Transition> &Into = State.m_On[*Event];
      if (Item.second.IsSequence()) {
        for (const YAML::Node &Choice : Item.second)
          readTransition(Choice, Into);
      } else {
        readTransition(Item.second, Into);
      }
    }
    for (const YAML::Node &Item : Node["ignore"])
      if (auto Event = findEvent(Item))
        State.m_Ignored.push_back(*Event);
    checkEvents(Node, State);
  }

  void readTransition(const YAML::Node &Node,
                      std::vector<StateChart::Transition> &Into) {
    if (!Node.IsMap() || !Node["to"].IsDefined()) {
      fault(Node, "expected a transition with the key to");
      return;
    }
    auto To = m_Chart.findState(Node["to"].as<std::string>());
    if (!To) {
      fault(Node["to"], "unknown state " + Node["to"].as<std::string>());
      return;
    }
    StateChart::Transition Result;
    Result.m_To = *To;
    Result.m_Guard = Node["guard"].as<std::string>("");
    if (!Result.m_Guard.empty() && !offers(m_Offered.m_Guards, Result.m_Guard))
      fault(Node["guard"], "unknown guard " + Result.m_Guard);
    for (const YAML::Node &Item : Node["actions"]) {
      Result.m_Actions.push_back(Item.as<std::string>());
      if (!offers(m_Offered.m_Actions, Result.m_Actions.back()))
        fault(Item, "unknown action " + Result.m_Actions.back());
    }
    Into.push_back(std::move(Result));
  }

  bool offers(const std::vector<std::string> &Names,
              const std::string &Name) const {
    return m_Offered.m_OffersAll ||
           std::find(Names.begin(), Names.end(), Name) != Names.end();
  }

  std::optional<StateChart::EventId> findEvent(const YAML::Node &Node) {
    auto Event = m_Chart.findEvent(Node.as<std::string>());
    if (!Event)
      fault(Node, "unknown event " + Node.as<std::string>());
    return Event;
  }

  void checkEvents(const YAML::Node &Node, const StateChart::State &State) {
    if (State.m_Final)
      return;
    for (std::size_t I = 0; I != m_Chart.m_Events.size(); ++I) {
      auto Event = static_cast<StateChart::EventId>(I);
      bool Ignored = std::find(State.m_Ignored.begin(), State.m_Ignored.end(),
                               Event) != State.m_Ignored.end();
      if (!Ignored && !State.m_On.contains(Event))
        fault(Node, "state " + State.m_Name +
                        " neither handles nor ignores the event " +
                        m_Chart.m_Events[I]);
    }
  }

  void checkReachable() {
    std::set<StateChart::StateId> Seen = {m_Chart.m_Initial};
    std::vector<StateChart::StateId> Open = {m_Chart.m_Initial};
    while (!Open.empty()) {
      const StateChart::State &State = m_Chart.m_States[Open.back()];
      Open.pop_back();
      for (const auto &[Event, Choices] : State.m_On)
        for (const StateChart::Transition &Choice : Choices)
          if (Seen.insert(Choice.m_To).second)
            Open.push_back(Choice.m_To);
    }
    for (std::size_t I = 0; I != m_Chart.m_States.size(); ++I)
      if (!Seen.contains(static_cast<StateChart::StateId>(I)))
        fault(YAML::Node(),
              "state " + m_Chart.m_States[I].m_Name + " cannot be reached");
  }

  const std::string &m_File;
  const StateChart::Vocabulary &m_Offered;
  StateChart m_Chart;
  std::vector<std::string> m_Faults;
};

absl::StatusOr<StateChart> StateChart::load(const std::string &Path,
                                            const Vocabulary &Offered) {
  std::ifstream File(Path);
  if (!File)
    return makeFailure(FailureCode::BadSettings, Path + ": cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return parse(Text.str(), Path, Offered);
}

absl::StatusOr<StateChart> StateChart::parse(const std::string &Text,
                                             const std::string &Name,
                                             const Vocabulary &Offered) {
  try {
    return StateChartReader(Name, Offered).read(YAML::Load(Text));
  } catch (const YAML::Exception &E) {
    return makeFailure(FailureCode::BadSettings, Name + ": " + E.what());
  }
}

std::optional<StateChart::StateId>
StateChart::findState(std::string_view Name) const {
  for (std::size_t I = 0; I != m_States.size(); ++I)
    if (m_States[I].m_Name == Name)
      return static_cast<StateId>(I);
  return std::nullopt;
}

std::optional<StateChart::EventId>
StateChart::findEvent(std::string_view Name) const {
  for (std::size_t I = 0; I != m_Events.size(); ++I)
    if (m_Events[I] == Name)
      return static_cast<EventId>(I);
  return std::nullopt;
}

const StateChart::Transition *StateChart::next(
    StateId State, EventId Event,
    const std::function<bool(std::string_view)> &HoldsGuard) const {
  const auto &On = m_States[State].m_On;
  auto Found = On.find(Event);
  if (Found == On.end())
    return nullptr;
  for (const Transition &Choice : Found->second)
    if (Choice.m_Guard.empty() || HoldsGuard(Choice.m_Guard))
      return &Choice;
  return nullptr;
}

std::string StateChart::dot() const {
  std::ostringstream Out;
  Out << "digraph \"" << m_Name << "\" {\n";
  for (const State &From : m_States) {
    Out << "  \"" << From.m_Name << "\""
        << (From.m_Final ? " [peripheries=2]" : "") << ";\n";
    for (const auto &[Event, Choices] : From.m_On)
      for (const Transition &Choice : Choices) {
        Out << "  \"" << From.m_Name << "\" -> \""
            << m_States[Choice.m_To].m_Name << "\" [label=\""
            << m_Events[Event];
        if (!Choice.m_Guard.empty())
          Out << " [" << Choice.m_Guard << "]";
        Out << "\"];\n";
      }
  }
  Out << "}\n";
  return Out.str();
}

} // namespace auburnhub
