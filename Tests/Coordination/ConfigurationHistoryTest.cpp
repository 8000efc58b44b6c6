#include "auburnhub/Coordination/ConfigurationHistory.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace auburnhub;

namespace {

nlohmann::json makeRecord(const std::string &ChangeId, std::int64_t Base,
                          int Schema = 1) {
  ConfigurationRecord Record;
  Record.m_Schema = Schema;
  Record.m_ChangeId = ChangeId;
  Record.m_Base = Base;
  Record.m_Author = "test";
  return toJson(Record);
}

ConfigurationVerdict apply(ConfigurationHistory &History, std::int64_t Offset,
                           const nlohmann::json &Data) {
  return History.apply(Offset, Data).m_Verdict;
}

/// Reads a log that was trimmed to its records from First on.
ConfigurationHistory readFrom(const std::vector<nlohmann::json> &Log,
                              std::int64_t First) {
  ConfigurationHistory History;
  History.beginPage(First);
  for (std::size_t I = static_cast<std::size_t>(First); I != Log.size(); ++I)
    History.apply(static_cast<std::int64_t>(I), Log[I]);
  History.caughtUp();
  return History;
}

/// Draws the records of operators and of renewals, both with a base that was
/// accepted at some time, and among them records that are none.
std::vector<nlohmann::json> drawLog() {
  ConfigurationHistory Reference;
  std::vector<std::int64_t> WereAccepted = {-1};
  std::vector<nlohmann::json> Log;
  int Count = *rc::gen::inRange(1, 30);
  for (int I = 0; I != Count; ++I) {
    std::int64_t Base = *rc::gen::elementOf(WereAccepted);
    int Kind = *rc::gen::inRange(0, 6);
    std::string ChangeId = "change-" + std::to_string(*rc::gen::inRange(0, 9));
    nlohmann::json Data = makeRecord(ChangeId, Base);
    if (Kind == 0)
      Data = "no record";
    if (Kind == 1)
      Data["body"]["services"] = 5;
    if (Kind >= 4 && Reference.accepted())
      Data = toJson(Reference.renewal());
    Reference.apply(I, Data);
    if (Reference.offset() != WereAccepted.back())
      WereAccepted.push_back(Reference.offset());
    Log.push_back(std::move(Data));
  }
  return Log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AConfigurationHistory)

BOOST_AUTO_TEST_CASE(AcceptsTheFirstOfTwoRecordsOnTheSameBase) {
  ConfigurationHistory History;
  using Verdict = ConfigurationVerdict;
  BOOST_TEST((apply(History, 0, makeRecord("a", -1)) == Verdict::Accepted));
  BOOST_TEST((apply(History, 1, makeRecord("b", 0)) == Verdict::Accepted));
  BOOST_TEST((apply(History, 2, makeRecord("c", 0)) == Verdict::Conflict));
  BOOST_TEST((apply(History, 3, makeRecord("b", 0)) == Verdict::Repeated));
  BOOST_TEST((apply(History, 3, makeRecord("d", 1)) == Verdict::Passed));
  BOOST_TEST(History.offset() == 1);
  BOOST_TEST(History.accepted()->m_Record.m_ChangeId == "b");
}

BOOST_AUTO_TEST_CASE(SkipsWhatItCannotReadWithAReason) {
  ConfigurationHistory History;
  using Verdict = ConfigurationVerdict;
  BOOST_TEST((apply(History, 0, 5) == Verdict::Malformed));
  BOOST_TEST((apply(History, 1, {{"schema", 1}}) == Verdict::Malformed));
  BOOST_TEST(
      (apply(History, 2, makeRecord("a", -1, 3)) == Verdict::UnknownSchema));
  nlohmann::json Bad = makeRecord("a", -1);
  Bad["body"]["teams"]["x"]["weight"] = 0;
  ConfigurationDecision Decision = History.apply(3, Bad);
  BOOST_TEST((Decision.m_Verdict == Verdict::Malformed));
  BOOST_TEST(Decision.m_Detail.find("teams.x.weight") != std::string::npos);
  BOOST_TEST(History.offset() == -1);
}

BOOST_AUTO_TEST_CASE(MovesTheOffsetOnceForTwoRenewals) {
  ConfigurationHistory History;
  apply(History, 0, makeRecord("a", -1));
  nlohmann::json Renewal = toJson(History.renewal());
  BOOST_TEST((apply(History, 1, Renewal) == ConfigurationVerdict::Renewed));
  BOOST_TEST((apply(History, 2, Renewal) == ConfigurationVerdict::Repeated));
  BOOST_TEST(History.offset() == 1);
}

BOOST_AUTO_TEST_CASE(TakesAPeersRecordOnlyIfItIsNewer) {
  ConfigurationHistory First;
  apply(First, 0, makeRecord("a", -1));
  ConfigurationUpdate Old = *First.accepted();
  apply(First, 1, makeRecord("b", 0));
  ConfigurationHistory Second;
  Second.adopt(*First.accepted());
  BOOST_TEST(Second.offset() == 1);
  Second.adopt(Old);
  BOOST_TEST(Second.offset() == 1);
  BOOST_TEST(
      (apply(Second, 0, makeRecord("a", -1)) == ConfigurationVerdict::Passed));
  BOOST_TEST(
      (apply(Second, 2, makeRecord("c", 1)) == ConfigurationVerdict::Accepted));
}

BOOST_AUTO_TEST_CASE(AcceptsNothingBeforeTheAnchorOfATrimmedLog) {
  ConfigurationHistory History;
  History.beginPage(5);
  apply(History, 5, makeRecord("loser", -1));
  apply(History, 6, makeRecord("winner", 3));
  auto Decisions = History.caughtUp();
  BOOST_TEST((Decisions.at(0).m_Verdict == ConfigurationVerdict::Conflict));
  BOOST_TEST((Decisions.at(1).m_Verdict == ConfigurationVerdict::Accepted));

  ConfigurationHistory Older;
  Older.beginPage(5);
  apply(Older, 5, makeRecord("loser", -1));
  apply(Older, 6, makeRecord("unreadable", 3, 9));
  Older.caughtUp();
  BOOST_TEST(!Older.accepted().has_value());
}

BOOST_AUTO_TEST_CASE(AgreesWithTheWholeLogWhereverItWasTrimmed) {
  bool Holds = rc::check([] {
    std::vector<nlohmann::json> Log = drawLog();
    ConfigurationHistory Whole = readFrom(Log, 0);
    // The record in force is renewed before it is trimmed.
    std::int64_t Last = std::max<std::int64_t>(Whole.offset(), 0);
    auto First = *rc::gen::inRange<std::int64_t>(0, Last + 1);
    ConfigurationHistory Part = readFrom(Log, First);
    RC_ASSERT(Part.offset() == Whole.offset());
    RC_ASSERT(Part.accepted().has_value() == Whole.accepted().has_value());
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(NeverMovesBackWhateverPeersAndLogSayInAnyOrder) {
  bool Holds = rc::check([] {
    std::vector<nlohmann::json> Log = drawLog();
    ConfigurationHistory Peer;
    ConfigurationHistory Reader;
    std::size_t PeerNext = 0;
    std::size_t Next = 0;
    auto ReadNext = [&Log](ConfigurationHistory &By, std::size_t &At) {
      if (At == Log.size())
        return;
      By.apply(static_cast<std::int64_t>(At), Log[At]);
      ++At;
    };
    std::size_t Steps = 3 * Log.size();
    for (std::size_t I = 0; I != Steps; ++I) {
      std::int64_t Before = Reader.offset();
      int Kind = *rc::gen::inRange(0, 3);
      if (Kind == 0)
        ReadNext(Peer, PeerNext);
      else if (Kind == 1)
        ReadNext(Reader, Next);
      else if (Peer.accepted())
        Reader.adopt(*Peer.accepted());
      RC_ASSERT(Reader.offset() >= Before);
    }
    while (Next != Log.size())
      ReadNext(Reader, Next);
    RC_ASSERT(Reader.offset() == readFrom(Log, 0).offset());
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AConfigurationBody)

BOOST_AUTO_TEST_CASE(ReportsAllFaultsAtOnce) {
  nlohmann::json Body = {
      {"servces", nlohmann::json::object()},
      {"teams", {{"a", {{"weight", "x"}}}}},
      {"limits", {{"drain_ms", 1.5}}},
  };
  auto Read = ConfigurationBody::read(Body, 1);
  std::string Detail = failureDetail(Read.status());
  for (const char *Path : {"servces:", "teams.a.weight:", "limits.drain_ms:"})
    BOOST_TEST(Detail.find(Path) != std::string::npos, Detail);
}

BOOST_AUTO_TEST_CASE(IgnoresUnknownKeysOfANewerSchemaOnly) {
  nlohmann::json Body = {{"zones", 1}, {"limits", {{"drain_ms", 5}}}};
  BOOST_TEST(!ConfigurationBody::read(Body, 1).ok());
  auto Read = ConfigurationBody::read(Body, 2);
  BOOST_TEST_REQUIRE(Read.ok());
  BOOST_TEST(Read->m_Limits.m_DrainMs == 5);
  BOOST_TEST((failureCode(ConfigurationBody::read(Body, 3).status()) ==
              FailureCode::UnsupportedSchema));
}

BOOST_AUTO_TEST_SUITE_END()
