#ifndef AUBURNHUB_POLICY_ANYPLACEMENT_H
#define AUBURNHUB_POLICY_ANYPLACEMENT_H

#include "auburnhub/Policy/LeastExpectedCompletion.h"
#include "auburnhub/Policy/RandomEndpoint.h"
#include "auburnhub/Policy/RoundRobin.h"
#include "auburnhub/Policy/TwoRandomChoices.h"

#include <variant>

namespace auburnhub {

/// A placement policy that is chosen by its name while the program runs.
class AnyPlacement {
public:
  static constexpr std::string_view Name = "any";

  /// Returns whether a policy has this name.
  static bool isKnown(std::string_view Name) { return make(Name).has_value(); }

  /// Changes the policy. If it is another one the set is empty afterwards. An
  /// unknown name changes nothing.
  void use(std::string_view Name) {
    if (Name == name())
      return;
    if (std::optional<Policies> Made = make(Name))
      m_Used = std::move(*Made);
  }

  /// Returns the name of the policy in use.
  std::string_view name() const {
    return std::visit([](const auto &Used) { return nameOf(Used); }, m_Used);
  }

  void insert(std::size_t Endpoint, double Cost) {
    std::visit([&](auto &Used) { Used.insert(Endpoint, Cost); }, m_Used);
  }

  void erase(std::size_t Endpoint) {
    std::visit([&](auto &Used) { Used.erase(Endpoint); }, m_Used);
  }

  std::size_t size() const {
    return std::visit([](const auto &Used) { return Used.size(); }, m_Used);
  }

  template <typename Rng, typename Accept>
  std::optional<PlacementChoice> choose(Rng &Random, Accept Accepts) {
    return std::visit([&](auto &Used) { return Used.choose(Random, Accepts); },
                      m_Used);
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

  Policies m_Used;
};

static_assert(PlacementPolicy<AnyPlacement>);

} // namespace auburnhub

#endif
