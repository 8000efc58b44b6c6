#ifndef AUBURNHUB_JOBS_ADMISSIONFORECAST_H
#define AUBURNHUB_JOBS_ADMISSIONFORECAST_H

namespace auburnhub {

/// What the forecast of a job's start is worked out from. CPU is in thousandths
/// of a core.
struct BacklogState {
  double m_CpuBefore = 0;    ///< Of the waiting tasks that go before the job.
  double m_FirstTaskCpu = 0; ///< Of the job's smallest waiting task.
  double m_JobCpu = 0;       ///< Of all its waiting tasks.
  /// CPU that running tasks release each millisecond, by their expected times.
  double m_ReleasedPerMs = 0;
};

/// When the first and the last waiting task of a job are expected to start,
/// from now. Infinite if nothing runs that could release a worker.
struct StartForecast {
  double m_FirstStartMs = 0;
  double m_LastStartMs = 0;
};

/// Forecasts when a job that found no free worker would start, and decides
/// whether it is refused at once, because it would be refused or useless later
/// anyway. The margin on the forecast is learned: the share of jobs that wait
/// longer than forecast tends to a fixed one.
///
/// Load: a burst of more than the workers can do, from callers who are better
/// served by an immediate refusal than by one after a wait.
class AdmissionForecast {
public:
  static StartForecast forecast(const BacklogState &State);

  /// Returns whether the job should be refused: its first or its last task
  /// would start later than it may. Never if nothing is known.
  bool isHopeless(const StartForecast &Forecast, double FirstLimitMs,
                  double LastLimitMs) const;

  /// Learns from a wait that ended with the start of the job's first task, or
  /// with its refusal.
  void observe(double ForecastMs, double WaitedMs);

  double margin() const { return m_Margin; }

private:
  double m_Margin = 1;
};

} // namespace auburnhub

#endif
