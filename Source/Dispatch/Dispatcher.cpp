#include "Dispatcher.h"

#include "auburnhub/Base/Failure.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace auburnhub {
namespace {

constexpr std::size_t MaxRememberedResultBytes = std::size_t{64} << 20;
constexpr int MaxTicketsPerCall = 10000;
constexpr std::int64_t DrainRetryAfterMs = 1000;
/// How long attempts in progress, which end by the caller's timeout, may be
/// late to tell whether they started anything. Less than an entry waits beyond
/// that timeout.
constexpr Milliseconds SettleTime{100};

std::string formatHash(const XXH128_hash_t &Hash) {
  std::array<char, 33> Buf;
  std::snprintf(Buf.data(), Buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return std::string(Buf.data());
}

void hashField(XXH3_state_t *State, std::string_view Field) {
  std::uint64_t Length = Field.size();
  XXH3_128bits_update(State, &Length, sizeof Length);
  XXH3_128bits_update(State, Field.data(), Field.size());
}

Outcome outcomeOf(CallEnd End, const Submission &Owner) {
  if (End == CallEnd::TaskFailed || End == CallEnd::Broken)
    return Outcome::Failed;
  return Owner.outcomeIfEnded();
}

} // namespace

std::string submissionDigest(const Submit &Msg) {
  XXH3_state_t *State = XXH3_createState();
  XXH3_128bits_reset(State);
  hashField(State, Msg.m_Service);
  hashField(State, Msg.m_Job ? "job" : "request");
  for (const Bytes &Task : Msg.m_Tasks)
    hashField(State, Task.m_Data);
  XXH128_hash_t Hash = XXH3_128bits_digest(State);
  XXH3_freeState(State);
  return formatHash(Hash);
}

Dispatcher::Dispatcher(SerialTask &Owner, TimerService &Timers,
                       MetricsRegistry &Metrics, Incarnation Self,
                       std::string Vm, StateChart TaskChart, Links Reach)
    : m_Owner(Owner), m_Timers(Timers), m_Self(Self), m_Vm(std::move(Vm)),
      m_Links(std::move(Reach)), m_Tickets(Self),
      m_Submissions(MaxRememberedResultBytes),
      m_Runner(Owner, m_Submissions, Metrics, std::move(TaskChart),
               std::to_string(Self),
               {[this](Submission &S) { onTaskDone(S); },
                [this](Submission &S, const absl::Status &Why, CallEnd End) {
                  onTaskFailed(S, Why, End);
                },
                [this](const std::string &Endpoint) {
                  m_Links.m_EndpointLeaves(Endpoint);
                }}),
      m_Accepted(Metrics.counter("auburnhub_submissions_total",
                                 "Submissions that this dispatcher owned.")),
      m_ClaimsWon(Metrics.counter("auburnhub_claims_won_total", "Claims won.")),
      m_ClaimsLost(Metrics.counter("auburnhub_claims_lost_total",
                                   "Claims that another incarnation won.")),
      m_Forwarded(Metrics.counter("auburnhub_forwarded_total",
                                  "Calls passed on to the owner.")),
      m_Metrics(Metrics),
      m_Queued(Metrics.gauge("auburnhub_queued_tasks", "Tasks that wait.")),
      m_Running(Metrics.gauge("auburnhub_running_tasks", "Tasks that run.")),
      m_Remembered(Metrics.gauge("auburnhub_remembered_submissions",
                                 "Submissions in memory.")) {}

void Dispatcher::configure(const DispatchConfiguration &Configuration) {
  m_Configuration = Configuration;
  m_Runner.configure(Configuration);
}

void Dispatcher::submit(PeerId From, const Submit &Msg) {
  absl::Status Checked = check(Msg);
  if (!Checked.ok()) {
    refuse(From, Msg, failureCode(Checked), failureDetail(Checked));
    return;
  }
  std::string Digest = submissionDigest(Msg);
  if (Submission *Known = m_Submissions.find(Msg.m_Id)) {
    join(From, Msg, *Known, Digest);
    return;
  }
  bool IsForeignTicket =
      Msg.m_Id.isTicket() && Msg.m_Id.incarnation() != m_Self;
  if (IsForeignTicket) {
    forward(From, Msg, Msg.m_Id.incarnation());
    return;
  }
  if (m_Draining) {
    refuse(From, Msg, FailureCode::ShuttingDown, "this dispatcher stops",
           DrainRetryAfterMs);
    return;
  }
  if (Msg.m_Id.isNil()) {
    SubmissionId Id = m_Tickets.mintSpent(TimerService::wallMilliseconds());
    run(addSubmission(From, Msg, Id, Digest));
    return;
  }
  if (Msg.m_Id.isTicket())
    submitTicket(From, Msg, Digest);
  else
    submitCallerId(From, Msg, Digest);
}

absl::Status Dispatcher::check(const Submit &Msg) const {
  if (!m_Configuration)
    return makeFailure(FailureCode::NoConfiguration,
                       "no configuration is in force yet");
  if (!m_Configuration->m_Body.m_Teams.contains(Msg.m_Team))
    return makeFailure(FailureCode::UnknownTeam, "unknown team " + Msg.m_Team);
  if (!m_Configuration->m_Body.m_Services.contains(Msg.m_Service))
    return makeFailure(FailureCode::UnknownService,
                       "unknown service " + Msg.m_Service);
  if (Msg.m_Tasks.empty())
    return makeFailure(FailureCode::BadRequest, "there is no task");
  return absl::OkStatus();
}

absl::Status Dispatcher::checkCallerId(const SubmissionId &Id) const {
  const LimitsConfiguration &Limits = m_Configuration->m_Body.m_Limits;
  std::int64_t Now = TimerService::wallMilliseconds();
  if (Id.timeMs() > Now + Limits.m_ClockBoundMs)
    return makeFailure(FailureCode::IdFromFuture,
                       "the id was minted later than the clock bound allows");
  if (Id.timeMs() < Now - Limits.m_ResubmissionWindowMs)
    return makeFailure(FailureCode::IdExpired,
                       "the id is older than the resubmission window");
  // The claim of an id may outlive what was remembered of it here, so that a
  // claim that is won again does not prove that nothing ran.
  if (Id.timeMs() < m_ForgottenBeforeMs)
    return makeFailure(FailureCode::IdExpired,
                       "the id was minted when the resubmission window was "
                       "shorter, and is forgotten");
  return absl::OkStatus();
}

Submission &Dispatcher::addSubmission(PeerId From, const Submit &Msg,
                                      const SubmissionId &Id,
                                      const std::string &Digest) {
  auto Added = std::make_unique<Submission>();
  Added->m_Id = Id;
  Added->m_Team = Msg.m_Team;
  Added->m_Digest = Digest;
  Added->m_Service = Msg.m_Service;
  Added->m_Kind = Msg.m_Kind;
  Added->m_Job = Msg.m_Job;
  Added->m_Repeatable =
      !Msg.m_Job && !Msg.m_NoRepeat &&
      m_Configuration->m_Body.m_Services.at(Msg.m_Service).m_Repeatable;
  // Repeatable work under a caller's id also goes on without a claim, so that
  // no one can rule out a start elsewhere.
  Added->m_Exclusive = !(Id.isCallerId() && Added->m_Repeatable);
  Added->m_ArrivedAt = TimerService::now();
  Added->m_Deadline = Added->m_ArrivedAt + Milliseconds(Msg.m_TimeoutMs);
  Added->m_Bodies = Msg.m_Tasks;
  Added->m_Waiters.push_back({From, Msg.m_Call});
  Added->m_Timeout =
      m_Timers.once(Milliseconds(Msg.m_TimeoutMs), m_Owner,
                    [this, Id] { onTimeout(Id, /*IsSettled=*/false); });
  m_Accepted.add();
  return m_Submissions.add(std::move(Added));
}

void Dispatcher::onTimeout(const SubmissionId &Id, bool IsSettled) {
  Submission *Late = m_Submissions.find(Id);
  if (!Late || Late->isOver())
    return;
  if (!IsSettled && Late->mayTurnOutNotRun()) {
    if (!std::exchange(Late->m_Settling, true)) {
      m_Timers.cancel(Late->m_Timeout);
      Late->m_Timeout = m_Timers.once(SettleTime, m_Owner, [this, Id] {
        onTimeout(Id, /*IsSettled=*/true);
      });
    }
    return;
  }
  end(*Late, Late->outcomeIfEnded(),
      makeFailure(FailureCode::Timeout, "the caller's timeout passed"));
}

void Dispatcher::join(PeerId From, const Submit &Msg, Submission &Known,
                      const std::string &Digest) {
  bool IsSame = Known.m_Team == Msg.m_Team && Known.m_Digest == Digest;
  if (Known.m_Claiming && !IsSame) {
    // The id may belong to either; the claim decides.
    Known.m_Deferred.push_back({From, Msg, TimerService::now()});
    return;
  }
  // Another team must not learn that the id exists.
  if (Known.m_Team != Msg.m_Team) {
    refuse(From, Msg, FailureCode::UnknownSubmission,
           "no such submission of this team");
    return;
  }
  if (Known.m_Digest != Digest) {
    refuse(From, Msg, FailureCode::IdMismatch,
           "the id was used with another body");
    return;
  }
  Waiter To{From, Msg.m_Call};
  m_Log.info("joined", {{"submission", Known.m_Id.str()},
                        {"team", Known.m_Team},
                        {"over", Known.isOver()}});
  if (Known.isOver())
    sendAnswer(To, *Known.m_Answer);
  else
    Known.m_Waiters.push_back(To);
}

void Dispatcher::submitTicket(PeerId From, const Submit &Msg,
                              const std::string &Digest) {
  if (!m_Tickets.spend(Msg.m_Id, Msg.m_Team)) {
    // It was never handed out to this team, or was handed out so long ago that
    // it and its answer are forgotten.
    refuse(From, Msg, FailureCode::UnknownSubmission,
           "no such ticket of this team");
    return;
  }
  run(addSubmission(From, Msg, Msg.m_Id, Digest));
}

void Dispatcher::run(Submission &Owned) {
  Admission Result = m_Runner.admit(Owned);
  if (!Result.ok()) {
    end(Owned, Owned.outcomeIfEnded(), Result.m_Status, Result.m_RetryAfterMs);
    return;
  }
  m_Log.info("admitted", {{"submission", Owned.m_Id.str()},
                          {"team", Owned.m_Team},
                          {"service", Owned.m_Service},
                          {"kind", Owned.m_Kind},
                          {"tasks", Owned.m_Tasks.size()},
                          {"repeatable", Owned.m_Repeatable},
                          {"expected_wait_ms", Result.m_ExpectedWaitMs}});
  m_Runner.pump();
}

void Dispatcher::refuse(PeerId From, const Submit &Msg, FailureCode Code,
                        std::string_view Detail, std::int64_t RetryAfterMs) {
  bool IsOpenTicket = Msg.m_Id.isTicket() &&
                      m_Tickets.isOpen(Msg.m_Id, Msg.m_Team) &&
                      !m_Submissions.find(Msg.m_Id);
  // Spent by this refusal, an own ticket never runs; without an id there is
  // nothing that could run. Of other ids nothing is known here.
  bool NeverRuns = Msg.m_Id.isNil() ||
                   (IsOpenTicket && m_Tickets.spend(Msg.m_Id, Msg.m_Team));
  Answer Reply;
  Reply.m_Id = Msg.m_Id;
  Reply.m_Outcome = NeverRuns ? Outcome::NotRun : Outcome::Unknown;
  Reply.m_Failure = failureName(Code);
  Reply.m_Detail = Detail;
  Reply.m_RetryAfterMs = RetryAfterMs;
  Reply.m_OwnerVm = m_Vm;
  Reply.m_AskAnother = Code == FailureCode::ShuttingDown;
  m_Log.info("refused", {{"submission", Msg.m_Id.isNil() ? "" : Msg.m_Id.str()},
                         {"team", Msg.m_Team},
                         {"service", Msg.m_Service},
                         {"failure", Reply.m_Failure},
                         {"outcome", outcomeName(Reply.m_Outcome)},
                         {"detail", Detail}});
  sendAnswer({From, Msg.m_Call}, std::move(Reply));
}

MintedTickets Dispatcher::mint(const MintTickets &Msg) {
  MintedTickets Reply;
  Reply.m_Call = Msg.m_Call;
  auto Fail = [&Reply](FailureCode Code, std::string_view Detail) {
    Reply.m_Failure = failureName(Code);
    Reply.m_Detail = Detail;
    return Reply;
  };
  if (m_Draining)
    return Fail(FailureCode::ShuttingDown, "this dispatcher stops");
  if (!m_Configuration)
    return Fail(FailureCode::NoConfiguration,
                "no configuration is in force yet");
  if (!m_Configuration->m_Body.m_Teams.contains(Msg.m_Team))
    return Fail(FailureCode::UnknownTeam, "unknown team " + Msg.m_Team);
  if (Msg.m_Count < 1 || Msg.m_Count > MaxTicketsPerCall)
    return Fail(FailureCode::BadRequest, "expected a count from 1 to " +
                                             std::to_string(MaxTicketsPerCall));
  std::int64_t Now = TimerService::wallMilliseconds();
  for (int I = 0; I != Msg.m_Count; ++I)
    Reply.m_Ids.push_back(m_Tickets.mintFor(Msg.m_Team, Now));
  return Reply;
}

void Dispatcher::onControlDown() {
  std::vector<SubmissionId> Claiming;
  m_Submissions.forEachUnfinished([&](Submission &Waiting) {
    if (Waiting.m_Claiming)
      Claiming.push_back(Waiting.m_Id);
  });
  for (const SubmissionId &Id : Claiming) {
    ClaimReply Failed;
    Failed.m_Id = Id;
    Failed.m_Failure = failureName(FailureCode::PlatformUnavailable);
    Failed.m_Detail = "the control process of this VM went away";
    onClaimReply(Failed);
  }
}

std::size_t Dispatcher::cutAll() {
  std::vector<SubmissionId> Unfinished;
  m_Submissions.forEachUnfinished(
      [&](Submission &Item) { Unfinished.push_back(Item.m_Id); });
  for (const SubmissionId &Id : Unfinished) {
    Submission *Item = m_Submissions.find(Id);
    if (Item && !Item->isOver())
      end(*Item, Item->outcomeIfEnded(),
          makeFailure(FailureCode::ShuttingDown, "the drain time ended"));
  }
  return Unfinished.size();
}

void Dispatcher::tick() {
  m_Runner.pump();
  for (const SubmissionId &Id : std::exchange(m_ToDrop, {}))
    m_Submissions.erase(Id);
  m_Queued.set(static_cast<double>(m_Runner.queuedTasks()));
  m_Running.set(static_cast<double>(m_Runner.runningTasks()));
  m_Remembered.set(static_cast<double>(m_Submissions.size()));
  if (!m_Configuration)
    return;
  const LimitsConfiguration &Limits = m_Configuration->m_Body.m_Limits;
  std::int64_t Oldest = TimerService::wallMilliseconds() -
                        Limits.m_ResubmissionWindowMs - Limits.m_ClockBoundMs;
  m_ForgottenBeforeMs = std::max(m_ForgottenBeforeMs, Oldest);
  m_Submissions.forgetBefore(Oldest);
  m_Tickets.forgetBefore(Oldest);
  forgetWinnersBefore(Oldest);
}

void Dispatcher::onTaskDone(Submission &Owner) {
  if (Owner.m_TasksLeft != 0 || Owner.isOver())
    return;
  Answer Reply;
  Reply.m_Outcome = Outcome::Complete;
  Reply.m_Results = std::move(Owner.m_Results);
  answer(Owner, std::move(Reply));
}

void Dispatcher::onTaskFailed(Submission &Owner, const absl::Status &Why,
                              CallEnd End) {
  if (Owner.isOver())
    return;
  bool HasRun = End == CallEnd::TaskFailed || End == CallEnd::Broken;
  bool IsLate = TimerService::now() >= Owner.m_Deadline;
  if (IsLate && !HasRun)
    onTimeout(Owner.m_Id, /*IsSettled=*/false);
  else
    end(Owner, outcomeOf(End, Owner), Why);
}

void Dispatcher::end(Submission &Over, Outcome Result, const absl::Status &Why,
                     std::int64_t RetryAfterMs) {
  Answer Reply;
  Reply.m_Outcome = Result;
  Reply.m_Failure = failureName(failureCode(Why));
  Reply.m_Detail = failureDetail(Why);
  Reply.m_RetryAfterMs = RetryAfterMs;
  answer(Over, std::move(Reply));
  m_Runner.cancel(Over);
}

void Dispatcher::answer(Submission &Over, Answer Reply) {
  Reply.m_Id = Over.m_Id;
  Reply.m_OwnerVm = m_Vm;
  m_Timers.cancel(Over.m_Timeout);
  auto TookMs = std::chrono::duration<double, std::milli>(TimerService::now() -
                                                          Over.m_ArrivedAt);
  m_Log.info("answered", {{"submission", Over.m_Id.str()},
                          {"team", Over.m_Team},
                          {"service", Over.m_Service},
                          {"outcome", outcomeName(Reply.m_Outcome)},
                          {"failure", Reply.m_Failure},
                          {"detail", Reply.m_Detail},
                          {"took_ms", TookMs.count()}});
  m_Metrics
      .counter("auburnhub_answers_total", "Submissions that are over.",
               {{"outcome", std::string(outcomeName(Reply.m_Outcome))},
                {"failure", Reply.m_Failure}})
      .add();
  for (const Waiter &To : Over.m_Waiters)
    sendAnswer(To, Reply);
  Over.m_Waiters.clear();
  Over.m_Bodies.clear();
  Over.m_Answer = std::move(Reply);
  m_Submissions.noteAnswered(Over);
}

void Dispatcher::sendAnswer(const Waiter &To, Answer Reply) {
  Reply.m_Call = To.m_Call;
  m_Links.m_Answer(To.m_Peer, Reply);
}

void Dispatcher::dropLater(const SubmissionId &Id) { m_ToDrop.push_back(Id); }

void Dispatcher::forgetWinnersBefore(std::int64_t TimeMs) {
  auto End = m_WinnersByTime.lower_bound(TimeMs);
  for (auto It = m_WinnersByTime.begin(); It != End; ++It)
    m_Winners.erase(It->second);
  m_WinnersByTime.erase(m_WinnersByTime.begin(), End);
}

nlohmann::json Dispatcher::status() const {
  return {{"queued", m_Runner.queuedTasks()},
          {"running", m_Runner.runningTasks()},
          {"submissions", m_Submissions.size()},
          {"unfinished", m_Submissions.unfinished()},
          {"open_tickets", m_Tickets.openTickets()},
          {"draining", m_Draining}};
}

} // namespace auburnhub
