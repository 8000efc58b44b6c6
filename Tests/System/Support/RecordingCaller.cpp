#include "System/Support/RecordingCaller.h"

#include "Fakes/ContentDigest.h"

#include "auburnhub/Base/Failure.h"

namespace auburnhub::test {
namespace {

/// What the reader of a reply waits beyond the submission's own timeout.
constexpr Milliseconds AnswerMargin{30000};

HttpRequest toRequest(const CallerSubmission &Sent) {
  const bool IsJob = Sent.m_Kind == SubmissionKind::Job;
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path =
      "/v1/services/" + Sent.m_Service + (IsJob ? "/jobs" : "/requests");
  Request.m_Headers = {
      {"Auburnhub-Team", Sent.m_Team},
      {"Auburnhub-Timeout", std::to_string(Sent.m_Timeout.count())}};
  if (!Sent.m_Key.empty())
    Request.m_Headers["Idempotency-Key"] = Sent.m_Key;
  if (!Sent.m_Repeatable)
    Request.m_Headers["Auburnhub-Repeat"] = "no";
  if (IsJob)
    Request.m_Headers["Content-Type"] = "application/json";
  Request.m_Body = IsJob ? nlohmann::json{{"tasks", Sent.m_Bodies}}.dump()
                         : Sent.m_Bodies[0];
  return Request;
}

std::vector<std::string> digests(const std::vector<std::string> &Bodies) {
  std::vector<std::string> Found;
  Found.reserve(Bodies.size());
  for (const std::string &Body : Bodies)
    Found.push_back(contentDigest(Body));
  return Found;
}

/// Returns the results in a reply of status 200; none if it is malformed.
std::vector<std::string> results(const HttpReply &Reply, SubmissionKind Kind) {
  if (Kind == SubmissionKind::Request)
    return {Reply.m_Body};
  const nlohmann::json Body = Reply.json();
  std::vector<std::string> Found;
  if (!Body.is_object() || !Body.contains("results"))
    return Found;
  Found.reserve(Body["results"].size());
  for (const nlohmann::json &Result : Body["results"])
    Found.push_back(Result.is_string() ? Result.get<std::string>()
                                       : Result.dump());
  return Found;
}

/// Reads the members of a problem document.
void readProblem(const HttpReply &Reply, Answer &Into) {
  const nlohmann::json Body = Reply.json();
  if (!Body.is_object())
    return;
  auto Text = [&Body](const char *Name) {
    auto It = Body.find(Name);
    return It != Body.end() && It->is_string() ? It->get<std::string>() : "";
  };
  Into.m_Outcome = Text("outcome");
  const std::string Type = Text("type");
  Into.m_Problem = Type.substr(Type.rfind('/') + 1);
}

} // namespace

absl::StatusOr<HttpReply>
RecordingCaller::submit(const std::string &Address,
                        const CallerSubmission &Sent) {
  HttpConnection Connection(Address);
  return submit(Connection, Sent);
}

absl::StatusOr<HttpReply>
RecordingCaller::submit(HttpConnection &Connection,
                        const CallerSubmission &Sent) {
  const std::string Call = noteInvocation(Sent);
  absl::StatusOr<HttpReply> Reply =
      Connection.call(toRequest(Sent), Sent.m_Timeout + AnswerMargin);
  if (!Reply.ok() && failureCode(Reply.status()) == FailureCode::NoEndpoint)
    dropInvocation(Call);
  else
    noteAnswer(Call, Sent, Reply);
  return Reply;
}

History RecordingCaller::history() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_History;
}

std::string RecordingCaller::noteInvocation(const CallerSubmission &Sent) {
  Invocation Made;
  Made.m_Submission = Sent.m_Key;
  Made.m_Team = Sent.m_Team;
  Made.m_Kind = Sent.m_Kind;
  Made.m_Tasks = Sent.m_Bodies.size();
  Made.m_Repeatable = Sent.m_Repeatable;
  Made.m_BodyDigests = digests(Sent.m_Bodies);
  Made.m_TimeMs = TimerService::wallMilliseconds();
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Made.m_Call = "call-" + std::to_string(++m_LastCall);
  m_History.m_Invocations.push_back(Made);
  return Made.m_Call;
}

void RecordingCaller::noteAnswer(const std::string &Call,
                                 const CallerSubmission &Sent,
                                 const absl::StatusOr<HttpReply> &Reply) {
  Answer Got;
  Got.m_Call = Call;
  Got.m_TimeMs = TimerService::wallMilliseconds();
  if (Reply.ok()) {
    Got.m_Status = Reply->m_Status;
    Got.m_Submission = Reply->header("Auburnhub-Submission");
    Got.m_RetryAfter = !Reply->header("Retry-After").empty();
    if (Got.m_Status == 200)
      Got.m_ResultDigests = digests(results(*Reply, Sent.m_Kind));
    else
      readProblem(*Reply, Got);
  }
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_History.m_Answers.push_back(std::move(Got));
}

void RecordingCaller::dropInvocation(const std::string &Call) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::erase_if(m_History.m_Invocations,
                [&](const Invocation &Made) { return Made.m_Call == Call; });
}

} // namespace auburnhub::test
