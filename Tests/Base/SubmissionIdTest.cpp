#include "auburnhub/Base/SubmissionId.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {
constexpr std::int64_t MintTimeMs = 1750000000123;
constexpr Incarnation Owner = 0x2ABC'DEF0'1234;
} // namespace

BOOST_AUTO_TEST_SUITE(ASubmissionId)

BOOST_AUTO_TEST_SUITE(ThatIsATicket)

BOOST_AUTO_TEST_CASE(KeepsTimeIncarnationAndCounter) {
  SubmissionId Id = SubmissionId::makeTicket(MintTimeMs, Owner, 123456789);
  BOOST_TEST(Id.isTicket());
  BOOST_TEST(!Id.isCallerId());
  BOOST_TEST(Id.timeMs() == MintTimeMs);
  BOOST_TEST(Id.incarnation() == Owner);
  BOOST_TEST(Id.counter() == 123456789u);
}

BOOST_AUTO_TEST_CASE(SurvivesItsTextForm) {
  SubmissionId Id = SubmissionId::makeTicket(MintTimeMs, Owner, 7);
  auto Parsed = SubmissionId::parse(Id.str());
  BOOST_TEST_REQUIRE(Parsed.ok());
  BOOST_TEST((*Parsed == Id));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatACallerMinted)

BOOST_AUTO_TEST_CASE(IsOfVersionSevenAndKeepsItsTime) {
  SubmissionId Id = SubmissionId::makeCallerId(MintTimeMs, ~0ull, ~0ull);
  BOOST_TEST(Id.isCallerId());
  BOOST_TEST(Id.timeMs() == MintTimeMs);
  BOOST_TEST(Id.str()[14] == '7');
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatIsMalformed)

BOOST_AUTO_TEST_CASE(IsRefused) {
  for (const char *Text : {
           "",
           "0190163d-8694-739b-aea5-966c26f8ad9",
           "0190163d-8694-739b-aea5-966c26f8ad910",
           "0190163d-8694-439b-aea5-966c26f8ad91", // version 4
           "0190163d-8694-739b-cea5-966c26f8ad91", // another variant
           "0190163d_8694-739b-aea5-966c26f8ad91",
           "0190163d-8694-739b-aea5-966c26f8adzz",
       })
    BOOST_TEST(!SubmissionId::parse(Text).ok(), Text);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
