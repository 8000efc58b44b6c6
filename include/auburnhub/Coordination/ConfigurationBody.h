#ifndef AUBURNHUB_COORDINATION_CONFIGURATIONBODY_H
#define AUBURNHUB_COORDINATION_CONFIGURATIONBODY_H

#include "absl/status/statusor.h"
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburnhub {

/// The schema version of configuration records whose every key is known here.
inline constexpr int ConfigurationSchema = 1;

/// A version only adds keys that may be ignored, so records that are one
/// version ahead are read too; only their unknown keys are ignored.
inline constexpr int NewestReadableConfigurationSchema =
    ConfigurationSchema + 1;
inline constexpr int OldestReadableConfigurationSchema = 1;

/// One endpoint of a service.
struct EndpointConfiguration {
  std::string m_Address; ///< "host:port".
  int m_Slots = 0;
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
  int m_Weight = 1;
  int m_MaxQueued = 10000; ///< Most tasks of the team that may wait.
  template <typename Visitor> void fields(Visitor &V) {
    V("weight", m_Weight);
    V("max_queued", m_MaxQueued);
  }
};

/// Times in milliseconds.
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

/// The body of a configuration record.
struct ConfigurationBody {
  std::map<std::string, ServiceConfiguration> m_Services;
  std::map<std::string, TeamConfiguration> m_Teams;
  LimitsConfiguration m_Limits;
  nlohmann::json m_Policy = nlohmann::json::object();
  template <typename Visitor> void fields(Visitor &V) {
    V("services", m_Services);
    V("teams", m_Teams);
    V("limits", m_Limits);
    V("policy", m_Policy);
  }

  /// Returns one line "path: what was expected" for each value out of range.
  std::vector<std::string> faults() const;

  /// Reads a body of a schema version. Fails with BadRequest and all faults,
  /// one a line; or with UnsupportedSchema. Unknown keys are faults, but for
  /// a newer version, where they are ignored.
  static absl::StatusOr<ConfigurationBody> read(const nlohmann::json &Body,
                                                int Schema);
};

} // namespace auburnhub

#endif
