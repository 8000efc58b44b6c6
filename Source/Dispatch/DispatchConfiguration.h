#ifndef AUBURNHUB_DISPATCH_DISPATCHCONFIGURATION_H
#define AUBURNHUB_DISPATCH_DISPATCHCONFIGURATION_H

#include "auburnhub/Coordination/ConfigurationBody.h"
#include "auburnhub/Messages/Messages.h"
#include "auburnhub/Policy/PolicyParameters.h"

namespace auburnhub {

/// The accepted configuration, with the policy's parameters decoded.
struct DispatchConfiguration {
  ConfigurationBody m_Body;
  PolicyParameters m_Policy;

  /// Reads a record. Fails with BadRequest, BadSettings, BadMessage or
  /// UnsupportedSchema and all faults found.
  static absl::StatusOr<DispatchConfiguration>
  fromRecord(const ConfigurationRecord &Record);
};

} // namespace auburnhub

#endif
