#include "auburnhub/Ctl/Explanation.h"

#include "LineText.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace auburnhub {
namespace {

/// A sentence for each event; {field} stands for a field's value.
constexpr auto EventSentences = std::to_array<NamePair>({
    {"admitted", "admitted the submission of the team {team} for {service}"},
    {"answered", "answered with the outcome {outcome}"},
    {"cancelled", "cancelled the submission"},
    {"claim_failed", "could not claim the id"},
    {"claim_lost", "lost the claim of the id to incarnation {winner}"},
    {"claim_refused", "could not decide who owns the id"},
    {"claim_won", "won the claim of the id and may start it"},
    {"expired", "gave up because the caller's timeout passed"},
    {"forwarded", "forwarded the submission"},
    {"forwarded_to_owner", "passed it on to its owner, incarnation {owner}"},
    {"joined", "joined the resubmission to the submission of this id"},
    {"placed", "chose the endpoint {endpoint}"},
    {"refused", "refused the submission"},
    {"retry", "will send the work again"},
    {"task_finished", "the endpoint {endpoint} finished the work"},
    {"task_started", "sent the work to the endpoint {endpoint}"},
});

/// Why a failure happens, for each name of a FailureCode that a submission
/// can end with.
constexpr auto FailureReasons = std::to_array<NamePair>({
    {"answer-forgotten", "its answer is no longer remembered"},
    {"bad-request", "the request was malformed"},
    {"bad-id", "its id is malformed, of a wrong kind or was never minted"},
    {"cancelled", "the caller cancelled it"},
    {"claim-history-unread",
     "the claims on the platform's log were not read back to when the id was "
     "minted, so nobody could say whether it was started before"},
    {"connection-lost", "a connection broke while its reply was awaited"},
    {"endpoint-failed", "an endpoint failed or broke its protocol"},
    {"endpoint-refused", "the endpoint refused it before starting"},
    {"id-expired", "its id is older than the resubmission window"},
    {"id-from-future", "its id is newer than the clock bound allows"},
    {"id-mismatch", "its id was used before with another body"},
    {"no-configuration", "no configuration had been accepted yet"},
    {"no-dispatcher", "no dispatcher could be reached"},
    {"no-endpoint", "no endpoint can ever run it"},
    {"overloaded", "it could not be done within its timeout"},
    {"owner-gone", "the dispatcher that owned its id is gone"},
    {"payload-too-large", "its body is over the limit"},
    {"platform-unavailable",
     "the platform's log could not be reached, so the id could not be claimed"},
    {"quota-exceeded", "the team had used up its quota"},
    {"shutting-down", "the process was stopping"},
    {"task-failed", "a task ran and failed"},
    {"timeout", "the time allowed had passed"},
    {"unknown-service", "the configuration has no such service"},
    {"unknown-submission", "the team has no submission of this id"},
    {"unknown-team", "the configuration has no such team"},
});

/// What an outcome means for the caller.
constexpr auto OutcomeMeanings = std::to_array<NamePair>({
    {"complete", "Every task ran and the caller got the whole answer."},
    {"failed", "It was started and finished failed; no partial answer was "
               "given."},
    {"not_run", "Nothing of it was started and nothing will be; it is safe to "
                "ask again."},
    {"unknown", "It may have run. Do not repeat it under a new id unless "
                "running twice does no harm."},
});

std::string reasonOf(const DecisionLine &Line) {
  std::string Failure = Line.text("failure");
  std::string Result;
  if (std::string_view Known = lookUp(FailureReasons, Failure); !Known.empty())
    Result = Known;
  else
    Result = Failure;
  std::string Detail = Line.text("detail");
  if (!Detail.empty())
    Result += Result.empty() ? Detail : " (" + Detail + ")";
  return Result;
}

/// Returns the event that stands for sending a task. A dispatcher that writes
/// no line for the start sends a task right after placing it.
std::string_view startEvent(std::span<const DecisionLine> Lines) {
  return lastOf(Lines, "task_started") != nullptr ? "task_started" : "placed";
}

/// Counts what happened to the tasks.
struct TaskSummary {
  std::map<int, int> m_StartsOfTask;
  std::map<std::string, int> m_StartsAtEndpoint;
  int m_Finished = 0;
  int m_Retries = 0;
};

TaskSummary summarizeTasks(std::span<const DecisionLine> Lines) {
  TaskSummary Result;
  const std::string_view Start = startEvent(Lines);
  for (const DecisionLine &Line : Lines) {
    if (Line.m_Event == Start) {
      ++Result.m_StartsOfTask[Line.task().value_or(0)];
      ++Result.m_StartsAtEndpoint[Line.text("endpoint")];
    }
    if (Line.m_Event == "task_finished")
      ++Result.m_Finished;
    if (Line.m_Event == "retry")
      ++Result.m_Retries;
  }
  return Result;
}

std::string describeTasks(std::span<const DecisionLine> Lines) {
  TaskSummary Summary = summarizeTasks(Lines);
  if (Summary.m_StartsOfTask.empty())
    return "No line shows that a task was sent to an endpoint.\n";
  std::string Result = counted(Summary.m_StartsOfTask.size(), "task") +
                       " sent, " + std::to_string(Summary.m_Finished) +
                       " finished, " + std::to_string(Summary.m_Retries) +
                       " sent again; at";
  const char *Separator = " ";
  for (const auto &[Endpoint, Starts] : Summary.m_StartsAtEndpoint) {
    Result += Separator + (Endpoint.empty() ? "(not logged)" : Endpoint) + " " +
              counted(static_cast<std::size_t>(Starts), "time");
    Separator = ", ";
  }
  Result += ".\n";
  for (const auto &[Task, Starts] : Summary.m_StartsOfTask)
    if (Starts > 1)
      Result += "Task " + std::to_string(Task) + " was sent " +
                counted(static_cast<std::size_t>(Starts), "time") + ".\n";
  return Result;
}

std::string describeEnd(const DecisionLine &Line) {
  std::string Outcome = Line.text("outcome");
  std::string Result;
  if (Line.m_Event == "refused")
    Result = "It was refused";
  else if (Outcome == "complete")
    Result = "It was answered completely";
  else if (Outcome.empty())
    Result = "It was answered; the line does not say how";
  else
    Result = "It ended with the outcome " + Outcome;
  std::string Reason = reasonOf(Line);
  if (!Reason.empty())
    Result += " because " + Reason;
  Result += ".";
  if (std::string_view Meaning = lookUp(OutcomeMeanings, Outcome);
      !Meaning.empty())
    Result += " " + std::string(Meaning);
  return Result + "\n";
}

std::string describeNoEnd(std::span<const DecisionLine> Lines) {
  if (lastOf(Lines, "expired") != nullptr)
    return "The caller's timeout passed and no line shows an answer. It may "
           "have run.\n";
  if (lastOf(Lines, "cancelled") != nullptr)
    return "It was cancelled and no line shows an answer.\n";
  if (lastOf(Lines, startEvent(Lines)) != nullptr)
    return "It was sent to an endpoint and no line shows an answer: it is "
           "still "
           "running, its dispatcher is gone, or logs are missing. It may have "
           "run.\n";
  return "No line shows an answer: it is still waiting, its dispatcher is "
         "gone, or logs are missing.\n";
}

/// Names the different outcomes, if a submission got several.
std::string describeOutcomes(std::span<const DecisionLine> Lines) {
  std::map<std::string, int> Counts;
  for (const DecisionLine &Line : Lines)
    if (Line.m_Event == "answered" || Line.m_Event == "refused")
      ++Counts[Line.text("outcome")];
  if (Counts.size() < 2)
    return {};
  std::string Result = "Callers got different outcomes:";
  const char *Separator = " ";
  for (const auto &[Outcome, Count] : Counts) {
    Result += Separator + (Outcome.empty() ? "(not logged)" : Outcome) + " " +
              counted(static_cast<std::size_t>(Count), "time");
    Separator = ", ";
  }
  return Result + ".\n";
}

std::string describeClaims(std::span<const DecisionLine> Lines) {
  std::string Result;
  if (const DecisionLine *Won = lastOf(Lines, "claim_won"))
    Result += "The dispatcher on " + Won->m_Vm + " claimed the id first.\n";
  if (const DecisionLine *Lost = lastOf(Lines, "claim_lost"))
    Result += "A resubmission reached " + Lost->m_Vm +
              ", which lost the claim and started nothing for it.\n";
  return Result;
}

/// Returns the line that decides what the caller was told last.
const DecisionLine *endOf(std::span<const DecisionLine> Lines) {
  const DecisionLine *Complete = nullptr;
  const DecisionLine *Last = nullptr;
  for (const DecisionLine &Line : Lines) {
    if (Line.m_Event != "answered" && Line.m_Event != "refused")
      continue;
    Last = &Line;
    if (Line.text("outcome") == "complete")
      Complete = &Line;
  }
  return Complete != nullptr ? Complete : Last;
}

} // namespace

