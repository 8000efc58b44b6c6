#include "auburnhub/Ctl/PlatformStream.h"

#include "auburnhub/Base/Failure.h"
#include "auburnhub/Base/SerialTask.h"

#include <future>

namespace auburnhub {
namespace {

constexpr Milliseconds CallTimeout{5000};
constexpr Milliseconds RetryDelay{500};
constexpr int PageLimit = 1000;

absl::Status badReply(const std::string &What) {
  return makeFailure(FailureCode::PlatformUnavailable,
                     "the platform's reply is malformed: " + What);
}

RecordPage readPage(const nlohmann::json &Reply) {
  RecordPage Page;
  Page.m_First = Reply.at("first").get<std::int64_t>();
  Page.m_End = Reply.at("end").get<std::int64_t>();
  for (const nlohmann::json &Record : Reply.at("records"))
    Page.m_Records.push_back({Record.at("offset").get<std::int64_t>(),
                              Record.value("time", std::int64_t{0}),
                              Record.at("data")});
  return Page;
}

} // namespace

PlatformStream::PlatformStream(const Address &Platform,
                               const std::string &Stream)
    : m_Path("/v1/streams/" + Stream + "/records"), m_Client(Platform) {}

absl::StatusOr<nlohmann::json>
PlatformStream::call(const HttpRequest &Request) {
  absl::StatusOr<HttpResponse> Response = m_Client.call(Request, CallTimeout);
  if (!Response.ok())
    return makeFailure(FailureCode::PlatformUnavailable,
                       m_Client.server().str() + ": " +
                           failureDetail(Response.status()));
  if (Response->m_Status != 200)
    return makeFailure(FailureCode::PlatformUnavailable,
                       m_Client.server().str() + " replied with status " +
                           std::to_string(Response->m_Status));
  nlohmann::json Reply =
      nlohmann::json::parse(Response->m_Body, nullptr, false);
  if (!Reply.is_object())
    return badReply("expected an object");
  return Reply;
}

absl::StatusOr<RecordPage> PlatformStream::read(std::int64_t From) {
  HttpRequest Request;
  Request.m_Path = m_Path + "?from=" + std::to_string(From) +
                   "&limit=" + std::to_string(PageLimit);
  absl::StatusOr<nlohmann::json> Reply = call(Request);
  if (!Reply.ok())
    return Reply.status();
  try {
    return readPage(*Reply);
  } catch (const nlohmann::json::exception &E) {
    return badReply(E.what());
  }
}

absl::StatusOr<std::int64_t>
PlatformStream::append(const nlohmann::json &Data) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = m_Path;
  Request.m_Headers.set("Content-Type", "application/json");
  Request.m_Body =
      nlohmann::json{{"records", nlohmann::json::array({Data})}}.dump();
  absl::StatusOr<nlohmann::json> Reply = call(Request);
  if (!Reply.ok())
    return Reply.status();
  auto First = Reply->find("first");
  if (First == Reply->end() || !First->is_number_integer())
    return badReply("expected the field first");
  return First->get<std::int64_t>();
}

void PlatformStream::waitBeforeRetry() {
  SerialTask Task("retry");
  std::promise<void> Due;
  m_Timers.once(RetryDelay, Task, [&Due] { Due.set_value(); });
  Due.get_future().wait();
}

} // namespace auburnhub
