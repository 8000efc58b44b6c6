#include "auburnhub/Policy/Ownership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace auburnhub;

BOOST_AUTO_TEST_SUITE(TheOwnerOfAnEndpoint)

BOOST_AUTO_TEST_CASE(IsNobodyWithoutAPositiveWeight) {
  BOOST_TEST(!selectOwner("e", {}));
  const OwnerCandidate None[] = {{"a", 0}, {"b", -1}};
  BOOST_TEST(!selectOwner("e", None));
}

BOOST_AUTO_TEST_CASE(FollowsTheWeights) {
  const OwnerCandidate Candidates[] = {{"a", 1}, {"b", 3}};
  int OwnedByB = 0;
  for (int I = 0; I < 4000; ++I)
    OwnedByB += *selectOwner("10.0.0.1:" + std::to_string(I), Candidates) == 1;
  BOOST_TEST(OwnedByB >= 2850);
  BOOST_TEST(OwnedByB <= 3150);
}

BOOST_AUTO_TEST_CASE(ChangesOnlyToACandidateThatJoins) {
  bool Holds = rc::check([] {
    auto Weights = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9)));
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Weights.size(); ++I)
      Names.push_back("vm-" + std::to_string(I));
    std::vector<OwnerCandidate> After;
    for (std::size_t I = 0; I < Weights.size(); ++I)
      After.push_back({Names[I], static_cast<double>(Weights[I])});
    std::vector<OwnerCandidate> Before(After.begin(), After.end() - 1);
    std::vector<OwnerCandidate> Reversed(After.rbegin(), After.rend());
    for (int I = 0; I < 50; ++I) {
      std::string Endpoint = "e" + std::to_string(I);
      std::size_t Owner = *selectOwner(Endpoint, After);
      RC_ASSERT(Reversed[*selectOwner(Endpoint, Reversed)].m_Name ==
                After[Owner].m_Name);
      if (Owner + 1 != After.size())
        RC_ASSERT(*selectOwner(Endpoint, Before) == Owner);
    }
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
