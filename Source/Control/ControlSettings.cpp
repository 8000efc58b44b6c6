#include "auburnhub/Control/ControlSettings.h"

namespace auburnhub {
namespace {

constexpr int MostWeight = 1000000;
constexpr std::int64_t LongestPeriodMs = 60000;

Milliseconds readPeriod(SettingsReader &Reader, std::string_view Key,
                        Milliseconds Default) {
  return Milliseconds(
      Reader.getInteger(Key, Default.count(), 1, LongestPeriodMs));
}

} // namespace

ControlSettings ControlSettings::read(SettingsReader &Reader) {
  ControlSettings Result;
  Result.m_Link = Reader.requireAddress("link");
  Result.m_Platform = Reader.requireAddress("platform");
  Result.m_Seeds = Reader.getAddresses("seeds");
  Result.m_Weight = static_cast<int>(
      Reader.getInteger("weight", Result.m_Weight, 1, MostWeight));
  Result.m_HeartbeatPeriod =
      readPeriod(Reader, "heartbeat_ms", Result.m_HeartbeatPeriod);
  Result.m_HeartbeatTimeout =
      readPeriod(Reader, "heartbeat_timeout_ms", Result.m_HeartbeatTimeout);
  Result.m_ClaimTimeout =
      readPeriod(Reader, "claim_timeout_ms", Result.m_ClaimTimeout);
  Result.m_PollWait = readPeriod(Reader, "poll_wait_ms", Result.m_PollWait);
  Result.m_VmListPeriod =
      readPeriod(Reader, "vm_list_ms", Result.m_VmListPeriod);
  if (Result.m_HeartbeatTimeout < 2 * Result.m_HeartbeatPeriod)
    Reader.addFault("heartbeat_timeout_ms",
                    "expected at least twice heartbeat_ms");
  return Result;
}

} // namespace auburnhub
