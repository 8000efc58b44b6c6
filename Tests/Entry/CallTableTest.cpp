#include "CallTable.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

constexpr PeerId Peer = 5;
const SubmissionId Ticket = SubmissionId::makeTicket(1, 2, 3);

WaitingCall callWith(CallerAction Action, SubmissionId Id) {
  WaitingCall Call;
  Call.m_Action = Action;
  Call.m_Peer = Peer;
  Call.m_Id = Id;
  return Call;
}

Answer answerTo(CallNumber Number, SubmissionId Id) {
  Answer Reply;
  Reply.m_Call = Number;
  Reply.m_Id = Id;
  return Reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ACallTable)

BOOST_AUTO_TEST_CASE(TakesAnAnswerOnlyFromThePeerAndForTheId) {
  CallTable Calls;
  CallNumber Number = Calls.add(callWith(CallerAction::Job, Ticket));
  auto IsMismatch = [&](PeerId From, const auto &Reply) {
    return Calls.match(From, Reply) == ReplyMatch::Mismatch;
  };
  BOOST_TEST(IsMismatch(Peer + 1, answerTo(Number, Ticket)));
  BOOST_TEST(IsMismatch(Peer, answerTo(Number + 1, Ticket)));
  BOOST_TEST(IsMismatch(Peer, answerTo(Number, SubmissionId())));
  CancelReply OtherType;
  OtherType.m_Call = Number;
  OtherType.m_Id = Ticket;
  BOOST_TEST(IsMismatch(Peer, OtherType));
  auto Match = Calls.match(Peer, answerTo(Number, Ticket));
  BOOST_TEST((Match == ReplyMatch::Waiting));
}

BOOST_AUTO_TEST_CASE(TakesATicketForACallWithoutId) {
  CallTable Calls;
  CallNumber Number =
      Calls.add(callWith(CallerAction::Request, SubmissionId()));
  auto Match = Calls.match(Peer, answerTo(Number, Ticket));
  BOOST_TEST((Match == ReplyMatch::Waiting));
  SubmissionId CallerId = SubmissionId::makeCallerId(1, 2, 3);
  Match = Calls.match(Peer, answerTo(Number, CallerId));
  BOOST_TEST((Match == ReplyMatch::Mismatch));
}

BOOST_AUTO_TEST_CASE(KnowsWhichAnswersAreLate) {
  CallTable Calls;
  CallNumber Number = Calls.add(callWith(CallerAction::Job, Ticket));
  BOOST_TEST(Calls.giveUp(Number).has_value());
  BOOST_TEST(Calls.size() == 0u);
  auto Match = Calls.match(Peer, answerTo(Number, Ticket));
  BOOST_TEST((Match == ReplyMatch::Late));
  Match = Calls.match(Peer + 1, answerTo(Number, Ticket));
  BOOST_TEST((Match == ReplyMatch::Mismatch));
  BOOST_TEST(!Calls.take(Number).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
