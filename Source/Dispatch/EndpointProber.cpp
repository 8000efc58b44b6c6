#include "EndpointProber.h"

#include "auburnhub/Http/HttpClient.h"

namespace auburnhub {
namespace {

constexpr Milliseconds ProbeTimeout{500};
constexpr int HttpUnavailable = 503;

bool takesWork(const std::string &Endpoint) {
  absl::StatusOr<Address> Where = parseAddress(Endpoint);
  if (!Where.ok())
    return true;
  HttpRequest Request;
  Request.m_Path = "/healthz";
  auto Response = HttpClient(*Where).call(Request, ProbeTimeout);
  if (!Response.ok())
    return true;
  return Response->m_Status != HttpUnavailable &&
         Response->m_Headers.get("Auburnhub-Leaving") != "yes";
}

} // namespace

EndpointProber::EndpointProber(SerialTask &Owner, Answered Tell)
    : m_Owner(Owner), m_Tell(std::move(Tell)) {
  for (std::optional<SerialTask> &Task : m_Tasks)
    Task.emplace("probe");
}

EndpointProber::~EndpointProber() { stop(); }

void EndpointProber::ask(const std::string &Endpoint) {
  std::size_t Index = std::hash<std::string>()(Endpoint) % Threads;
  m_Tasks[Index]->post([this, Endpoint] {
    if (m_Stopping)
      return;
    bool TakesWork = takesWork(Endpoint);
    m_Owner.post([this, Endpoint, TakesWork] { m_Tell(Endpoint, TakesWork); });
  });
}

void EndpointProber::stop() {
  m_Stopping = true;
  for (std::optional<SerialTask> &Task : m_Tasks)
    Task->stop();
}

} // namespace auburnhub
