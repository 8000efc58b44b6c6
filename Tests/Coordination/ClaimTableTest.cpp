#include "auburnhub/Coordination/ClaimTable.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace auburnhub;

namespace {

constexpr std::int64_t Start = 1700000000000;
constexpr ClaimLimits Limits{300000, 60000};

Claim makeClaim(std::int64_t MintMs, std::uint64_t Seed, Incarnation Owner) {
  return {SubmissionId::makeCallerId(MintMs, Seed, Seed), "club-desk", "00ff",
          Owner};
}

ClaimVerdict verdict(const ClaimTable &Table, std::int64_t MintMs,
                     std::int64_t NowMs) {
  return Table.decide(makeClaim(MintMs, 1, 1).m_Id, NowMs).m_Verdict;
}

struct LogRecord {
  std::int64_t m_TimeMs;
  std::vector<Claim> m_Claims;
};

/// Draws a claim log over a few ids. Record times lie within the clock bound
/// after (or before) the mint times of what they claim.
std::vector<LogRecord> drawLog(std::vector<SubmissionId> &Ids) {
  std::int64_t Bound = Limits.m_ClockBoundMs;
  int IdCount = *rc::gen::inRange(1, 12);
  for (int I = 0; I != IdCount; ++I) {
    std::int64_t MintMs = Start + *rc::gen::inRange<std::int64_t>(0, 4 * Bound);
    auto Seed = static_cast<std::uint64_t>(I);
    Ids.push_back(SubmissionId::makeCallerId(MintMs, Seed, Seed));
  }
  std::vector<LogRecord> Log;
  std::int64_t TimeMs = Start;
  int RecordCount = *rc::gen::inRange(1, 20);
  for (int I = 0; I != RecordCount; ++I) {
    TimeMs += *rc::gen::inRange<std::int64_t>(0, Bound / 2);
    LogRecord Record{TimeMs, {}};
    for (const SubmissionId &Id : Ids) {
      bool MayBeClaimed = Id.timeMs() <= TimeMs + Bound;
      if (MayBeClaimed && *rc::gen::inRange(0, 3) == 0)
        Record.m_Claims.push_back(
            {Id, "t", "", *rc::gen::inRange<Incarnation>(1, 5)});
    }
    Log.push_back(std::move(Record));
  }
  return Log;
}

/// Reads a log from an offset, to the end.
ClaimTable readFrom(const std::vector<LogRecord> &Log, std::size_t First) {
  ClaimTable Table(Limits);
  Table.begin(static_cast<std::int64_t>(First),
              First == 0 ? 0 : Log[First].m_TimeMs + 1);
  for (std::size_t I = First; I != Log.size(); ++I)
    Table.observe(static_cast<std::int64_t>(I), Log[I].m_TimeMs,
                  Log[I].m_Claims);
  return Table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AClaimTable)

BOOST_AUTO_TEST_CASE(LetsTheFirstClaimWinForever) {
  ClaimTable Table(Limits);
  Table.begin(0, 0);
  std::vector<Claim> Claims = {makeClaim(Start, 1, 7), makeClaim(Start, 1, 8)};
  Table.observe(0, Start, Claims);
  Table.observe(1, Start, std::vector{makeClaim(Start, 1, 9)});
  ClaimDecision Decision = Table.decide(Claims[0].m_Id, Start);
  BOOST_TEST_REQUIRE((Decision.m_Verdict == ClaimVerdict::Winner));
  BOOST_TEST((*Decision.m_Winner == Claims[0]));
}

BOOST_AUTO_TEST_CASE(ReturnsDigestsOfAnyFormWhole) {
  ClaimTable Table(Limits);
  Table.begin(0, 0);
  std::vector<std::string> Digests = {"", "0123456789abcdef0123456789abcdef",
                                      "ABCD", "not hex", std::string(64, 'e')};
  for (std::size_t I = 0; I != Digests.size(); ++I) {
    Claim What = makeClaim(Start, I, 1);
    What.m_Digest = Digests[I];
    Table.observe(static_cast<std::int64_t>(I), Start, std::vector{What});
    BOOST_TEST(Table.decide(What.m_Id, Start).m_Winner->m_Digest == Digests[I]);
  }
}

BOOST_AUTO_TEST_CASE(RefusesIdsOutsideWhatItCanDecide) {
  ClaimTable Table(Limits);
  BOOST_TEST((verdict(Table, Start, Start) == ClaimVerdict::HistoryUnread));
  Table.begin(5, Start);
  std::int64_t Now = Start + 100000;
  BOOST_TEST(
      (verdict(Table, Start + 59999, Now) == ClaimVerdict::HistoryUnread));
  BOOST_TEST((verdict(Table, Start + 60000, Now) == ClaimVerdict::NotClaimed));
  BOOST_TEST((verdict(Table, Now + 60000, Now) == ClaimVerdict::NotClaimed));
  BOOST_TEST((verdict(Table, Now + 60001, Now) == ClaimVerdict::FromFuture));
  BOOST_TEST((verdict(Table, Start, Start + 300001) == ClaimVerdict::TooOld));
}

BOOST_AUTO_TEST_CASE(BeginsItsHistoryAgainAfterSkippedRecords) {
  ClaimTable Table(Limits);
  Table.begin(0, 0);
  Table.observe(0, Start, {});
  BOOST_TEST((verdict(Table, Start, Start) == ClaimVerdict::NotClaimed));
  Table.observe(2, Start, {});
  BOOST_TEST((verdict(Table, Start, Start) == ClaimVerdict::HistoryUnread));
}

BOOST_AUTO_TEST_CASE(NeverDecidesAgainWhatItForgotThoughTheClockGoesBack) {
  ClaimTable Table(Limits);
  Table.begin(0, 0);
  Claim What = makeClaim(Start, 1, 7);
  Table.observe(0, Start, std::vector{What});
  Table.forgetExpired(Start + 300000);
  BOOST_TEST(Table.size() == 1u);
  Table.forgetExpired(Start + 400000);
  BOOST_TEST(Table.size() == 0u);
  BOOST_TEST((verdict(Table, Start, Start) == ClaimVerdict::TooOld));
}

BOOST_AUTO_TEST_CASE(AgreesWithTheWholeLogWhereverReadingBegan) {
  bool Holds = rc::check([] {
    std::vector<SubmissionId> Ids;
    std::vector<LogRecord> Log = drawLog(Ids);
    ClaimTable Whole = readFrom(Log, 0);
    ClaimTable Part =
        readFrom(Log, *rc::gen::inRange<std::size_t>(0, Log.size()));
    std::int64_t Now = Log.back().m_TimeMs;
    for (const SubmissionId &Id : Ids) {
      ClaimDecision Known = Whole.decide(Id, Now);
      ClaimDecision Decided = Part.decide(Id, Now);
      if (Decided.m_Verdict == ClaimVerdict::HistoryUnread)
        continue;
      RC_ASSERT(Decided.m_Verdict == Known.m_Verdict);
      RC_ASSERT(Decided.m_Winner == Known.m_Winner);
    }
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
