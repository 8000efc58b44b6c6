#include "JobRequester.h"

#include "CommonOptions.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Http/HttpClient.h"

#include <nlohmann/json.hpp>

namespace auburnhub {
namespace {

namespace po = boost::program_options;

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;

/// How long a node may take beyond the caller's time, so that its own word on
/// a timeout comes first.
constexpr Milliseconds AnswerMargin{1000};

std::string textOf(const nlohmann::json &Body, const char *Name) {
  auto Found = Body.find(Name);
  return Found != Body.end() && Found->is_string() ? Found->get<std::string>()
                                                   : "";
}

CtlExit reportProblem(const Console &Terminal, const HttpResponse &Response) {
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  if (!Body.is_object())
    return reportCtlFailure(Terminal, CtlExit::Unreachable,
                            "status " + std::to_string(Response.m_Status) +
                                " without a problem document");
  std::string Outcome = textOf(Body, "outcome");
  std::string Message = textOf(Body, "title") + ": " + textOf(Body, "detail");
  if (Outcome == "not_run")
    Message += "; nothing was done";
  std::string RetryAfter(Response.m_Headers.get("Retry-After"));
  if (!RetryAfter.empty())
    Message += "; try again in " + RetryAfter + " s";
  CtlExit Exit = CtlExit::Invalid;
  if (Response.m_Status == HttpNotFound)
    Exit = CtlExit::NotFound;
  else if (Outcome == "unknown")
    Exit = CtlExit::UnknownFate;
  return reportCtlFailure(Terminal, Exit, Message);
}

} // namespace

void JobRequester::addOptions(po::options_description &To) {
  constexpr std::int64_t DefaultTimeoutMs = 5000;
  To.add_options() //
      ("url", po::value(&m_Url)->value_name("HOST:PORT")->required(),
       "a node's address for jobs; required") //
      ("timeout",
       po::value(&m_TimeoutMs)
           ->value_name("MS")
           ->default_value(DefaultTimeoutMs),
       "how long to wait for the answer");
}

CtlExit JobRequester::request(const std::string &Method,
                              const std::string &Path, const std::string &Body,
                              const Console &Terminal) const {
  absl::StatusOr<Address> Where = parseUrl(m_Url);
  if (!Where.ok())
    return reportCtlFailure(Terminal, CtlExit::Usage, Where.status());
  if (m_TimeoutMs <= 0)
    return reportCtlFailure(Terminal, CtlExit::Usage,
                            "--timeout: expected more than 0 ms");
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Headers.set("Auburnhub-Timeout", std::to_string(m_TimeoutMs));
  Request.m_Body = Body;
  absl::StatusOr<HttpResponse> Response = HttpClient(*Where).call(
      Request, Milliseconds(m_TimeoutMs) + AnswerMargin);
  if (!Response.ok()) {
    bool NothingSent =
        failureCode(Response.status()) == FailureCode::EndpointRefused;
    return reportCtlFailure(
        Terminal, NothingSent ? CtlExit::Unreachable : CtlExit::UnknownFate,
        Response.status());
  }
  if (Response->m_Status != HttpOk)
    return reportProblem(Terminal, *Response);
  Terminal.m_Out << Response->m_Body << "\n";
  return CtlExit::Success;
}

} // namespace auburnhub
