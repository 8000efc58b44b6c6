#ifndef AUBURNHUB_BENCH_MACHINE_H
#define AUBURNHUB_BENCH_MACHINE_H

#include <span>
#include <sys/types.h>

namespace auburnhub::bench {

/// The CPU time used so far, in seconds.
struct CpuUse {
  double m_MachineBusy = 0;  ///< By everything on this machine.
  double m_MachineTotal = 0; ///< Busy and idle, of all cores.
  double m_Product = 0;      ///< By the given processes.
  double m_Bench = 0;        ///< By this process.

  static CpuUse now(std::span<const pid_t> Product);
  CpuUse operator-(const CpuUse &Earlier) const;
};

} // namespace auburnhub::bench

#endif
