#ifndef AUBURNHUB_POLICY_SELECTABLEPLACEMENT_H
#define AUBURNHUB_POLICY_SELECTABLEPLACEMENT_H

#include "auburnhub/Policy/LeastExpectedCompletion.h"
#include "auburnhub/Policy/RandomEndpoint.h"
#include "auburnhub/Policy/RoundRobin.h"
#include "auburnhub/Policy/TwoRandomChoices.h"

#include <variant>

namespace auburnhub {

/// A placement policy that is selected by name at run time.
class SelectablePlacement {
public:
  static constexpr std::string_view Name = "any";

  static bool isKnown(std::string_view Name) { return make(Name).has_value(); }

  /// Selects the policy with the given name. Selecting another policy than the
  /// current one empties the set of endpoints, so the caller must insert them
  /// again. An unknown name is ignored.
  void select(std::string_view Name) {
    if (Name == name())
      return;
    if (std::optional<Policies> Created = make(Name))
      m_Current = std::move(*Created);
  }

  /// Returns the name of the selected policy.
  std::string_view name() const {
    return std::visit([](const auto &Current) { return nameOf(Current); },
                      m_Current);
  }

  void insert(std::size_t Endpoint, double Cost) {
    std::visit([&](auto &Current) { Current.insert(Endpoint, Cost); },
               m_Current);
  }

  void erase(std::size_t Endpoint) {
    std::visit([&](auto &Current) { Current.erase(Endpoint); }, m_Current);
  }

  std::size_t size() const {
    return std::visit([](const auto &Current) { return Current.size(); },
                      m_Current);
  }

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &Random, Accept Accepts) {
    return std::visit(
        [&](auto &Current) { return Current.choose(Random, Accepts); },
        m_Current);
  }

private:
  using Policies = std::variant<LeastExpectedCompletion, RandomEndpoint,
                                RoundRobin, TwoRandomChoices>;

  template <typename Policy> static std::string_view nameOf(const Policy &) {
    return Policy::Name;
  }

  static std::optional<Policies> make(std::string_view Name) {
    if (Name == LeastExpectedCompletion::Name)
      return LeastExpectedCompletion();
    if (Name == RandomEndpoint::Name)
      return RandomEndpoint();
    if (Name == RoundRobin::Name)
      return RoundRobin();
    if (Name == TwoRandomChoices::Name)
      return TwoRandomChoices();
    return std::nullopt;
  }

  Policies m_Current;
};

static_assert(PlacementPolicy<SelectablePlacement>);

} // namespace auburnhub

#endif
