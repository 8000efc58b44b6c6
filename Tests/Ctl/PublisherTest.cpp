#include "auburnhub/Base/Failure.h"
#include "auburnhub/Ctl/ConfigurationPublisher.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

ConfigurationRecord record(const std::string &ChangeId, std::int64_t Base,
                           const std::string &Author, int Weight) {
  nlohmann::json Body;
  Body["teams"]["club-desk"]["weight"] = Weight;
  return {1, ChangeId, Base, Author, Body};
}

/// A stream in memory whose faults are set by the test.
struct MemoryStream {
  absl::StatusOr<RecordPage> read(std::int64_t From) {
    RecordPage Page;
    Page.m_End = static_cast<std::int64_t>(m_Records.size());
    for (std::int64_t I = From; I < Page.m_End; ++I)
      Page.m_Records.push_back({I, 0, m_Records[static_cast<std::size_t>(I)]});
    return Page;
  }

  absl::StatusOr<std::int64_t> append(const nlohmann::json &Data) {
    if (m_Rival) {
      m_Records.push_back(*m_Rival);
      m_Rival.reset();
    }
    if (m_LostRequests > 0) {
      --m_LostRequests;
      return makeFailure(FailureCode::PlatformUnavailable, "request lost");
    }
    m_Records.push_back(Data);
    if (m_LostReplies > 0) {
      --m_LostReplies;
      return makeFailure(FailureCode::PlatformUnavailable, "reply lost");
    }
    return static_cast<std::int64_t>(m_Records.size()) - 1;
  }

  void waitBeforeRetry() { ++m_Waits; }

  std::vector<nlohmann::json> m_Records;
  std::optional<nlohmann::json> m_Rival; ///< Appended just before the next.
  int m_LostRequests = 0;
  int m_LostReplies = 0;
  int m_Waits = 0;
};

struct Fixture {
  Fixture() {
    m_Stream.m_Records.push_back(toJson(record("first", -1, "ada", 1)));
    BOOST_REQUIRE(m_Publisher.read().ok());
  }
  MemoryStream m_Stream;
  ConfigurationPublisher<MemoryStream> m_Publisher{m_Stream};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(APublisher, Fixture)

BOOST_AUTO_TEST_CASE(IsAcceptedOnTheRecordInForce) {
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 2));
  BOOST_TEST((Result.m_Fate == PublishFate::Accepted));
  BOOST_TEST(Result.m_Offset == 1);
}

BOOST_AUTO_TEST_CASE(AppendsNothingOnAStaleBase) {
  m_Publisher.publish(record("own", 0, "bob", 2));
  PublishResult Result = m_Publisher.publish(record("late", 0, "cyd", 3));
  BOOST_TEST((Result.m_Fate == PublishFate::Conflict));
  BOOST_TEST(m_Stream.m_Records.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SaysThatReadersRefuseABadBody) {
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 0));
  BOOST_TEST((Result.m_Fate == PublishFate::Refused));
}

BOOST_AUTO_TEST_CASE(TellsTheLoserOfARaceWhoWonAndHowToRebase) {
  m_Stream.m_Rival = toJson(record("rival", 0, "cyd", 7));
  ConfigurationRecord Own = record("own", 0, "bob", 2);
  PublishResult Result = m_Publisher.publish(Own);
  BOOST_TEST((Result.m_Fate == PublishFate::Conflict));
  BOOST_TEST(Result.m_Offset == 2);
  std::string Text =
      describeConflict(m_Publisher.reader(), Own, Result.m_Offset);
  for (const char *Part :
       {"offset 1 by cyd, change rival", "~ teams.club-desk.weight: 1 -> 7",
        "~ teams.club-desk.weight: 1 -> 2",
        "Both changed: teams.club-desk.weight", "--base 1"})
    BOOST_TEST(Text.find(Part) != std::string::npos, Part << " in " << Text);
}

BOOST_AUTO_TEST_SUITE(WhoseAppendFails)

BOOST_AUTO_TEST_CASE(FindsItsRecordWhenOnlyTheReplyWasLost) {
  m_Stream.m_LostReplies = 1;
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 2));
  BOOST_TEST((Result.m_Fate == PublishFate::Accepted));
  BOOST_TEST(m_Stream.m_Records.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AppendsAgainWhenTheRequestWasLost) {
  m_Stream.m_LostRequests = 2;
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 2));
  BOOST_TEST((Result.m_Fate == PublishFate::Accepted));
  BOOST_TEST(Result.m_Appends == 3);
  BOOST_TEST(m_Stream.m_Waits == 2);
}

BOOST_AUTO_TEST_CASE(SaysUnknownWhenItNeverSeesItsRecord) {
  m_Stream.m_LostRequests = 100;
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 2));
  BOOST_TEST((Result.m_Fate == PublishFate::Unknown));
}

BOOST_AUTO_TEST_CASE(IsTheSameChangeWhenTriedAgainWithItsId) {
  m_Publisher.publish(record("own", 0, "bob", 2));
  m_Publisher.publish(record("next", 1, "cyd", 3));
  PublishResult Result = m_Publisher.publish(record("own", 0, "bob", 2));
  BOOST_TEST((Result.m_Fate == PublishFate::Accepted));
  BOOST_TEST(Result.m_Offset == 1);
  BOOST_TEST(m_Stream.m_Records.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
