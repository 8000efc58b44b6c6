#include "System/Support/History.h"

#include "auburnhub/Base/Failure.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <exception>

namespace auburnhub::test {
namespace {

using Json = nlohmann::json;

/// What the processes log when they put a configuration in force.
constexpr const char *LogEvent = "configuration_in_force";

std::int64_t timeOf(const Json &Line) { return Line.at("time_ms"); }

Invocation readInvocation(const Json &Line) {
  Invocation Call;
  Call.m_Call = Line.at("call");
  Call.m_Submission = Line.value("submission", "");
  Call.m_Team = Line.at("team");
  const std::string Kind = Line.at("kind");
  Call.m_Kind = Kind == "job" ? SubmissionKind::Job : SubmissionKind::Request;
  Call.m_Tasks = Line.value("tasks", std::size_t{1});
  Call.m_Repeatable = Line.at("repeatable");
  Call.m_BodyDigests = Line.at("body_digests");
  Call.m_TimeMs = timeOf(Line);
  return Call;
}

Answer readAnswer(const Json &Line) {
  Answer Reply;
  Reply.m_Call = Line.at("call");
  Reply.m_Status = Line.at("status");
  Reply.m_Outcome = Line.value("outcome", "");
  Reply.m_Problem = Line.value("problem", "");
  Reply.m_Submission = Line.value("submission", "");
  Reply.m_RetryAfter = Line.value("retry_after", false);
  Reply.m_ResultDigests =
      Line.value("result_digests", std::vector<std::string>());
  Reply.m_TimeMs = timeOf(Line);
  return Reply;
}

EndpointAction readAction(const Json &Line) {
  EndpointAction Action;
  Action.m_Endpoint = Line.at("endpoint");
  Action.m_Submission = Line.at("submission");
  Action.m_Task = Line.at("task");
  Action.m_BodyDigest = Line.at("body_digest");
  Action.m_ResultDigest = Line.value("result_digest", "");
  Action.m_Ok = Line.value("ok", false);
  Action.m_TimeMs = timeOf(Line);
  return Action;
}

ConfigurationInForce readConfiguration(const Json &Line, int Life,
                                       std::int64_t TimeMs) {
  return {Line.at("vm"), Line.at("process"), Life, Line.at("offset"), TimeMs};
}

ProcessEnd readEnd(const Json &Line, bool Planned) {
  return {Line.at("vm"), Line.at("process"), Line.value("life", 0), Planned,
          timeOf(Line)};
}

/// Sorts one line into the history. Throws if a field is missing or wrong.
bool sortLine(History &Into, const Json &Line) {
  const std::string Event = Line.at("event");
  if (Event == "invoke")
    Into.m_Invocations.push_back(readInvocation(Line));
  else if (Event == "answer")
    Into.m_Answers.push_back(readAnswer(Line));
  else if (Event == "start")
    Into.m_Starts.push_back(readAction(Line));
  else if (Event == "finish")
    Into.m_Finishes.push_back(readAction(Line));
  else if (Event == "refusal")
    Into.m_Refusals.push_back(readAction(Line));
  else if (Event == "leaving" || Event == "joined")
    Into.m_Signs.push_back(
        {Line.at("endpoint"), Event == "leaving", timeOf(Line)});
  else if (Event == "config_in_force")
    Into.m_Configurations.push_back(
        readConfiguration(Line, Line.value("life", 0), timeOf(Line)));
  else if (Event == "stop" || Event == "killed")
    Into.m_Ends.push_back(readEnd(Line, Event == "stop"));
  else if (Event == "isolated")
    Into.m_Isolations.push_back(
        {Line.at("vm"), timeOf(Line), Line.at("until_ms")});
  else
    return false;
  return true;
}

/// Parses the time of a log line, e.g. 2026-01-02T03:04:05.678Z.
std::int64_t parseLogTime(const std::string &Text) {
  int Zone = 0;
  Poco::DateTime Time = Poco::DateTimeParser::parse(
      Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, Text, Zone);
  return Time.timestamp().epochMicroseconds() / 1000;
}

absl::Status badLine(std::string_view Line, std::string_view Why) {
  return makeFailure(FailureCode::BadRequest, "history line " +
                                                  std::string(Line) + ": " +
                                                  std::string(Why));
}

template <typename Events> void extendEnd(const Events &In, std::int64_t &End) {
  for (const auto &Event : In)
    End = std::max(End, Event.m_TimeMs);
}

} // namespace

absl::Status History::addLine(std::string_view Text) {
  try {
    if (!sortLine(*this, Json::parse(Text)))
      return badLine(Text, "unknown event");
  } catch (const Json::exception &Error) {
    return badLine(Text, Error.what());
  }
  return absl::OkStatus();
}

absl::Status History::addLines(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    if (End > 0) {
      absl::Status Added = addLine(Text.substr(0, End));
      if (!Added.ok())
        return Added;
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return absl::OkStatus();
}

absl::Status History::addLogLine(std::string_view Text, int Life) {
  Json Line = Json::parse(Text, nullptr, false);
  if (!Line.is_object() || Line.value("event", Json()) != LogEvent)
    return absl::OkStatus();
  try {
    m_Configurations.push_back(
        readConfiguration(Line, Life, parseLogTime(Line.at("time"))));
  } catch (const std::exception &Error) {
    return badLine(Text, Error.what());
  }
  return absl::OkStatus();
}

std::int64_t History::endMs() const {
  std::int64_t End = 0;
  extendEnd(m_Invocations, End);
  extendEnd(m_Answers, End);
  extendEnd(m_Starts, End);
  extendEnd(m_Finishes, End);
  extendEnd(m_Refusals, End);
  extendEnd(m_Signs, End);
  extendEnd(m_Configurations, End);
  extendEnd(m_Ends, End);
  extendEnd(m_Isolations, End);
  return End;
}

} // namespace auburnhub::test
