#include "SubmissionTable.h"

#include <boost/test/unit_test.hpp>

using namespace auburnhub;

namespace {

constexpr std::int64_t NowMs = 1750000000000;
constexpr std::size_t MaxBytes = 100;

Submission &addAnswered(SubmissionTable &Table, std::uint32_t Counter,
                        std::size_t ResultSize) {
  auto Added = std::make_unique<Submission>();
  Added->m_Id = SubmissionId::makeTicket(NowMs + Counter, 1, Counter);
  Submission &Over = Table.add(std::move(Added));
  Over.m_Answer.emplace();
  Over.m_Answer->m_Outcome = Outcome::Complete;
  Over.m_Answer->m_Results = {Bytes{std::string(ResultSize, 'x')}};
  Table.noteAnswered(Over);
  return Over;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ASubmissionTable)

BOOST_AUTO_TEST_CASE(DropsTheOldestResultsOverItsLimit) {
  SubmissionTable Table(MaxBytes);
  Submission &First = addAnswered(Table, 1, 60);
  Submission &Second = addAnswered(Table, 2, 60);
  BOOST_TEST((First.m_Answer->m_Outcome == Outcome::Unknown));
  BOOST_TEST(First.m_Answer->m_Failure == "answer-forgotten");
  BOOST_TEST(First.m_Answer->m_Results.empty());
  BOOST_TEST((Second.m_Answer->m_Outcome == Outcome::Complete));
}

BOOST_AUTO_TEST_CASE(ForgetsWhatIsOverAndOld) {
  SubmissionTable Table(MaxBytes);
  SubmissionId Old = addAnswered(Table, 1, 10).m_Id;
  SubmissionId Fresh = addAnswered(Table, 2, 10).m_Id;
  auto Running = std::make_unique<Submission>();
  Running->m_Id = SubmissionId::makeTicket(NowMs, 1, 3);
  SubmissionId Unfinished = Table.add(std::move(Running)).m_Id;
  Table.forgetBefore(NowMs + 2);
  BOOST_TEST(!Table.find(Old));
  BOOST_TEST(Table.find(Fresh));
  BOOST_TEST(Table.find(Unfinished));
  BOOST_TEST(Table.unfinished() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
