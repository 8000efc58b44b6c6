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

} // namespace auburnhub

#endif
