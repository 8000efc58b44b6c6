#include "Machine.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace auburnhub::bench {
namespace {

double secondsPerTick() {
  return 1.0 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Returns the user and system time of a process; 0 if it has ended.
double processSeconds(const std::string &Name) {
  std::ifstream File("/proc/" + Name + "/stat");
  std::string Text;
  std::getline(File, Text);
  const std::size_t NameEnd = Text.rfind(')');
  if (NameEnd == std::string::npos)
    return 0;
  std::istringstream Fields(Text.substr(NameEnd + 1));
  std::string Skipped;
  constexpr int FieldsBeforeTimes = 11;
  for (int I = 0; I < FieldsBeforeTimes; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) * secondsPerTick();
}

} // namespace

CpuUse CpuUse::now(std::span<const pid_t> Product) {
  CpuUse Use;
  std::ifstream File("/proc/stat");
  std::string Skipped;
  double User = 0;
  double Nice = 0;
  double System = 0;
  double Idle = 0;
  double Wait = 0;
  File >> Skipped >> User >> Nice >> System >> Idle >> Wait;
  Use.m_MachineBusy = (User + Nice + System) * secondsPerTick();
  Use.m_MachineTotal = Use.m_MachineBusy + (Idle + Wait) * secondsPerTick();
  for (pid_t Pid : Product)
    Use.m_Product += processSeconds(std::to_string(Pid));
  Use.m_Bench = processSeconds("self");
  return Use;
}

CpuUse CpuUse::operator-(const CpuUse &Earlier) const {
  return {m_MachineBusy - Earlier.m_MachineBusy,
          m_MachineTotal - Earlier.m_MachineTotal,
          m_Product - Earlier.m_Product, m_Bench - Earlier.m_Bench};
}

} // namespace auburnhub::bench
