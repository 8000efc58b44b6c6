#include "ProcessPage.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Http/HttpClient.h"

#include "CommonOptions.h"

namespace auburnhub {
namespace {

constexpr Milliseconds StatusTimeout{2000};

} // namespace

ProcessStatus fetchStatus(const std::string &Url) {
  ProcessStatus Result;
  Result.m_Address = Url;
  absl::StatusOr<Address> Where = parseUrl(Url);
  if (!Where.ok()) {
    Result.m_Failure = failureDetail(Where.status());
    return Result;
  }
  HttpClient Client(*Where);
  HttpRequest Request;
  Request.m_Path = "/v1/status";
  absl::StatusOr<HttpResponse> Response = Client.call(Request, StatusTimeout);
  if (!Response.ok()) {
    Result.m_Failure = failureName(failureCode(Response.status()));
    return Result;
  }
  nlohmann::json Page = nlohmann::json::parse(Response->m_Body, nullptr, false);
  if (Response->m_Status == 200 && Page.is_object())
    Result.m_Page = std::move(Page);
  else
    Result.m_Failure = "status " + std::to_string(Response->m_Status);
  return Result;
}

std::vector<ProcessStatus> fetchStatuses(std::span<const std::string> Urls) {
  std::vector<ProcessStatus> Result;
  for (const std::string &Url : Urls)
    Result.push_back(fetchStatus(Url));
  return Result;
}

} // namespace auburnhub
