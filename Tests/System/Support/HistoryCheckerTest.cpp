#define BOOST_TEST_MODULE HistoryChecker
#include "System/Support/HistoryChecker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnhub::test;
using Json = nlohmann::json;

namespace {

/// Builds a history line by line; times rise by one for each line.
class Story {
public:
  Story &add(Json Line) {
    if (!Line.contains("time_ms"))
      Line["time_ms"] = ++m_TimeMs;
    m_TimeMs = std::max(m_TimeMs, Line["time_ms"].get<std::int64_t>());
    absl::Status Added = m_History.addLine(Line.dump());
    BOOST_TEST_REQUIRE(Added.ok(), Added.ToString());
    return *this;
  }

  /// A caller sends one request with the body BODY.
  Story &request(const std::string &Call, const std::string &Id,
                 const std::string &Body, bool Repeatable = false,
                 const std::string &Team = "club-desk") {
    return add({{"event", "invoke"},
                {"call", Call},
                {"submission", Id},
                {"team", Team},
                {"kind", "request"},
                {"tasks", 1},
                {"repeatable", Repeatable},
                {"body_digests", {Body}}});
  }

  /// A caller sends a job of the tasks "a" and "b".
  Story &job(const std::string &Call, const std::string &Id) {
    return add({{"event", "invoke"},
                {"call", Call},
                {"submission", Id},
                {"team", "club-desk"},
                {"kind", "job"},
                {"tasks", 2},
                {"repeatable", true},
                {"body_digests", {"a", "b"}}});
  }

  Story &start(const std::string &Id, int Task, const std::string &Body,
               const std::string &Endpoint = "e1") {
    return add({{"event", "start"},
                {"endpoint", Endpoint},
                {"submission", Id},
                {"task", Task},
                {"body_digest", Body}});
  }

  Story &finish(const std::string &Id, int Task, const std::string &Body,
                bool Ok = true) {
    return add({{"event", "finish"},
                {"endpoint", "e1"},
                {"submission", Id},
                {"task", Task},
                {"body_digest", Body},
                {"result_digest", "r" + Body},
                {"ok", Ok}});
  }

  Story &run(const std::string &Id, int Task, const std::string &Body) {
    return start(Id, Task, Body).finish(Id, Task, Body);
  }

  Story &answer(const std::string &Call, const std::string &Id,
                const std::vector<std::string> &Results) {
    return add({{"event", "answer"},
                {"call", Call},
                {"status", 200},
                {"submission", Id},
                {"result_digests", Results}});
  }

  Story &fail(const std::string &Call, const std::string &Id,
              const std::string &Outcome, const std::string &Problem = "") {
    return add({{"event", "answer"},
                {"call", Call},
                {"status", 503},
                {"submission", Id},
                {"outcome", Outcome},
                {"problem", Problem}});
  }

  Story &end(const std::string &Event, const std::string &Vm,
             std::int64_t TimeMs) {
    return add({{"event", Event},
                {"vm", Vm},
                {"process", "entry"},
                {"time_ms", TimeMs}});
  }

  Story &inForce(const std::string &Vm, int Offset, std::int64_t TimeMs,
                 int Life = 0) {
    return add({{"event", "config_in_force"},
                {"vm", Vm},
                {"process", "entry"},
                {"life", Life},
                {"offset", Offset},
                {"time_ms", TimeMs}});
  }

