#include "EntryFixture.h"

using namespace auburnhub;

namespace {

const SubmissionId CallerId =
    SubmissionId::makeCallerId(1'700'000'000'000, 1, 2);

std::string typeOf(const HttpResponse &Response) {
  std::string Type = problemOf(Response).value("type", "");
  return Type.substr(Type.rfind('/') + 1);
}

std::string outcomeOf(const HttpResponse &Response) {
  return problemOf(Response).value("outcome", "");
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnEntry)

BOOST_AUTO_TEST_SUITE(ForwardsASubmission)

BOOST_AUTO_TEST_CASE(AndReturnsTheBytesOfARequest) {
  EntryFixture Entry;
  std::string Body("a\0b", 3);
  auto Response = Entry.send(Entry.request(Entry.Requests, Body));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  auto Msg = Sent.as<Submit>();
  BOOST_TEST(Msg.m_Service == "tile-orders");
  BOOST_TEST(Msg.m_Team == "club-desk");
  BOOST_TEST(!Msg.m_Job);
  BOOST_TEST(Msg.m_Id.isNil());
  BOOST_TEST_REQUIRE(Msg.m_Tasks.size() == 1u);
  BOOST_TEST(Msg.m_Tasks[0].m_Data == Body);
  Entry.m_Local.send(Sent.m_Peer, Entry.answerTo(Msg, {{"\xff result"}}));
  HttpResponse Got = Response.get();
  BOOST_TEST(Got.m_Status == 200);
  BOOST_TEST(Got.m_Body == "\xff result");
  BOOST_TEST(Got.m_ContentType == "application/octet-stream");
  BOOST_TEST(!Got.m_Headers.get("Auburnhub-Submission").empty());
}

BOOST_AUTO_TEST_CASE(AndReturnsTheResultsOfAJobInOrder) {
  EntryFixture Entry;
  auto Response =
      Entry.send(Entry.request(Entry.Jobs, R"({"tasks":["a",{"b":1}]})"));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  auto Msg = Sent.as<Submit>();
  BOOST_TEST(Msg.m_Job);
  BOOST_TEST_REQUIRE(Msg.m_Tasks.size() == 2u);
  BOOST_TEST(Msg.m_Tasks[1].m_Data == R"({"b":1})");
  Entry.m_Local.send(Sent.m_Peer, Entry.answerTo(Msg, {{"one"}, {"\xff"}}));
  auto Body = nlohmann::json::parse(Response.get().m_Body);
  BOOST_TEST(Body["results"][0] == "one");
  BOOST_TEST(Body["results"][1]["base64"] == "/w==");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(ATicketToTheDispatcherThatMintedIt) {
  EntryFixture Entry;
  SubmissionId Ticket =
      SubmissionId::makeTicket(1, Entry.m_Other.m_Self.m_Incarnation, 7);
  auto Response = Entry.send(Entry.request(Entry.Requests, "x", Ticket.str()));
  FromPeer Sent = Entry.m_Other.take<Submit>();
  auto Msg = Sent.as<Submit>();
  BOOST_TEST((Msg.m_Id == Ticket));
  Entry.m_Other.send(Sent.m_Peer, Entry.answerTo(Msg, {{"y"}}));
  HttpResponse Got = Response.get();
  BOOST_TEST(Got.m_Body == "y");
  BOOST_TEST(Got.m_Headers.get("Auburnhub-Submission") == Ticket.str());
}

BOOST_AUTO_TEST_CASE(NoTicketWhoseDispatcherIsGone) {
  EntryFixture Entry;
  SubmissionId Ticket = SubmissionId::makeTicket(1, 12345, 7);
  HttpResponse Got =
      Entry.call(Entry.request(Entry.Requests, "x", Ticket.str()));
  BOOST_TEST(Got.m_Status == 502);
  BOOST_TEST(typeOf(Got) == "owner-gone");
  BOOST_TEST(outcomeOf(Got) == "unknown");
}

BOOST_AUTO_TEST_CASE(ACancellationAndAWishForTickets) {
  EntryFixture Entry;
  SubmissionId Ticket =
      SubmissionId::makeTicket(1, Entry.m_Other.m_Self.m_Incarnation, 7);
  HttpRequest Delete = Entry.request("/v1/jobs/" + Ticket.str(), "");
  Delete.m_Method = "DELETE";
  auto Cancelled = Entry.send(Delete);
  FromPeer Sent = Entry.m_Other.take<Cancel>();
  CancelReply Done;
  Done.m_Call = Sent.as<Cancel>().m_Call;
  Done.m_Id = Ticket;
  Entry.m_Other.send(Sent.m_Peer, Done);
  BOOST_TEST(Cancelled.get().m_Status == 202);

  auto Minted = Entry.send(Entry.request("/v1/tickets", R"({"count":2})"));
  Sent = Entry.m_Local.take<MintTickets>();
  BOOST_TEST(Sent.as<MintTickets>().m_Count == 2);
  MintedTickets Tickets;
  Tickets.m_Call = Sent.as<MintTickets>().m_Call;
  Tickets.m_Ids = {Ticket, Ticket};
  Entry.m_Local.send(Sent.m_Peer, Tickets);
  auto Body = nlohmann::json::parse(Minted.get().m_Body);
  BOOST_TEST(Body["tickets"].size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivesEachCallerItsOwnAnswer)

BOOST_AUTO_TEST_CASE(WhenAnswersAreCrossed) {
  EntryFixture Entry;
  auto First = Entry.send(Entry.request(Entry.Requests, "first"));
  FromPeer SentFirst = Entry.m_Local.take<Submit>();
  auto Second = Entry.send(Entry.request(Entry.Requests, "second"));
  FromPeer SentSecond = Entry.m_Local.take<Submit>();
  Entry.m_Local.send(SentSecond.m_Peer,
                     Entry.answerTo(SentSecond.as<Submit>(), {{"for second"}}));
  Entry.m_Local.send(SentFirst.m_Peer,
                     Entry.answerTo(SentFirst.as<Submit>(), {{"for first"}}));
  BOOST_TEST(First.get().m_Body == "for first");
  BOOST_TEST(Second.get().m_Body == "for second");
}

BOOST_AUTO_TEST_CASE(WhenAnAnswerHasAnotherIdOrComesFromAnotherPeer) {
  EntryFixture Entry;
  SubmissionId Ticket =
      SubmissionId::makeTicket(1, Entry.m_Local.m_Self.m_Incarnation, 7);
  auto Response = Entry.send(Entry.request(Entry.Requests, "x", Ticket.str()));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  auto Msg = Sent.as<Submit>();
  // Learn the entry's peer number at the other dispatcher.
  auto Cancelled = Entry.send(Entry.request("/v1/tickets", R"({"count":1})"));
  FromPeer Mint = Entry.m_Local.take<MintTickets>();
  Answer WrongId = Entry.answerTo(Msg, {{"of another"}});
  WrongId.m_Id = CallerId;
  Entry.m_Local.send(Sent.m_Peer, WrongId);
  Answer WrongType = Entry.answerTo(Msg, {{"of another"}});
  WrongType.m_Call = Mint.as<MintTickets>().m_Call;
  Entry.m_Local.send(Sent.m_Peer, WrongType);
  Answer WrongNumber = Entry.answerTo(Msg, {{"of another"}});
  WrongNumber.m_Call += 1000;
  Entry.m_Local.send(Sent.m_Peer, WrongNumber);
  Entry.m_Other.m_Task.post([&Entry, Msg] {
    for (const auto &[Peer, Greeting] : Entry.m_Other.m_Hub.peers())
      Entry.m_Other.m_Hub.send(Peer, Entry.answerTo(Msg, {{"of another"}}));
  });
  Entry.waitForCount("auburnhub_entry_answer_mismatches_total", 4);
  Entry.m_Local.send(Sent.m_Peer, Entry.answerTo(Msg, {{"its own"}}));
  BOOST_TEST(Response.get().m_Body == "its own");
  Reject Refused;
  Refused.m_Call = WrongType.m_Call;
  Entry.m_Local.send(Mint.m_Peer, Refused);
  BOOST_TEST(Cancelled.get().m_Status == 500);
}

BOOST_AUTO_TEST_CASE(AndDropsALateOne) {
  EntryFixture Entry;
  HttpResponse Got = Entry.call(Entry.request(Entry.Requests, "x", "", "1"));
  BOOST_TEST(Got.m_Status == 504);
  BOOST_TEST(typeOf(Got) == "timeout");
  BOOST_TEST(outcomeOf(Got) == "unknown");
  FromPeer Sent = Entry.m_Local.take<Submit>();
  Entry.m_Local.send(Sent.m_Peer,
                     Entry.answerTo(Sent.as<Submit>(), {{"late"}}));
  Entry.waitForCount("auburnhub_entry_late_answers_total", 1);
  auto Next = Entry.send(Entry.request(Entry.Requests, "next"));
  Sent = Entry.m_Local.take<Submit>();
  Entry.m_Local.send(Sent.m_Peer,
                     Entry.answerTo(Sent.as<Submit>(), {{"in time"}}));
  BOOST_TEST(Next.get().m_Body == "in time");
}

BOOST_AUTO_TEST_CASE(NeverPartOfAJob) {
  EntryFixture Entry;
  auto Response =
      Entry.send(Entry.request(Entry.Jobs, R"({"tasks":["a","b"]})"));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  Entry.m_Local.send(Sent.m_Peer,
                     Entry.answerTo(Sent.as<Submit>(), {{"only one"}}));
  HttpResponse Got = Response.get();
  BOOST_TEST(Got.m_Status == 500);
  BOOST_TEST(outcomeOf(Got) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TellsTheOutcomeTruthfully)

BOOST_AUTO_TEST_CASE(WhenTheLinkBreaksAfterTheSubmissionWasSent) {
  EntryFixture Entry;
  auto Response = Entry.send(Entry.request(Entry.Requests, "x"));
  Entry.m_Local.take<Submit>();
  Entry.m_LocalProcess.reset();
  HttpResponse Got = Response.get();
  BOOST_TEST(Got.m_Status == 502);
  BOOST_TEST(typeOf(Got) == "connection-lost");
  BOOST_TEST(outcomeOf(Got) == "unknown");
  // What was not sent yet goes elsewhere.
  auto Next = Entry.send(Entry.request(Entry.Requests, "x"));
  FromPeer Sent = Entry.m_Other.take<Submit>();
  Entry.m_Other.send(Sent.m_Peer, Entry.answerTo(Sent.as<Submit>(), {{"y"}}));
  BOOST_TEST(Next.get().m_Body == "y");
}

BOOST_AUTO_TEST_CASE(AsTheDispatcherDoes) {
  EntryFixture Entry;
  auto Response = Entry.send(Entry.request(Entry.Requests, "x"));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  Answer Refusal = Entry.answerTo(Sent.as<Submit>(), {});
  Refusal.m_Outcome = Outcome::NotRun;
  Refusal.m_Failure = "quota-exceeded";
  Refusal.m_RetryAfterMs = 1500;
  Entry.m_Local.send(Sent.m_Peer, Refusal);
  HttpResponse Got = Response.get();
  BOOST_TEST(Got.m_Status == 429);
  BOOST_TEST(Got.m_Headers.get("Retry-After") == "2");
  BOOST_TEST(outcomeOf(Got) == "not_run");
  BOOST_TEST(problemOf(Got)["submission"] == Refusal.m_Id.str());
}

BOOST_AUTO_TEST_CASE(WhenNoDispatcherIsThere) {
  EntryFixture Entry;
  Entry.setMembers({Entry.m_Local.member(false), Entry.m_Other.member(false)});
  HttpResponse Got = Entry.call(Entry.request(Entry.Requests, "x"));
  BOOST_TEST(Got.m_Status == 503);
  BOOST_TEST(typeOf(Got) == "no-dispatcher");
  BOOST_TEST(outcomeOf(Got) == "not_run");
  BOOST_TEST(!Got.m_Headers.get("Retry-After").empty());
  Got = Entry.call(Entry.request(Entry.Requests, "x", CallerId.str()));
  BOOST_TEST(outcomeOf(Got) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(KeepsTheConfiguration)

BOOST_AUTO_TEST_CASE(OfTheHighestOffset) {
  EntryFixture Entry;
  ConfigurationUpdate Higher = Entry.configuration(5, {});
  Higher.m_Record.m_Body["services"] = {{"order-desk", {}}};
  Entry.m_Control.send(Entry.m_EntryPeer, Higher);
  Entry.m_Control.send(Entry.m_EntryPeer, Entry.configuration(4, {}));
  // Members come after the configurations; their arrival shows.
  Entry.setMembers({Entry.m_Local.member(false), Entry.m_Other.member(false)});
  BOOST_TEST(Entry.m_Role->status()["configuration_offset"] == 5);
  HttpResponse Got = Entry.call(Entry.request(Entry.Requests, "x"));
  BOOST_TEST(typeOf(Got) == "unknown-service");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Drains)

BOOST_AUTO_TEST_CASE(RefusingNewWorkAndAnsweringWhatWaits) {
  EntryFixture Entry;
  auto Waiting = Entry.send(Entry.request(Entry.Requests, "x"));
  FromPeer Sent = Entry.m_Local.take<Submit>();
  std::promise<bool> Drained;
  Entry.m_Role->beginStop([&](bool InTime) { Drained.set_value(InTime); });
  HttpResponse Got = Entry.call(Entry.request(Entry.Requests, "y"));
  BOOST_TEST(Got.m_Status == 503);
  BOOST_TEST(typeOf(Got) == "shutting-down");
  BOOST_TEST(outcomeOf(Got) == "not_run");
  BOOST_TEST(!Got.m_Headers.get("Retry-After").empty());
  Got = Entry.call(Entry.request(Entry.Requests, "y", CallerId.str()));
  BOOST_TEST(outcomeOf(Got) == "unknown");
  BOOST_TEST(!Entry.m_Role->isReady());
  Entry.m_Local.send(Sent.m_Peer, Entry.answerTo(Sent.as<Submit>(), {{"z"}}));
  BOOST_TEST(Waiting.get().m_Body == "z");
  BOOST_TEST(Drained.get_future().get());
}

BOOST_AUTO_TEST_CASE(AtOnceWhenNothingWaits) {
  EntryFixture Entry;
  std::promise<bool> Drained;
  Entry.m_Role->beginStop([&](bool InTime) { Drained.set_value(InTime); });
  BOOST_TEST(Drained.get_future().get());
}

BOOST_AUTO_TEST_CASE(CuttingWhatWaitsWhenTheTimeEnds) {
  EntryFixture Entry(nlohmann::json{{"drain_ms", 1}});
  auto Waiting = Entry.send(Entry.request(Entry.Requests, "x"));
  Entry.m_Local.take<Submit>();
  std::promise<bool> Drained;
  Entry.m_Role->beginStop([&](bool InTime) { Drained.set_value(InTime); });
  BOOST_TEST(!Drained.get_future().get());
  HttpResponse Got = Waiting.get();
  BOOST_TEST(typeOf(Got) == "shutting-down");
  BOOST_TEST(outcomeOf(Got) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HasSampleSettings)

BOOST_AUTO_TEST_CASE(ThatItAccepts) {
  auto Reader = SettingsReader::load(AUBURNHUB_SOURCE_DIR
                                     "/share/auburnhub/settings/entry.yaml");
  BOOST_TEST_REQUIRE(Reader.ok());
  readCommonSettings(*Reader, "entry");
  EntryRole::Settings Read = EntryRole::readSettings(*Reader);
  absl::Status Checked = Reader->finish();
  BOOST_TEST(Checked.ok(), failureDetail(Checked));
  BOOST_TEST(Read.m_Control.m_Port == 8301);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
