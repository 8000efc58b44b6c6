#include "EntryConfiguration.h"

namespace auburnhub {
namespace {

std::set<std::string, std::less<>> keysOf(const nlohmann::json &Body,
                                          const char *Section) {
  std::set<std::string, std::less<>> Keys;
  auto Found = Body.find(Section);
  if (Found == Body.end() || !Found->is_object())
    return Keys;
  for (const auto &[Key, Value] : Found->items())
    Keys.insert(Key);
  return Keys;
}

Milliseconds limitOf(const nlohmann::json &Body, const char *Name,
                     Milliseconds Default) {
  auto Limits = Body.find("limits");
  if (Limits == Body.end() || !Limits->is_object())
    return Default;
  auto Found = Limits->find(Name);
  if (Found == Limits->end() || !Found->is_number_integer())
    return Default;
  return Milliseconds(Found->get<std::int64_t>());
}

} // namespace

EntryConfiguration
EntryConfiguration::fromUpdate(const ConfigurationUpdate &Update) {
  EntryConfiguration Result;
  const nlohmann::json &Body = Update.m_Record.m_Body;
  Result.m_Offset = Update.m_Offset;
  if (!Body.is_object())
    return Result;
  Result.m_Services = keysOf(Body, "services");
  Result.m_Teams = keysOf(Body, "teams");
  Result.m_DefaultTimeout =
      limitOf(Body, "default_timeout_ms", Result.m_DefaultTimeout);
  Result.m_DrainTime = limitOf(Body, "drain_ms", Result.m_DrainTime);
  return Result;
}

} // namespace auburnhub
