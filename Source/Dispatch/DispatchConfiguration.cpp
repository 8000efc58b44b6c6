#include "DispatchConfiguration.h"

namespace auburnhub {

absl::StatusOr<DispatchConfiguration>
DispatchConfiguration::fromRecord(const ConfigurationRecord &Record) {
  absl::StatusOr<ConfigurationBody> Body =
      ConfigurationBody::read(Record.m_Body, Record.m_Schema);
  if (!Body.ok())
    return Body.status();
  absl::StatusOr<PolicyParameters> Policy =
      fromJson<PolicyParameters>(Body->m_Policy);
  if (!Policy.ok())
    return Policy.status();
  absl::Status Valid = Policy->validate();
  if (!Valid.ok())
    return Valid;
  return DispatchConfiguration{std::move(*Body), *Policy};
}

} // namespace auburnhub
