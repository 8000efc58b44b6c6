#include "auburnhub/Ctl/Command.h"
#include "auburnhub/Http/HttpServer.h"
#include "auburnhub/Http/Problem.h"

#include <boost/test/unit_test.hpp>

#include <mutex>
#include <sstream>

using namespace auburnhub;

namespace {

/// A node's interface that answers as it is told.
struct Fixture {
  Fixture() {
    auto Started = HttpServer::start({"127.0.0.1", 0}, {},
                                     [this](const HttpRequest &Request) {
                                       std::lock_guard Lock(m_Mutex);
                                       m_Last = Request;
                                       return m_Answer;
                                     });
    BOOST_REQUIRE(Started.ok());
    m_Server = std::move(*Started);
    m_Answer.m_Body = R"({"state":"queued"})";
  }

  CtlExit run(std::vector<std::string> Words) {
    Words.insert(Words.begin(), "auburnhub-ctl");
    Words.push_back("--url");
    Words.push_back(m_Server->address().str());
    std::vector<const char *> Arguments;
    Arguments.reserve(Words.size());
    for (const std::string &Word : Words)
      Arguments.push_back(Word.c_str());
    return static_cast<CtlExit>(ctlMain(static_cast<int>(Arguments.size()),
                                        Arguments.data(),
                                        {m_In, m_Out, m_Error}));
  }

  void answerWith(FailureCode Code, std::string_view Outcome) {
    m_Answer = problemResponse({Code, "why", Outcome, "", 1000});
  }

  std::mutex m_Mutex;
  HttpRequest m_Last;
  HttpResponse m_Answer;
  std::istringstream m_In{R"({"steps":[]})"};
  std::ostringstream m_Out;
  std::ostringstream m_Error;
  std::unique_ptr<HttpServer> m_Server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheCommandsAboutJobs, Fixture)

BOOST_AUTO_TEST_CASE(HandAJobIn) {
  BOOST_TEST((run({"job", "submit", "-", "--queue", "certify", "--id", "a"}) ==
              CtlExit::Success));
  BOOST_TEST(m_Last.m_Method == "PUT");
  BOOST_TEST(m_Last.m_Path == "/v1/queues/certify/jobs/a");
  BOOST_TEST(m_Last.m_Body == R"({"steps":[]})");
  BOOST_TEST(m_Out.str() == "{\"state\":\"queued\"}\n");
}

BOOST_AUTO_TEST_CASE(AskForOneAndCancelIt) {
  BOOST_TEST((run({"job", "show", "a"}) == CtlExit::Success));
  BOOST_TEST(m_Last.m_Method + m_Last.m_Path == "GET/v1/jobs/a");
  BOOST_TEST((run({"job", "cancel", "a"}) == CtlExit::Success));
  BOOST_TEST(m_Last.m_Method + m_Last.m_Path == "DELETE/v1/jobs/a");
  BOOST_TEST((run({"job", "waiting", "certify"}) == CtlExit::Success));
  BOOST_TEST(m_Last.m_Path == "/v1/queues/certify");
}

BOOST_AUTO_TEST_CASE(TellByTheirExitStatusWhatIsKnown) {
  answerWith(FailureCode::PlatformUnavailable, "not_run");
  BOOST_TEST((run({"job", "show", "a"}) == CtlExit::Invalid));
  BOOST_TEST(m_Error.str().find("nothing was done; try again in 1 s") !=
             std::string::npos);
  answerWith(FailureCode::Timeout, "unknown");
  BOOST_TEST((run({"job", "cancel", "a"}) == CtlExit::UnknownFate));
  answerWith(FailureCode::UnknownSubmission, "unknown");
  BOOST_TEST((run({"job", "show", "a"}) == CtlExit::NotFound));
  m_Server->stop();
  BOOST_TEST((run({"job", "show", "a"}) == CtlExit::Unreachable));
}

BOOST_AUTO_TEST_CASE(RefuseAWrongCommandLine) {
  BOOST_TEST((run({"job", "show"}) == CtlExit::Usage));
  BOOST_TEST((run({"job", "submit", "-"}) == CtlExit::Usage));
  BOOST_TEST((run({"job", "show", "a", "--timeout", "0"}) == CtlExit::Usage));
}

BOOST_AUTO_TEST_SUITE_END()
