#include "auburnhub/Coordination/MemberView.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace auburnhub;

namespace {

constexpr MemberTimings Timings{1000, 2000};

Member makeMember(const std::string &Vm, std::uint64_t Version) {
  Member Result;
  Result.m_Vm = Vm;
  Result.m_Version = Version;
  Result.m_ControlAddress = Vm + ":1";
  Result.m_DispatchReady = true;
  return Result;
}

struct ViewFixture {
  ViewFixture() { m_View.setSelf(makeMember("self", 1)); }
  MemberView m_View{Timings};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AMemberView, ViewFixture)

BOOST_AUTO_TEST_CASE(SuspectsThenDropsASilentMember) {
  m_View.heard(makeMember("a", 1), 0);
  BOOST_TEST(m_View.takeChanges().at(0).m_IsUp);
  m_View.expire(999);
  BOOST_TEST(m_View.update().m_Members.at(1).m_DispatchReady);
  m_View.expire(1000);
  BOOST_TEST(!m_View.update().m_Members.at(1).m_DispatchReady);
  BOOST_TEST(m_View.alive("a", 1500));
  m_View.expire(1500);
  BOOST_TEST(m_View.update().m_Members.at(1).m_DispatchReady);
  m_View.expire(3500);
  BOOST_TEST(m_View.update().m_Members.size() == 1u);
  BOOST_TEST(!m_View.takeChanges().at(0).m_IsUp);
  BOOST_TEST(!m_View.alive("a", 3600));
}

BOOST_AUTO_TEST_CASE(TakesNoSignOfLifeOfAnUnknownMember) {
  m_View.heard(makeMember("a", 2), 0);
  BOOST_TEST(m_View.alive("a", 1));
  BOOST_TEST(!m_View.alive("b", 1));
}

BOOST_AUTO_TEST_CASE(ForgetsAddressesThatNobodyAnswersAt) {
  m_View.learnAddress("b:1", 0);
  m_View.learnAddress("self:1", 0);
  BOOST_TEST((m_View.wantedAddresses() == std::set<std::string>{"b:1"}));
  m_View.expire(8000);
  BOOST_TEST(m_View.wantedAddresses().empty());
}

BOOST_AUTO_TEST_CASE(ChangesItsRevisionWithTheLeavingVmsOnly) {
  std::uint64_t Before = m_View.revision();
  m_View.setLeaving({});
  BOOST_TEST(m_View.revision() == Before);
  m_View.setLeaving({"ex-1"});
  BOOST_TEST(m_View.revision() != Before);
  BOOST_TEST(
      (m_View.update().m_LeavingVms == std::vector<std::string>{"ex-1"}));
}

BOOST_AUTO_TEST_CASE(KeepsTheHighestVersionInAnyOrder) {
  bool Holds = rc::check([] {
    MemberView View(Timings);
    View.setSelf(makeMember("self", 1));
    auto Versions = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20)));
    for (int Version : Versions)
      View.heard(makeMember("a", static_cast<std::uint64_t>(Version)), 0);
    auto Highest = *std::max_element(Versions.begin(), Versions.end());
    RC_ASSERT(View.update().m_Members.at(1).m_Version ==
              static_cast<std::uint64_t>(Highest));
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
