#include "auburnhub/Messages/Messages.h"

namespace auburnhub {

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Complete:
    return "complete";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Failed:
    return "failed";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace auburnhub
