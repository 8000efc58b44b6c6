#include "auburnhub/Net/ClientReport.h"

#include <string>

namespace auburnhub {
namespace {

/// Shortest time between two lines, in milliseconds.
constexpr double LinePeriodMs = 1000;

} // namespace

ClientReport::ClientReport(MetricsRegistry &Metrics) {
  for (std::size_t I = 0; I < ClientFaults; ++I)
    m_Counters[I] = &Metrics.counter(
        "auburnhub_clients_refused_total",
        "Clients that were refused or whose connection was closed",
        {{"reason", std::string(toString(static_cast<ClientFault>(I)))}});
}

void ClientReport::add(ClientFault Fault, std::string_view Address,
                       TimePoint Now) {
  m_Counters[static_cast<std::size_t>(Fault)]->add();
  ++m_SinceLogged;
  if (m_LoggedAt && millisecondsBetween(*m_LoggedAt, Now) < LinePeriodMs)
    return;
  m_Log.warning("client_refused", {{"reason", toString(Fault)},
                                   {"address", Address},
                                   {"since_last_line", m_SinceLogged}});
  m_LoggedAt = Now;
  m_SinceLogged = 0;
}

} // namespace auburnhub
