#include "LoadGenerator.h"

#include <nlohmann/json.hpp>

namespace auburnhub::bench {
namespace {

/// What a caller waits beyond its timeout for the system's own word on it.
constexpr Milliseconds AnswerMargin{1000};
constexpr Milliseconds PollPeriod{10};
constexpr Milliseconds StartDelay{300};

MonotonicTime after(MonotonicTime Begin, double Ms) {
  return Begin + std::chrono::duration_cast<MonotonicTime::duration>(
                     std::chrono::duration<double, std::milli>(Ms));
}

HttpRequest makeRequest(const Arrival &Sent, std::size_t Index,
                        Milliseconds Timeout) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/services/tile-orders/requests";
  Request.m_Headers.set("Auburnhub-Team", "club-desk");
  Request.m_Headers.set("Auburnhub-Kind", Sent.m_Long ? "survey" : "tile");
  Request.m_Headers.set("Auburnhub-Timeout", std::to_string(Timeout.count()));
  Request.m_Body =
      nlohmann::json{{"run_ms", Sent.m_RunMs}, {"echo", Index}}.dump();
  return Request;
}

} // namespace

LoadGenerator::LoadGenerator(Options Chosen, std::span<const Arrival> Arrivals)
    : m_Options(std::move(Chosen)), m_Arrivals(Arrivals),
      m_Begin(TimerService::now() + StartDelay), m_Samples(Arrivals.size()) {
  for (std::size_t Thread = 0; Thread < m_Options.m_Threads; ++Thread)
    m_Threads.emplace_back([this, Thread] { work(Thread); });
}

LoadGenerator::~LoadGenerator() { finish(); }

void LoadGenerator::waitUntil(double Ms) const {
  std::this_thread::sleep_until(after(m_Begin, Ms));
}

void LoadGenerator::waitForAll(double LimitMs) const {
  while (m_Done < m_Arrivals.size() && sinceBegin() < LimitMs)
    std::this_thread::sleep_for(PollPeriod);
}

std::vector<Sample> LoadGenerator::finish() {
  for (std::thread &Thread : m_Threads)
    if (Thread.joinable())
      Thread.join();
  return m_Samples;
}

void LoadGenerator::work(std::size_t Thread) {
  HttpClient Client(m_Options.m_Servers[Thread % m_Options.m_Servers.size()]);
  for (std::size_t Index = m_Next++; Index < m_Arrivals.size();
       Index = m_Next++) {
    waitUntil(m_Arrivals[Index].m_AtMs);
    m_Samples[Index] = send(Client, m_Arrivals[Index], Index);
    ++m_Done;
  }
}

Sample LoadGenerator::send(HttpClient &Client, const Arrival &Sent,
                           std::size_t Index) const {
  const Milliseconds Timeout =
      Sent.m_Long ? m_Options.m_LongTimeout : m_Options.m_ShortTimeout;
  Sample Made;
  Made.m_LateMs = sinceBegin() - Sent.m_AtMs;
  absl::StatusOr<HttpResponse> Reply =
      Client.call(makeRequest(Sent, Index, Timeout), Timeout + AnswerMargin);
  Made.m_EndMs = sinceBegin();
  Made.m_LatencyMs = Made.m_EndMs - Sent.m_AtMs;
  if (!Reply.ok())
    return Made;
  Made.m_Status = Reply->m_Status;
  const nlohmann::json Body =
      nlohmann::json::parse(Reply->m_Body, nullptr, false);
  if (Made.m_Status != 200 && Body.is_object())
    Made.m_Outcome = Body.value("outcome", "");
  return Made;
}

double LoadGenerator::sinceBegin() const {
  return std::chrono::duration<double, std::milli>(TimerService::now() -
                                                   m_Begin)
      .count();
}

} // namespace auburnhub::bench
