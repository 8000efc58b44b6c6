#include "auburnhub/Ctl/JobExplanation.h"

#include "LineText.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace auburnhub {
namespace {

/// A sentence for each event of a node; {field} stands for a field's value.
constexpr auto EventSentences = std::to_array<NamePair>({
    {"end_kept_until_lease_ends",
     "keeps the end of run {run} of {task} until the lease of the worker "
     "{worker} has run out"},
    {"job_answered", "answered the caller: {outcome}"},
    {"job_not_taken", "did not take the job"},
    {"job_over", "has done with the job: {outcome}"},
    {"job_routed", "sent the job to the owner {owner}"},
    {"order_unanswered", "had no answer to the order of run {run} of {task} at "
                         "the worker {worker}"},
    {"run_ended", "learned that {task} ended at the worker {worker}: {how}"},
    {"run_ordered", "ordered run {run} of {task} at the worker {worker}"},
    {"run_refused", "was refused a run by the worker {worker}"},
    {"run_stop", "ordered the worker {worker} to stop {task}"},
    {"stored_call_answered", "answered the call to {kind} the job: {outcome}"},
    {"stored_job_over", "stored that the job is over: {state}"},
    {"stored_run_over", "was told by {owner} how run {run} of {task} ended: "
                        "{how}"},
    {"stored_task_given", "gave run {run} of {task} to the owner {owner}"},
    {"stray_run_stopped", "stopped run {run} of {task} at the worker {worker}, "
                          "ordered by an earlier "
                          "owner"},
});

/// Why a job did not complete, for each name of a JobReason.
constexpr auto Reasons = std::to_array<NamePair>({
    {"attempts_spent", "a task failed as often as the queue allows"},
    {"cancelled", "its caller cancelled it, went away or sent it elsewhere"},
    {"evacuated", "an operator has evacuated every data centre with workers"},
    {"never_fits", "no worker can ever hold one of its tasks"},
    {"no_owner", "no node took jobs of the service"},
    {"no_room", "no worker had room for it in time"},
    {"not_stored", "the log was out of reach or did not answer"},
    {"owner_lost", "the node that ran it was lost"},
    {"stopping", "the node was shutting down"},
    {"timed_out", "the caller's time was over"},
});

/// What an outcome means for the caller.
constexpr auto Meanings = std::to_array<NamePair>({
    {"completed", "Every task ended well."},
    {"done", "The call was carried out."},
    {"failed", "A task failed too often; the job is over."},
    {"given_up", "Tasks may have run; what ran was stopped."},
    {"no_keeper", "Nothing was done: no node kept the job's partition."},
    {"no_such_job", "No job of this id was known."},
    {"not_run", "Nothing of it has run and nothing will; it is safe to ask "
                "again."},
    {"refused", "Nothing was stored; it is safe to ask again."},
    {"unknown", "It may have been stored. Ask for its state."},
});

std::string describeAnswer(const DecisionLine &Line) {
  std::string Outcome = Line.text("outcome");
  std::string Result = "The node " + Line.m_Vm + " answered '" + Outcome + "'";
  std::string Reason = Line.text("reason");
  std::string_view Known = lookUp(Reasons, Reason);
  if (!Known.empty())
    Result += " because " + std::string(Known) + " (" + Reason + ")";
  std::string Owner = Line.text("owner");
  if (!Owner.empty())
    Result += "; the owner was " + Owner;
  Result += ".";
  if (std::string_view Meaning = lookUp(Meanings, Outcome); !Meaning.empty())
    Result += " " + std::string(Meaning);
  return Result + "\n";
}

std::string describeEnd(std::span<const DecisionLine> Lines) {
  std::string Result;
  if (const DecisionLine *Stored = lastOf(Lines, "stored_job_over"))
    Result =
        "It was stored that the job is over: " + Stored->text("state") + ".\n";
  const DecisionLine *Answer = lastOf(Lines, "job_answered");
  if (!Answer)
    Answer = lastOf(Lines, "stored_call_answered");
  if (Answer)
    return Result + describeAnswer(*Answer);
  if (const DecisionLine *Refused = lastOf(Lines, "job_not_taken"))
    return Result + "The node " + Refused->m_Vm +
           " did not take it. Nothing has run there.\n";
  return Result + "No line shows an answer to a caller: it still runs, the "
                  "node that took it is gone, or logs are missing.\n";
}

/// The runs of one task, as far as lines show them.
struct TaskRuns {
  std::size_t m_Ordered = 0;
  std::vector<std::string> m_Ends; ///< "done at w-1 after 20 ms (expected 21)"
};

std::string describeRunEnd(const DecisionLine &Line) {
  std::string Result = Line.text("how") + " at " + Line.text("worker");
  std::string Took = Line.text("took_ms");
  if (!Took.empty())
    Result +=
        " after " + Took + " ms (expected " + Line.text("expected_ms") + ")";
  return Result;
}

std::string describeTasks(std::span<const DecisionLine> Lines) {
  std::map<std::string, TaskRuns> Tasks;
  for (const DecisionLine &Line : Lines) {
    if (Line.m_Event == "run_ordered")
      ++Tasks[Line.text("task")].m_Ordered;
    if (Line.m_Event == "run_ended")
      Tasks[Line.text("task")].m_Ends.push_back(describeRunEnd(Line));
  }
  if (Tasks.empty())
    return "No line shows an order to a worker.\n";
  std::string Result;
  for (const auto &[Task, Runs] : Tasks) {
    Result += Task + ": " + counted(Runs.m_Ordered, "order");
    for (const std::string &End : Runs.m_Ends)
      Result += "; " + End;
    if (Runs.m_Ends.size() < Runs.m_Ordered)
      Result += "; no line shows the end of the last";
    Result += "\n";
  }
  return Result;
}

std::string describeStep(const DecisionLine &Line) {
  std::set<std::string> Used = {"job"};
  std::string Result = Line.m_Time + "  " + Line.m_Vm + ": ";
  std::string_view Sentence = lookUp(EventSentences, Line.m_Event);
  Result +=
      Sentence.empty() ? Line.m_Event : fillSentence(Sentence, Line, Used);
  return Result + otherFields(Line, std::move(Used));
}

} // namespace

std::string explainJob(const std::string &Job,
                       std::span<const DecisionLine> Lines) {
  std::string Result = "Job " + Job + "\n";
  if (Lines.empty())
    return Result + "The logs given have no line about it. That does not show "
                    "that it did not run.\n";
  Result += describeEnd(Lines);
  Result += describeTasks(Lines);
  Result += "\nStep by step:\n";
  for (const DecisionLine &Line : Lines)
    Result += describeStep(Line) + "\n";
  return Result;
}

} // namespace auburnhub
