#include "auburnhub/Base/ClientAccount.h"

namespace auburnhub {

std::string_view toString(ClientFault Fault) {
  static constexpr std::array<std::string_view, ClientFaults> Names = {
      "connections", "memory",       "header_size",  "body_size",
      "malformed",   "request_time", "response_time"};
  return Names.at(static_cast<std::size_t>(Fault));
}

ClientAccount::Id ClientAccount::open(std::string_view Address, Closer Close) {
  ConnectionBudget::Answer Answer = m_Budget.open(Address, m_Now());
  closeAll(Answer.m_ToClose, ClientFault::Connections);
  if (Answer.m_IsGranted)
    m_Open[Answer.m_Connection] = {std::string(Address), std::move(Close)};
  else
    report(ClientFault::Connections, Address);
  return Answer.m_Connection;
}

void ClientAccount::close(Id Connection) {
  m_Budget.close(Connection);
  m_Open.erase(Connection);
}

bool ClientAccount::hold(Id Connection, std::size_t Bytes) {
  ConnectionBudget::Answer Answer = m_Budget.hold(Connection, Bytes);
  closeAll(Answer.m_ToClose, ClientFault::Memory);
  return Answer.m_IsGranted;
}

void ClientAccount::closeAll(const std::vector<Id> &Connections,
                             ClientFault Fault) {
  for (Id Connection : Connections) {
    auto Found = m_Open.find(Connection);
    if (Found == m_Open.end())
      continue;
    Open Closed = std::move(Found->second);
    m_Open.erase(Found);
    report(Fault, Closed.m_Address);
    Closed.m_Close();
  }
}

} // namespace auburnhub
