#include "PlatformClient.h"

#include "auburnhub/Messages/Codec.h"

namespace auburnhub {
namespace {

constexpr Milliseconds CallTimeout{2000};

struct AppendReply {
  std::int64_t m_First = -1;
  template <typename Visitor> void fields(Visitor &V) { V("first", m_First); }
};

absl::Status unavailable(std::string_view What) {
  return makeFailure(FailureCode::PlatformUnavailable, What);
}

template <typename Reply>
absl::StatusOr<Reply> parseReply(const HttpResponse &Response) {
  nlohmann::json Json = nlohmann::json::parse(Response.m_Body, nullptr,
                                              /*allow_exceptions=*/false);
  absl::StatusOr<Reply> Parsed = fromJson<Reply>(Json);
  if (!Parsed.ok())
    return unavailable("the platform's reply cannot be read: " +
                       failureDetail(Parsed.status()));
  return Parsed;
}

} // namespace

PlatformClient::PlatformClient(Address Platform, std::string Vm)
    : m_Http(std::move(Platform)), m_Vm(std::move(Vm)) {}

absl::StatusOr<std::int64_t>
PlatformClient::append(std::string_view Stream, const nlohmann::json &Records) {
  nlohmann::json Body = {{"records", Records}};
  auto Response =
      call("POST", "/v1/streams/" + std::string(Stream) + "/records",
           Body.dump(), CallTimeout);
  if (!Response.ok())
    return Response.status();
  auto Reply = parseReply<AppendReply>(*Response);
  if (!Reply.ok())
    return Reply.status();
  return Reply->m_First;
}

absl::StatusOr<StreamPage> PlatformClient::read(std::string_view Stream,
                                                std::int64_t From, int Limit,
                                                Milliseconds Wait) {
  std::string Path = "/v1/streams/" + std::string(Stream) +
                     "/records?from=" + std::to_string(From) +
                     "&limit=" + std::to_string(Limit) +
                     "&wait_ms=" + std::to_string(Wait.count());
  auto Response = call("GET", std::move(Path), "", CallTimeout + Wait);
  if (!Response.ok())
    return Response.status();
  auto Page = parseReply<StreamPage>(*Response);
  if (Page.ok())
    Page->m_Bytes = Response->m_Body.size();
  return Page;
}

absl::StatusOr<VmListing> PlatformClient::listVms() {
  auto Response = call("GET", "/v1/vms", "", CallTimeout);
  if (!Response.ok())
    return Response.status();
  auto Listing = parseReply<VmListing>(*Response);
  if (Listing.ok())
    Listing->m_Bytes = Response->m_Body.size();
  return Listing;
}

absl::StatusOr<HttpResponse> PlatformClient::call(std::string Method,
                                                  std::string Path,
                                                  std::string Body,
                                                  Milliseconds Timeout) {
  HttpRequest Request;
  Request.m_Method = std::move(Method);
  Request.m_Path = std::move(Path);
  Request.m_Headers.set("Auburnhub-Vm", m_Vm);
  if (!Body.empty())
    Request.m_Headers.set("Content-Type", "application/json");
  Request.m_Body = std::move(Body);
  auto Response = m_Http.call(Request, Timeout);
  if (!Response.ok())
    return unavailable(failureDetail(Response.status()));
  if (Response->m_Status != 200)
    return unavailable("the platform answered with status " +
                       std::to_string(Response->m_Status));
  return Response;
}

} // namespace auburnhub
