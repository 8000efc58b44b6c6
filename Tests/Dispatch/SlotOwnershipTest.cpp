#include "SlotOwnership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace auburnhub;

namespace {

Member makeMember(const std::string &Vm, const std::string &DataCentre) {
  Member Result;
  Result.m_Vm = Vm;
  Result.m_DataCentre = DataCentre;
  Result.m_DispatchReady = true;
  return Result;
}

ConfigurationBody makeConfiguration(int Endpoints) {
  ConfigurationBody Result;
  ServiceConfiguration &Service = Result.m_Services["proofs"];
  for (int I = 0; I != Endpoints; ++I) {
    EndpointConfiguration Endpoint;
    Endpoint.m_Address = "127.0.0.1:" + std::to_string(9000 + I);
    Endpoint.m_Slots = 8;
    Endpoint.m_DataCentre = I % 2 == 0 ? "brisbane" : "ipswich";
    Endpoint.m_Vm = "ex-" + std::to_string(I);
    Service.m_Endpoints.push_back(Endpoint);
  }
  return Result;
}

int ownedSlots(const OwnedSlots &Owned) {
  int Total = 0;
  for (const EndpointSpec &Item : Owned.m_Endpoints)
    Total += Item.m_Slots;
  return Total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OwnershipOfSlots)

BOOST_AUTO_TEST_CASE(GivesEachSlotToOneDispatcherOfItsDataCentre) {
  ConfigurationBody Configuration = makeConfiguration(20);
  MembersUpdate Members;
  Members.m_Members = {makeMember("b1", "brisbane"),
                       makeMember("b2", "brisbane"),
                       makeMember("i1", "ipswich")};
  int Brisbane = 0;
  for (const char *Vm : {"b1", "b2"})
    Brisbane +=
        ownedSlots(findOwnedSlots(Configuration, Members, Vm, "brisbane"));
  BOOST_TEST(Brisbane == 80);
  BOOST_TEST(ownedSlots(findOwnedSlots(Configuration, Members, "i1",
                                       "ipswich")) == 80);
}

BOOST_AUTO_TEST_CASE(SharesOutTheSlotsOfEachEndpoint) {
  ConfigurationBody Configuration = makeConfiguration(34);
  MembersUpdate Members;
  Members.m_Members = {makeMember("b1", "brisbane"),
                       makeMember("b2", "brisbane"),
                       makeMember("b3", "brisbane")};
  for (const char *Vm : {"b1", "b2", "b3"}) {
    OwnedSlots Owned = findOwnedSlots(Configuration, Members, Vm, "brisbane");
    BOOST_TEST(
        std::ranges::count_if(Owned.m_Endpoints, [](const EndpointSpec &Item) {
          return Item.m_Slots > 0;
        }) >= 30);
    BOOST_TEST(ownedSlots(Owned) > 272 / 3 * 3 / 4);
    BOOST_TEST(ownedSlots(Owned) < 272 / 3 * 5 / 4);
  }
}

BOOST_AUTO_TEST_CASE(PassesToAnotherDataCentreIfNoneIsLeft) {
  ConfigurationBody Configuration = makeConfiguration(20);
  MembersUpdate Members;
  Members.m_Members = {makeMember("b1", "brisbane"),
                       makeMember("i1", "ipswich")};
  Members.m_Members[1].m_DispatchReady = false;
  BOOST_TEST(ownedSlots(findOwnedSlots(Configuration, Members, "b1",
                                       "brisbane")) == 160);
  BOOST_TEST(
      ownedSlots(findOwnedSlots(Configuration, Members, "i1", "ipswich")) == 0);
}

BOOST_AUTO_TEST_CASE(NamesTheEndpointsWhoseVmsLeave) {
  MembersUpdate Members;
  Members.m_Members = {makeMember("b1", "brisbane")};
  Members.m_LeavingVms = {"ex-2"};
  OwnedSlots Owned =
      findOwnedSlots(makeConfiguration(4), Members, "b1", "brisbane");
  BOOST_TEST(Owned.m_Leaving == std::set<std::string>{"127.0.0.1:9002"});
}

BOOST_AUTO_TEST_SUITE_END()
