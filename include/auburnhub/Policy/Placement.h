#ifndef AUBURNHUB_POLICY_PLACEMENT_H
#define AUBURNHUB_POLICY_PLACEMENT_H

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <string_view>

namespace auburnhub {

/// The endpoint that a placement policy chose, and the next best alternative if
/// the policy compared several.
struct PlacementChoice {
  std::size_t m_Endpoint = 0;
  std::optional<std::size_t> m_Rejected;
};

namespace detail {
struct AcceptAny {
  bool operator()(std::size_t) const { return true; }
};
} // namespace detail

/// A set of endpoints with a free slot, and a rule to choose one of them.
///
/// An endpoint is identified by its index. Its cost orders endpoints by the
/// expected completion time of work that starts now; a policy may ignore it.
/// choose() returns an endpoint that its predicate accepts, or nothing.
template <typename Type>
concept PlacementPolicy = std::default_initializable<Type> &&
    requires(Type &P, const Type &Const, std::size_t Endpoint, double Cost,
             std::mt19937_64 &Random) {
  P.insert(Endpoint, Cost);
  P.erase(Endpoint);
  { Const.size() } -> std::convertible_to<std::size_t>;
  {
    P.choose(Random, detail::AcceptAny())
    } -> std::same_as<std::optional<PlacementChoice>>;
  { Type::Name } -> std::convertible_to<std::string_view>;
};

/// Returns the name of the selected policy.
template <PlacementPolicy Placement>
std::string_view placementName(const Placement &Current) {
  if constexpr (requires { Current.name(); })
    return Current.name();
  else
    return Placement::Name;
}

/// Selects the policy with the given name, if the type supports selection at
/// run time; otherwise does nothing. If the policy changes, the caller must
/// insert the endpoints again.
template <PlacementPolicy Placement>
void selectPlacement(Placement &Current, std::string_view Name) {
  if constexpr (requires { Current.select(Name); })
    Current.select(Name);
}

} // namespace auburnhub

#endif
