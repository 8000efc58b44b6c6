#include "ClaimService.h"

namespace auburnhub {
namespace {

constexpr std::size_t MostClaimsPerAppend = 500;
constexpr int ClaimPageRecords = 100;
constexpr Milliseconds AppendRetryDelay{100};
constexpr const char *ClaimStream = "claims";

FailureCode failureOf(ClaimVerdict Verdict) {
  switch (Verdict) {
  case ClaimVerdict::TooOld:
    return FailureCode::IdExpired;
  case ClaimVerdict::FromFuture:
    return FailureCode::IdFromFuture;
  case ClaimVerdict::HistoryUnread:
    return FailureCode::ClaimHistoryUnread;
  case ClaimVerdict::Winner:
  case ClaimVerdict::NotClaimed:
    break;
  }
  return FailureCode::Internal;
}

TailOptions claimTail(Milliseconds PollWait) {
  ClaimLimits Defaults;
  TailOptions Options;
  Options.m_Stream = ClaimStream;
  Options.m_PageRecords = ClaimPageRecords;
  Options.m_PollWait = PollWait;
  // An id may be as old as the window, and its mint time and the record's
  // time may each be off by the clock bound.
  Options.m_GoBack = Milliseconds(Defaults.m_ResubmissionWindowMs +
                                  2 * Defaults.m_ClockBoundMs);
  Options.m_ClockBound = Milliseconds(Defaults.m_ClockBoundMs);
  return Options;
}

} // namespace

ClaimService::ClaimService(const ControlSettings &Settings,
                           const std::string &Vm, SerialTask &Owner,
                           TimerService &Timers, MetricsRegistry &Metrics,
                           Replier Reply, PlatformListener NotePlatform)
    : m_ClaimTimeout(Settings.m_ClaimTimeout), m_Owner(Owner), m_Timers(Timers),
      m_Reply(std::move(Reply)), m_NotePlatform(std::move(NotePlatform)),
      m_Won(Metrics.counter("auburnhub_claims_total", "Claims by outcome",
                            {{"outcome", "won"}})),
      m_Lost(Metrics.counter("auburnhub_claims_total", "Claims by outcome",
                             {{"outcome", "lost"}})),
      m_Refused(Metrics.counter("auburnhub_claims_total", "Claims by outcome",
                                {{"outcome", "refused"}})),
      m_Batches(Metrics.counter("auburnhub_claim_appends_total",
                                "Appends to the claim stream that succeeded")),
      m_AppendFailures(Metrics.counter("auburnhub_claim_append_failures_total",
                                       "Appends that failed or got no reply")),
      m_ClaimsAppended(Metrics.counter("auburnhub_claims_appended_total",
                                       "Claims in appends that succeeded")),
      m_BytesAppended(Metrics.counter("auburnhub_claim_append_bytes_total",
                                      "Bytes of records appended")),
      m_BytesRead(Metrics.counter("auburnhub_claim_read_bytes_total",
                                  "Bytes of replies to reads of claims")),
      m_Lag(Metrics.gauge("auburnhub_claim_lag_seconds",
                          "Age of the newest claim record when it was read")),
      m_Remembered(
          Metrics.gauge("auburnhub_claims_remembered", "Claims in memory")),
      m_NextOffset(Metrics.gauge("auburnhub_claim_next_offset",
                                 "Next offset to read of the claim stream")),
      m_AppendClient(Settings.m_Platform, Vm),
      m_Tailer(Settings.m_Platform, Vm, claimTail(Settings.m_PollWait), Owner,
               Timers,
               {[this](std::int64_t Offset, std::int64_t ReadFromMs) {
                  m_Log.info("claim_reading_begun",
                             {{"offset", Offset}, {"read_from", ReadFromMs}});
                  m_Table.begin(Offset, ReadFromMs);
                },
                [this](const StreamPage &Page) { onPage(Page); },
                [this](const absl::Status &Why) { m_NotePlatform(Why); }}) {}

void ClaimService::start() { m_Tailer.start(); }

void ClaimService::stop() {
  m_AppendTask.stop();
  m_Tailer.stop();
  m_Timers.cancel(m_Retry);
}

void ClaimService::request(PeerId From, const ClaimRequest &Request) {
  ClaimCall Call{From, Request.m_Call, Request.m_Incarnation};
  if (!Request.m_Id.isCallerId() || Request.m_Incarnation == 0) {
    replyFailure(Request.m_Id, Call, FailureCode::BadId,
                 "only an incarnation can claim, and only a caller's id");
    return;
  }
  std::int64_t NowMs = TimerService::wallMilliseconds();
  ClaimDecision Decision = m_Table.decide(Request.m_Id, NowMs);
  if (Decision.m_Verdict != ClaimVerdict::NotClaimed) {
    replyDecision(Request.m_Id, Call, Decision);
    return;
  }
  Claim Wanted{Request.m_Id, Request.m_Team, Request.m_Digest,
               Request.m_Incarnation};
  m_Batcher.add(Wanted, Call, monotonicMilliseconds() + m_ClaimTimeout.count());
  appendNext();
}

void ClaimService::tick() {
  for (const auto &Late : m_Batcher.expire(monotonicMilliseconds()))
    replyFailure(Late.m_Id, Late.m_Who, FailureCode::PlatformUnavailable,
                 "the claim was not read back from the log in time");
  m_Table.forgetExpired(TimerService::wallMilliseconds());
  m_Remembered.set(static_cast<double>(m_Table.size()));
  m_NextOffset.set(static_cast<double>(m_Table.nextOffset()));
  m_Lag.set(static_cast<double>(m_LagMs) / MillisecondsPerSecond);
}

nlohmann::json ClaimService::status() const {
  return {{"next_offset", m_Table.nextOffset()},
          {"end", m_End},
          {"remembered", m_Table.size()},
          {"waiting", m_Batcher.size()},
          {"appends", m_Batches.value()},
          {"claims_appended", m_ClaimsAppended.value()},
          {"append_failures", m_AppendFailures.value()},
          {"lag_ms", m_LagMs}};
}

void ClaimService::onPage(const StreamPage &Page) {
  m_NotePlatform(absl::OkStatus());
  m_BytesRead.add(Page.m_Bytes);
  m_End = Page.m_End;
  for (const StreamRecord &Record : Page.m_Records)
    onRecord(Record);
}

void ClaimService::onRecord(const StreamRecord &Record) {
  m_LagMs = TimerService::wallMilliseconds() - Record.m_TimeMs;
  auto Batch = fromJson<ClaimBatch>(Record.m_Data);
  if (!Batch.ok()) {
    // Every reader skips it, so nobody owns an id by it.
    m_Log.warning("claim_record_malformed",
                  {{"offset", Record.m_Offset},
                   {"detail", failureDetail(Batch.status())}});
    m_Table.observe(Record.m_Offset, Record.m_TimeMs, {});
    return;
  }
  if (Batch->m_Schema != ClaimBatch().m_Schema) {
    // Others may understand its claims: what it may hold is unread history.
    m_Log.error("claim_record_of_unknown_schema",
                {{"offset", Record.m_Offset}, {"schema", Batch->m_Schema}});
    m_Table.begin(Record.m_Offset + 1, Record.m_TimeMs + 1);
    return;
  }
  m_Table.observe(Record.m_Offset, Record.m_TimeMs, Batch->m_Claims);
  std::int64_t NowMs = TimerService::wallMilliseconds();
  for (const Claim &Read : Batch->m_Claims)
    for (const ClaimCall &Call : m_Batcher.decide(Read.m_Id))
      replyDecision(Read.m_Id, Call, m_Table.decide(Read.m_Id, NowMs));
}

void ClaimService::replyDecision(const SubmissionId &Id, const ClaimCall &Call,
                                 const ClaimDecision &Decision) {
  if (!Decision.m_Winner) {
    replyFailure(Id, Call, failureOf(Decision.m_Verdict),
                 "the id cannot be decided from the claim log");
    return;
  }
  const Claim &Winner = *Decision.m_Winner;
  bool IsWon = Winner.m_Incarnation == Call.m_Incarnation;
  (IsWon ? m_Won : m_Lost).add();
  m_Log.info(IsWon ? "claim_won" : "claim_lost",
             {{"submission", Id.str()},
              {"incarnation", Call.m_Incarnation},
              {"winner", Winner.m_Incarnation},
              {"team", Winner.m_Team}});
  ClaimReply Reply;
  Reply.m_Call = Call.m_Call;
  Reply.m_Id = Id;
  Reply.m_Winner = Winner.m_Incarnation;
  Reply.m_Team = Winner.m_Team;
  Reply.m_Digest = Winner.m_Digest;
  m_Reply(Call.m_From, Reply);
}

void ClaimService::replyFailure(const SubmissionId &Id, const ClaimCall &Call,
                                FailureCode Code, std::string_view Detail) {
  m_Refused.add();
  m_Log.info("claim_refused", {{"submission", Id.isNil() ? "" : Id.str()},
                               {"incarnation", Call.m_Incarnation},
                               {"failure", failureName(Code)}});
  ClaimReply Reply;
  Reply.m_Call = Call.m_Call;
  Reply.m_Id = Id;
  Reply.m_Failure = failureName(Code);
  Reply.m_Detail = Detail;
  m_Reply(Call.m_From, Reply);
}

void ClaimService::appendNext() {
  if (m_IsRetryWaiting)
    return;
  ClaimBatch Batch;
  Batch.m_Claims = m_Batcher.beginAppend(MostClaimsPerAppend);
  if (Batch.m_Claims.empty())
    return;
  m_AppendTask.post([this, Batch = std::move(Batch)] {
    nlohmann::json Record = toJson(Batch);
    std::size_t Size = Record.dump().size();
    auto Appended =
        m_AppendClient.append(ClaimStream, nlohmann::json::array({Record}));
    m_Owner.post([this, Size, Count = Batch.m_Claims.size(),
                  Appended = std::move(Appended)] {
      if (Appended.ok()) {
        m_Batches.add();
        m_ClaimsAppended.add(Count);
        m_BytesAppended.add(Size);
      }
      onAppended(Appended);
    });
  });
}

void ClaimService::onAppended(const absl::StatusOr<std::int64_t> &Appended) {
  m_NotePlatform(Appended.status());
  if (Appended.ok()) {
    m_Batcher.appendDone();
    appendNext();
    return;
  }
  m_AppendFailures.add();
  m_Log.warning("claim_append_failed",
                {{"detail", failureDetail(Appended.status())}});
  m_Batcher.appendFailed();
  m_IsRetryWaiting = true;
  m_Retry = m_Timers.once(AppendRetryDelay, m_Owner, [this] {
    m_IsRetryWaiting = false;
    appendNext();
  });
}

} // namespace auburnhub
