#ifndef AUBURNHUB_PROGRAM_PROCESSCONTEXT_H
#define AUBURNHUB_PROGRAM_PROCESSCONTEXT_H

#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Base/SettingsReader.h"
#include "auburnhub/Base/SubmissionId.h"
#include "auburnhub/Base/TimerService.h"

#include <string>

namespace auburnhub {

/// Settings that every process has.
struct CommonSettings {
  std::string m_Vm;
  std::string m_DataCentre;
  Address m_Http; ///< Callers' HTTP of the entry; status pages of the others.
  LogOptions m_Log;
};

/// What the program frame gives to the role that runs in it.
struct ProcessContext {
  CommonSettings m_Common;
  TimerService &m_Timers;
  MetricsRegistry &m_Metrics;
  Incarnation m_Incarnation; ///< Drawn at the start of this process.
  std::string m_ChartDirectory;
};

/// Reads the settings that every process has.
CommonSettings readCommonSettings(SettingsReader &Reader,
                                  std::string_view Process);

} // namespace auburnhub

#endif