  std::vector<ViolationKind> violations() const {
    std::vector<ViolationKind> Kinds;
    for (const Violation &Found : checkHistory(m_History))
      Kinds.push_back(Found.m_Kind);
    return Kinds;
  }

private:
  History m_History;
  std::int64_t m_TimeMs = 0;
};

void checkHolds(const Story &Seen) {
  const auto Found = Seen.violations();
  BOOST_TEST(Found == std::vector<ViolationKind>(),
             boost::test_tools::per_element());
}

void checkBreaks(const Story &Seen, ViolationKind Expected) {
  const auto Found = Seen.violations();
  BOOST_TEST(Found == std::vector<ViolationKind>{Expected},
             boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(AHistory)

BOOST_AUTO_TEST_CASE(RefusesMalformedLines) {
  History Run;
  BOOST_TEST(!Run.addLine("{").ok());
  BOOST_TEST(!Run.addLine(R"({"event":"unheard-of","time_ms":1})").ok());
  BOOST_TEST(!Run.addLine(R"({"event":"leaving","time_ms":1})").ok());
  BOOST_TEST(
      Run.addLines("{\"event\":\"leaving\",\"endpoint\":\"e\",\"time_ms\":7}\n")
          .ok());
  BOOST_TEST(Run.endMs() == 7);
}

BOOST_AUTO_TEST_CASE(TakesConfigurationsFromTheProcessesLogs) {
  History Run;
  BOOST_TEST(Run.addLogLine("no JSON", 0).ok());
  BOOST_TEST(Run.addLogLine(R"({"event":"answer"})", 0).ok());
  BOOST_TEST(Run.addLogLine(
                    R"({"event":"configuration_in_force","vm":"v",
                        "process":"entry","offset":4,"time":"1970-01-01T00:00:02.345Z"})",
                    3)
                 .ok());
  BOOST_TEST_REQUIRE(Run.m_Configurations.size() == 1U);
  BOOST_TEST(Run.m_Configurations[0].m_Offset == 4);
  BOOST_TEST(Run.m_Configurations[0].m_Life == 3);
  BOOST_TEST(Run.m_Configurations[0].m_TimeMs == 2345);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATaskOfAJob)

BOOST_AUTO_TEST_CASE(MayStartOnce) {
  checkHolds(Story()
                 .job("c1", "s")
                 .run("s", 0, "a")
                 .run("s", 1, "b")
                 .answer("c1", "s", {"ra", "rb"})
                 .job("c2", "s")
                 .answer("c2", "s", {"ra", "rb"}));
}

BOOST_AUTO_TEST_CASE(MayNotStartTwice) {
  checkBreaks(Story()
                  .job("c1", "s")
                  .run("s", 0, "a")
                  .run("s", 1, "b")
                  .answer("c1", "s", {"ra", "rb"})
                  .job("c2", "s")
                  .run("s", 0, "a")
                  .answer("c2", "s", {"ra", "rb"}),
              ViolationKind::TaskStartedTwice);
}

BOOST_AUTO_TEST_CASE(MayNotStartTwiceUnderAnIdThatItsCallerNeverLearned) {
  checkBreaks(Story().job("c1", "").start("t", 0, "a").start("t", 0, "a"),
              ViolationKind::TaskStartedTwice);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AJob)

BOOST_AUTO_TEST_CASE(MayFailAfterAPartOfItRan) {
  checkHolds(Story().job("c1", "s").run("s", 0, "a").fail("c1", "s", "failed"));
}

BOOST_AUTO_TEST_CASE(MayNotBeAnsweredWithFewerResults) {
  checkBreaks(Story().job("c1", "s").run("s", 0, "a").answer("c1", "s", {"ra"}),
              ViolationKind::PartialJob);
}

BOOST_AUTO_TEST_CASE(MayNotBeAnsweredWhenATaskFailed) {
  checkBreaks(Story()
                  .job("c1", "s")
                  .run("s", 0, "a")
                  .start("s", 1, "b")
                  .finish("s", 1, "b", false)
                  .answer("c1", "s", {"ra", "rb"}),
              ViolationKind::PartialJob);
}

BOOST_AUTO_TEST_CASE(MayNotBeAnsweredOutOfOrder) {
  const auto Found = Story()
                         .job("c1", "s")
                         .run("s", 0, "a")
                         .run("s", 1, "b")
                         .answer("c1", "s", {"rb", "ra"})
                         .violations();
  BOOST_TEST(Found == std::vector(2, ViolationKind::WrongContent),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnAnswer)

BOOST_AUTO_TEST_CASE(MayBeThatOfItsOwnRequest) {
  checkHolds(Story()
                 .request("c1", "s1", "x")
                 .request("c2", "s2", "y")
                 .run("s1", 0, "x")
                 .run("s2", 0, "y")
                 .answer("c2", "s2", {"ry"})
                 .answer("c1", "s1", {"rx"}));
}

BOOST_AUTO_TEST_CASE(MayNotBeThatOfAnotherRequest) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .request("c2", "s2", "y")
                  .run("s1", 0, "x")
                  .run("s2", 0, "y")
                  .answer("c1", "s1", {"ry"}),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_CASE(MayNotNameAnotherSubmission) {
  checkBreaks(Story().request("c1", "s1", "x").fail("c1", "s2", "unknown"),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_CASE(MayNotComeTwice) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .run("s1", 0, "x")
                  .answer("c1", "s1", {"rx"})
                  .answer("c1", "s1", {"rx"}),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_CASE(MayNotGoToAnotherTeam) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .request("c2", "s1", "x", false, "collectors")
                  .run("s1", 0, "x")
                  .answer("c1", "s1", {"rx"})
                  .answer("c2", "s1", {"rx"}),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_CASE(MayNotBeThatOfAnotherBodyUnderTheSameId) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .request("c2", "s1", "y")
                  .run("s1", 0, "x")
                  .answer("c2", "s1", {"rx"}),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_CASE(MayNotFollowABodyThatNobodySent) {
  checkBreaks(Story().request("c1", "s1", "x").start("s1", 0, "z"),
              ViolationKind::WrongContent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NotRun)

BOOST_AUTO_TEST_CASE(MayBeSaidWhenNothingStarted) {
  checkHolds(Story()
                 .request("c1", "s1", "x")
                 .fail("c1", "s1", "not_run")
                 .request("c2", "s2", "x")
                 .run("s2", 0, "x")
                 .answer("c2", "s2", {"rx"}));
}

BOOST_AUTO_TEST_CASE(MayNotBeSaidAfterAStart) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .start("s1", 0, "x")
                  .fail("c1", "s1", "not_run"),
              ViolationKind::FalseNotRun);
}

BOOST_AUTO_TEST_CASE(MayNotBeSaidBeforeAStart) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .fail("c1", "s1", "not_run")
                  .request("c2", "s1", "x")
                  .run("s1", 0, "x")
                  .answer("c2", "s1", {"rx"}),
              ViolationKind::FalseNotRun);
}

BOOST_AUTO_TEST_CASE(MayNotBeSaidWithoutAnIdWhenTheBodyStarted) {
  checkBreaks(Story()
                  .request("c1", "", "x")
                  .start("t", 0, "x")
                  .fail("c1", "", "not_run"),
              ViolationKind::FalseNotRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequest)

BOOST_AUTO_TEST_CASE(MayStartAgainIfItIsRepeatable) {
  checkHolds(Story()
                 .request("c1", "s1", "x", true)
                 .start("s1", 0, "x")
                 .run("s1", 0, "x")
                 .answer("c1", "s1", {"rx"}));
}

BOOST_AUTO_TEST_CASE(MayNotStartAgainIfItIsNot) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .start("s1", 0, "x")
                  .run("s1", 0, "x")
                  .answer("c1", "s1", {"rx"}),
              ViolationKind::RequestRepeated);
}

