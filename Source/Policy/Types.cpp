#include "auburnhub/Policy/Types.h"

namespace auburnhub {

std::string_view taskClassName(TaskClass Class) {
  return Class == TaskClass::Short ? "short" : "long";
}

std::string_view healthStateName(HealthState State) {
  switch (State) {
  case HealthState::Healthy:
    return "healthy";
  case HealthState::Ejected:
    return "ejected";
  case HealthState::Probation:
    return "probation";
  }
  return "healthy";
}

std::string_view placementReasonName(PlacementReason Reason) {
  switch (Reason) {
  case PlacementReason::Policy:
    return "policy";
  case PlacementReason::Probe:
    return "probe";
  case PlacementReason::GuaranteedLong:
    return "guaranteed-long";
  }
  return "policy";
}

std::string_view policyEventName(PolicyEventKind Kind) {
  switch (Kind) {
  case PolicyEventKind::Ejected:
    return "ejected";
  case PolicyEventKind::Probation:
    return "probation";
  case PolicyEventKind::Recovered:
    return "recovered";
  case PolicyEventKind::Demoted:
    return "demoted";
  }
  return "demoted";
}

} // namespace auburnhub
