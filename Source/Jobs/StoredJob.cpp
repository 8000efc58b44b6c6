#include "auburnhub/Jobs/StoredJob.h"

#include <xxhash.h>

#include <array>

namespace auburnhub {

std::string_view storedJobStateName(StoredJobState State) {
  static constexpr std::array<std::string_view, 5> Names = {
      "queued", "running", "completed", "failed", "cancelled"};
  return Names[static_cast<std::size_t>(State)];
}

std::string_view storedRunEndName(StoredRunEnd End) {
  static constexpr std::array<std::string_view, 5> Names = {
      "done", "failed", "over", "not_run", "in_doubt"};
  return Names[static_cast<std::size_t>(End)];
}

std::uint32_t ledgerPartitionOf(std::string_view Job, std::uint32_t Parts) {
  constexpr XXH64_hash_t Seed = 0;
  return static_cast<std::uint32_t>(XXH64(Job.data(), Job.size(), Seed) %
                                    Parts);
}

} // namespace auburnhub
