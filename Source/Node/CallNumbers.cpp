#include "auburnhub/Node/CallNumbers.h"

#include <random>

namespace auburnhub {

CallNumbers CallNumbers::ofNewProcess() {
  // Leaves room to count up without an overflow.
  constexpr std::uint64_t MaxFirst = std::uint64_t{1} << 62U;
  std::random_device Device;
  return CallNumbers(
      std::uniform_int_distribution<std::uint64_t>(1, MaxFirst)(Device));
}

} // namespace auburnhub
