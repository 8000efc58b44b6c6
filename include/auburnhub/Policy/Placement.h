#ifndef AUBURNHUB_POLICY_PLACEMENT_H
#define AUBURNHUB_POLICY_PLACEMENT_H

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <string_view>

namespace auburnhub {

/// The endpoint that a placement policy chose and the best one it passed over.
struct PlacementChoice {
  std::size_t m_Endpoint = 0;
  std::optional<std::size_t> m_Rejected;
};

namespace detail {
struct AcceptAny {
  bool operator()(std::size_t) const { return true; }
};
} // namespace detail

/// A set of endpoints with a free slot, and a way to choose among them.
///
/// An endpoint is a small number. Its cost orders endpoints by the expected
/// completion of work that starts now; a policy may ignore it. choose() returns
/// an endpoint that Accept takes, or nothing.
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

/// Returns the name of the policy in use.
template <PlacementPolicy Placement>
std::string_view placementName(const Placement &Used) {
  if constexpr (requires { Used.name(); })
    return Used.name();
  else
    return Placement::Name;
}

/// Changes to the policy with the given name, if the type offers a choice.
template <PlacementPolicy Placement>
void usePlacement(Placement &Used, std::string_view Name) {
  if constexpr (requires { Used.use(Name); })
    Used.use(Name);
}

} // namespace auburnhub

#endif
