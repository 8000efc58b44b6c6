#include "auburnhub/Coordination/ClaimBatcher.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <unordered_set>

using namespace auburnhub;

namespace {

constexpr std::int64_t Start = 1700000000000;
constexpr std::size_t MostClaims = 4;

Claim makeClaim(std::uint64_t Seed, Incarnation Owner) {
  return {SubmissionId::makeCallerId(Start, Seed, Seed), "t", "", Owner};
}

/// Several batchers and one log; each step does one thing that may happen.
class BatcherModel {
public:
  static constexpr int BatcherCount = 3;

  void step() {
    int Who = *rc::gen::inRange(0, BatcherCount);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      request(Who);
      break;
    case 1:
      append(Who, /*IsWritten=*/true, /*IsConfirmed=*/true);
      break;
    case 2: {
      bool IsWritten = *rc::gen::arbitrary<bool>();
      append(Who, IsWritten, /*IsConfirmed=*/false);
      break;
    }
    case 3:
      read(Who);
      break;
    }
  }

  void finish() {
    for (int Who = 0; Who != BatcherCount; ++Who)
      while (append(Who, true, true)) {
      }
    for (int Who = 0; Who != BatcherCount; ++Who) {
      while (m_Read[Who] != m_Log.size())
        read(Who);
      RC_ASSERT(m_Batchers[Who].size() == 0u);
    }
    for (const auto &[Call, Times] : m_Told)
      RC_ASSERT(Times == 1);
    RC_ASSERT(m_Told.size() == static_cast<std::size_t>(m_Calls));
  }

private:
  void request(int Who) {
    Claim What = makeClaim(*rc::gen::inRange<std::uint64_t>(0, 6),
                           static_cast<Incarnation>(Who) + 1);
    int Call = m_Calls++;
    if (m_Known[Who].contains(What.m_Id)) {
      ++m_Told[Call];
      return;
    }
    m_Batchers[Who].add(What, Call, 0);
  }

  bool append(int Who, bool IsWritten, bool IsConfirmed) {
    std::vector<Claim> Batch = m_Batchers[Who].beginAppend(MostClaims);
    if (Batch.empty())
      return false;
    RC_ASSERT(m_Batchers[Who].beginAppend(MostClaims).empty());
    if (IsWritten)
      m_Log.insert(m_Log.end(), Batch.begin(), Batch.end());
    if (IsConfirmed)
      m_Batchers[Who].appendDone();
    else
      m_Batchers[Who].appendFailed();
    return true;
  }

  void read(int Who) {
    if (m_Read[Who] == m_Log.size())
      return;
    const Claim &Next = m_Log[m_Read[Who]++];
    m_Known[Who].insert(Next.m_Id);
    for (int Call : m_Batchers[Who].decide(Next.m_Id))
      ++m_Told[Call];
  }

  std::vector<Claim> m_Log;
  std::array<ClaimBatcher<int>, BatcherCount> m_Batchers;
  std::array<std::size_t, BatcherCount> m_Read{};
  std::array<std::unordered_set<SubmissionId>, BatcherCount> m_Known;
  std::map<int, int> m_Told; ///< Call to the number of times it was told.
  int m_Calls = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AClaimBatcher)

BOOST_AUTO_TEST_CASE(CollectsWhileAnAppendIsInFlight) {
  ClaimBatcher<int> Batcher;
  Batcher.add(makeClaim(1, 1), 1, 10);
  BOOST_TEST(Batcher.beginAppend(MostClaims).size() == 1u);
  Batcher.add(makeClaim(2, 1), 2, 10);
  Batcher.add(makeClaim(3, 1), 3, 10);
  BOOST_TEST(Batcher.beginAppend(MostClaims).empty());
  Batcher.appendDone();
  BOOST_TEST(Batcher.beginAppend(MostClaims).size() == 2u);
}

BOOST_AUTO_TEST_CASE(TellsNobodyByAnAppendsReplyAlone) {
  ClaimBatcher<int> Batcher;
  Claim What = makeClaim(1, 1);
  Batcher.add(What, 1, 10);
  Batcher.beginAppend(MostClaims);
  Batcher.appendDone();
  BOOST_TEST(Batcher.size() == 1u);
  BOOST_TEST((Batcher.decide(What.m_Id) == std::vector{1}));
}

BOOST_AUTO_TEST_CASE(AppendsTheSameClaimsAgainAfterALostReply) {
  ClaimBatcher<int> Batcher;
  Batcher.add(makeClaim(1, 1), 1, 10);
  std::vector<Claim> Batch = Batcher.beginAppend(MostClaims);
  Batcher.add(makeClaim(2, 1), 2, 10);
  Batcher.appendFailed();
  Batch.push_back(makeClaim(2, 1));
  BOOST_TEST((Batcher.beginAppend(MostClaims) == Batch));
}

BOOST_AUTO_TEST_CASE(GivesUpAtTheDeadlineOfEachCall) {
  ClaimBatcher<int> Batcher;
  Batcher.add(makeClaim(1, 1), 1, 10);
  Batcher.add(makeClaim(1, 1), 2, 20);
  BOOST_TEST(Batcher.expire(9).empty());
  auto Late = Batcher.expire(10);
  BOOST_TEST_REQUIRE(Late.size() == 1u);
  BOOST_TEST(Late[0].m_Who == 1);
  BOOST_TEST(Batcher.expire(20).size() == 1u);
  BOOST_TEST(Batcher.beginAppend(MostClaims).empty());
}

BOOST_AUTO_TEST_CASE(TellsEachCallOnceInEveryInterleaving) {
  bool Holds = rc::check([] {
    BatcherModel Model;
    int Steps = *rc::gen::inRange(0, 60);
    for (int I = 0; I != Steps; ++I)
      Model.step();
    Model.finish();
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()