BOOST_AUTO_TEST_CASE(MayNotStartAgainIfOneOfItsCallersForbadeIt) {
  checkBreaks(Story()
                  .request("c1", "s1", "x", true)
                  .request("c2", "s1", "x", false)
                  .start("s1", 0, "x")
                  .start("s1", 0, "x"),
              ViolationKind::RequestRepeated);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ALeavingEndpoint)

namespace {

Story afterLeaving(const std::string &Event, std::int64_t TimeMs) {
  Story Seen;
  Seen.request("c1", "s1", "x");
  Seen.add({{"event", "leaving"}, {"endpoint", "e1"}, {"time_ms", 1000}});
  Seen.add({{"event", Event},
            {"endpoint", "e1"},
            {"submission", "s1"},
            {"task", 0},
            {"body_digest", "x"},
            {"time_ms", TimeMs}});
  return Seen;
}

} // namespace

BOOST_AUTO_TEST_CASE(MayGetWorkWithinTheBound) {
  checkHolds(afterLeaving("start", 3000));
  checkHolds(afterLeaving("refusal", 3000));
}

BOOST_AUTO_TEST_CASE(MayNotGetWorkAfterIt) {
  checkBreaks(afterLeaving("start", 3001), ViolationKind::WorkAfterLeaving);
  checkBreaks(afterLeaving("refusal", 3001), ViolationKind::WorkAfterLeaving);
}

BOOST_AUTO_TEST_CASE(MayNotGainTimeByASecondSign) {
  checkBreaks(
      afterLeaving("start", 3500)
          .add({{"event", "leaving"}, {"endpoint", "e1"}, {"time_ms", 2900}}),
      ViolationKind::WorkAfterLeaving);
}

BOOST_AUTO_TEST_CASE(MayGetWorkOnceItJoinsAgain) {
  Story Seen;
  Seen.request("c1", "s1", "x");
  Seen.add({{"event", "leaving"}, {"endpoint", "e1"}, {"time_ms", 1000}});
  Seen.add({{"event", "joined"}, {"endpoint", "e1"}, {"time_ms", 9000}});
  checkHolds(Seen.start("s1", 0, "x"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APlannedStop)

BOOST_AUTO_TEST_CASE(MayPassWhileCallsAreAnswered) {
  checkHolds(Story()
                 .request("c1", "s1", "x")
                 .end("stop", "v1", 100)
                 .run("s1", 0, "x")
                 .answer("c1", "s1", {"rx"})
                 .request("c2", "s2", "y")
                 .fail("c2", "s2", "not_run", "shutting-down"));
}

BOOST_AUTO_TEST_CASE(MayNotLeaveACallWithoutAnAnswer) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .end("stop", "v1", 100)
                  .start("s1", 0, "x"),
              ViolationKind::CutByStop);
}

