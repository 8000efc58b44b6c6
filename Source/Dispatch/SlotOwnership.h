#ifndef AUBURNHUB_DISPATCH_SLOTOWNERSHIP_H
#define AUBURNHUB_DISPATCH_SLOTOWNERSHIP_H

#include "auburnhub/Coordination/ConfigurationBody.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Policy/Types.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnhub {

/// What a dispatcher may use by itself, from its view of the members.
struct OwnedSlots {
  /// All endpoints: those that it owns with all their slots, the others with
  /// none, so that loans can use them and marks on them are kept.
  std::vector<EndpointSpec> m_Endpoints;
  /// For each service, its fair part of all the slots of its data centre.
  std::map<std::string, int> m_ExpectedSlots;
  /// Addresses of endpoints whose VMs leave.
  std::set<std::string> m_Leaving;
};

/// Works out which endpoints the dispatcher of a VM owns. An endpoint belongs
/// to one of the ready dispatchers of its own data centre, or of any data
/// centre if it has none there.
OwnedSlots findOwnedSlots(const ConfigurationBody &Configuration,
                          const MembersUpdate &Members, std::string_view Vm,
                          std::string_view DataCentre);

} // namespace auburnhub

#endif
