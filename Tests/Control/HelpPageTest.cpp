#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string runHelp() {
  const std::string Command = AUBURNHUB_BINARY_DIR "/auburnhub-control --help";
  std::unique_ptr<FILE, int (*)(FILE *)> Pipe(popen(Command.c_str(), "r"),
                                              pclose);
  BOOST_REQUIRE(Pipe);
  std::string Text;
  std::array<char, 4096> Buf;
  while (std::size_t Count = fread(Buf.data(), 1, Buf.size(), Pipe.get()))
    Text.append(Buf.data(), Count);
  return Text;
}

std::string readPage() {
  std::ifstream File(AUBURNHUB_SOURCE_DIR "/docs/help/auburnhub-control.md");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::set<std::string> optionsIn(const std::string &Text) {
  static const std::regex Option("--[a-z]+");
  std::set<std::string> Found;
  for (std::sregex_iterator It(Text.begin(), Text.end(), Option), End;
       It != End; ++It)
    Found.insert(It->str());
  return Found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheHelpPageOfAControl)

BOOST_AUTO_TEST_CASE(NamesTheOptionsThatTheProgramNames) {
  std::set<std::string> Shown = optionsIn(runHelp());
  BOOST_TEST(Shown.size() >= 5u);
  BOOST_TEST((Shown == optionsIn(readPage())));
}

BOOST_AUTO_TEST_SUITE_END()
