#include "auburnhub/Base/ConnectionBudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnhub {
namespace {

/// Part of a limit that is freed at a time, so that a crowd at the limit does
/// not cause a search for each of its connections.
constexpr std::size_t FreedPart = 64;

} // namespace

bool ConnectionBudget::canOpen(Time Now) const {
  if (m_Held.m_Connections < m_Limits.m_MaxConnections)
    return true;
  bool IsOneTooYoung = false;
  for (const auto &[Connection, Each] : m_Clients) {
    if (Each.m_Phase == ClientPhase::Serving)
      continue;
    if (Now - Each.m_Since >= MinLife)
      return true;
    IsOneTooYoung = true;
  }
  return !IsOneTooYoung;
}

ConnectionBudget::Answer ConnectionBudget::open(std::string_view Address,
                                                Time Now) {
  Answer Result;
  if (m_Held.m_Connections >= m_Limits.m_MaxConnections)
    Result.m_ToClose = makeRoom(&Holding::m_Connections,
                                1 + m_Limits.m_MaxConnections / FreedPart, 0);
  if (m_Held.m_Connections >= m_Limits.m_MaxConnections)
    return Result;
  auto Found = m_Addresses.find(Address);
  if (Found == m_Addresses.end())
    Found = m_Addresses.emplace(std::string(Address), Holding()).first;
  Result.m_Connection = ++m_LastId;
  Client &Added = m_Clients[Result.m_Connection];
  Added.m_Address = Found;
  Added.m_Since = Now;
  ++Found->second.m_Connections;
  ++m_Held.m_Connections;
  Answer Memory = hold(Result.m_Connection, 0);
  Result.m_IsGranted = Memory.m_IsGranted;
  Result.m_ToClose.insert(Result.m_ToClose.end(), Memory.m_ToClose.begin(),
                          Memory.m_ToClose.end());
  if (!Memory.m_IsGranted)
    close(std::exchange(Result.m_Connection, 0));
  return Result;
}

void ConnectionBudget::close(Id Connection) {
  auto Found = m_Clients.find(Connection);
  if (Found == m_Clients.end())
    return;
  auto Address = Found->second.m_Address;
  Address->second.m_Bytes -= Found->second.m_Bytes;
  m_Held.m_Bytes -= Found->second.m_Bytes;
  --m_Held.m_Connections;
  if (--Address->second.m_Connections == 0)
    m_Addresses.erase(Address);
  m_Clients.erase(Found);
}

void ConnectionBudget::enter(Id Connection, ClientPhase Phase, Time Now) {
  auto Found = m_Clients.find(Connection);
  if (Found == m_Clients.end())
    return;
  Found->second.m_Phase = Phase;
  Found->second.m_Since = Now;
}

ConnectionBudget::Answer ConnectionBudget::hold(Id Connection,
                                                std::size_t Bytes) {
  Answer Result;
  Result.m_Connection = Connection;
  auto Found = m_Clients.find(Connection);
  if (Found == m_Clients.end())
    return Result;
  std::size_t Wanted = Bytes + ConnectionBytes;
  std::size_t Before = Found->second.m_Bytes;
  std::size_t More = Wanted > Before ? Wanted - Before : 0;
  if (More > 0 && m_Held.m_Bytes + More > m_Limits.m_MaxBytes) {
    Result.m_ToClose = makeRoom(
        &Holding::m_Bytes, More + m_Limits.m_MaxBytes / FreedPart, Connection);
    if (m_Held.m_Bytes + More > m_Limits.m_MaxBytes)
      return Result;
  }
  Result.m_IsGranted = true;
  Client &Holder = Found->second;
  Holder.m_Address->second.m_Bytes += Wanted - Before;
  m_Held.m_Bytes += Wanted - Before;
  Holder.m_Bytes = Wanted;
  return Result;
}

std::string_view ConnectionBudget::address(Id Connection) const {
  auto Found = m_Clients.find(Connection);
  return Found == m_Clients.end()
             ? std::string_view()
             : std::string_view(Found->second.m_Address->first);
}

bool ConnectionBudget::isDominant(const Holding &Held, Amount What) const {
  return 2 * Held.*What > m_Held.*What && m_Addresses.size() > 1;
}

std::vector<ConnectionBudget::Id> ConnectionBudget::closable(Amount What,
                                                             Id For) const {
  std::vector<Id> Result;
  for (const auto &[Connection, Each] : m_Clients) {
    bool IsHolder = What == &Holding::m_Connections ||
                    Each.m_Bytes > ConnectionBytes || Connection == For;
    if (IsHolder && Each.m_Phase != ClientPhase::Serving)
      Result.push_back(Connection);
  }
  auto Rank = [&](Id Connection) {
    const Client &Each = m_Clients.at(Connection);
    bool IsLater = !isDominant(Each.m_Address->second, What);
    return std::make_tuple(IsLater, Each.m_Since, Connection);
  };
  std::sort(Result.begin(), Result.end(),
            [&](Id A, Id B) { return Rank(A) < Rank(B); });
  return Result;
}

std::vector<ConnectionBudget::Id>
ConnectionBudget::makeRoom(Amount What, std::size_t Needed, Id For) {
  std::size_t Limit = What == &Holding::m_Connections
                          ? m_Limits.m_MaxConnections
                          : m_Limits.m_MaxBytes;
  std::size_t Target = Limit - std::min(Limit, Needed);
  std::vector<Id> Closed;
  for (Id Connection : closable(What, For)) {
    if (m_Held.*What <= Target || Connection == For)
      break;
    close(Connection);
    Closed.push_back(Connection);
  }
  return Closed;
}

} // namespace auburnhub
