#include "auburnhub/Coordination/ConfigurationBody.h"

#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Messages/Codec.h"
#include "auburnhub/Policy/PolicyParameters.h"

#include <set>

namespace auburnhub {
namespace {

using nlohmann::json;

constexpr int MostSlots = 1024;
constexpr int MostWeight = 1000000;
constexpr std::int64_t HourMs = 3600000;
constexpr std::int64_t DayMs = 24 * HourMs;

/// Compares a body with the keys and types of its structs and collects a
/// fault for every difference.
class ShapeChecker {
public:
  ShapeChecker(bool AllowUnknown, std::vector<std::string> &Faults)
      : m_AllowUnknown(AllowUnknown), m_Faults(Faults) {}

  template <typename Value>
  void check(const json &In, const std::string &Path) {
    if constexpr (detail::HasFields<Value>) {
      checkStruct<Value>(In, Path);
    } else if constexpr (detail::IsVector<Value>::value) {
      if (!expect(In.is_array(), Path, "expected a list"))
        return;
      for (std::size_t I = 0; I != In.size(); ++I)
        check<typename Value::value_type>(In[I],
                                          Path + "[" + std::to_string(I) + "]");
    } else if constexpr (detail::IsMap<Value>::value) {
      if (!expect(In.is_object(), Path, "expected a mapping"))
        return;
      for (const auto &[Key, Item] : In.items())
        check<typename Value::mapped_type>(Item, join(Path, Key));
    } else if constexpr (std::same_as<Value, std::string>) {
      expect(In.is_string(), Path, "expected a string");
    } else if constexpr (std::same_as<Value, bool>) {
      expect(In.is_boolean(), Path, "expected true or false");
    } else if constexpr (std::integral<Value>) {
      bool Fits = In.is_number_integer() &&
                  In.get<std::int64_t>() >= std::numeric_limits<Value>::min() &&
                  In.get<std::int64_t>() <= std::numeric_limits<Value>::max();
      expect(Fits, Path, "expected a whole number");
    } else if constexpr (std::floating_point<Value>) {
      expect(In.is_number(), Path, "expected a number");
    } else {
      expect(In.is_object(), Path, "expected a mapping");
    }
  }

private:
  static std::string join(const std::string &Path, std::string_view Key) {
    return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
  }

  bool expect(bool Holds, const std::string &Path, std::string_view What) {
    if (!Holds)
      m_Faults.push_back((Path.empty() ? "body" : Path) + ": " +
                         std::string(What));
    return Holds;
  }

  template <typename Value>
  void checkStruct(const json &In, const std::string &Path) {
    if (!expect(In.is_object(), Path, "expected a mapping"))
      return;
    std::set<std::string, std::less<>> Known;
    auto Visit = [&]<typename Field>(std::string_view Name, Field &) {
      Known.emplace(Name);
      auto Found = In.find(std::string(Name));
      if (Found != In.end())
        check<Field>(*Found, join(Path, Name));
    };
    Value Sample;
    Sample.fields(Visit);
    for (const auto &[Key, Unused] : In.items())
      expect(m_AllowUnknown || Known.contains(Key), join(Path, Key),
             "unknown key");
  }

  bool m_AllowUnknown;
  std::vector<std::string> &m_Faults;
};

/// Collects values out of range.
class RangeChecker {
public:
  void range(const std::string &Path, std::int64_t Value, std::int64_t Low,
             std::int64_t High) {
    if (Value < Low || Value > High)
      m_Faults.push_back(Path + ": expected a whole number from " +
                         std::to_string(Low) + " to " + std::to_string(High));
  }

  void address(const std::string &Path, const std::string &Value) {
    if (!parseAddress(Value).ok())
      m_Faults.push_back(Path + ": expected HOST:PORT");
  }

  void required(const std::string &Path, const std::string &Value) {
    if (Value.empty())
      m_Faults.push_back(Path + ": is required: expected a string");
  }

  std::vector<std::string> m_Faults;
};

void checkService(const std::string &Path, const ServiceConfiguration &Service,
                  RangeChecker &Check) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I != Service.m_Endpoints.size(); ++I) {
    const EndpointConfiguration &Endpoint = Service.m_Endpoints[I];
    std::string Here = Path + ".endpoints[" + std::to_string(I) + "]";
    Check.address(Here + ".address", Endpoint.m_Address);
    Check.range(Here + ".slots", Endpoint.m_Slots, 1, MostSlots);
    Check.required(Here + ".data_centre", Endpoint.m_DataCentre);
    Check.required(Here + ".vm", Endpoint.m_Vm);
    if (!Seen.insert(Endpoint.m_Address).second)
      Check.m_Faults.push_back(Here + ".address: is listed twice");
  }
}

void checkLimits(const LimitsConfiguration &Limits, RangeChecker &Check) {
  Check.range("limits.resubmission_window_ms", Limits.m_ResubmissionWindowMs, 1,
              DayMs);
  Check.range("limits.clock_bound_ms", Limits.m_ClockBoundMs, 1, HourMs);
  Check.range("limits.drain_ms", Limits.m_DrainMs, 0, HourMs);
  Check.range("limits.default_timeout_ms", Limits.m_DefaultTimeoutMs, 1,
              HourMs);
}

void checkPolicy(const json &Policy, RangeChecker &Check) {
  absl::StatusOr<PolicyParameters> Parameters =
      fromJson<PolicyParameters>(Policy);
  absl::Status Checked = Parameters.status();
  if (Checked.ok())
    Checked = Parameters->validate();
  if (!Checked.ok())
    Check.m_Faults.push_back(failureDetail(Checked));
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += (Text.empty() ? "" : "\n") + Line;
  return Text;
}

} // namespace

std::vector<std::string> ConfigurationBody::faults() const {
  RangeChecker Check;
  for (const auto &[Name, Service] : m_Services)
    checkService("services." + Name, Service, Check);
  for (const auto &[Name, Team] : m_Teams) {
    Check.range("teams." + Name + ".weight", Team.m_Weight, 1, MostWeight);
    Check.range("teams." + Name + ".max_queued", Team.m_MaxQueued, 0,
                std::numeric_limits<int>::max());
  }
  checkLimits(m_Limits, Check);
  checkPolicy(m_Policy, Check);
  return std::move(Check.m_Faults);
}

absl::StatusOr<ConfigurationBody>
ConfigurationBody::read(const nlohmann::json &Body, int Schema) {
  if (Schema < OldestReadableConfigurationSchema ||
      Schema > NewestReadableConfigurationSchema)
    return makeFailure(FailureCode::UnsupportedSchema,
                       "configuration schema " + std::to_string(Schema));
  std::vector<std::string> Faults;
  ShapeChecker Checker(Schema > ConfigurationSchema, Faults);
  Checker.check<ConfigurationBody>(Body, "");
  if (Body.is_object() && Body.contains("policy"))
    Checker.check<PolicyParameters>(Body["policy"], "policy");
  if (!Faults.empty())
    return makeFailure(FailureCode::BadRequest, joinLines(Faults));
  absl::StatusOr<ConfigurationBody> Result = fromJson<ConfigurationBody>(Body);
  if (!Result.ok())
    return Result;
  Faults = Result->faults();
  if (!Faults.empty())
    return makeFailure(FailureCode::BadRequest, joinLines(Faults));
  return Result;
}

} // namespace auburnhub
