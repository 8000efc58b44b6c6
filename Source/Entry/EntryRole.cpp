#include "auburnhub/Entry/EntryRole.h"

#include "CallRouter.h"
#include "CallerResponse.h"

namespace auburnhub {
namespace {

/// Stands for a service that the configuration does not have, so that callers
/// cannot create time series.
constexpr std::string_view UnknownServiceLabel = "none";

CallResult waitFor(std::future<CallResult> Result) {
  try {
    return Result.get();
  } catch (const std::future_error &) {
    // The router had stopped; what became of an earlier call is not known.
    return {CallFailure{FailureCode::ShuttingDown, "the entry has stopped",
                        Outcome::Unknown, 0},
            false};
  }
}

} // namespace

EntryRole::Settings EntryRole::readSettings(SettingsReader &Reader) {
  return {Reader.requireAddress("control")};
}

EntryRole::EntryRole(const ProcessContext &Context, const Settings &Given)
    : m_Metrics(Context.m_Metrics),
      m_Latency(m_Metrics.latency("auburnhub_entry_request_seconds",
                                  "Time from a request's last byte to its "
                                  "answer")),
      m_Router(std::make_unique<CallRouter>(Context, Given.m_Control)) {}

EntryRole::~EntryRole() = default;

absl::Status EntryRole::start() {
  m_Router->start();
  return absl::OkStatus();
}

bool EntryRole::isReady() const { return m_Router->isReady(); }

nlohmann::json EntryRole::status() { return m_Router->status(); }

HttpResponse EntryRole::handle(const HttpRequest &Request) {
  MonotonicTime Received = TimerService::now();
  absl::StatusOr<CallerRequest> Parsed = CallerRequest::parse(Request);
  if (!Parsed.ok()) {
    CallerResponse Response = respondToBadRequest(Request, Parsed.status());
    record(UnknownServiceLabel, Response.m_Http, Response.m_Outcome, Received);
    return std::move(Response.m_Http);
  }
  CallResult Result = waitFor(m_Router->call(*Parsed));
  CallerResponse Response = respond(*Parsed, Result.m_Reply);
  bool HasService = Result.m_ServiceKnown && !Parsed->m_Service.empty();
  record(HasService ? Parsed->m_Service : UnknownServiceLabel, Response.m_Http,
         Response.m_Outcome, Received);
  return std::move(Response.m_Http);
}

void EntryRole::beginStop(std::function<void(bool)> Drained) {
  m_Router->beginStop(std::move(Drained));
}

void EntryRole::stop() { m_Router->stop(); }

void EntryRole::record(std::string_view Service, const HttpResponse &Response,
                       std::string_view Outcome, MonotonicTime Received) {
  std::chrono::duration<double> Taken = TimerService::now() - Received;
  m_Latency.add(Taken.count());
  m_Metrics
      .counter("auburnhub_entry_requests_total", "Callers' requests answered",
               {{"service", std::string(Service)},
                {"status", std::to_string(Response.m_Status)},
                {"outcome", std::string(Outcome)}})
      .add();
}

} // namespace auburnhub
