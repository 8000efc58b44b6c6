#include "auburnhub/Base/Log.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <unistd.h>

using namespace auburnhub;

namespace {

/// Puts a pipe in the place of standard output while it lives.
class OutputPipe {
public:
  OutputPipe() : m_Saved(dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(pipe(m_Ends.data()) == 0);
    dup2(m_Ends[1], STDOUT_FILENO);
  }
  ~OutputPipe() {
    restore();
    close(m_Ends[0]);
  }
  OutputPipe(const OutputPipe &) = delete;
  OutputPipe &operator=(const OutputPipe &) = delete;

  /// Reads what is in the pipe, up to one buffer.
  std::string read() {
    std::string Text(1U << 20U, '\0');
    ssize_t Got = ::read(m_Ends[0], Text.data(), Text.size());
    Text.resize(Got > 0 ? static_cast<std::size_t>(Got) : 0);
    return Text;
  }

  void restore() {
    if (m_Saved < 0)
      return;
    dup2(m_Saved, STDOUT_FILENO);
    close(m_Saved);
    close(m_Ends[1]);
    m_Saved = -1;
  }

private:
  int m_Saved;
  std::array<int, 2> m_Ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheLog)

BOOST_AUTO_TEST_CASE(DoesNotWaitForItsReaderAndCountsWhatItDropped) {
  startLogging({"test", "vm-1", "a", "info", {}, 1000000});
  Log Lines("area");
  std::string First;
  std::string Second;
  {
    OutputPipe Pipe;
    // Far more than a pipe holds.
    for (int I = 0; I < 20000; ++I)
      Lines.info("filling", {{"number", I}});
    First = Pipe.read();
    Lines.info("after", {});
    Second = Pipe.read();
  }
  BOOST_TEST(First.find("\"filling\"") != std::string::npos);
  BOOST_TEST(Second.find("lines_dropped") != std::string::npos);
  BOOST_TEST(Second.find("\"after\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(KeepsToItsBoundOfLinesInASecond) {
  startLogging({"test", "vm-1", "a", "info", {}, 10});
  Log Lines("area");
  std::string Text;
  {
    OutputPipe Pipe;
    for (int I = 0; I < 200; ++I)
      Lines.info("filling", {{"number", I}});
    Text = Pipe.read();
  }
  auto Count = std::count(Text.begin(), Text.end(), '\n');
  // The loop may run into a second or a third second on a busy machine.
  BOOST_TEST(Count >= 10);
  BOOST_TEST(Count < 200);
}

BOOST_AUTO_TEST_SUITE_END()
