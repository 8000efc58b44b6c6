#include "Scenarios.h"

#include "Quantiles.h"

#include <algorithm>
#include <iostream>
#include <numeric>

namespace auburnhub::bench {
namespace {

/// The part of a trial in which the system learns; it is not counted.
constexpr double WarmUpShare = 0.25;
constexpr Milliseconds ShortTimeout{5000};
constexpr Milliseconds CrestTimeout{1000};
constexpr double MsPerSecond = 1000;
constexpr int HttpOk = 200;

/// What callers saw of the arrivals within a time.
struct Window {
  std::size_t m_Sent = 0;
  std::size_t m_Good = 0;    ///< Whole answers.
  std::size_t m_Refused = 0; ///< Problems whose outcome is `not_run`.
  std::size_t m_Other = 0;   ///< Any other end, or none.
  Quantiles m_LatencyMs;     ///< Of whole answers.
};

template <typename Counts>
Window look(const Trial::Result &Run, double FromMs, double UntilMs,
            Counts IsCounted) {
  Window Seen;
  for (std::size_t I = 0; I < Run.m_Arrivals.size(); ++I) {
    const Arrival &Sent = Run.m_Arrivals[I];
    const Sample &Got = Run.m_Samples[I];
    if (Sent.m_AtMs < FromMs || Sent.m_AtMs >= UntilMs || !IsCounted(Sent))
      continue;
    ++Seen.m_Sent;
    if (Got.m_Status == HttpOk) {
      ++Seen.m_Good;
      Seen.m_LatencyMs.add(Got.m_LatencyMs);
    } else if (Got.m_Outcome == "not_run") {
      ++Seen.m_Refused;
    } else {
      ++Seen.m_Other;
    }
  }
  return Seen;
}

bool isShort(const Arrival &Sent) { return !Sent.m_Long; }
bool isAny(const Arrival &) { return true; }

double meanSpeed(const Fleet &Of) {
  const std::vector<double> Speeds = Of.endpointSpeeds();
  return std::accumulate(Speeds.begin(), Speeds.end(), 0.0) /
         static_cast<double>(Speeds.size());
}

/// Returns the run time that ended within a time, in slot seconds on an
/// endpoint of speed 1.
double longWorkDone(const Trial::Result &Run, double FromMs, double UntilMs) {
  double Ms = 0;
  for (std::size_t I = 0; I < Run.m_Arrivals.size(); ++I) {
    const Sample &Got = Run.m_Samples[I];
    if (Run.m_Arrivals[I].m_Long && Got.m_Status == HttpOk &&
        Got.m_EndMs >= FromMs && Got.m_EndMs < UntilMs)
      Ms += Run.m_Arrivals[I].m_RunMs;
  }
  return Ms / MsPerSecond;
}

double lateP99Ms(const Trial::Result &Run) {
  Quantiles Late;
  for (const Sample &Got : Run.m_Samples)
    if (Got.answered())
      Late.add(std::max(Got.m_LateMs, 0.01));
  return Late.quantile(0.99);
}

/// Returns how often each status and outcome came that is neither a whole
/// answer nor a refusal, as "STATUS/OUTCOME:COUNT"; "none" if there was none.
std::string otherEnds(const Trial::Result &Run) {
  std::map<std::string, std::size_t> Counts;
  for (const Sample &Got : Run.m_Samples)
    if (Got.m_Status != HttpOk && Got.m_Outcome != "not_run")
      ++Counts[std::to_string(Got.m_Status) + "/" + Got.m_Outcome];
  std::string Text;
  for (const auto &[End, Count] : Counts)
    Text += (Text.empty() ? "" : " ") + End + ":" + std::to_string(Count);
  return Text.empty() ? "none" : Text;
}

void addMachine(ReportRow &Row, const Trial::Result &Run) {
  const CpuUse &Cpu = Run.m_Cpu;
  Row.add("late_p99_ms", lateP99Ms(Run));
  Row.add("machine_busy",
          Cpu.m_MachineTotal > 0 ? Cpu.m_MachineBusy / Cpu.m_MachineTotal : 0);
  Row.add("product_cores", Cpu.m_Product / Run.m_Seconds);
  Row.add("bench_cores", Cpu.m_Bench / Run.m_Seconds);
}

/// Adds the messages that did no good, for each task that callers sent.
void addWaste(ReportRow &Row, const Trial::Result &Run) {
  auto Count = [&Run](const char *Name) {
    return Run.m_Counters.at(std::string("auburnhub_") + Name);
  };
  const auto Tasks = static_cast<double>(Run.m_Arrivals.size());
  Row.add("not_started", Count("task_not_started_total") / Tasks);
  Row.add("lost", Count("task_lost_total") / Tasks);
  Row.add("loan_requests", Count("loan_requests_total") / Tasks);
  Row.add("loan_refusals", Count("loan_refusals_total") / Tasks);
  Row.add("slots_borrowed", Count("slots_borrowed_total") / Tasks);
  Row.add("wasted", (Count("task_not_started_total") +
                     Count("task_lost_total") + Count("loan_refusals_total")) /
                        Tasks);
}

Trial makeTrial(const ScenarioOptions &Options, const Variant &Chosen) {
  Trial Made;
  Made.m_Fleet = Options.m_Fleet;
  Made.m_Variant = Chosen;
  Made.m_Demand.m_Seed = Options.m_Seed;
  Made.m_Demand.m_ShortMs = Options.m_ShortMs;
  Made.m_Demand.m_LongestFactor = Options.m_LongestFactor;
  Made.m_Threads = Options.m_Threads;
  Made.m_ShortTimeout = ShortTimeout;
  return Made;
}

ReportRow steadyRow(const ScenarioOptions &Options, const Trial &Ran,
                    const Trial::Result &Run) {
  const double Until = Options.m_Seconds * MsPerSecond;
  const double From = Until * WarmUpShare;
  const Window Short = look(Run, From, Until, isShort);
  const Window All = look(Run, From, Until, isAny);
  const double IdealMs = Options.m_ShortMs / meanSpeed(Options.m_Fleet);
  ReportRow Row;
  Row.add("variant", Ran.m_Variant.m_Name);
  Row.add("load", Ran.m_Demand.m_Phases.front().m_Load);
  Row.add("long_share", Ran.m_Demand.m_LongShare);
  Row.add("short_sent", static_cast<double>(Short.m_Sent));
  Row.add("short_good", static_cast<double>(Short.m_Good));
  Row.add("slowdown_mean", Short.m_LatencyMs.mean() / IdealMs);
  Row.add("slowdown_p50", Short.m_LatencyMs.quantile(0.5) / IdealMs);
  Row.add("slowdown_p99", Short.m_LatencyMs.quantile(0.99) / IdealMs);
  Row.add("slowdown_p999", Short.m_LatencyMs.quantile(0.999) / IdealMs);
  const double CentralMs = centralQueueMeanMs(
      Run.m_Arrivals, Options.m_Fleet.slotSpeeds(), From, Until);
  Row.add("mean_to_central", All.m_LatencyMs.mean() / CentralMs);
  Row.add("long_done_s", longWorkDone(Run, From, Until));
  Row.add("refused", static_cast<double>(All.m_Refused));
  Row.add("other", static_cast<double>(Short.m_Other));
  addWaste(Row, Run);
  addMachine(Row, Run);
  return Row;
}

constexpr double BeforeMs = 6000;
constexpr double CrestMs = 10000;
constexpr double AfterMs = 6000;
constexpr double RecoveryMs = 2000;

ReportRow crestRow(const ScenarioOptions &Options, const Trial &Ran,
                   const Trial::Result &Run) {
  const std::vector<double> Speeds = Options.m_Fleet.slotSpeeds();
  const double Capacity = std::accumulate(Speeds.begin(), Speeds.end(), 0.0) /
                          Ran.m_Demand.meanRunMs() * MsPerSecond;
  const double End = BeforeMs + CrestMs;
  const Window Before = look(Run, RecoveryMs, BeforeMs, isAny);
  const Window During = look(Run, BeforeMs, End, isAny);
  const Window After = look(Run, End + RecoveryMs, End + AfterMs, isAny);
  std::size_t Good = 0;
  for (const Sample &Got : Run.m_Samples)
    Good += Got.m_Status == HttpOk && Got.m_EndMs >= BeforeMs + MsPerSecond &&
            Got.m_EndMs < End &&
            Got.m_LatencyMs <= static_cast<double>(CrestTimeout.count());
  const double Rate =
      static_cast<double>(Good) / (CrestMs - MsPerSecond) * MsPerSecond;
  const Window All = look(Run, 0, End + AfterMs, isAny);
  ReportRow Row;
  Row.add("variant", Ran.m_Variant.m_Name);
  Row.add("capacity_per_s", Capacity);
  Row.add("goodput_per_s", Rate);
  Row.add("goodput_to_capacity", Rate / Capacity);
  Row.add("crest_sent", static_cast<double>(During.m_Sent));
  Row.add("crest_good", static_cast<double>(During.m_Good));
  Row.add("crest_refused", static_cast<double>(During.m_Refused));
  Row.add("crest_p99_ms", During.m_LatencyMs.quantile(0.99));
  Row.add("before_p99_ms", Before.m_LatencyMs.quantile(0.99));
  Row.add("after_p99_ms", After.m_LatencyMs.quantile(0.99));
  Row.add("not_not_run", static_cast<double>(All.m_Other));
  Row.add("other_ends", otherEnds(Run));
  addWaste(Row, Run);
  addMachine(Row, Run);
  return Row;
}

struct Fault {
  std::string m_Name;
  std::function<void(test::Cluster &)> m_Cause;
};

constexpr double SlowFactor = 5;

std::vector<Fault> allFaults() {
  return {
      {"none", [](test::Cluster &) {}},
      {"third-slow-5x",
       [](test::Cluster &Of) {
         for (std::size_t I = 0; I < Of.endpoints().size(); I += 3)
           (void)Of.setMode(I, "slow", SlowFactor);
       }},
      {"one-fails-all",
       [](test::Cluster &Of) {
         (void)Of.setMode(Of.endpoints().size() - 1, "fail_all_fast");
       }},
      {"dispatcher-killed",
       [](test::Cluster &Of) { Of.killProcess(0, test::Role::Dispatch); }},
  };
}

ReportRow faultRow(const ScenarioOptions &Options, const Trial &Ran,
                   const std::string &Fault, const Trial::Result &Run) {
  const double Until = Options.m_Seconds * MsPerSecond;
  const Window Before = look(Run, Until * WarmUpShare, Ran.m_FaultAtMs, isAny);
  const Window After = look(Run, Ran.m_FaultAtMs, Until, isAny);
  const std::size_t Late = After.m_Sent - After.m_Good;
  ReportRow Row;
  Row.add("variant", Ran.m_Variant.m_Name);
  Row.add("fault", Fault);
  Row.add("sent_after", static_cast<double>(After.m_Sent));
  Row.add("not_good_after", static_cast<double>(Late));
  Row.add("share_not_good",
          static_cast<double>(Late) / std::max(1.0, double(After.m_Sent)));
  Row.add("refused_not_run", static_cast<double>(After.m_Refused));
  Row.add("other_outcome", static_cast<double>(After.m_Other));
  Row.add("other_ends", otherEnds(Run));
  Row.add("before_p99_ms", Before.m_LatencyMs.quantile(0.99));
  Row.add("after_p99_ms", After.m_LatencyMs.quantile(0.99));
  addWaste(Row, Run);
  addMachine(Row, Run);
  return Row;
}

/// Runs a trial and adds its row; writes progress to standard error.
template <typename MakeRow>
absl::Status runInto(Report &Into, const Trial &Wanted, MakeRow Make) {
  std::cerr << "trial: " << Wanted.m_Variant.m_Name << std::endl;
  absl::StatusOr<Trial::Result> Run = Wanted.run();
  if (!Run.ok())
    return Run.status();
  Into.add(Make(*Run));
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<Report> steadyLoad(const ScenarioOptions &Options) {
  Report Made;
  for (double Load : Options.m_Loads)
    for (double Share : Options.m_LongShares)
      for (const Variant &Chosen : Options.m_Variants) {
        Trial Wanted = makeTrial(Options, Chosen);
        Wanted.m_Demand.m_LongShare = Share;
        Wanted.m_Demand.m_Phases = {{Options.m_Seconds * MsPerSecond, Load}};
        absl::Status Ran = runInto(Made, Wanted, [&](const auto &Run) {
          return steadyRow(Options, Wanted, Run);
        });
        if (!Ran.ok())
          return Ran;
      }
  return Made;
}

absl::StatusOr<Report> crest(const ScenarioOptions &Options) {
  Report Made;
  for (const Variant &Chosen : Options.m_Variants) {
    Trial Wanted = makeTrial(Options, Chosen);
    Wanted.m_ShortTimeout = CrestTimeout;
    Wanted.m_Demand.m_Phases = {
        {BeforeMs, 0.3}, {CrestMs, 2.0}, {AfterMs, 0.3}};
    absl::Status Ran = runInto(Made, Wanted, [&](const auto &Run) {
      return crestRow(Options, Wanted, Run);
    });
    if (!Ran.ok())
      return Ran;
  }
  return Made;
}

absl::StatusOr<Report> faults(const ScenarioOptions &Options) {
  Report Made;
  for (const Fault &Broken : allFaults())
    for (const Variant &Chosen : Options.m_Variants) {
      Trial Wanted = makeTrial(Options, Chosen);
      Wanted.m_Demand.m_Phases = {
          {Options.m_Seconds * MsPerSecond, Options.m_Loads.front()}};
      Wanted.m_FaultAtMs = Options.m_Seconds * MsPerSecond / 2;
      Wanted.m_Fault = Broken.m_Cause;
      absl::Status Ran = runInto(Made, Wanted, [&](const auto &Run) {
        return faultRow(Options, Wanted, Broken.m_Name, Run);
      });
      if (!Ran.ok())
        return Ran;
    }
  return Made;
}

} // namespace auburnhub::bench
