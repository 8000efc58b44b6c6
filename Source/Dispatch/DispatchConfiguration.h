#ifndef AUBURNHUB_DISPATCH_DISPATCHCONFIGURATION_H
#define AUBURNHUB_DISPATCH_DISPATCHCONFIGURATION_H

#include "auburnhub/Messages/Codec.h"
#include "auburnhub/Policy/PolicyParameters.h"

#include <map>
#include <string>
#include <vector>

namespace auburnhub {

struct EndpointConfiguration {
  std::string m_Address;
  int m_Slots = 1;
  std::string m_DataCentre;
  std::string m_Vm;
  template <typename Visitor> void fields(Visitor &V) {
    V("address", m_Address);
    V("slots", m_Slots);
    V("data_centre", m_DataCentre);
    V("vm", m_Vm);
  }
};

struct ServiceConfiguration {
  bool m_Repeatable = false;
  std::vector<EndpointConfiguration> m_Endpoints;
  template <typename Visitor> void fields(Visitor &V) {
    V("repeatable", m_Repeatable);
    V("endpoints", m_Endpoints);
  }
};

struct TeamConfiguration {
  double m_Weight = 1;
  std::int64_t m_MaxQueued = 10000;
  template <typename Visitor> void fields(Visitor &V) {
    V("weight", m_Weight);
    V("max_queued", m_MaxQueued);
  }
};

struct LimitsConfiguration {
  std::int64_t m_ResubmissionWindowMs = 300000;
  std::int64_t m_ClockBoundMs = 60000;
  std::int64_t m_DrainMs = 30000;
  std::int64_t m_DefaultTimeoutMs = 10000;
  template <typename Visitor> void fields(Visitor &V) {
    V("resubmission_window_ms", m_ResubmissionWindowMs);
    V("clock_bound_ms", m_ClockBoundMs);
    V("drain_ms", m_DrainMs);
    V("default_timeout_ms", m_DefaultTimeoutMs);
  }
};

/// What a dispatcher needs of the accepted configuration.
struct DispatchConfiguration {
  std::map<std::string, ServiceConfiguration> m_Services;
  std::map<std::string, TeamConfiguration> m_Teams;
  LimitsConfiguration m_Limits;
  PolicyParameters m_Policy;
  template <typename Visitor> void fields(Visitor &V) {
    V("services", m_Services);
    V("teams", m_Teams);
    V("limits", m_Limits);
    V("policy", m_Policy);
  }
};

} // namespace auburnhub

#endif