std::string describeLine(const DecisionLine &Line) {
  std::set<std::string> Used;
  std::string Result = Line.m_Time + "  " + Line.m_Vm + " " + Line.m_Process;
  if (std::optional<int> Task = Line.task())
    Result += ", task " + std::to_string(*Task);
  Result += ": ";
  std::string_view Sentence = lookUp(EventSentences, Line.m_Event);
  Result +=
      Sentence.empty() ? Line.m_Event : fillSentence(Sentence, Line, Used);
  std::string Reason = reasonOf(Line);
  if (!Reason.empty()) {
    Result += " because " + Reason;
    Used.insert({"failure", "detail"});
  }
  return Result + otherFields(Line, std::move(Used));
}

std::string explainSubmission(SubmissionId Id,
                              std::span<const DecisionLine> Lines) {
  std::string Result = "Submission " + Id.str() + "\n";
  if (Lines.empty())
    return Result + "The logs given have no line about it. That does not show "
                    "that it did not run.\n";
  const DecisionLine *End = endOf(Lines);
  Result += End != nullptr ? describeEnd(*End) : describeNoEnd(Lines);
  Result += describeOutcomes(Lines);
  Result += describeClaims(Lines);
  Result += describeTasks(Lines);
  Result += "\nStep by step:\n";
  for (const DecisionLine &Line : Lines)
    Result += describeLine(Line) + "\n";
  return Result;
}

} // namespace auburnhub
