#include "Trial.h"

#include "Metric.h"

namespace auburnhub::bench {
namespace {

constexpr double DrainMs = 4000;
/// Lets the dispatchers see each other before work comes.
constexpr Milliseconds SettleTime{1500};

const std::vector<std::string> CounterNames = {
    "auburnhub_task_starts_total",      "auburnhub_task_not_started_total",
    "auburnhub_task_lost_total",        "auburnhub_loan_requests_total",
    "auburnhub_loan_refusals_total",    "auburnhub_slots_borrowed_total",
    "auburnhub_task_wait_seconds_sum",  "auburnhub_task_run_seconds_sum",
    "auburnhub_task_run_seconds_count",
};

std::vector<pid_t> productPids(test::Cluster &Of) {
  std::vector<pid_t> Pids;
  for (std::size_t Vm = 0; Vm < Of.vms().size(); ++Vm)
    for (test::Role Which :
         {test::Role::Control, test::Role::Dispatch, test::Role::Entry})
      Pids.push_back(Of.process(Vm, Which).pid());
  return Pids;
}

std::vector<Address> entries(const test::Cluster &Of) {
  std::vector<Address> Found;
  for (std::size_t Vm = 0; Vm < Of.vms().size(); ++Vm)
    Found.push_back(*parseAddress(Of.http(Vm, test::Role::Entry)));
  return Found;
}

} // namespace

std::vector<double> Fleet::endpointSpeeds() const {
  std::vector<double> Speeds;
  for (int I = 0; I < m_Endpoints; ++I) {
    const double Part = m_Endpoints == 1 ? 1 : I / (m_Endpoints - 1.0);
    Speeds.push_back(m_Slowest + (m_Fastest - m_Slowest) * Part);
  }
  return Speeds;
}

std::vector<double> Fleet::slotSpeeds() const {
  std::vector<double> Speeds;
  for (double Speed : endpointSpeeds())
    Speeds.insert(Speeds.end(), static_cast<std::size_t>(m_Slots), Speed);
  return Speeds;
}

absl::StatusOr<std::unique_ptr<test::Cluster>>
Fleet::start(const Variant &Chosen) const {
  test::ClusterService Service;
  Service.m_Endpoints = m_Endpoints;
  Service.m_Slots = m_Slots;
  for (double Speed : endpointSpeeds())
    Service.m_Speeds.push_back(std::to_string(Speed));
  test::ClusterOptions Options;
  Options.m_Binaries = m_Binaries;
  Options.m_VmsPerDataCentre = m_Vms;
  Options.m_Services = {Service};
  Options.m_LogLevel = m_LogLevel;
  Options.m_Policy = Chosen.m_Policy;
  return test::Cluster::start(Options);
}

absl::StatusOr<Trial::Result> Trial::run() const {
  auto Started = m_Fleet.start(m_Variant);
  if (!Started.ok())
    return Started.status();
  std::unique_ptr<test::Cluster> Running = std::move(*Started);
  std::this_thread::sleep_for(SettleTime);
  Result Made;
  Made.m_Arrivals = m_Demand.arrivals(m_Fleet.slotSpeeds());
  double Length = 0;
  for (const DemandPhase &Phase : m_Demand.m_Phases)
    Length += Phase.m_DurationMs;
  const std::vector<pid_t> Pids = productPids(*Running);
  LoadGenerator::Options Load;
  Load.m_Servers = entries(*Running);
  Load.m_Threads = m_Threads;
  Load.m_ShortTimeout = m_ShortTimeout;
  const CpuUse Before = CpuUse::now(Pids);
  LoadGenerator Generator(Load, Made.m_Arrivals);
  if (m_Fault) {
    Generator.waitUntil(m_FaultAtMs);
    m_Fault(*Running);
  }
  Generator.waitUntil(Length);
  Made.m_Cpu = CpuUse::now(Pids) - Before;
  Made.m_Seconds = Length / 1000;
  Generator.waitForAll(Length + DrainMs);
  for (const std::string &Name : CounterNames)
    Made.m_Counters[Name] = sumMetric(*Running, test::Role::Dispatch, Name);
  Generator.stop();
  Running.reset(); // Ends the calls that are left.
  Made.m_Samples = Generator.finish();
  return Made;
}

} // namespace auburnhub::bench
