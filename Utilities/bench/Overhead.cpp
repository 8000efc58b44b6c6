#include "Metric.h"
#include "Quantiles.h"
#include "Scenarios.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace auburnhub::bench {
namespace {

constexpr double RunMs = 5;
constexpr double MsPerSecond = 1000;
constexpr Milliseconds CallTimeout{10000};
constexpr int HttpOk = 200;

/// Where callers send a request.
struct Target {
  std::string m_Name;
  std::vector<Address> m_Servers;
  std::string m_Path;
  bool m_IsDirect = false;
};

struct Calls {
  Quantiles m_LatencyMs;
  std::size_t m_Failed = 0;
};

HttpRequest makeRequest(const Target &To) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = To.m_Path;
  Request.m_Headers.set("Auburnhub-Team", "club-desk");
  Request.m_Body = R"({"run_ms":5})";
  return Request;
}

/// Lets each caller send one request after the other for a time.
Calls callFor(const Target &To, std::size_t Callers, double Ms) {
  Calls Made;
  std::mutex Lock;
  std::vector<std::thread> Threads;
  const MonotonicTime Until =
      TimerService::now() + Milliseconds(static_cast<std::int64_t>(Ms));
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([&, I] {
      HttpClient Client(To.m_Servers[I % To.m_Servers.size()]);
      const HttpRequest Request = makeRequest(To);
      while (TimerService::now() < Until) {
        const MonotonicTime Begin = TimerService::now();
        auto Reply = Client.call(Request, CallTimeout);
        const double Taken = std::chrono::duration<double, std::milli>(
                                 TimerService::now() - Begin)
                                 .count();
        std::lock_guard Hold(Lock);
        Made.m_LatencyMs.add(Taken);
        Made.m_Failed += !Reply.ok() || Reply->m_Status != HttpOk;
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  return Made;
}

/// A sum and a count of a process's histogram.
struct Total {
  double m_Sum = 0;
  double m_Count = 0;

  static Total of(const test::Cluster &Of, test::Role Which,
                  const std::string &Name) {
    return {sumMetric(Of, Which, Name + "_sum"),
            sumMetric(Of, Which, Name + "_count")};
  }

  double meanMsSince(const Total &Earlier) const {
    const double Count = m_Count - Earlier.m_Count;
    return Count > 0 ? (m_Sum - Earlier.m_Sum) / Count * MsPerSecond : 0;
  }
};

struct Totals {
  Total m_Entry;
  Total m_Wait;
  Total m_Run;

  static Totals of(const test::Cluster &Of) {
    return {Total::of(Of, test::Role::Entry, "auburnhub_entry_request_seconds"),
            Total::of(Of, test::Role::Dispatch, "auburnhub_task_wait_seconds"),
            Total::of(Of, test::Role::Dispatch, "auburnhub_task_run_seconds")};
  }
};

ReportRow makeRow(const test::Cluster &Of, const Target &To,
                  std::size_t Callers, double Ms) {
  const Totals Before = Totals::of(Of);
  const CpuUse CpuBefore = CpuUse::now({});
  const Calls Made = callFor(To, Callers, Ms);
  const CpuUse Cpu = CpuUse::now({}) - CpuBefore;
  const Totals After = Totals::of(Of);
  const double MeanMs = Made.m_LatencyMs.mean();
  const double EntryMs = After.m_Entry.meanMsSince(Before.m_Entry);
  const double WaitMs = After.m_Wait.meanMsSince(Before.m_Wait);
  const double CallMs = After.m_Run.meanMsSince(Before.m_Run);
  ReportRow Row;
  Row.add("target", To.m_Name);
  Row.add("callers", static_cast<double>(Callers));
  Row.add("requests", static_cast<double>(Made.m_LatencyMs.count()));
  Row.add("failed", static_cast<double>(Made.m_Failed));
  Row.add("mean_ms", MeanMs);
  Row.add("p50_ms", Made.m_LatencyMs.quantile(0.5));
  Row.add("p99_ms", Made.m_LatencyMs.quantile(0.99));
  Row.add("caller_entry_ms", To.m_IsDirect ? 0 : MeanMs - EntryMs);
  Row.add("entry_dispatch_ms", To.m_IsDirect ? 0 : EntryMs - WaitMs - CallMs);
  Row.add("queue_ms", To.m_IsDirect ? 0 : WaitMs);
  Row.add("dispatch_endpoint_ms", (To.m_IsDirect ? MeanMs : CallMs) - RunMs);
  Row.add("machine_busy", Cpu.m_MachineBusy / Cpu.m_MachineTotal);
  return Row;
}

} // namespace

absl::StatusOr<Report> overhead(const ScenarioOptions &Options) {
  Fleet Used = Options.m_Fleet;
  Used.m_Vms = 1;
  Used.m_Slowest = Used.m_Fastest = 1;
  auto Running = Used.start(Options.m_Variants.front());
  if (!Running.ok())
    return Running.status();
  Target Direct{"direct", {}, "/v1/run", true};
  for (const test::ClusterEndpoint &Endpoint : (*Running)->endpoints())
    Direct.m_Servers.push_back(*parseAddress(Endpoint.m_Address));
  const Target Path{"path",
                    {*parseAddress((*Running)->http(0, test::Role::Entry))},
                    "/v1/services/tile-orders/requests"};
  const double Ms = Options.m_Seconds * MsPerSecond;
  constexpr std::size_t Many = 50;
  constexpr int Rounds = 3;
  (void)callFor(Path, Many, Ms / 4); // Opens connections; not counted.
  Report Made;
  for (int Round = 0; Round < Rounds; ++Round)
    for (std::size_t Callers : {std::size_t{1}, Many})
      for (const Target &To : {Direct, Path})
        Made.add(makeRow(**Running, To, Callers, Ms));
  return Made;
}

} // namespace auburnhub::bench
