#ifndef AUBURNHUB_NET_CLIENTREPORT_H
#define AUBURNHUB_NET_CLIENTREPORT_H

#include "auburnhub/Base/ClientAccount.h"
#include "auburnhub/Base/Log.h"
#include "auburnhub/Base/Metrics.h"
#include "auburnhub/Policy/Types.h"

#include <array>
#include <optional>
#include <string_view>

namespace auburnhub {

/// Shows operators the clients that were refused: a counter for each fault, and
/// at most one log line a second, with the number since the previous line.
class ClientReport {
public:
  explicit ClientReport(MetricsRegistry &Metrics);

  void add(ClientFault Fault, std::string_view Address, TimePoint Now);

private:
  Log m_Log{"clients"};
  std::array<Counter *, ClientFaults> m_Counters{};
  std::optional<TimePoint> m_LoggedAt;
  std::uint64_t m_SinceLogged = 0;
};

} // namespace auburnhub

#endif