BOOST_AUTO_TEST_CASE(MayNotBreakTheConnectionOfACall) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .end("stop", "v1", 100)
                  .add({{"event", "answer"}, {"call", "c1"}, {"status", 0}}),
              ViolationKind::CutByStop);
}

BOOST_AUTO_TEST_CASE(MayNotLoseTheProcessThatRunsACall) {
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .end("stop", "v1", 100)
                  .fail("c1", "s1", "unknown", "connection-lost"),
              ViolationKind::CutByStop);
}

BOOST_AUTO_TEST_CASE(MayRefuseANewCallUnderACallersId) {
  const nlohmann::json Refusal = {
      {"event", "answer"},  {"call", "c1"},
      {"status", 503},      {"outcome", "unknown"},
      {"submission", "s1"}, {"problem", "shutting-down"},
      {"retry_after", true}};
  checkHolds(
      Story().request("c1", "s1", "x").end("stop", "v1", 100).add(Refusal));
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .end("stop", "v1", 100)
                  .run("s1", 0, "x")
                  .add(Refusal),
              ViolationKind::CutByStop);
  checkBreaks(Story()
                  .request("c1", "s1", "x")
                  .end("stop", "v1", 100)
                  .fail("c1", "s1", "unknown", "shutting-down"),
              ViolationKind::CutByStop);
}

BOOST_AUTO_TEST_CASE(IsNotToBlameForAKill) {
  checkHolds(Story()
                 .request("c1", "s1", "x")
                 .end("stop", "v1", 100)
                 .end("killed", "v2", 101)
                 .start("s1", 0, "x"));
}

BOOST_AUTO_TEST_CASE(IsNotToBlameForACallThatCameLater) {
  checkHolds(Story().end("stop", "v1", 100).request("c1", "s1", "x"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AConfiguration)

BOOST_AUTO_TEST_CASE(MayBeInForceEverywhereWithinTheBound) {
  checkHolds(Story()
                 .inForce("v1", 1, 0)
                 .inForce("v2", 1, 5)
                 .inForce("v1", 7, 1000)
                 .inForce("v2", 7, 14000)
                 .inForce("v1", 7, 60000));
}

BOOST_AUTO_TEST_CASE(MayBeSkippedForANewerOne) {
  checkHolds(Story()
                 .inForce("v1", 1, 0)
                 .inForce("v2", 1, 0)
                 .inForce("v1", 7, 1000)
                 .inForce("v1", 9, 1100)
                 .inForce("v2", 9, 1200)
                 .inForce("v1", 9, 60000));
}

BOOST_AUTO_TEST_CASE(MayNotComeAfterTheBound) {
  checkBreaks(Story()
                  .inForce("v1", 1, 0)
                  .inForce("v2", 1, 5)
                  .inForce("v1", 7, 1000)
                  .inForce("v2", 7, 14001)
                  .inForce("v1", 7, 60000),
              ViolationKind::ConfigurationLate);
}

BOOST_AUTO_TEST_CASE(MayComeLaterToAVmThatWasCutOff) {
  checkHolds(Story()
                 .inForce("v1", 1, 0)
                 .inForce("v2", 1, 5)
                 .add({{"event", "isolated"},
                       {"vm", "v2"},
                       {"time_ms", 500},
                       {"until_ms", 20000}})
                 .inForce("v1", 7, 1000)
                 .inForce("v2", 7, 33000)
                 .inForce("v1", 7, 60000));
}

BOOST_AUTO_TEST_CASE(IsNotOwedByAProcessThatEnded) {
  checkHolds(Story()
                 .inForce("v1", 1, 0)
                 .inForce("v2", 1, 5)
                 .inForce("v1", 7, 1000)
                 .end("killed", "v2", 13000)
                 .inForce("v1", 7, 60000));
}

BOOST_AUTO_TEST_CASE(MayNotRevertInOneProcess) {
  checkBreaks(Story().inForce("v1", 7, 0).inForce("v1", 1, 10),
              ViolationKind::ConfigurationReverted);
}

BOOST_AUTO_TEST_CASE(MayBeOlderInANewProcess) {
  checkHolds(Story()
                 .inForce("v1", 7, 0)
                 .end("killed", "v1", 5)
                 .inForce("v1", 1, 10, 1)
                 .inForce("v1", 7, 20, 1));
}

BOOST_AUTO_TEST_SUITE_END()
