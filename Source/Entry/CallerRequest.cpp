#include "CallerRequest.h"

#include <algorithm>
#include <charconv>

namespace auburnhub {
namespace {

constexpr std::int64_t LongestTimeoutMs = 600'000;
constexpr std::size_t MaxTasks = 1000;
constexpr std::size_t MaxNameBytes = 128;
constexpr int MaxTickets = 1000;
/// Deep nesting would cost the thread's stack when it is written again.
constexpr int MaxJsonDepth = 32;

constexpr std::string_view KeyHeader = "Idempotency-Key";

absl::Status badRequest(std::string_view Detail) {
  return makeFailure(FailureCode::BadRequest, Detail);
}

/// Returns what a path asks for, or nothing.
std::optional<CallerAction>
actionOfPath(const std::vector<std::string_view> &Parts) {
  if (Parts.size() < 2 || Parts[0] != "v1")
    return std::nullopt;
  if (Parts.size() == 2 && Parts[1] == "tickets")
    return CallerAction::MintTickets;
  if (Parts.size() == 3 && Parts[1] == "jobs")
    return CallerAction::Cancel;
  if (Parts.size() != 4 || Parts[1] != "services")
    return std::nullopt;
  if (Parts[3] == "requests")
    return CallerAction::Request;
  if (Parts[3] == "jobs")
    return CallerAction::Job;
  return std::nullopt;
}

std::string_view methodOf(CallerAction Action) {
  return Action == CallerAction::Cancel ? "DELETE" : "POST";
}

bool isName(std::string_view Text) {
  return Text.size() <= MaxNameBytes &&
         std::ranges::all_of(Text, [](char C) { return C > ' ' && C < 0x7f; });
}

/// Reads a header that may be there once.
absl::StatusOr<std::string> readHeader(const HttpHeaders &Headers,
                                       std::string_view Name) {
  std::string Value(Headers.get(Name));
  if (!isName(Value))
    return badRequest("the header " + std::string(Name) +
                      " must have at most " + std::to_string(MaxNameBytes) +
                      " printable ASCII characters without spaces");
  return Value;
}

absl::StatusOr<std::optional<Milliseconds>>
readTimeout(const HttpHeaders &Headers) {
  std::string_view Text = Headers.get("Auburnhub-Timeout");
  if (Text.empty())
    return std::optional<Milliseconds>();
  std::int64_t Value = 0;
  auto [End, Ec] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool IsNumber = Ec == std::errc() && End == Text.data() + Text.size();
  if (!IsNumber || Value < 1 || Value > LongestTimeoutMs)
    return badRequest("Auburnhub-Timeout must be a number of milliseconds "
                      "from 1 to " +
                      std::to_string(LongestTimeoutMs));
  return std::optional(Milliseconds(Value));
}

absl::StatusOr<nlohmann::json> parseJson(std::string_view Body) {
  bool IsDeep = false;
  auto Limit = [&IsDeep](int Depth, nlohmann::json::parse_event_t,
                         nlohmann::json &) {
    IsDeep = IsDeep || Depth > MaxJsonDepth;
    return !IsDeep;
  };
  nlohmann::json Json =
      nlohmann::json::parse(Body, Limit, /*allow_exceptions=*/false);
  if (IsDeep)
    return badRequest("the body is nested deeper than " +
                      std::to_string(MaxJsonDepth) + " levels");
  if (Json.is_discarded())
    return badRequest("the body is not valid JSON");
  if (!Json.is_object())
    return badRequest("the body must be a JSON object");
  return Json;
}

absl::Status readTasks(std::string_view Body, std::vector<Bytes> &Tasks) {
  absl::StatusOr<nlohmann::json> Json = parseJson(Body);
  if (!Json.ok())
    return Json.status();
  auto Found = Json->find("tasks");
  if (Found == Json->end() || !Found->is_array() || Json->size() != 1)
    return badRequest("the body must have the one member \"tasks\", an array");
  if (Found->empty() || Found->size() > MaxTasks)
    return badRequest("a job has 1 to " + std::to_string(MaxTasks) +
                      " tasks, not " + std::to_string(Found->size()));
  for (const nlohmann::json &Task : *Found) {
    if (Task.is_string())
      Tasks.push_back(Bytes{Task.get<std::string>()});
    else if (Task.is_object())
      Tasks.push_back(Bytes{Task.dump()});
    else
      return badRequest("task " + std::to_string(Tasks.size()) +
                        " is neither a string nor an object");
  }
  return absl::OkStatus();
}

absl::Status readTicketCount(std::string_view Body, int &Count) {
  absl::StatusOr<nlohmann::json> Json = parseJson(Body);
  if (!Json.ok())
    return Json.status();
  auto Found = Json->find("count");
  bool IsCount = Found != Json->end() && Found->is_number_integer() &&
                 Json->size() == 1 && *Found >= 1 && *Found <= MaxTickets;
  if (!IsCount)
    return badRequest("the body must have the one member \"count\", a number "
                      "from 1 to " +
                      std::to_string(MaxTickets));
  Count = Found->get<int>();
  return absl::OkStatus();
}

absl::Status readHeaders(const HttpHeaders &Headers, CallerRequest &Result) {
  absl::StatusOr<std::string> Team = readHeader(Headers, "Auburnhub-Team");
  if (!Team.ok())
    return Team.status();
  if (Team->empty())
    return badRequest("the header Auburnhub-Team is required");
  absl::StatusOr<std::string> Kind = readHeader(Headers, "Auburnhub-Kind");
  if (!Kind.ok())
    return Kind.status();
  absl::StatusOr<std::optional<Milliseconds>> Timeout = readTimeout(Headers);
  if (!Timeout.ok())
    return Timeout.status();
  std::string_view Repeat = Headers.get("Auburnhub-Repeat");
  if (!Repeat.empty() && Repeat != "no")
    return badRequest("Auburnhub-Repeat can only be \"no\"");
  Result.m_Team = *Team;
  Result.m_Kind = *Kind;
  Result.m_Timeout = *Timeout;
  Result.m_NoRepeat = Repeat == "no";
  return absl::OkStatus();
}

absl::Status readId(std::string_view Text, SubmissionId &Id) {
  absl::StatusOr<SubmissionId> Parsed = SubmissionId::parse(Text);
  if (Parsed.ok())
    Id = *Parsed;
  return Parsed.status();
}

absl::Status readBody(const HttpRequest &Request, CallerRequest &Result) {
  switch (Result.m_Action) {
  case CallerAction::Request:
    Result.m_Tasks.push_back(Bytes{Request.m_Body});
    return absl::OkStatus();
  case CallerAction::Job:
    return readTasks(Request.m_Body, Result.m_Tasks);
  case CallerAction::MintTickets:
    return readTicketCount(Request.m_Body, Result.m_TicketCount);
  case CallerAction::Cancel:
    return absl::OkStatus();
  }
  return absl::OkStatus();
}

bool isSubmission(CallerAction Action) {
  return Action == CallerAction::Request || Action == CallerAction::Job;
}

/// Returns the text that should be the request's submission id, or nothing.
std::string_view idText(const HttpRequest &Request, CallerAction Action) {
  if (isSubmission(Action))
    return Request.m_Headers.get(KeyHeader);
  if (Action == CallerAction::Cancel)
    return Request.pathParts().back();
  return {};
}

} // namespace

absl::StatusOr<CallerRequest> CallerRequest::parse(const HttpRequest &Request) {
  std::vector<std::string_view> Parts = Request.pathParts();
  std::optional<CallerAction> Action = actionOfPath(Parts);
  if (!Action)
    return makeFailure(FailureCode::NotFound, "no such resource");
  if (Request.m_Method != methodOf(*Action))
    return makeFailure(FailureCode::MethodNotAllowed,
                       "only " + std::string(methodOf(*Action)) +
                           " is supported here");
  CallerRequest Result;
  Result.m_Action = *Action;
  if (isSubmission(*Action))
    Result.m_Service = Parts[2];
  if (!isName(Result.m_Service))
    return makeFailure(FailureCode::UnknownService, "no such service");
  std::string_view Id = idText(Request, *Action);
  absl::Status Read = Id.empty() ? absl::OkStatus() : readId(Id, Result.m_Id);
  if (Read.ok())
    Read = readHeaders(Request.m_Headers, Result);
  if (Read.ok())
    Read = readBody(Request, Result);
  if (!Read.ok())
    return Read;
  return Result;
}

std::optional<std::string_view> allowedMethod(const HttpRequest &Request) {
  std::optional<CallerAction> Action = actionOfPath(Request.pathParts());
  if (!Action)
    return std::nullopt;
  return methodOf(*Action);
}

SubmissionId namedSubmission(const HttpRequest &Request) {
  std::optional<CallerAction> Action = actionOfPath(Request.pathParts());
  std::string_view Text =
      Action ? idText(Request, *Action) : Request.m_Headers.get(KeyHeader);
  return SubmissionId::parse(Text).value_or(SubmissionId());
}

} // namespace auburnhub
