#include "auburnhub/Node/NodeMessages.h"

#include <array>

namespace auburnhub {

std::string_view ledgerCallOutcomeName(LedgerCallOutcome Outcome) {
  static constexpr std::array<std::string_view, 6> Names = {
      "done", "refused", "no_such_job", "not_keeper", "unknown", "no_keeper"};
  return Names[static_cast<std::size_t>(Outcome)];
}

} // namespace auburnhub
