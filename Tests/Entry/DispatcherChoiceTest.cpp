#include "DispatcherChoice.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace auburnhub;

namespace {

using View = std::vector<DispatcherCandidate>;

const DispatcherChoice Choice("vm-1", "brisbane");

View fiveDispatchers() {
  return {{"vm-1", "brisbane", 1, true, 11, 0},
          {"vm-2", "brisbane", 2, true, 12, 5},
          {"vm-3", "brisbane", 3, true, 13, 2},
          {"vm-4", "ipswich", 4, true, 14, 0},
          {"vm-5", "ipswich", 5, true, 15, 0}};
}

SubmissionId callerId(std::uint64_t Random) {
  return SubmissionId::makeCallerId(1'700'000'000'000, Random, Random * 7919);
}

absl::StatusOr<ChosenDispatcher> choose(const View &In, const SubmissionId &Id,
                                        std::uint64_t Seed = 1) {
  std::mt19937_64 Draw(Seed);
  return Choice.choose(In, Id, Draw);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ADispatcherChoice)

BOOST_AUTO_TEST_SUITE(ForATicket)

BOOST_AUTO_TEST_CASE(IsItsOwnerInAnyDataCentreReadyOrNot) {
  View In = fiveDispatchers();
  In[4].m_Ready = false;
  auto Chosen = choose(In, SubmissionId::makeTicket(1, 5, 1));
  BOOST_TEST_REQUIRE(Chosen.ok());
  BOOST_TEST(Chosen->m_Index == 4u);
  BOOST_TEST((Chosen->m_Reason == ChoiceReason::TicketOwner));
}

BOOST_AUTO_TEST_CASE(IsNobodyElse) {
  View In = fiveDispatchers();
  In[4].m_Peer = 0;
  auto Unlinked = choose(In, SubmissionId::makeTicket(1, 5, 1));
  BOOST_TEST((failureCode(Unlinked.status()) == FailureCode::NoDispatcher));
  auto Gone = choose(In, SubmissionId::makeTicket(1, 6, 1));
  BOOST_TEST((failureCode(Gone.status()) == FailureCode::OwnerGone));
  auto Early = choose({}, SubmissionId::makeTicket(1, 6, 1));
  BOOST_TEST((failureCode(Early.status()) == FailureCode::NoDispatcher));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForACallersId)

RC_BOOST_PROP(IsTheSameAtEachEntryOfTheDataCentre, (std::uint64_t Random)) {
  View In = fiveDispatchers();
  View Turned(In.rbegin(), In.rend());
  std::mt19937_64 Draw(2);
  DispatcherChoice AtAnother("vm-2", "brisbane");
  auto Here = choose(In, callerId(Random));
  auto There = AtAnother.choose(Turned, callerId(Random), Draw);
  RC_ASSERT(In[Here->m_Index].m_Vm == Turned[There->m_Index].m_Vm);
  RC_ASSERT(In[Here->m_Index].m_DataCentre == "brisbane");
}

RC_BOOST_PROP(MovesOnlyWhenItsDispatcherLeaves, (std::uint64_t Random)) {
  View In = fiveDispatchers();
  std::size_t Before = choose(In, callerId(Random))->m_Index;
  std::size_t Left = Random % 3;
  In[Left].m_Ready = false;
  std::size_t After = choose(In, callerId(Random))->m_Index;
  RC_ASSERT(Before == Left || Before == After);
  RC_ASSERT(After != Left);
}

BOOST_AUTO_TEST_CASE(SpreadsOverTheDataCentre) {
  std::array<int, 3> Counts{};
  for (std::uint64_t I = 0; I != 300; ++I)
    ++Counts.at(choose(fiveDispatchers(), callerId(I))->m_Index);
  for (int Count : Counts)
    BOOST_TEST(Count > 60);
}

BOOST_AUTO_TEST_CASE(IsInAnotherDataCentreWhenTheOwnHasNone) {
  View In = fiveDispatchers();
  In[0].m_Peer = 0;
  In[1].m_Ready = false;
  In[2].m_Peer = 0;
  BOOST_TEST(choose(In, callerId(1))->m_Index >= 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutAnId)

BOOST_AUTO_TEST_CASE(IsTheLocalOne) {
  auto Chosen = choose(fiveDispatchers(), SubmissionId());
  BOOST_TEST(Chosen->m_Index == 0u);
  BOOST_TEST((Chosen->m_Reason == ChoiceReason::LocalVm));
  BOOST_TEST(Chosen->m_Alternatives == 2u);
}

BOOST_AUTO_TEST_CASE(IsTheLessBusyOfTwoWithoutALocalOne) {
  View In = fiveDispatchers();
  In[0].m_Ready = false;
  for (std::uint64_t Seed = 1; Seed != 20; ++Seed) {
    auto Chosen = choose(In, SubmissionId(), Seed);
    BOOST_TEST(Chosen->m_Index == 2u);
    BOOST_TEST((Chosen->m_Reason == ChoiceReason::FewestCalls));
  }
}

BOOST_AUTO_TEST_CASE(FailsWhenNobodyTakesWork) {
  auto Chosen = choose({}, SubmissionId());
  BOOST_TEST((failureCode(Chosen.status()) == FailureCode::NoDispatcher));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
