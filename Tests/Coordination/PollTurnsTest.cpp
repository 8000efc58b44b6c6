#include "auburnhub/Coordination/PollTurns.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace auburnhub;

namespace {

constexpr std::int64_t BytesPerTurn = 5000;

/// Returns how many of a group read in a turn.
std::int64_t readersOf(std::int64_t Turn, std::int64_t Members,
                       std::int64_t Bytes) {
  std::int64_t Readers = 0;
  for (std::int64_t Rank = 0; Rank != Members; ++Rank)
    Readers += PollTurns{Members, Rank}.isOwn(Turn, Bytes, BytesPerTurn);
  return Readers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheTurnsOfPolling)

BOOST_AUTO_TEST_CASE(HaveAReaderEachTime) {
  BOOST_TEST(rc::check([] {
    auto Turn = *rc::gen::inRange<std::int64_t>(0, 1LL << 40);
    auto Members = *rc::gen::inRange<std::int64_t>(1, 100);
    auto Bytes = *rc::gen::inRange<std::int64_t>(0, 1000000);
    RC_ASSERT(readersOf(Turn, Members, Bytes) >= 1);
  }));
}

BOOST_AUTO_TEST_CASE(LetAllReadWhatIsSmall) {
  BOOST_TEST(readersOf(7, 9, 0) == 9);
  BOOST_TEST(readersOf(8, 9, BytesPerTurn) == 9);
}

BOOST_AUTO_TEST_CASE(KeepALargeGroupToItsBytes) {
  BOOST_TEST(rc::check([] {
    constexpr std::int64_t Turns = 10000;
    auto Bytes = *rc::gen::inRange<std::int64_t>(1, 50 * BytesPerTurn);
    auto Rank = *rc::gen::inRange<std::int64_t>(0, 50);
    std::int64_t Read = 0;
    for (std::int64_t Turn = 0; Turn != Turns; ++Turn)
      Read += PollTurns{50, Rank}.isOwn(Turn, Bytes, BytesPerTurn) ? Bytes : 0;
    RC_ASSERT(Read <= Turns * BytesPerTurn + Bytes);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
