#ifndef AUBURNHUB_BENCH_VARIANT_H
#define AUBURNHUB_BENCH_VARIANT_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace auburnhub::bench {

/// A set of policy parameters to compare.
struct Variant {
  std::string m_Name;
  nlohmann::json m_Policy; ///< The `policy` section.
};

/// Returns the policy with its defaults and the baselines.
inline std::vector<Variant> allVariants() {
  return {
      {"policy", nlohmann::json::object()},
      {"fifo-random", {{"placement", "random-endpoint"}, {"classes", false}}},
      {"fifo-round-robin", {{"placement", "round-robin"}, {"classes", false}}},
      {"fifo-two-choices",
       {{"placement", "two-random-choices"}, {"classes", false}}},
      {"fifo", {{"classes", false}}},
      {"no-lending", {{"lending", false}}},
  };
}

} // namespace auburnhub::bench

#endif
