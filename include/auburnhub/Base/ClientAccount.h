#ifndef AUBURNHUB_BASE_CLIENTACCOUNT_H
#define AUBURNHUB_BASE_CLIENTACCOUNT_H

#include "auburnhub/Base/ConnectionBudget.h"

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace auburnhub {

/// Why a client was refused or its connection closed.
enum class ClientFault {
  Connections, ///< The process has too many connections.
  Memory,      ///< Clients hold too much memory.
  HeaderSize,  ///< Header lines, chunk extensions or trailers are too long.
  BodySize,
  Malformed,
  RequestTime,  ///< The request was not complete in time.
  ResponseTime, ///< The response was not read in time.
};

constexpr std::size_t ClientFaults = 7;

/// Returns the name of a fault in metrics and logs.
std::string_view toString(ClientFault Fault);

/// The ConnectionBudget of all listeners of a process: closes the connections
/// that the budget names, and reports faults. Used on one thread.
class ClientAccount {
public:
  using Id = ConnectionBudget::Id;
  using Clock = std::function<ConnectionBudget::Time()>;
  /// Closes a connection at once. Must not call the account for it any more.
  using Closer = std::function<void()>;
  using Report = std::function<void(ClientFault, std::string_view Address)>;

  /// The report may be empty.
  ClientAccount(const ClientLimits &Limits, Clock Now, Report OnFault)
      : m_Budget(Limits), m_Now(std::move(Now)), m_Report(std::move(OnFault)) {}

  /// Returns whether a listener should accept now, or a little later.
  bool canOpen() const { return m_Budget.canOpen(m_Now()); }
  /// Returns 0 if the connection must be refused.
  Id open(std::string_view Address, Closer Close);
  void close(Id Connection);
  void enter(Id Connection, ClientPhase Phase) {
    m_Budget.enter(Connection, Phase, m_Now());
  }
  /// Returns whether the connection may hold this many bytes.
  bool hold(Id Connection, std::size_t Bytes);
  void report(ClientFault Fault, std::string_view Address) const {
    if (m_Report)
      m_Report(Fault, Address);
  }
  const ConnectionBudget &budget() const { return m_Budget; }

private:
  void closeAll(const std::vector<Id> &Connections, ClientFault Fault);

  struct Open {
    std::string m_Address;
    Closer m_Close;
  };

  ConnectionBudget m_Budget;
  Clock m_Now;
  Report m_Report;
  std::unordered_map<Id, Open> m_Open;
};

} // namespace auburnhub

#endif
