#include "CallerRequest.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace auburnhub;

namespace {

HttpRequest post(std::string Path, std::string Body) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = std::move(Path);
  Request.m_Body = std::move(Body);
  Request.m_Headers.set("Auburnhub-Team", "club-desk");
  return Request;
}

constexpr const char *Jobs = "/v1/services/tile-orders/jobs";

} // namespace

BOOST_AUTO_TEST_SUITE(ACallerRequest)

BOOST_AUTO_TEST_SUITE(IsParsed)

BOOST_AUTO_TEST_CASE(WithAllItsHeaders) {
  HttpRequest Request = post("/v1/services/tile-orders/requests", "x");
  SubmissionId Id = SubmissionId::makeTicket(1, 2, 3);
  Request.m_Headers.set("idempotency-key", Id.str());
  Request.m_Headers.set("Auburnhub-Timeout", "1500");
  Request.m_Headers.set("Auburnhub-Kind", "stock-check");
  Request.m_Headers.set("Auburnhub-Repeat", "no");
  auto Parsed = CallerRequest::parse(Request);
  BOOST_TEST_REQUIRE(Parsed.ok());
  BOOST_TEST((Parsed->m_Action == CallerAction::Request));
  BOOST_TEST(Parsed->m_Service == "tile-orders");
  BOOST_TEST((Parsed->m_Id == Id));
  BOOST_TEST((Parsed->m_Timeout == Milliseconds(1500)));
  BOOST_TEST(Parsed->m_Kind == "stock-check");
  BOOST_TEST(Parsed->m_NoRepeat);
}

RC_BOOST_PROP(WithTheTasksThatItWasMadeOf, ()) {
  auto Numbers = *rc::gen::nonEmpty<std::vector<unsigned>>();
  nlohmann::json Tasks = nlohmann::json::array();
  for (unsigned Number : Numbers)
    Tasks.push_back("task " + std::to_string(Number));
  nlohmann::json Body = {{"tasks", Tasks}};
  auto Parsed = CallerRequest::parse(post(Jobs, Body.dump()));
  RC_ASSERT(Parsed.ok());
  RC_ASSERT(Parsed->m_Tasks.size() == Numbers.size());
  for (std::size_t I = 0; I != Numbers.size(); ++I)
    RC_ASSERT(Parsed->m_Tasks[I].m_Data == Tasks[I].get<std::string>());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfRandomBytes)

RC_BOOST_PROP(IsRefusedOrWithinItsBounds,
              (const std::string &Path, const std::string &Body,
               const std::string &Key, const std::string &Timeout,
               const std::string &Kind)) {
  static const std::vector<std::string> Paths = {
      Path, Jobs, "/v1/tickets", "/v1/jobs/" + Path, "/v1/services/" + Path};
  HttpRequest Request = post(*rc::gen::elementOf(Paths), Body);
  Request.m_Method = *rc::gen::element<std::string>("POST", "DELETE", Path);
  Request.m_Headers.set("Idempotency-Key", Key);
  Request.m_Headers.set("Auburnhub-Timeout", Timeout);
  Request.m_Headers.set("Auburnhub-Kind", Kind);
  auto Parsed = CallerRequest::parse(Request);
  if (!Parsed.ok()) {
    RC_ASSERT(failureCode(Parsed.status()) != FailureCode::Internal);
    return;
  }
  RC_ASSERT(Parsed->m_Tasks.size() <= 1000u);
  RC_ASSERT(!Parsed->m_Timeout || *Parsed->m_Timeout >= Milliseconds(1));
}

RC_BOOST_PROP(InAJobIsRefusedOrHasTasks, (const std::string &Noise)) {
  std::string Body = R"({"tasks":["a",{"b":[1]},"c"]})";
  std::size_t At = *rc::gen::inRange<std::size_t>(0, Body.size());
  Body.replace(At, *rc::gen::inRange<std::size_t>(0, 4), Noise);
  auto Parsed = CallerRequest::parse(post(Jobs, Body));
  if (Parsed.ok())
    RC_ASSERT(!Parsed->m_Tasks.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
