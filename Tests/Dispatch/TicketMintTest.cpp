#include "TicketMint.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {
constexpr Incarnation Self = 4711;
constexpr std::int64_t NowMs = 1750000000000;
} // namespace

BOOST_AUTO_TEST_SUITE(ATicket)

BOOST_AUTO_TEST_CASE(IsSpentOnceByItsTeamOnly) {
  TicketMint Mint(Self);
  SubmissionId Ticket = Mint.mintFor("a", NowMs);
  BOOST_TEST(!Mint.spend(Ticket, "b"));
  BOOST_TEST(Mint.spend(Ticket, "a"));
  BOOST_TEST(!Mint.spend(Ticket, "a"));
}

BOOST_AUTO_TEST_CASE(IsRefusedIfItWasNeverHandedOut) {
  TicketMint Mint(Self);
  SubmissionId Ticket = Mint.mintFor("a", NowMs);
  SubmissionId Guess =
      SubmissionId::makeTicket(NowMs, Self, Ticket.counter() + 1);
  BOOST_TEST(!Mint.spend(Guess, "a"));
  BOOST_TEST(!Mint.spend(Mint.mintSpent(NowMs), "a"));
}

BOOST_AUTO_TEST_CASE(IsForgottenWithItsMintTime) {
  TicketMint Mint(Self);
  SubmissionId Old = Mint.mintFor("a", NowMs);
  SubmissionId Fresh = Mint.mintFor("a", NowMs + 1);
  Mint.forgetBefore(NowMs + 1);
  BOOST_TEST(!Mint.isOpen(Old, "a"));
  BOOST_TEST(Mint.isOpen(Fresh, "a"));
}

BOOST_AUTO_TEST_SUITE_END()
